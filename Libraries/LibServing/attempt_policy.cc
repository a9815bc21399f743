#include "LibServing/attempt_policy.h"

#include <algorithm>

namespace crocus {

namespace {

/// Replicas that may turn one request away before it is given up. Each costs a
/// round trip, while others may have room.
constexpr std::uint32_t kMaxRefusals = 3;
/// Earliest time to come back: below it, the queue that caused the refusal is
/// still there.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(250);

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
    if (history.refusals <= kMaxRefusals) {
      return history.has_response_begun ? NextStep::kResume : NextStep::kRetry;
    }
    if (history.has_response_begun) {
      return NextStep::kBreak;
    }
    // An earlier attempt may have run although this one did not.
    return history.runs == 0 ? NextStep::kRefuse : NextStep::kFail;
  }
  if (history.is_repeatable && history.runs < history.max_attempts) {
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
          .retry_after =
              std::max(kMinRetryAfter, choice.expected_wait - latency_target)};
}

}  // namespace crocus
