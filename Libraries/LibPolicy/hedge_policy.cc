#include "LibPolicy/hedge_policy.h"

#include <algorithm>

namespace crocus {

namespace {

/// Number of observed times that are needed for the first delay.
constexpr std::size_t kSamplesBeforeFirstDelay = 20;

/// The delay is recomputed after this many newly observed times.
constexpr std::size_t kSamplesPerUpdate = 16;

Duration QuantileOf(std::vector<Duration>& times, double quantile) {
  const auto position = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(times.size() - 1));
  const auto target = times.begin() + position;
  std::nth_element(times.begin(), target, times.end());
  return *target;
}

}  // namespace

void HedgePolicy::OnFirstToken(Duration time) {
  if (this->times.size() < this->options.maximum_samples) {
    this->times.push_back(time);
  } else {
    this->times[this->next % this->options.maximum_samples] = time;
  }
  ++this->next;
  if (this->times.size() >= kSamplesBeforeFirstDelay &&
      this->next % kSamplesPerUpdate == 0) {
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
  std::vector<Duration> samples = this->times;
  const double median_seconds = ToSeconds(QuantileOf(samples, 0.5));
  const double quantile_seconds =
      ToSeconds(QuantileOf(samples, this->options.quantile));
  const double clamped_seconds = std::clamp(
      quantile_seconds, median_seconds * this->options.minimum_median_factor,
      median_seconds * this->options.maximum_median_factor);
  this->delay =
      std::max(FromSeconds(clamped_seconds), this->options.minimum_delay);
}

}  // namespace crocus
