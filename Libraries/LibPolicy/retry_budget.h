#ifndef LIBPOLICY_RETRY_BUDGET_H_
#define LIBPOLICY_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "LibCore/time.h"

namespace crocus {

struct RetryBudgetOptions {
  /// Extra attempts that are allowed within the window regardless of the number
  /// of requests, so that a retry stays possible at low traffic.
  double minimum = 1;
  /// At most RetryBudget::kMaximumWindowSeconds. With a longer window, unused
  /// budget accumulates for longer.
  std::size_t window_seconds = 10;

  bool operator==(const RetryBudgetOptions&) const = default;
};

/// Limits extra attempts (retries, hedges) to a share of the requests of the
/// last seconds. Not thread-safe.
class RetryBudget {
 public:
  static constexpr std::size_t kMaximumWindowSeconds = 60;

  explicit RetryBudget(RetryBudgetOptions options = {});

  /// Counts a request of a caller.
  void OnRequest(TimePoint now);

  /// Takes one extra attempt and returns true if the attempts taken within the
  /// window then are at most `share` of its requests, or at most the option's
  /// minimum.
  bool TryTake(double share, TimePoint now);

 private:
  struct Bucket {
    std::int64_t second = -1;
    std::uint32_t requests = 0;
    std::uint32_t taken = 0;
  };

  Bucket& BucketAt(TimePoint now);

  const RetryBudgetOptions options;
  std::array<Bucket, kMaximumWindowSeconds> buckets{};
};

}  // namespace crocus

#endif  // LIBPOLICY_RETRY_BUDGET_H_
