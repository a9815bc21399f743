#ifndef LIBPOLICY_REPORT_RATE_LIMITER_H_
#define LIBPOLICY_REPORT_RATE_LIMITER_H_

#include <cstddef>
#include <cstdint>

#include "LibCore/time.h"

namespace crocus {

struct ReportRateLimiterOptions {
  /// Shortest time between two reports.
  Duration delay = std::chrono::milliseconds(20);
  /// A report is sent at least this often.
  Duration interval = std::chrono::seconds(1);
  /// Report bytes to all entries together.
  std::uint64_t bytes_per_second = 8192;
};

/// Decides when a daemon's next load report is due, so that reports stay
/// within their share of the network while work runs. Not thread-safe.
class ReportRateLimiter {
 public:
  explicit ReportRateLimiter(ReportRateLimiterOptions options)
      : options(options) {}

  void MarkChanged() { this->is_changed = true; }

  /// Time of the next report.
  TimePoint NextReport() const;

  /// True if a report is due even without a change.
  bool IsOverdue(TimePoint now) const { return now >= this->latest; }

  /// Records that what was marked as changed has its old value again.
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
