#include "LibSimulation/routing_policy.h"

#include <algorithm>

namespace crocus {

namespace {

/// Returns the positions of the replicas in the entry's region, or of all
/// replicas if that region has none.
std::vector<std::size_t> LocalPositions(
    const RoutingRequest& request,
    const std::vector<ReplicaView>& replicas) {
  std::vector<std::size_t> positions;
  std::vector<std::size_t> all;
  for (std::size_t position = 0; position < replicas.size(); ++position) {
    all.push_back(position);
    if (replicas[position].region == request.region) {
      positions.push_back(position);
    }
  }
  return positions.empty() ? all : positions;
}

}  // namespace

std::optional<std::size_t> RoundRobinRouting::Choose(
    const RoutingRequest& request,
    const std::vector<ReplicaView>& replicas,
    TimePoint) {
  const auto positions = LocalPositions(request, replicas);
  if (positions.empty()) {
    return std::nullopt;
  }
  return positions[this->next++ % positions.size()];
}

std::optional<std::size_t> LeastOutstandingRouting::Choose(
    const RoutingRequest& request,
    const std::vector<ReplicaView>& replicas,
    TimePoint) {
  const auto positions = LocalPositions(request, replicas);
  const auto best = std::min_element(
      positions.begin(), positions.end(),
      [&replicas](std::size_t left, std::size_t right) {
        return replicas[left].outstanding < replicas[right].outstanding;
      });
  return best == positions.end() ? std::nullopt : std::optional(*best);
}

}  // namespace crocus
