#ifndef LIBSERVING_REPLICA_HEALTH_H_
#define LIBSERVING_REPLICA_HEALTH_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

struct ReplicaHealthOptions {
  /// Failures count for this long.
  Duration window = std::chrono::seconds(4);
  /// Fewer failures within the window, on all hosts, are taken for chance.
  std::uint32_t failures_before_suspicion = 3;
  /// An suspected replica has more than this multiple of the mean failures of
  /// the endpoint's other replicas; what fails everywhere is no replica's
  /// fault.
  double peer_factor = 3;
  /// Largest share of an endpoint's replicas that is suspected at once.
  double largest_suspected_share = 0.34;
  /// The time of a suspicion doubles each time that it is confirmed soon after.
  Duration first_time = std::chrono::seconds(4);
  Duration longest_time = std::chrono::seconds(16);
};

/// Finds replicas that fail part of their requests, by what callers get through
/// them on this host and, as a hint, on its peers: with many hosts each of them
/// sends too few requests to a replica to tell. The replicas' own health checks
/// are not asked, since they may say either. Not thread-safe.
class ReplicaHealth {
 public:
  explicit ReplicaHealth(ReplicaHealthOptions options = {})
      : options(options) {}

  void OnFailure(const std::string& replica, TimePoint now);
  /// Replaces what the peer said before.
  void OnPeerReport(const std::string& peer,
                    std::map<std::string, std::uint32_t> failures,
                    TimePoint now);

  /// Own failures within the window, for the peers.
  std::map<std::string, std::uint32_t> OwnFailures(TimePoint now);

  /// Suspects replicas of one endpoint. Returns those that were not before.
  std::vector<std::string> Evaluate(const std::vector<std::string>& replicas,
                                    TimePoint now);

  bool IsSuspected(const std::string& replica, TimePoint now) const;
  void Forget(const std::string& replica);

 private:
  struct Suspicion {
    TimePoint until{};
    Duration time{};
  };
  struct PeerReport {
    std::map<std::string, std::uint32_t> failures;
    TimePoint received{};
  };

  void DropOld(TimePoint now);
  std::uint32_t Total(const std::string& replica) const;

  const ReplicaHealthOptions options;
  std::map<std::string, std::deque<TimePoint>> own;
  std::map<std::string, PeerReport> peers;
  std::map<std::string, Suspicion> suspicions;
};

}  // namespace crocus

#endif  // LIBSERVING_REPLICA_HEALTH_H_
