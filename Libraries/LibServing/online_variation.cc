#include "LibServing/online_variation.h"

#include <algorithm>
#include <cmath>

namespace crocus {

namespace {

/// Minimum time between two samples, which bounds their number.
constexpr Duration kMinimumInterval = std::chrono::milliseconds(90);
/// Time after which an endpoint without samples is dropped.
constexpr Duration kLifetime = std::chrono::seconds(10);

}  // namespace

void OnlineVariation::Sample(const std::string& name,
                             const std::map<std::string, std::uint32_t>& online,
                             TimePoint now) {
  Endpoint& endpoint = this->endpoints[name];
  auto& samples = endpoint.samples;
  if (!samples.empty() && now - samples.back().time < kMinimumInterval) {
    return;
  }
  const Duration since_last =
      samples.empty() ? Duration::zero() : now - samples.back().time;
  while (samples.size() > 1 && now - samples[1].time >= this->options.horizon) {
    samples.pop_front();
  }
  if (!samples.empty()) {
    double sum = 0;
    int count = 0;
    for (const auto& [replica, requests] : online) {
      const auto before = samples.front().online.find(replica);
      if (before != samples.front().online.end()) {
        const double rise =
            std::max(0.0, static_cast<double>(requests) - before->second);
        sum += rise * rise;
        ++count;
      }
    }
    if (count > 0) {
      const double weight = 1 - std::exp(-ToSeconds(since_last) /
                                         ToSeconds(this->options.memory));
      endpoint.mean_square += weight * (sum / count - endpoint.mean_square);
    }
  }
  samples.push_back({.time = now, .online = online});
}

std::uint32_t OnlineVariation::Reserve(const std::string& name) const {
  const auto found = this->endpoints.find(name);
  return found == this->endpoints.end()
             ? 0
             : static_cast<std::uint32_t>(
                   std::lround(this->options.slots_per_rise *
                               std::sqrt(found->second.mean_square)));
}

void OnlineVariation::Expire(TimePoint now) {
  std::erase_if(this->endpoints, [now](const auto& entry) {
    return now - entry.second.samples.back().time > kLifetime;
  });
}

}  // namespace crocus
