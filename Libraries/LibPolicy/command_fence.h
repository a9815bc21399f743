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

/// Decides which engine commands a daemon accepts. It starts without floors and
/// refuses every command until an entry has set them, because it has no record
/// of what the previous incarnation of the daemon accepted. Not thread-safe.
class CommandFence {
 public:
  explicit CommandFence(const std::vector<std::string>& replicas);

  /// Sets the highest fencing number that is stale. Returns false if the
  /// replica is unknown or has a floor already: only the first floor counts,
  /// because a later one was computed for the same registration and may lie
  /// above a command that is still in flight.
  bool SetFloor(const std::string& replica, std::uint64_t floor);

  /// Accepts a fencing number above the floor and above all numbers accepted
  /// before.
  CommandDecision Accept(const std::string& replica, std::uint64_t fencing);

  /// Returns the highest number that was accepted or is stale; 0 without a
  /// floor.
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
