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
  if (latency_target == Duration::zero() ||
      choice.expected_wait <= latency_target) {
    return {};
  }
  return {.is_admitted = false,
          .retry_after = RetryAfterWait(choice.expected_wait, latency_target)};
}

Duration RetryAfterWait(Duration expected_wait, Duration limit) {
  return std::max(kMinimumRetryAfter, expected_wait - limit);
}

}  // namespace crocus
