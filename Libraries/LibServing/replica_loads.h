#ifndef LIBSERVING_REPLICA_LOADS_H_
#define LIBSERVING_REPLICA_LOADS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

enum class WorkClass { kOnline, kBatch };

/// Requests that were sent to a replica and have not ended.
struct OutstandingRequests {
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  std::uint32_t total() const { return this->online + this->batch; }

  bool operator==(const OutstandingRequests&) const = default;
};

struct ReplicaLoadsOptions {
  /// A peer's report counts for this long. Reports come several times a
  /// second, so a peer without one has gone or is cut off.
  Duration peer_report_lifetime = std::chrono::milliseconds(1500);
  /// First pause after a failed connection; it doubles with each further one.
  Duration shortest_backoff = std::chrono::milliseconds(400);
  Duration longest_backoff = std::chrono::milliseconds(4000);
  /// Failed requests in succession after which a replica is paused.
  std::uint32_t failures_before_backoff = 3;
};

/// What this host and its peers have running at each replica, and which
/// replicas fail. Not thread-safe.
class ReplicaLoads {
 public:
  explicit ReplicaLoads(ReplicaLoadsOptions options = {}) : options(options) {}

  void OnSent(const std::string& replica, WorkClass work);
  void OnEnded(const std::string& replica, WorkClass work);

  /// The connection could not be opened.
  void OnUnreachable(const std::string& replica, TimePoint now);
  void OnFailure(const std::string& replica, TimePoint now);
  void OnSuccess(const std::string& replica);

  /// The name under which peers know this host's reports.
  void set_own_name(const std::string& name) { this->own_name = name; }

  /// Replaces what the peer said before.
  void OnPeerReport(const std::string& peer,
                    std::map<std::string, OutstandingRequests> loads,
                    TimePoint now);

  /// Of this host and of its peers together.
  OutstandingRequests Total(const std::string& replica, TimePoint now) const;
  OutstandingRequests Own(const std::string& replica) const;
  /// This host's part of `excess` batch runs that have to end at the replica.
  /// The hosts take them in an order that all of them compute, so that together
  /// they end that many and not each of them one.
  std::uint32_t OwnShareOfExcess(std::uint32_t excess,
                                 const std::string& replica,
                                 TimePoint now) const;
  /// Own figures that are not zero.
  std::map<std::string, OutstandingRequests> OwnLoads() const;

  /// True while the replica is left alone after failures.
  bool IsInBackoff(const std::string& replica, TimePoint now) const;

  void ResetHealth(const std::string& replica);

 private:
  struct Health {
    std::uint32_t failures = 0;
    Duration backoff{};
    TimePoint backoff_until{};
  };
  struct PeerReport {
    std::map<std::string, OutstandingRequests> loads;
    TimePoint received{};
  };

  void StartBackoff(Health& health, TimePoint now) const;

  const ReplicaLoadsOptions options;
  std::map<std::string, OutstandingRequests> own_loads;
  std::map<std::string, Health> health;
  std::map<std::string, PeerReport> peer_reports;
  std::string own_name;
};

}  // namespace crocus

#endif  // LIBSERVING_REPLICA_LOADS_H_
