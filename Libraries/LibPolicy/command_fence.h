#ifndef LIBPOLICY_COMMAND_FENCE_H_
#define LIBPOLICY_COMMAND_FENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocus {

enum class CommandDecision { kAccepted, kUnknownReplica, kNoFloor, kStale };

/// Returns the decision's reason code; empty for kAccepted.
std::string ToString(CommandDecision decision);

/// Decides which engine orders a daemon accepts. It starts without floors and
/// refuses every order until an entry has set them, since it can't know what
/// the previous incarnation accepted. Not thread-safe.
class CommandFence {
 public:
  explicit CommandFence(const std::vector<std::string>& replicas);

  /// Sets the highest number that is stale. Only the first floor of a replica
  /// counts: a later one was computed for the same registration and may lie
  /// above an order that is still on its way.
  bool SetFloor(const std::string& replica, std::uint64_t floor);

  /// Accepts a number above the floor and above all accepted before.
  CommandDecision Accept(const std::string& replica, std::uint64_t fencing);

  /// Highest number that was accepted or is stale; 0 without a floor.
  std::uint64_t Highest(const std::string& replica) const;

 private:
  struct Replica {
    bool has_floor = false;
    std::uint64_t highest = 0;
  };

  std::map<std::string, Replica> replicas;
};

}  // namespace crocus

#endif  // LIBPOLICY_COMMAND_FENCE_H_
