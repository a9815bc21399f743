#ifndef LIBSERVING_PLACEMENT_POLICY_H_
#define LIBSERVING_PLACEMENT_POLICY_H_

#include <optional>
#include <string_view>

#include "LibServing/routing_config.h"

namespace crocus {

/// By what placement judges how long a replica keeps a request waiting.
enum class PlacementPolicy {
  /// The number of its requests and one mean service time.
  kCount,
  /// The expected work of its requests and its speed.
  kWork,
};

std::string_view ToString(PlacementPolicy policy);

/// The setting of the operator; kAuto leaves the policy to the configuration.
enum class PlacementSetting { kCount, kWork, kAuto };

/// None if the text is no setting.
std::optional<PlacementSetting> ParsePlacementSetting(std::string_view text);

/// With kAuto, work counts while the configuration has a stream route whose
/// pauses must be as short as the wait for its first event: there, a replica
/// that is crowded with long requests makes all its streams late.
PlacementPolicy DecidePlacementPolicy(PlacementSetting setting,
                                      const RoutingConfig& config);

}  // namespace crocus

#endif  // LIBSERVING_PLACEMENT_POLICY_H_
