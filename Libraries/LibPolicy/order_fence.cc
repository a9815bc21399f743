#include "LibPolicy/order_fence.h"

namespace crocus {

std::string ToString(OrderDecision decision) {
  switch (decision) {
    case OrderDecision::kAccepted:
      return "";
    case OrderDecision::kUnknownReplica:
      return "unknown_replica";
    case OrderDecision::kNoFloor:
      return "no_order_floor";
    case OrderDecision::kStale:
      return "stale_order";
  }
  return "stale_order";
}

OrderFence::OrderFence(const std::vector<std::string>& replicas) {
  for (const auto& replica : replicas) {
    this->replicas[replica] = {};
  }
}

bool OrderFence::SetFloor(const std::string& replica, std::uint64_t floor) {
  const auto found = this->replicas.find(replica);
  if (found == this->replicas.end() || found->second.has_floor) {
    return false;
  }
  found->second = {.has_floor = true, .highest = floor};
  return true;
}

OrderDecision OrderFence::Accept(const std::string& replica,
                                 std::uint64_t fencing) {
  const auto found = this->replicas.find(replica);
  if (found == this->replicas.end()) {
    return OrderDecision::kUnknownReplica;
  }
  if (!found->second.has_floor) {
    return OrderDecision::kNoFloor;
  }
  if (fencing <= found->second.highest) {
    return OrderDecision::kStale;
  }
  found->second.highest = fencing;
  return OrderDecision::kAccepted;
}

std::uint64_t OrderFence::Highest(const std::string& replica) const {
  const auto found = this->replicas.find(replica);
  return found == this->replicas.end() ? 0 : found->second.highest;
}

}  // namespace crocus
