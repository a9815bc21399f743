#include "LibPolicy/hedge_policy.h"

#include <algorithm>

namespace crocus {

namespace {

constexpr std::size_t kTimesBeforeFirstDelay = 20;

/// The delay is computed again after this many new times.
constexpr std::size_t kTimesPerUpdate = 16;

Duration QuantileOf(std::vector<Duration>& times, double quantile) {
  const auto position = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(times.size() - 1));
  const auto target = times.begin() + position;
  std::nth_element(times.begin(), target, times.end());
  return *target;
}

}  // namespace

void HedgePolicy::OnFirstToken(Duration time) {
  if (this->times.size() < this->options.recent_times) {
    this->times.push_back(time);
  } else {
    this->times[this->next % this->options.recent_times] = time;
  }
  ++this->next;
  if (this->times.size() >= kTimesBeforeFirstDelay &&
      this->next % kTimesPerUpdate == 0) {
    this->UpdateDelay();
  }
}

std::optional<Duration> HedgePolicy::Delay(bool is_repeatable) const {
  if (!is_repeatable) {
    return std::nullopt;
  }
  return this->delay.value_or(this->options.initial_delay);
}

void HedgePolicy::UpdateDelay() {
  std::vector<Duration> sorted = this->times;
  const double median = ToSeconds(QuantileOf(sorted, 0.5));
  const double late = ToSeconds(QuantileOf(sorted, this->options.quantile));
  const double bounded =
      std::clamp(late, median * this->options.minimum_medians,
                 median * this->options.maximum_medians);
  this->delay = std::max(FromSeconds(bounded), this->options.minimum_delay);
}

}  // namespace crocus
