#include "LibServing/replica_speed.h"

#include <algorithm>
#include <cmath>

namespace crocus {

namespace {

/// Speeds outside are errors of measurement, such as events that waited in a
/// buffer.
constexpr double kMinimumSpeed = 0.1;
constexpr double kMaximumSpeed = 2;
/// Weight of the newest event in the usual time between events.
constexpr double kUsualSmoothing = 0.002;
/// Variance of the running requests up to which they say little.
constexpr double kRunningVariance = 0.1;
/// Least expected time between events.
constexpr double kMinimumSeconds = 1e-4;
/// Minimum weight of the newest observation of a replica.
constexpr double kSmoothing = 0.25;
/// Endpoints whose usual time is kept. Configurations have far fewer; the
/// bound holds if their names change again and again.
constexpr std::size_t kMaximumEndpoints = 4096;

}  // namespace

void ReplicaSpeed::OnEvents(const std::string& endpoint,
                            const std::string& replica,
                            std::uint32_t running,
                            double seconds_per_event,
                            TimePoint now) {
  if (seconds_per_event <= 0) {
    return;
  }
  if (this->usual_seconds.size() >= kMaximumEndpoints &&
      !this->usual_seconds.contains(endpoint)) {
    this->usual_seconds.clear();
  }
  const auto [usual, is_new] = this->usual_seconds.try_emplace(
      endpoint, MovingRegressionOptions{.smoothing = kUsualSmoothing,
                                        .prior_variance = kRunningVariance});
  const double expected =
      is_new ? seconds_per_event
             : std::max(usual->second.Predict(running), kMinimumSeconds);
  // Of a long pause, only a part counts: it may have other causes.
  usual->second.Add(running,
                    std::min(seconds_per_event, expected / kMinimumSpeed));
  this->Observe(replica, expected / seconds_per_event, now);
}

void ReplicaSpeed::Observe(const std::string& replica,
                           double speed,
                           TimePoint now) {
  Observation& observation = this->replicas[replica];
  const double weight =
      std::max(kSmoothing, 1 - std::exp(-ToSeconds(now - observation.time) /
                                        ToSeconds(this->options.memory)));
  observation.speed +=
      weight *
      (std::clamp(speed, kMinimumSpeed, kMaximumSpeed) - observation.speed);
  observation.time = now;
}

double ReplicaSpeed::Of(const std::string& replica, TimePoint now) const {
  const auto found = this->replicas.find(replica);
  if (found == this->replicas.end()) {
    return 1;
  }
  return 1 + (found->second.speed - 1) *
                 std::exp(-ToSeconds(now - found->second.time) /
                          ToSeconds(this->options.memory));
}

void ReplicaSpeed::Forget(const std::string& replica) {
  this->replicas.erase(replica);
}

void ReplicaSpeed::Expire(TimePoint now) {
  std::erase_if(this->replicas, [this, now](const auto& entry) {
    return now - entry.second.time > this->options.lifetime;
  });
}

}  // namespace crocus
