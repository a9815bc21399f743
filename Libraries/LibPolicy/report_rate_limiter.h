#ifndef LIBPOLICY_REPORT_RATE_LIMITER_H_
#define LIBPOLICY_REPORT_RATE_LIMITER_H_

#include <cstddef>
#include <cstdint>

#include "LibCore/time.h"

namespace crocus {

struct ReportRateLimiterOptions {
  /// Minimum time between two reports.
  Duration delay = std::chrono::milliseconds(20);
  /// Maximum time between two reports, unless the byte rate requires more.
  Duration interval = std::chrono::seconds(1);
  /// Limit of the report bytes per second, summed over all entries.
  std::uint64_t bytes_per_second = 8192;
};

/// Decides when a daemon's next load report is due, so that reports stay within
/// their share of the network while work runs. Not thread-safe.
class ReportRateLimiter {
 public:
  explicit ReportRateLimiter(ReportRateLimiterOptions options)
      : options(options) {}

  void MarkChanged() { this->is_changed = true; }

  /// Returns the time of the next report.
  TimePoint NextReport() const;

  /// Returns true if a report is due even without a change.
  bool IsOverdue(TimePoint now) const { return now >= this->latest; }

  /// Records that the values that were marked as changed are the same again as
  /// in the last report.
  void MarkUnchanged(TimePoint now);

  /// Records that a report of `bytes`, summed over the entries, was sent.
  void MarkSent(std::size_t bytes, TimePoint now);

 private:
  const ReportRateLimiterOptions options;
  bool is_changed = true;
  /// Earliest time of a report with changes, and latest time of any report.
  TimePoint earliest{};
  TimePoint latest{};
};

}  // namespace crocus

#endif  // LIBPOLICY_REPORT_RATE_LIMITER_H_
