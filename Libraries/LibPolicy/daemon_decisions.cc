#include "LibPolicy/daemon_decisions.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <utility>

#include "LibCore/assertions.h"
#include "LibCore/hashing.h"

namespace crocus {

using messages::WorkKind;

namespace {

/// Maximum number of results in one offer, so that a frame stays far below its
/// size limit.
constexpr std::size_t kMaximumResultsPerOffer = 64;

/// Interval at which queued online work is checked for expired deadlines.
constexpr Duration kExpiryCheckInterval = std::chrono::milliseconds(20);

/// Size of a LoadChange without replicas (frame header and fixed fields), and
/// of each replica in it.
constexpr std::size_t kLoadChangeBytes = 14 + 4 + 8 + 1;
constexpr std::size_t kReplicaChangeBytes = 10;

std::uint16_t SaturateToUint16(std::size_t value) {
  return static_cast<std::uint16_t>(
      std::min<std::size_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

messages::AttemptDone Refusal(const std::string& attempt,
                              const std::string& reason,
                              Verdict verdict = Verdict::kNotRun) {
  return {.attempt = attempt, .verdict = verdict, .reason = reason};
}

void Send(ConnectionId connection,
          DaemonMessage message,
          DaemonActions& actions) {
  if (connection != 0) {
    actions.messages.push_back(
        {.connection = connection, .message = std::move(message)});
  }
}

/// Average number of bytes of text in one token.
constexpr std::size_t kBytesPerToken = 4;

std::uint32_t EstimateTokens(const std::string& prompt) {
  return static_cast<std::uint32_t>(prompt.size() / kBytesPerToken);
}

bool MayHold(const messages::Execute& execute) {
  return execute.kind == WorkKind::kBatch || !execute.repeatable;
}

messages::Execute WithReplica(messages::Execute execute,
                              const std::string& fallback) {
  if (execute.replica.empty()) {
    execute.replica = fallback;
  }
  return execute;
}

}  // namespace

DaemonDecisions::DaemonDecisions(DaemonDecisionsOptions initial_options)
    : options(std::move(initial_options)),
      attempts(this->options.attempts),
      reports(this->options.reports) {
  VERIFY(!this->options.replicas.empty());
  for (const auto& name : this->options.replicas) {
    this->replicas.try_emplace(
        name, Replica{.scheduler = ReplicaScheduler(this->options.scheduler),
                      .models = this->options.models,
                      .last_reported = {}});
  }
}

bool DaemonDecisions::is_ready() const {
  return !this->options.requires_rules || this->rules_version > 0;
}

DaemonActions DaemonDecisions::Connect(ConnectionId connection) {
  DaemonActions actions;
  this->connections.insert(connection);
  messages::Hello hello = this->options.hello;
  hello.rules_version = this->rules_version;
  Send(connection, std::move(hello), actions);
  Send(connection, this->FullReport(), actions);
  const auto held = this->attempts.UnconfirmedResults();
  for (std::size_t first = 0; first < held.size();
       first += kMaximumResultsPerOffer) {
    const std::size_t end =
        std::min(first + kMaximumResultsPerOffer, held.size());
    Send(connection,
         messages::OfferResults{
             .results = {held.begin() + static_cast<std::ptrdiff_t>(first),
                         held.begin() + static_cast<std::ptrdiff_t>(end)}},
         actions);
  }
  return actions;
}

DaemonActions DaemonDecisions::Disconnect(ConnectionId connection,
                                          TimePoint now) {
  DaemonActions actions;
  this->connections.erase(connection);
  std::vector<std::string> orphaned;
  for (auto& [id, attempt] : this->active) {
    if (attempt.connection == connection) {
      attempt.connection = 0;
      if (attempt.requires_caller()) {
        orphaned.push_back(id);
      }
    }
  }
  for (const auto& id : orphaned) {
    if (const auto found = this->active.find(id); found != this->active.end()) {
      this->Stop(found, "connection_lost", now, actions);
    }
  }
  return actions;
}

std::string DaemonDecisions::RefusalReason(
    const messages::Execute& execute) const {
  if (this->is_leaving()) {
    return "endpoint_leaving";
  }
  if (!this->is_ready()) {
    return "rules_missing";
  }
  return this->replicas.contains(execute.replica) ? "" : "unknown_replica";
}

DaemonActions DaemonDecisions::Execute(ConnectionId connection,
                                       const messages::Execute& received,
                                       TimePoint now) {
  DaemonActions actions;
  const auto execute = WithReplica(received, this->replicas.begin()->first);
  const std::string& id = execute.attempt;
  switch (
      this->attempts.Begin(id, MayHold(execute), now, execute.prompt.size())) {
    case BeginOutcome::kStart:
      this->Admit(connection, execute, now, actions);
      break;
    case BeginOutcome::kActive:
      this->RespondToDuplicate(connection, id, actions);
      break;
    case BeginOutcome::kFinished:
      this->RespondToFinished(connection, id, now, actions);
      break;
    case BeginOutcome::kRevoked:
      Send(connection, Refusal(id, "revoked"), actions);
      break;
    case BeginOutcome::kFull:
      Send(connection, Refusal(id, "daemon_memory_full"), actions);
      break;
    case BeginOutcome::kFullUnrecorded:
      Send(connection, Refusal(id, "daemon_memory_full", Verdict::kMayHaveRun),
           actions);
      break;
  }
  return actions;
}

void DaemonDecisions::Admit(ConnectionId connection,
                            const messages::Execute& execute,
                            TimePoint now,
                            DaemonActions& actions) {
  if (const std::string reason = this->RefusalReason(execute);
      !reason.empty()) {
    // The tombstone makes the refusal final for this attempt.
    this->attempts.Revoke(execute.attempt, now);
    Send(connection, Refusal(execute.attempt, reason), actions);
    return;
  }
  const ScheduledWork work{
      .attempt = execute.attempt,
      .kind = execute.kind,
      .token_limit = execute.max_tokens,
      .deadline = now + std::chrono::milliseconds(execute.patience_ms),
      .workspace = execute.workspace,
      .prompt_tokens = EstimateTokens(execute.prompt),
      .is_resumable = this->options.is_resumable && execute.repeatable};
  this->active[execute.attempt] = {
      .execute = execute, .connection = connection, .deadline = work.deadline};
  this->ApplySchedulerActions(
      execute.replica,
      this->replicas.at(execute.replica).scheduler.Submit(work, now), now,
      actions);
}

void DaemonDecisions::RespondToDuplicate(ConnectionId connection,
                                         const std::string& id,
                                         DaemonActions& actions) {
  Attempt& attempt = this->active.at(id);
  if (attempt.connection != 0) {
    return;
  }
  // The connection of the attempt was lost; its outcome goes to the connection
  // that sent the duplicate.
  attempt.connection = connection;
  if (attempt.token_count > 0 && attempt.execute.kind == WorkKind::kOnline) {
    Send(connection,
         messages::TokenChunk{.attempt = id,
                              .first_index = 0,
                              .count = attempt.token_count,
                              .text = attempt.text},
         actions);
  }
}

void DaemonDecisions::RespondToFinished(ConnectionId connection,
                                        const std::string& id,
                                        TimePoint now,
                                        DaemonActions& actions) {
  if (const auto* held = this->attempts.FindHeld(id)) {
    Send(connection, messages::OfferResults{.results = {*held}}, actions);
    return;
  }
  Send(connection,
       Refusal(id, "already_finished", this->attempts.Revoke(id, now)),
       actions);
}

DaemonActions DaemonDecisions::Revoke(ConnectionId connection,
                                      std::uint64_t correlation,
                                      const std::string& id,
                                      TimePoint now) {
  DaemonActions actions;
  const Verdict verdict = this->attempts.Revoke(id, now);
  actions.messages.push_back(
      {.connection = connection,
       .correlation = correlation,
       .message = messages::RevokeReply{.attempt = id, .verdict = verdict}});
  if (const auto found = this->active.find(id); found != this->active.end()) {
    this->Stop(found, "revoked", now, actions);
  }
  return actions;
}

void DaemonDecisions::Stop(ActiveAttempts::iterator found,
                           const std::string& reason,
                           TimePoint now,
                           DaemonActions& actions) {
  Attempt& attempt = found->second;
  if (attempt.stage != Stage::kStreaming) {
    this->EndWithoutStream(found, reason, now, actions);
    return;
  }
  if (!std::exchange(attempt.is_cancelled, true)) {
    actions.cancels.push_back(attempt.run);
  }
}

void DaemonDecisions::EndWithoutStream(ActiveAttempts::iterator found,
                                       const std::string& reason,
                                       TimePoint now,
                                       DaemonActions& actions) {
  const std::string id = found->first;
  const std::string replica = found->second.execute.replica;
  const Verdict verdict =
      found->second.has_run ? Verdict::kRan : Verdict::kNotRun;
  this->End(found, Refusal(id, reason, verdict), now, actions);
  this->ReleaseSlot(replica, id, now, actions);
}

void DaemonDecisions::End(ActiveAttempts::iterator found,
                          const messages::AttemptDone& done,
                          TimePoint now,
                          DaemonActions& actions) {
  const Attempt attempt = std::move(found->second);
  this->active.erase(found);
  const bool is_batch = attempt.execute.kind == WorkKind::kBatch;
  // Complete batch items are held, and so are non-repeatable requests that may
  // have run or have no connection to an entry.
  const bool is_held = is_batch ? done.complete
                                : !attempt.execute.repeatable &&
                                      (done.verdict != Verdict::kNotRun ||
                                       attempt.connection == 0);
  const messages::HeldResult result{
      .execute = attempt.execute, .done = done, .text = attempt.text};
  this->attempts.Finish(result, is_held, now);
  if (attempt.connection != 0 && !(is_batch && done.complete)) {
    Send(attempt.connection, done, actions);
  } else if (attempt.connection != 0) {
    Send(attempt.connection, messages::OfferResults{.results = {result}},
         actions);
  } else if (is_held) {
    this->Offer({result}, actions);
  }
}

void DaemonDecisions::Confirm(const std::vector<std::string>& confirmed) {
  this->attempts.Confirm(confirmed);
}

bool DaemonDecisions::AcceptRules(const messages::RulesPush& push) {
  if (push.version <= this->rules_version) {
    return false;
  }
  this->rules_version = push.version;
  this->reports.MarkChanged();
  return true;
}

DaemonActions DaemonDecisions::ApplyRuleSet(const RuleSet& rules,
                                            TimePoint now) {
  DaemonActions actions;
  const auto found = rules.endpoints.find(this->options.endpoint);
  this->rule = found == rules.endpoints.end() ? EndpointRule{} : found->second;
  ReplicaSchedulerOptions scheduler_options = this->options.scheduler;
  scheduler_options.reserve_slots = this->rule.reserve_slots;
  scheduler_options.long_share = this->rule.long_share;
  scheduler_options.token_target = this->rule.token_target;
  for (auto& [name, replica] : this->replicas) {
    this->ApplySchedulerActions(
        name, replica.scheduler.Configure(scheduler_options, now), now,
        actions);
  }
  const DaemonActions notices =
      this->SetLeaving(LeavingReason::kRules, this->rule.is_leaving);
  actions.messages.insert(actions.messages.end(), notices.messages.begin(),
                          notices.messages.end());
  return actions;
}

DaemonActions DaemonDecisions::SetLeaving(LeavingReason reason,
                                          bool is_leaving) {
  DaemonActions actions;
  const bool was_leaving = this->is_leaving();
  if (is_leaving) {
    this->leaving.insert(reason);
  } else {
    this->leaving.erase(reason);
  }
  if (this->is_leaving() == was_leaving) {
    return actions;
  }
  if (this->is_leaving()) {
    this->SendToAll(messages::LeavingNotice{.replicas = this->options.replicas,
                                            .reason = "endpoint_leaving"},
                    actions);
  }
  // This report is sent at once, without regard to the rate limit of reports.
  this->SendToAll(this->TakeChanges(), actions);
  return actions;
}

DaemonActions DaemonDecisions::AddModel(const std::string& replica,
                                        const std::string& model) {
  DaemonActions actions;
  auto& models = this->replicas.at(replica).models;
  if (std::find(models.begin(), models.end(), model) == models.end()) {
    models.push_back(model);
    this->SendToAll(this->FullReport(), actions);
  }
  return actions;
}

std::optional<StreamCall> DaemonDecisions::BeginStream(const EngineRun& run,
                                                       TimePoint now,
                                                       DaemonActions& actions) {
  const auto found = this->active.find(run.attempt);
  if (found == this->active.end() || found->second.run != run ||
      found->second.stage != Stage::kStarting) {
    return std::nullopt;
  }
  Attempt& attempt = found->second;
  if (attempt.execute.kind == WorkKind::kOnline && attempt.deadline <= now) {
    this->EndWithoutStream(found, "patience_expired", now, actions);
    return std::nullopt;
  }
  VERIFY(this->attempts.MarkRunning(run.attempt));
  attempt.stage = Stage::kStreaming;
  attempt.has_run = true;
  return StreamCall{.execute = attempt.execute,
                    .resume_from = attempt.token_count};
}

bool DaemonDecisions::AddToken(const EngineRun& run,
                               std::uint32_t index,
                               const std::string& text,
                               TimePoint now,
                               DaemonActions& actions) {
  const auto found = this->active.find(run.attempt);
  if (found == this->active.end() || found->second.run != run) {
    return false;
  }
  Attempt& attempt = found->second;
  if (attempt.is_cancelled || attempt.is_suspended) {
    return false;
  }
  if (index != attempt.token_count) {
    // A token that was received before is ignored. After a missing one, the
    // stream cannot be used.
    return index < attempt.token_count;
  }
  attempt.text += text;
  ++attempt.token_count;
  if (attempt.execute.kind == WorkKind::kOnline) {
    Send(attempt.connection,
         messages::TokenChunk{.attempt = run.attempt,
                              .first_index = index,
                              .count = 1,
                              .text = text},
         actions);
  }
  const SchedulerActions next =
      this->replicas.at(run.replica)
          .scheduler.ReportTokens(run.attempt, attempt.token_count, now);
  if (next != SchedulerActions{}) {
    this->ApplySchedulerActions(run.replica, next, now, actions);
  }
  return true;
}

DaemonActions DaemonDecisions::EndStream(const EngineRun& run,
                                         const StreamOutcome& outcome,
                                         TimePoint now) {
  DaemonActions actions;
  const auto found = this->active.find(run.attempt);
  if (found == this->active.end() || found->second.run != run) {
    return actions;
  }
  Attempt& attempt = found->second;
  VERIFY(attempt.stage == Stage::kStreaming);
  const bool is_complete = outcome.end == StreamEnd::kComplete;
  const bool is_rejected =
      outcome.end == StreamEnd::kFailed && outcome.verdict == Verdict::kRan;
  if (std::exchange(attempt.is_suspended, false) && !attempt.is_cancelled &&
      !is_complete && !is_rejected) {
    attempt.stage = Stage::kQueued;
    this->ApplySchedulerActions(
        run.replica,
        this->replicas.at(run.replica).scheduler.Finish(run.attempt, now), now,
        actions);
    return actions;
  }
  messages::AttemptDone done{.attempt = run.attempt,
                             .verdict = Verdict::kRan,
                             .complete = is_complete,
                             .token_count = attempt.token_count,
                             .checksum = HashBytes(attempt.text)};
  if (outcome.end == StreamEnd::kFailed) {
    done.verdict = outcome.verdict;
    done.reason = is_rejected ? "rejected_by_endpoint" : "endpoint_failed";
  } else if (!is_complete) {
    done.reason = "cancelled";
  }
  if (is_complete) {
    this->replicas.at(run.replica)
        .scheduler.ReportAnswer(run.attempt, attempt.token_count);
  }
  this->End(found, done, now, actions);
  this->ReleaseSlot(run.replica, run.attempt, now, actions);
  return actions;
}

bool DaemonDecisions::IsCancelPending(const EngineRun& run) const {
  const auto found = this->active.find(run.attempt);
  return found != this->active.end() && found->second.run == run &&
         found->second.stage == Stage::kStreaming &&
         (found->second.is_cancelled || found->second.is_suspended);
}

void DaemonDecisions::ReleaseSlot(const std::string& replica,
                                  const std::string& id,
                                  TimePoint now,
                                  DaemonActions& actions) {
  ReplicaScheduler& scheduler = this->replicas.at(replica).scheduler;
  this->ApplySchedulerActions(replica, scheduler.Finish(id, now), now, actions);
  this->ApplySchedulerActions(replica, scheduler.Remove(id, now), now, actions);
}

void DaemonDecisions::ApplySchedulerActions(const std::string& replica,
                                            SchedulerActions first,
                                            TimePoint now,
                                            DaemonActions& actions) {
  this->reports.MarkChanged();
  // Processed in first-in, first-out sequence, because later actions of the
  // scheduler depend on the earlier ones.
  std::deque<SchedulerActions> pending = {std::move(first)};
  while (!pending.empty()) {
    const SchedulerActions next = std::move(pending.front());
    pending.pop_front();
    for (const auto& id : next.suspend) {
      this->Suspend(replica, id, now, actions, pending);
    }
    for (const auto& id : next.expired) {
      if (const auto found = this->active.find(id);
          found != this->active.end()) {
        this->End(found, Refusal(id, "patience_expired"), now, actions);
      }
    }
    for (const auto& id : next.start) {
      this->Start(replica, id, now, actions, pending);
    }
  }
}

void DaemonDecisions::Start(const std::string& replica,
                            const std::string& id,
                            TimePoint now,
                            DaemonActions& actions,
                            std::deque<SchedulerActions>& pending) {
  const auto found = this->active.find(id);
  if (found == this->active.end()) {
    // The attempt ended while it was in the scheduler's queue, so its new slot
    // is released again.
    ReplicaScheduler& scheduler = this->replicas.at(replica).scheduler;
    pending.push_back(scheduler.Finish(id, now));
    pending.push_back(scheduler.Remove(id, now));
    return;
  }
  VERIFY(found->second.stage == Stage::kQueued);
  found->second.stage = Stage::kStarting;
  found->second.run = {
      .attempt = id,
      .replica = replica,
      .number = ++this->last_run_number,
      .attempt_run_number = found->second.run.attempt_run_number + 1};
  actions.starts.push_back(found->second.run);
}

void DaemonDecisions::Suspend(const std::string& replica,
                              const std::string& id,
                              TimePoint now,
                              DaemonActions& actions,
                              std::deque<SchedulerActions>& pending) {
  const auto found = this->active.find(id);
  if (found != this->active.end() && found->second.stage == Stage::kStreaming) {
    found->second.is_suspended = true;
    actions.cancels.push_back(found->second.run);
    return;
  }
  // No thread has called the engine for this run, and none will: the slot is
  // free at once. A cancel would reach the engine before the request does.
  if (found != this->active.end()) {
    found->second.stage = Stage::kQueued;
  }
  pending.push_back(this->replicas.at(replica).scheduler.Finish(id, now));
}

DaemonActions DaemonDecisions::Tick(TimePoint now) {
  DaemonActions actions;
  for (auto& [name, replica] : this->replicas) {
    const SchedulerActions next = replica.scheduler.Tick(now);
    if (next != SchedulerActions{}) {
      this->ApplySchedulerActions(name, next, now, actions);
    }
  }
  this->attempts.Expire(now);
  if (this->reports.NextReport() > now) {
    return actions;
  }
  this->Report(now, actions);
  if (!this->connections.empty()) {
    this->Offer(this->attempts.TakeDueOffers(now, this->options.offer_interval,
                                             kMaximumResultsPerOffer),
                actions);
  }
  return actions;
}

void DaemonDecisions::Report(TimePoint now, DaemonActions& actions) {
  const bool has_new_rules =
      std::exchange(this->reported_rules_version, this->rules_version) !=
      this->rules_version;
  const messages::LoadChange change = this->TakeChanges();
  if (change.replicas.empty() && !has_new_rules &&
      !this->reports.IsOverdue(now)) {
    this->reports.MarkUnchanged(now);
    return;
  }
  this->SendToAll(change, actions);
  this->reports.MarkSent(
      this->connections.size() *
          (kLoadChangeBytes + change.replicas.size() * kReplicaChangeBytes),
      now);
}

TimePoint DaemonDecisions::NextTick(TimePoint now) const {
  TimePoint next = this->reports.NextReport();
  const bool is_waiting = std::any_of(
      this->replicas.begin(), this->replicas.end(), [](const auto& item) {
        return item.second.scheduler.online_waiting() > 0;
      });
  if (is_waiting) {
    next = std::min(next, now + kExpiryCheckInterval);
  }
  return std::max(next, now);
}

void DaemonDecisions::Offer(const std::vector<messages::HeldResult>& results,
                            DaemonActions& actions) const {
  if (!results.empty()) {
    this->SendToAll(messages::OfferResults{.results = results}, actions);
  }
}

void DaemonDecisions::SendToAll(const DaemonMessage& message,
                                DaemonActions& actions) const {
  for (const ConnectionId connection : this->connections) {
    Send(connection, message, actions);
  }
}

messages::ReplicaChange DaemonDecisions::CurrentLoad(
    const Replica& replica,
    std::uint16_t index) const {
  return {
      .index = index,
      .online_running = SaturateToUint16(replica.scheduler.online_running()),
      .online_waiting = SaturateToUint16(replica.scheduler.online_waiting()),
      .batch_running = SaturateToUint16(replica.scheduler.batch_running()),
      .batch_room = SaturateToUint16(this->is_leaving() || !this->is_ready()
                                         ? 0
                                         : replica.scheduler.BatchCapacity())};
}

messages::LoadReport DaemonDecisions::FullReport() const {
  messages::LoadReport report{.rules_version = this->rules_version};
  for (const auto& [name, replica] : this->replicas) {
    const auto load = this->CurrentLoad(replica, 0);
    report.replicas.push_back({.endpoint = this->options.endpoint,
                               .replica = name,
                               .models = replica.models,
                               .slots = this->options.scheduler.slots,
                               .online_running = load.online_running,
                               .online_waiting = load.online_waiting,
                               .batch_running = load.batch_running,
                               .batch_room = load.batch_room,
                               .leaving = this->is_leaving()});
  }
  return report;
}

messages::LoadChange DaemonDecisions::TakeChanges() {
  messages::LoadChange change{.rules_version = this->rules_version,
                              .leaving = this->is_leaving()};
  std::uint16_t index = 0;
  for (auto& [name, replica] : this->replicas) {
    const auto load = this->CurrentLoad(replica, index++);
    if (load != replica.last_reported) {
      replica.last_reported = load;
      change.replicas.push_back(load);
    }
  }
  return change;
}

}  // namespace crocus
