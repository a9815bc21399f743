#include "LibServing/attempt_policy.h"

#include <algorithm>

namespace crocus {

namespace {

/// Refusals of one request after which it is still sent to another replica.
/// Each costs a round trip, while other replicas may have free capacity.
constexpr std::uint32_t kMaximumRefusals = 3;
/// Minimum time after which a refused caller should retry: before that, the
/// queue that caused the refusal still exists.
constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(250);

/// Deviations by which the wait may exceed its mean without missing the target:
/// 95 in 100 requests have to meet it, and other hosts send to the replica too.
constexpr int kWaitDeviations = 2;

}  // namespace

std::string_view ToString(NextStep step) {
  switch (step) {
    case NextStep::kRetry:
      return "retry";
    case NextStep::kResume:
      return "resume";
    case NextStep::kRefuse:
      return "refuse";
    case NextStep::kFail:
      return "fail";
    case NextStep::kBreak:
      return "break";
  }
  return "fail";
}

NextStep NextStepAfter(const AttemptHistory& history, Verdict verdict) {
  if (verdict == Verdict::kNotRun) {
    if (history.refusals <= kMaximumRefusals) {
      return history.has_response_begun ? NextStep::kResume : NextStep::kRetry;
    }
    if (history.has_response_begun) {
      return NextStep::kBreak;
    }
    // An earlier attempt may have run, although this one did not.
    return history.runs == 0 ? NextStep::kRefuse : NextStep::kFail;
  }
  if (history.is_repeatable && history.runs < history.maximum_attempts) {
    return history.has_response_begun ? NextStep::kResume : NextStep::kRetry;
  }
  return history.has_response_begun ? NextStep::kBreak : NextStep::kFail;
}

AdmissionDecision Admit(const PlacementChoice& choice,
                        Duration latency_target) {
  // An endpoint that misses the target without any queue still serves a queue
  // as long as the target.
  const Duration expected =
      choice.expected_wait + kWaitDeviations * choice.wait_deviation +
      (choice.response_time < latency_target ? choice.response_time
                                             : Duration::zero());
  if (latency_target == Duration::zero() ||
      choice.expected_wait == Duration::zero() || expected <= latency_target) {
    return {};
  }
  return {
      .is_admitted = false,
      .retry_after = std::max(kMinimumRetryAfter, expected - latency_target)};
}

}  // namespace crocus
