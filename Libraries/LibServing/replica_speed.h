#ifndef LIBSERVING_REPLICA_SPEED_H_
#define LIBSERVING_REPLICA_SPEED_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "LibCore/time.h"
#include "LibServing/moving_regression.h"

namespace crocus {

struct ReplicaSpeedOptions {
  /// Time constant with which a speed returns to 1 without observations. Other
  /// work on a replica's machine slows it for about 0.6 s.
  Duration memory = std::chrono::milliseconds(500);
  /// Age after which it is dropped.
  Duration lifetime = std::chrono::seconds(5);
};

/// What each replica does per second relative to the others of its endpoint: 1
/// is as usual, and a replica at half speed has 0.5. Learned from the time
/// between events and from the replicas' own statements. It answers replicas
/// that other work on their machine slows for a while.
///
/// Each host uses its own observations. In the simulated load, those of peers
/// made placement worse: they are as old as a good part of a slowdown, and all
/// hosts left a replica together. Not thread-safe.
class ReplicaSpeed {
 public:
  explicit ReplicaSpeed(ReplicaSpeedOptions options = {}) : options(options) {}

  /// This host has received an event that long after the one before, while so
  /// many requests ran at the replica. With more of them, each step is slower
  /// everywhere, so the speed compares replicas with equally many.
  void OnEvents(const std::string& endpoint,
                const std::string& replica,
                std::uint32_t running,
                double seconds_per_event,
                TimePoint now);
  /// An observed speed.
  void Observe(const std::string& replica, double speed, TimePoint now);

  /// Current speed; 1 without a recent observation.
  double Of(const std::string& replica, TimePoint now) const;

  /// The replica has restarted or is gone.
  void Forget(const std::string& replica);
  /// Drops old observations. Must be called regularly.
  void Expire(TimePoint now);

  std::size_t size() const { return this->replicas.size(); }

 private:
  struct Observation {
    double speed = 1;
    TimePoint time{};
  };

  const ReplicaSpeedOptions options;
  std::map<std::string, Observation> replicas;
  /// Usual seconds per event of each endpoint by the requests that run.
  std::map<std::string, MovingRegression> usual_seconds;
};

}  // namespace crocus

#endif  // LIBSERVING_REPLICA_SPEED_H_
