#include "Gateway/online_admission.h"

#include <utility>

#include "LibServing/attempt_policy.h"

namespace crocus {

namespace {

OnlineRefusal MakeRefusal(std::string reason,
                          Duration queue_wait,
                          const OnlineCandidate& candidate,
                          const ForwardingContext& context,
                          DecisionEffect effect,
                          TimePoint now) {
  OnlineRefusal refusal{.reason = std::move(reason), .retry_after = queue_wait};
  if (context.placement.policy() != PlacementPolicy::kWork) {
    return refusal;
  }
  // A retry must also be answered before the caller gives up.
  const RefusedCall call{
      .endpoint = candidate.endpoint,
      .queue_wait = queue_wait,
      .time_left = candidate.time_left - FromSeconds(candidate.cost.seconds())};
  refusal.retry_time = effect == DecisionEffect::kCounted
                           ? context.retries.Promise(call, now)
                           : context.retries.Preview(call, now);
  refusal.retry_after = refusal.retry_time->retry_after;
  return refusal;
}

}  // namespace

std::optional<OnlineRefusal> DecideOnAdmission(const OnlineCandidate& candidate,
                                               const ForwardingContext& context,
                                               DecisionEffect effect,
                                               TimePoint now) {
  const Duration expected_wait = candidate.choice.expected_wait;
  const Duration latency_target = candidate.route.latency_target;
  if (candidate.is_first_choice && candidate.config.requires_keys()) {
    const FairRequest request{.endpoint = candidate.endpoint,
                              .workspace = candidate.workspace,
                              .priority = candidate.priority,
                              .work = candidate.cost.seconds(),
                              .expected_wait = expected_wait,
                              .latency_target = latency_target,
                              .fleet_factor = context.allotments.FleetFactor(
                                  candidate.workspace, now)};
    const FairDecision share =
        effect == DecisionEffect::kCounted
            ? context.fair_admission.Admit(request, now)
            : context.fair_admission.Preview(request, now);
    if (!share.is_admitted && !share.is_within_share) {
      auto refusal =
          MakeRefusal("workspace above its share",
                      RetryAfterWait(expected_wait, share.wait_limit),
                      candidate, context, effect, now);
      refusal.share = share;
      return refusal;
    }
  }
  if (const auto admission = Admit(candidate.choice, latency_target);
      !admission.is_admitted) {
    return MakeRefusal("queue too long", admission.retry_after, candidate,
                       context, effect, now);
  }
  return std::nullopt;
}

}  // namespace crocus
