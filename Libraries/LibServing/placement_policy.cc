#include "LibServing/placement_policy.h"

#include <algorithm>

namespace crocus {

std::string_view ToString(PlacementPolicy policy) {
  return policy == PlacementPolicy::kWork ? "work" : "count";
}

std::optional<PlacementSetting> ParsePlacementSetting(std::string_view text) {
  if (text == "count") {
    return PlacementSetting::kCount;
  }
  if (text == "work") {
    return PlacementSetting::kWork;
  }
  if (text == "auto") {
    return PlacementSetting::kAuto;
  }
  return std::nullopt;
}

PlacementPolicy DecidePlacementPolicy(PlacementSetting setting,
                                      const RoutingConfig& config) {
  const bool uses_work =
      setting == PlacementSetting::kWork ||
      (setting == PlacementSetting::kAuto &&
       std::any_of(config.routes.begin(), config.routes.end(),
                   [](const Route& route) {
                     return route.kind == RequestKind::kStream &&
                            route.gap_target > Duration::zero() &&
                            route.gap_target <= route.latency_target;
                   }));
  return uses_work ? PlacementPolicy::kWork : PlacementPolicy::kCount;
}

}  // namespace crocus
