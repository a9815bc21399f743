#include "LibPolicy/retry_budget.h"

#include <algorithm>

#include "LibCore/assertions.h"

namespace crocus {

namespace {

std::int64_t SecondOf(TimePoint now) {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
      .count();
}

}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options) : options(options) {
  VERIFY(options.window_seconds > 0 &&
         options.window_seconds <= kMaximumWindowSeconds);
}

void RetryBudget::OnRequest(TimePoint now) {
  ++this->BucketAt(now).requests;
}

bool RetryBudget::TryTake(double share, TimePoint now) {
  Bucket& current = this->BucketAt(now);
  double requests = 0;
  double taken = 0;
  for (const Bucket& bucket : this->buckets) {
    if (bucket.second +
            static_cast<std::int64_t>(this->options.window_seconds) >
        current.second) {
      requests += bucket.requests;
      taken += bucket.taken;
    }
  }
  if (taken + 1 > std::max(this->options.minimum, share * requests)) {
    return false;
  }
  ++current.taken;
  return true;
}

RetryBudget::Bucket& RetryBudget::BucketAt(TimePoint now) {
  const std::int64_t second = SecondOf(now);
  Bucket& bucket =
      this->buckets[static_cast<std::uint64_t>(second) % kMaximumWindowSeconds];
  if (bucket.second != second) {
    bucket = {.second = second};
  }
  return bucket;
}

}  // namespace crocus
