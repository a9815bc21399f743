#ifndef GATEWAY_ONLINE_ADMISSION_H_
#define GATEWAY_ONLINE_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Gateway/forwarding_context.h"
#include "LibServing/fair_admission.h"
#include "LibServing/placement.h"
#include "LibServing/retry_schedule.h"
#include "LibServing/routing_config.h"

namespace crocus {

/// Whether a decision changes the accounts that it is based on.
enum class DecisionEffect {
  /// A request goes through it.
  kCounted,
  /// It only shows what would be decided.
  kPreviewed,
};

/// An online request for which a replica was chosen.
struct OnlineCandidate {
  const RoutingConfig& config;
  const Route& route;
  std::string endpoint;
  /// Empty if the request has no workspace.
  std::string workspace;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  WorkEstimate cost;
  const PlacementChoice& choice;
  /// What is left of the caller's timeout.
  Duration time_left{};
  /// False for a request that comes back from a replica: it was judged by its
  /// workspace's share before.
  bool is_first_choice = true;
};

/// Why a request is refused, and when its caller should retry.
struct OnlineRefusal {
  std::string reason;
  Duration retry_after{};
  /// Set if the workspace is above its share.
  std::optional<FairDecision> share;
  /// Set under PlacementPolicy::kWork.
  std::optional<RetryTime> retry_time;
};

/// Decides whether the request waits at the replica chosen for it or is refused
/// at once, by the share of its workspace and by the expected wait. None if it
/// is admitted.
std::optional<OnlineRefusal> DecideOnAdmission(const OnlineCandidate& candidate,
                                               const ForwardingContext& context,
                                               DecisionEffect effect,
                                               TimePoint now);

}  // namespace crocus

#endif  // GATEWAY_ONLINE_ADMISSION_H_
