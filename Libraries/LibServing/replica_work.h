#ifndef LIBSERVING_REPLICA_WORK_H_
#define LIBSERVING_REPLICA_WORK_H_

#include <cstddef>
#include <map>
#include <string>

namespace crocus {

/// Work that a host's requests at a replica still need.
struct WorkLeft {
  /// Expected seconds of slots on an ordinary replica. Batch runs do not count
  /// here, since they give way to online requests.
  double seconds = 0;
  /// Expected tokens in the replica's memory, batch runs included.
  double tokens = 0;

  bool operator==(const WorkLeft&) const = default;
};

/// The expected work left of this host's requests at each replica. Requests of
/// peers count with the mean cost: in the simulated load, reports of their work
/// left, 50 to 250 ms old, made no difference. Not thread-safe.
class ReplicaWork {
 public:
  void Add(const std::string& replica, const WorkLeft& work);
  /// `work` must have been added before.
  void Remove(const std::string& replica, const WorkLeft& work);

  WorkLeft Own(const std::string& replica) const;
  /// Mean tokens of recent requests, for those of peers.
  double mean_tokens() const { return this->mean_of_tokens; }
  /// Sum over all replicas.
  WorkLeft Sum() const;

  /// Number of replicas with work.
  std::size_t size() const { return this->work_left.size(); }

 private:
  std::map<std::string, WorkLeft> work_left;
  double mean_of_tokens = 0;
};

}  // namespace crocus

#endif  // LIBSERVING_REPLICA_WORK_H_
