#include "LibPolicy/command_fence.h"

namespace crocus {

std::string ToString(CommandDecision decision) {
  switch (decision) {
    case CommandDecision::kAccepted:
      return "";
    case CommandDecision::kUnknownReplica:
      return "unknown_replica";
    case CommandDecision::kNoFloor:
      return "no_order_floor";
    case CommandDecision::kStale:
      return "stale_order";
  }
  return "stale_order";
}

CommandFence::CommandFence(const std::vector<std::string>& replicas) {
  for (const auto& replica : replicas) {
    this->replicas[replica] = {};
  }
}

bool CommandFence::SetFloor(const std::string& replica, std::uint64_t floor) {
  const auto found = this->replicas.find(replica);
  if (found == this->replicas.end() || found->second.has_floor) {
    return false;
  }
  found->second = {.has_floor = true, .highest = floor};
  return true;
}

CommandDecision CommandFence::Accept(const std::string& replica,
                                     std::uint64_t fencing) {
  const auto found = this->replicas.find(replica);
  if (found == this->replicas.end()) {
    return CommandDecision::kUnknownReplica;
  }
  if (!found->second.has_floor) {
    return CommandDecision::kNoFloor;
  }
  if (fencing <= found->second.highest) {
    return CommandDecision::kStale;
  }
  found->second.highest = fencing;
  return CommandDecision::kAccepted;
}

std::uint64_t CommandFence::Highest(const std::string& replica) const {
  const auto found = this->replicas.find(replica);
  return found == this->replicas.end() ? 0 : found->second.highest;
}

}  // namespace crocus
