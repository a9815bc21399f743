#include "Entry/request_run.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "LibCore/random.h"
#include "LibEvents/event_log.h"

namespace crocus {

namespace {

/// Delay before a request that no replica can accept is sent again.
constexpr std::chrono::milliseconds kRetryDelay{100};

/// Number of tokens over which the mean time between tokens is measured.
constexpr std::uint32_t kTokensPerMeasurement = 16;
/// Minimum for the last measurement, at the end of an answer.
constexpr std::uint32_t kMinimumTokensPerMeasurement = 4;

constexpr std::chrono::milliseconds kNoEndpointRetryAfter{1000};

/// Returns true for refusals because the replica is draining, unknown to its
/// daemon or unreachable. Nothing was executed, so another attempt adds no load
/// to the system and is not charged to the retry budget.
bool IsExemptFromRetryBudget(const messages::AttemptDone& done) {
  return done.verdict == Verdict::kNotRun &&
         (done.reason == "endpoint_leaving" ||
          done.reason == "unknown_replica" ||
          done.reason == "endpoint_unreachable");
}

/// A cancelled attempt may have run in part, so it counts as kMayHaveRun.
Verdict EffectiveVerdict(const messages::AttemptDone& done) {
  return done.verdict == Verdict::kRan && done.reason == "cancelled"
             ? Verdict::kMayHaveRun
             : done.verdict;
}

int HttpStatusOf(const std::string& reason, Verdict verdict) {
  if (reason == "patience_expired") {
    return 504;
  }
  if (reason == "rejected_by_endpoint") {
    return 422;
  }
  return verdict == Verdict::kNotRun ? 503 : 502;
}

}  // namespace

RequestRun::RequestRun(RunServices& services,
                       OnlineRequest request,
                       TimePoint received,
                       TimePoint deadline)
    : services(services),
      accepted_request(std::move(request)),
      id_prefix(MakeIdentifier("a")),
      received_at(received),
      expires_at(deadline),
      timer(services.context) {}

void RequestRun::Start() {
  this->Handle([this](Actions& actions) {
    this->has_started = true;
    const TimePoint now = MonotonicNow();
    if (auto refusal = this->Dispatch(now, actions)) {
      this->FinishNow({.refusal = std::move(refusal)}, actions);
      return;
    }
    if (const auto delay = this->services.planner.HedgeDelay(
            this->accepted_request.model,
            this->accepted_request.is_repeatable)) {
      const bool is_probe = this->attempts.back().plan.is_probe;
      this->hedge_at = is_probe ? now : now + *delay;
    }
    actions.must_arm_timer = true;
  });
}

void RequestRun::Finish(RunOutcome outcome) {
  this->Handle([this, &outcome](Actions& actions) {
    this->FinishNow(std::move(outcome), actions);
  });
}

void RequestRun::AddCaller() {
  std::lock_guard lock(this->mutex);
  ++this->callers;
}

void RequestRun::RemoveCaller() {
  this->Handle([this](Actions& actions) {
    --this->callers;
    if (this->callers > 0 || this->result ||
        this->accepted_request.needs_intent()) {
      return;
    }
    this->RevokeActiveAttempts(actions);
    this->FinishNow(
        {.refusal = Refusal{.status = 499,
                            .code = "caller_left",
                            .message = "the caller closed the connection",
                            .verdict = this->OverallVerdict()}},
        actions);
  });
}

bool RequestRun::WaitForOutcome(TimePoint deadline) {
  std::unique_lock lock(this->mutex);
  return this->wake.wait_until(lock, deadline,
                               [this] { return this->result.has_value(); });
}

std::optional<std::string> RequestRun::ReadText(std::size_t& position,
                                                TimePoint deadline) {
  std::unique_lock lock(this->mutex);
  this->wake.wait_until(lock, deadline, [this, &position] {
    return this->result || position < this->AnswerText().size();
  });
  const std::string& text = this->AnswerText();
  if (position >= text.size()) {
    return std::nullopt;
  }
  std::string part = text.substr(position);
  position = text.size();
  this->has_returned_text = true;
  return part;
}

std::optional<RunOutcome> RequestRun::outcome() const {
  std::lock_guard lock(this->mutex);
  return this->result;
}

std::vector<std::pair<std::string, std::string>> RequestRun::HeldAttempts()
    const {
  std::lock_guard lock(this->mutex);
  std::vector<std::pair<std::string, std::string>> held;
  for (const auto& attempt : this->attempts) {
    held.emplace_back(attempt.plan.candidate.daemon, attempt.id);
  }
  return held;
}

bool RequestRun::is_started() const {
  std::lock_guard lock(this->mutex);
  return this->has_started;
}

std::optional<TimePoint> RequestRun::first_dispatch() const {
  std::lock_guard lock(this->mutex);
  return this->attempts.empty() ? std::nullopt
                                : std::optional(this->attempts.front().started);
}

std::optional<TimePoint> RequestRun::first_token() const {
  std::lock_guard lock(this->mutex);
  return this->winner ? this->attempts[*this->winner].first_token
                      : std::nullopt;
}

template <typename Handler>
void RequestRun::Handle(Handler handler) {
  Actions actions;
  {
    std::lock_guard lock(this->mutex);
    handler(actions);
  }
  this->wake.notify_all();
  this->Perform(actions);
}

void RequestRun::Perform(const Actions& actions) {
  for (const auto& [daemon, id] : actions.revokes) {
    this->services.daemon_connections.Revoke(
        daemon, id,
        [self = this->shared_from_this(), id = id](Verdict verdict) {
          self->OnRevokeReply(id, verdict);
        });
  }
  if (actions.must_arm_timer) {
    this->ArmTimer();
  }
  if (actions.is_finished) {
    boost::asio::post(
        this->services.context,
        [self = this->shared_from_this()] { self->timer.cancel(); });
    this->services.on_finished(this->shared_from_this());
  }
}

void RequestRun::OnChunk(std::size_t index, const messages::TokenChunk& chunk) {
  this->Handle([this, index, &chunk](Actions& actions) {
    const TimePoint now = MonotonicNow();
    Attempt& attempt = this->attempts[index];
    if (!attempt.stream.AddChunk(chunk)) {
      return;
    }
    if (!attempt.first_token) {
      attempt.first_token = now;
      attempt.measurement_start = now;
      attempt.measurement_start_tokens = attempt.stream.token_count();
      this->services.planner.OnFirstToken(this->accepted_request.model,
                                          attempt.plan, now - attempt.started,
                                          now);
    }
    this->MeasureTokenTime(attempt, kTokensPerMeasurement, now);
    if (!this->winner && !this->result && !attempt.is_revoked) {
      this->SelectWinner(index, actions);
    }
  });
}

void RequestRun::OnDone(std::size_t index, const messages::AttemptDone& done) {
  this->Handle([this, index, &done](Actions& actions) {
    const TimePoint now = MonotonicNow();
    Attempt& attempt = this->attempts[index];
    attempt.stream.SetDone(done);
    attempt.verdict = EffectiveVerdict(done);
    if (done.complete) {
      this->MeasureTokenTime(attempt, kMinimumTokensPerMeasurement, now);
    }
    this->ReportOutcome(attempt, done, now);
    if (this->result || (this->winner && *this->winner != index)) {
      return;
    }
    if (attempt.stream.IsComplete()) {
      this->winner = index;
      this->RevokeActiveAttempts(actions);
      this->FinishNow({.text = attempt.stream.text(),
                       .token_count = attempt.stream.token_count()},
                      actions);
    } else if (this->revoke_deadline) {
      this->Expire(now, actions);
    } else if (this->HasActiveAttempt()) {
      // Another attempt may still provide the answer.
      return;
    } else if (this->MayRetry(done, now)) {
      LogEvent(Event::kRequestRetried, {{"request", this->accepted_request.id},
                                        {"attempt", attempt.id},
                                        {"reason", done.reason}});
      this->Retry(now, actions);
    } else {
      this->FinishNow({.refusal = this->MakeRefusal(done)}, actions);
    }
  });
}

void RequestRun::OnRevokeReply(const std::string& id, Verdict verdict) {
  this->Handle([this, &id, verdict](Actions& actions) {
    for (auto& attempt : this->attempts) {
      if (attempt.id == id && !attempt.verdict && verdict == Verdict::kNotRun) {
        attempt.verdict = verdict;
      }
    }
    if (this->revoke_deadline && !this->result) {
      this->Expire(MonotonicNow(), actions);
    }
  });
}

void RequestRun::OnTimer() {
  this->Handle([this](Actions& actions) {
    const TimePoint now = MonotonicNow();
    if (this->result) {
      return;
    }
    if (now >= this->expires_at) {
      this->Expire(now, actions);
      return;
    }
    if (this->retry_at && now >= *this->retry_at) {
      this->retry_at = std::nullopt;
      // Replicas that failed before may be available again.
      this->excluded.clear();
      this->Retry(now, actions);
    }
    if (this->hedge_at && now >= *this->hedge_at) {
      this->hedge_at = std::nullopt;
      this->SendHedge(now, actions);
    }
    actions.must_arm_timer = true;
  });
}

void RequestRun::ArmTimer() {
  boost::asio::post(this->services.context, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    std::optional<TimePoint> time;
    {
      // Computed here and not before the post, because the posts of two threads
      // may run in any order.
      std::lock_guard lock(self->mutex);
      time = self->NextTimerTime();
    }
    if (!time) {
      return;
    }
    self->timer.expires_at(*time);
    self->timer.async_wait([weak](boost::system::error_code error) {
      const auto waiting = weak.lock();
      if (!error && waiting != nullptr) {
        waiting->OnTimer();
      }
    });
  });
}

std::optional<TimePoint> RequestRun::NextTimerTime() const {
  if (this->result) {
    return std::nullopt;
  }
  if (this->revoke_deadline) {
    return this->revoke_deadline;
  }
  TimePoint next = this->expires_at;
  for (const auto& time : {this->hedge_at, this->retry_at}) {
    next = time ? std::min(next, *time) : next;
  }
  return next;
}

std::optional<Refusal> RequestRun::Dispatch(TimePoint now, Actions& actions) {
  while (this->attempts.size() < this->services.settings.attempts) {
    const bool may_probe =
        this->attempts.empty() && this->accepted_request.is_repeatable;
    auto plan = this->services.planner.Plan(this->accepted_request,
                                            this->excluded, may_probe, now);
    if (!plan) {
      break;
    }
    if (this->Send(std::move(*plan), now)) {
      actions.must_arm_timer = true;
      return std::nullopt;
    }
  }
  return Refusal{
      .status = 503,
      .code = "no_endpoint",
      .message = "no endpoint can currently accept requests for model \"" +
                 this->accepted_request.model + "\"",
      .verdict = this->OverallVerdict(),
      .retry_after = kNoEndpointRetryAfter};
}

bool RequestRun::Send(RoutePlan plan, TimePoint now) {
  const std::size_t index = this->attempts.size();
  this->excluded.insert(plan.candidate.replica);
  Attempt& attempt = this->attempts.emplace_back();
  attempt.id = this->id_prefix + "." + std::to_string(index);
  attempt.plan = std::move(plan);
  attempt.started = now;
  const auto remaining =
      std::chrono::ceil<std::chrono::milliseconds>(this->expires_at - now);
  const auto self = this->shared_from_this();
  const auto sent = this->services.daemon_connections.Execute(
      attempt.plan.candidate.daemon,
      {.attempt = attempt.id,
       .request = this->accepted_request.id,
       .workspace = this->accepted_request.workspace,
       .request_class = this->accepted_request.request_class,
       .kind = messages::WorkKind::kOnline,
       .endpoint = attempt.plan.endpoint,
       .replica = attempt.plan.replica,
       .model = this->accepted_request.model,
       .prompt = this->accepted_request.prompt,
       .max_tokens = this->accepted_request.max_tokens,
       .repeatable = this->accepted_request.is_repeatable,
       .patience_ms = static_cast<std::uint32_t>(remaining.count())},
      {.on_chunk = [self,
                    index](const auto& chunk) { self->OnChunk(index, chunk); },
       .on_done = [self,
                   index](const auto& done) { self->OnDone(index, done); }});
  if (!sent) {
    // Nothing was sent, so the attempt does not run.
    attempt.verdict = Verdict::kNotRun;
    this->services.planner.OnFailure(attempt.plan, now);
  }
  return sent.has_value();
}

void RequestRun::SendHedge(TimePoint now, Actions& actions) {
  if (!this->accepted_request.is_repeatable || this->winner ||
      !this->HasActiveAttempt()) {
    return;
  }
  const Attempt& hedged_attempt = this->attempts.back();
  this->services.planner.OnWaiting(hedged_attempt.plan,
                                   now - hedged_attempt.started, now);
  // The hedge of a probe was charged to the budget when the probe was chosen.
  const bool is_already_charged = hedged_attempt.plan.is_probe;
  if (this->attempts.size() >= this->services.settings.attempts ||
      !(is_already_charged ||
        this->services.planner.TryHedge(this->accepted_request.model, now))) {
    return;
  }
  if (!this->Dispatch(now, actions)) {
    LogEvent(Event::kRequestHedged, {{"request", this->accepted_request.id},
                                     {"attempt", this->attempts.back().id}});
  }
}

void RequestRun::Retry(TimePoint now, Actions& actions) {
  this->winner = std::nullopt;
  if (this->Dispatch(now, actions)) {
    if (this->attempts.size() >= this->services.settings.attempts) {
      this->FinishNow(
          {.refusal = this->MakeRefusal({.verdict = this->OverallVerdict(),
                                         .reason = "attempts_used_up"})},
          actions);
      return;
    }
    this->retry_at = now + kRetryDelay;
    actions.must_arm_timer = true;
  }
}

void RequestRun::SelectWinner(std::size_t index, Actions& actions) {
  this->winner = index;
  this->hedge_at = std::nullopt;
  for (std::size_t i = 0; i < this->attempts.size(); ++i) {
    Attempt& other = this->attempts[i];
    if (i != index && !other.verdict && !other.is_revoked) {
      other.is_revoked = true;
      actions.revokes.emplace_back(other.plan.candidate.daemon, other.id);
    }
  }
}

void RequestRun::MeasureTokenTime(Attempt& attempt,
                                  std::uint32_t minimum,
                                  TimePoint now) {
  const std::uint32_t tokens =
      attempt.stream.token_count() - attempt.measurement_start_tokens;
  if (tokens >= minimum) {
    this->services.planner.OnToken(
        attempt.plan, (now - attempt.measurement_start) / tokens, now);
    attempt.measurement_start = now;
    attempt.measurement_start_tokens = attempt.stream.token_count();
  }
}

void RequestRun::ReportOutcome(const Attempt& attempt,
                               const messages::AttemptDone& done,
                               TimePoint now) {
  if (attempt.is_revoked) {
    return;
  }
  auto& planner = this->services.planner;
  if (done.complete) {
    planner.OnFinished(attempt.plan, now - attempt.started, now);
  } else if (done.verdict == Verdict::kNotRun) {
    planner.OnRefused(attempt.plan,
                      std::chrono::milliseconds(done.retry_after_ms), now);
  } else if (done.verdict == Verdict::kMayHaveRun) {
    planner.OnFailure(attempt.plan, now);
  }
}

bool RequestRun::MayRetry(const messages::AttemptDone& done, TimePoint now) {
  if (this->has_returned_text || now >= this->expires_at ||
      this->attempts.size() >= this->services.settings.attempts) {
    return false;
  }
  const Verdict verdict = EffectiveVerdict(done);
  const bool is_retry_safe =
      this->accepted_request.is_repeatable
          ? verdict != Verdict::kRan && done.reason != "patience_expired"
          : this->OverallVerdict() == Verdict::kNotRun;
  return is_retry_safe && (IsExemptFromRetryBudget(done) ||
                           this->services.planner.TryRetry(now));
}

bool RequestRun::HasActiveAttempt() const {
  return std::any_of(this->attempts.begin(), this->attempts.end(),
                     [](const Attempt& attempt) {
                       return !attempt.verdict && !attempt.is_revoked;
                     });
}

void RequestRun::RevokeActiveAttempts(Actions& actions) {
  for (auto& attempt : this->attempts) {
    if (!attempt.verdict && !attempt.is_revoked) {
      attempt.is_revoked = true;
      actions.revokes.emplace_back(attempt.plan.candidate.daemon, attempt.id);
    }
  }
}

void RequestRun::Expire(TimePoint now, Actions& actions) {
  if (!this->revoke_deadline) {
    this->revoke_deadline = now + this->services.settings.revoke_wait;
    this->RevokeActiveAttempts(actions);
  }
  const bool has_all_verdicts =
      std::all_of(this->attempts.begin(), this->attempts.end(),
                  [](const Attempt& attempt) { return attempt.verdict; });
  if (has_all_verdicts || now >= *this->revoke_deadline) {
    this->FinishExpired(actions);
  } else {
    this->hedge_at = std::nullopt;
    this->retry_at = std::nullopt;
    actions.must_arm_timer = true;
  }
}

Verdict RequestRun::OverallVerdict() const {
  Verdict overall = Verdict::kNotRun;
  for (const auto& attempt : this->attempts) {
    overall = std::max(overall, attempt.verdict.value_or(Verdict::kMayHaveRun));
  }
  return overall;
}

Refusal RequestRun::MakeRefusal(const messages::AttemptDone& done) const {
  const Verdict verdict = this->OverallVerdict();
  const std::string reason = done.complete ? "answer_truncated" : done.reason;
  auto retry_after = std::chrono::milliseconds(done.retry_after_ms);
  if (verdict == Verdict::kNotRun && retry_after.count() == 0) {
    retry_after = kNoEndpointRetryAfter;
  }
  return {.status = HttpStatusOf(reason, verdict),
          .code = reason,
          .message = "the request was not completed",
          .verdict = verdict,
          .retry_after = retry_after};
}

void RequestRun::FinishExpired(Actions& actions) {
  this->FinishNow({.refusal = Refusal{.status = 504,
                                      .code = "patience_expired",
                                      .message = "the request did not complete "
                                                 "within the caller's timeout",
                                      .verdict = this->OverallVerdict()}},
                  actions);
}

void RequestRun::FinishNow(RunOutcome outcome, Actions& actions) {
  if (this->result) {
    return;
  }
  this->result = std::move(outcome);
  this->hedge_at = std::nullopt;
  this->retry_at = std::nullopt;
  actions.must_arm_timer = false;
  actions.is_finished = true;
}

const std::string& RequestRun::AnswerText() const {
  if (this->result && this->result->is_complete()) {
    return this->result->text;
  }
  static const std::string kNone;
  return this->winner ? this->attempts[*this->winner].stream.text() : kNone;
}

}  // namespace crocus
