#include "LibPolicy/report_rate_limiter.h"

#include <algorithm>

namespace crocus {

TimePoint ReportRateLimiter::NextReport() const {
  return this->is_changed ? this->earliest : this->latest;
}

void ReportRateLimiter::MarkUnchanged(TimePoint now) {
  this->is_changed = false;
  this->earliest = now + this->options.delay;
}

void ReportRateLimiter::MarkSent(std::size_t bytes, TimePoint now) {
  const Duration cost =
      FromSeconds(static_cast<double>(bytes) /
                  static_cast<double>(this->options.bytes_per_second));
  this->is_changed = false;
  this->earliest = now + std::max(this->options.delay, cost);
  this->latest = std::max(this->earliest, now + this->options.interval);
}

}  // namespace crocus
