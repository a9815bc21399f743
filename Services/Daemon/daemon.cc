#include "Daemon/daemon.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "LibCore/hashing.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"

namespace crocus {

using messages::WorkKind;

namespace {

/// Threads that send cancel requests, so that one slow replica does not delay
/// the cancels of another.
constexpr std::size_t kCancelThreads = 4;

/// How often a shutdown looks whether work is still running.
constexpr std::chrono::milliseconds kDrainPollInterval{20};

messages::AttemptDone Refusal(const std::string& attempt,
                              const std::string& reason) {
  return {.attempt = attempt, .verdict = Verdict::kNotRun, .reason = reason};
}

}  // namespace

Daemon::Daemon(DaemonSettings settings)
    : settings(std::move(settings)),
      hello{.role = messages::Role::kDaemon,
            .name = this->settings.host.name,
            .availability_zone = this->settings.host.availability_zone,
            .region = this->settings.host.region,
            .incarnation = SystemRandom()},
      report_timer(this->io.context()) {
  for (const auto& url : this->settings.endpoint.replicas) {
    this->replicas[url] = {.client = std::make_unique<EngineClient>(url),
                           .gate = std::make_unique<Gate>(GateOptions{
                               .slots = this->settings.endpoint.slots})};
  }
  const std::size_t streams =
      this->replicas.size() * this->settings.endpoint.slots;
  this->workers = std::make_unique<WorkerPool>(streams + 1);
  this->cancellers = std::make_unique<WorkerPool>(kCancelThreads);
}

Daemon::~Daemon() {
  this->io.Stop();
}

Result<void> Daemon::Start() {
  TRY_ASSIGN(this->server,
             FrameServer::Listen(
                 this->io.context(), this->settings.host.address,
                 this->settings.host.internal_port,
                 {.on_open = [this](const auto& peer) { this->OnOpen(peer); },
                  .on_frame =
                      [this](const auto& peer, const Frame& frame) {
                        this->OnFrame(peer, frame);
                      },
                  .on_closed = [this](const auto& peer,
                                      const auto&) { this->OnClosed(peer); }}));
  this->ReportLater();
  return {};
}

void Daemon::Stop() {
  this->OnDrain({});
  const TimePoint limit = MonotonicNow() + this->settings.timing.drain_limit;
  while (MonotonicNow() < limit) {
    {
      std::lock_guard lock(this->mutex);
      if (this->active.empty()) {
        break;
      }
    }
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  this->server->Close();
}

void Daemon::OnOpen(const std::shared_ptr<Connection>& connection) {
  Todo todo;
  {
    std::lock_guard lock(this->mutex);
    this->connections.insert(connection);
    this->hello.rules_version = this->rules.version;
    todo.frames.emplace_back(connection, MakeFrame(this->hello));
    todo.frames.emplace_back(connection, MakeFrame(this->MakeReport()));
    if (const auto held = this->attempts.Unconfirmed(); !held.empty()) {
      todo.frames.emplace_back(
          connection, MakeFrame(messages::OfferResults{.results = held}));
    }
  }
  this->Perform(todo);
}

void Daemon::OnFrame(const std::shared_ptr<Connection>& connection,
                     const Frame& frame) {
  using messages::MessageType;
  const auto reject = [&connection](const Error& error) {
    LogEvent(Event::kFrameRejected,
             {{"peer", connection->peer()}, {"reason", error.message}});
    connection->Close(error.message);
  };
  switch (frame.type) {
    case MessageType::kExecute:
      if (const auto execute = Decode<messages::Execute>(frame.body)) {
        this->OnExecute(connection, *execute);
      } else {
        reject(execute.error());
      }
      return;
    case MessageType::kRevoke:
      if (const auto revoke = Decode<messages::Revoke>(frame.body)) {
        this->OnRevoke(connection, frame, *revoke);
      } else {
        reject(revoke.error());
      }
      return;
    case MessageType::kConfirmResults:
      if (const auto confirm = Decode<messages::ConfirmResults>(frame.body)) {
        std::lock_guard lock(this->mutex);
        this->attempts.Confirm(confirm->attempts);
      } else {
        reject(confirm.error());
      }
      return;
    case MessageType::kRulesPush:
      if (auto push = Decode<messages::RulesPush>(frame.body)) {
        std::lock_guard lock(this->mutex);
        if (push->version > this->rules.version) {
          this->rules = std::move(*push);
          LogEvent(Event::kRulesInForce,
                   {{"version", std::to_string(this->rules.version)}});
        }
      } else {
        reject(push.error());
      }
      return;
    case MessageType::kRulesQuery:
      if (const auto query = Decode<messages::RulesQuery>(frame.body)) {
        this->OnRulesQuery(connection, frame, *query);
      } else {
        reject(query.error());
      }
      return;
    case MessageType::kDrain:
      if (const auto drain = Decode<messages::Drain>(frame.body)) {
        this->OnDrain(*drain);
      } else {
        reject(drain.error());
      }
      return;
    default:
      return;
  }
}

void Daemon::OnClosed(const std::shared_ptr<Connection>& connection) {
  Todo todo;
  {
    std::lock_guard lock(this->mutex);
    this->connections.erase(connection);
    for (auto& [id, attempt] : this->active) {
      if (attempt.connection != connection) {
        continue;
      }
      attempt.connection = nullptr;
      // The caller's stream broke with its entry. Work that may be repeated
      // only holds a slot now.
      if (attempt.execute.kind == WorkKind::kOnline &&
          attempt.execute.repeatable) {
        attempt.is_cancelled = true;
        todo.cancels.emplace_back(attempt.replica, id);
      }
    }
  }
  this->Perform(todo);
}

void Daemon::OnExecute(const std::shared_ptr<Connection>& connection,
                       const messages::Execute& execute) {
  Todo todo;
  {
    std::lock_guard lock(this->mutex);
    const TimePoint now = MonotonicNow();
    const std::string& id = execute.attempt;
    const auto refuse = [&](const std::string& reason) {
      // The tombstone makes the refusal final for this attempt.
      this->attempts.Revoke(id, now);
      todo.frames.emplace_back(connection, MakeFrame(Refusal(id, reason)));
      LogEvent(Event::kAttemptRefused, {{"attempt", id}, {"reason", reason}});
    };
    const std::string replica_name = execute.replica.empty()
                                         ? this->replicas.begin()->first
                                         : execute.replica;
    const auto replica = this->replicas.find(replica_name);
    switch (this->attempts.Begin(id, now)) {
      case BeginOutcome::kStart:
        if (this->is_leaving) {
          refuse("endpoint_leaving");
        } else if (replica == this->replicas.end()) {
          refuse("unknown_replica");
        } else {
          this->active[id] = {.execute = execute,
                              .replica = replica_name,
                              .connection = connection};
          const GateWork work{
              .attempt = id,
              .kind = execute.kind,
              .expected_tokens = execute.max_tokens,
              .deadline = now + std::chrono::milliseconds(execute.patience_ms)};
          this->ApplyActions(replica_name,
                             replica->second.gate->Submit(work, now), todo);
        }
        break;
      case BeginOutcome::kActive:
        break;
      case BeginOutcome::kFinished:
        if (const auto* held = this->attempts.FindHeld(id)) {
          todo.frames.emplace_back(
              connection,
              MakeFrame(messages::OfferResults{.results = {*held}}));
        }
        break;
      case BeginOutcome::kRevoked:
        todo.frames.emplace_back(connection, MakeFrame(Refusal(id, "revoked")));
        break;
    }
  }
  this->Perform(todo);
}

void Daemon::OnRevoke(const std::shared_ptr<Connection>& connection,
                      const Frame& frame,
                      const messages::Revoke& revoke) {
  Todo todo;
  {
    std::lock_guard lock(this->mutex);
    const TimePoint now = MonotonicNow();
    const Verdict verdict = this->attempts.Revoke(revoke.attempt, now);
    todo.frames.emplace_back(
        connection, MakeFrame(messages::RevokeReply{.attempt = revoke.attempt,
                                                    .verdict = verdict},
                              frame.correlation));
    if (const auto found = this->active.find(revoke.attempt);
        found != this->active.end()) {
      const std::string replica = found->second.replica;
      if (verdict == Verdict::kNotRun) {
        this->active.erase(found);
        this->ApplyActions(
            replica, this->replicas[replica].gate->Remove(revoke.attempt, now),
            todo);
      } else {
        found->second.is_cancelled = true;
        todo.cancels.emplace_back(replica, revoke.attempt);
      }
    }
  }
  this->Perform(todo);
}

void Daemon::OnRulesQuery(const std::shared_ptr<Connection>& connection,
                          const Frame& frame,
                          const messages::RulesQuery& query) {
  messages::RulesPush reply;
  {
    std::lock_guard lock(this->mutex);
    reply = this->rules;
  }
  if (query.known_version >= reply.version) {
    reply.text.clear();
  }
  connection->Send(MakeFrame(reply, frame.correlation));
}

void Daemon::OnDrain(const messages::Drain& drain) {
  Todo todo;
  {
    std::lock_guard lock(this->mutex);
    if (!drain.endpoint.empty() &&
        drain.endpoint != this->settings.endpoint.name) {
      return;
    }
    this->is_leaving = drain.leave;
    todo = this->MakeBroadcast();
  }
  LogEvent(Event::kDraining, {{"endpoint", this->settings.endpoint.name},
                              {"reason", drain.leave ? "leave" : "return"}});
  this->Perform(todo);
}

void Daemon::RunAttempt(const std::string& id) {
  EngineCall call;
  EngineClient* client = nullptr;
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->active.find(id);
    if (found == this->active.end()) {
      return;
    }
    Attempt& attempt = found->second;
    attempt.is_suspended = false;
    client = this->replicas[attempt.replica].client.get();
    call = {.request_id = id,
            .model = attempt.execute.model,
            .prompt = attempt.execute.prompt,
            .max_tokens = attempt.execute.max_tokens,
            .resume_from = attempt.token_count};
    if (!this->attempts.MarkRunning(id)) {
      return;
    }
  }
  LogEvent(Event::kAttemptStarted,
           {{"attempt", id}, {"endpoint", this->settings.endpoint.name}});
  if (this->settings.endpoint.kind == "service") {
    const auto answer = client->CallService(call);
    if (answer) {
      this->OnToken(id, 0, *answer);
      this->FinishAttempt(id, EngineOutcome::kComplete);
    } else {
      this->FinishAttempt(id, tl::unexpected(answer.error()));
    }
    return;
  }
  this->FinishAttempt(
      id, client->Complete(
              call, [this, &id](std::uint32_t index, const std::string& text) {
                return this->OnToken(id, index, text);
              }));
}

bool Daemon::OnToken(const std::string& id,
                     std::uint32_t index,
                     const std::string& text) {
  std::shared_ptr<Connection> connection;
  messages::TokenChunk chunk;
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->active.find(id);
    if (found == this->active.end() || found->second.is_cancelled ||
        found->second.is_suspended) {
      return false;
    }
    Attempt& attempt = found->second;
    if (index != attempt.token_count) {
      return index < attempt.token_count;
    }
    attempt.text += text;
    ++attempt.token_count;
    if (attempt.execute.kind == WorkKind::kOnline) {
      connection = attempt.connection;
    }
    chunk = {.attempt = id, .first_index = index, .count = 1, .text = text};
  }
  if (connection != nullptr) {
    connection->Send(MakeFrame(chunk));
  }
  return true;
}

void Daemon::FinishAttempt(const std::string& id,
                           const Result<EngineOutcome>& outcome) {
  Todo todo;
  {
    std::lock_guard lock(this->mutex);
    const auto found = this->active.find(id);
    if (found == this->active.end()) {
      return;
    }
    const Attempt& attempt = found->second;
    const std::string replica = attempt.replica;
    const TimePoint now = MonotonicNow();
    const bool is_complete = outcome && *outcome == EngineOutcome::kComplete;
    const bool stays_queued =
        attempt.is_suspended && !attempt.is_cancelled && !is_complete;
    if (!stays_queued) {
      messages::AttemptDone done{.attempt = id,
                                 .verdict = Verdict::kRan,
                                 .complete = is_complete,
                                 .token_count = attempt.token_count,
                                 .checksum = HashBytes(attempt.text)};
      if (!outcome) {
        done.verdict = outcome.error().verdict;
        done.reason = done.verdict == Verdict::kRan ? "rejected_by_endpoint"
                                                    : "endpoint_failed";
      } else if (!is_complete) {
        done.reason = "cancelled";
      }
      const bool hold =
          is_complete && (attempt.execute.kind == WorkKind::kBatch ||
                          !attempt.execute.repeatable);
      this->EndAttempt(id, done, hold, todo);
    }
    auto& gate = *this->replicas[replica].gate;
    this->ApplyActions(replica, gate.Finish(id, now), todo);
    if (!stays_queued) {
      this->ApplyActions(replica, gate.Remove(id, now), todo);
    }
    const Todo broadcast = this->MakeBroadcast();
    todo.frames.insert(todo.frames.end(), broadcast.frames.begin(),
                       broadcast.frames.end());
  }
  this->Perform(todo);
}

void Daemon::ApplyActions(const std::string& replica,
                          const GateActions& actions,
                          Todo& todo) {
  for (const auto& id : actions.suspend) {
    if (const auto found = this->active.find(id); found != this->active.end()) {
      found->second.is_suspended = true;
    }
    todo.cancels.emplace_back(replica, id);
  }
  for (const auto& id : actions.expired) {
    this->attempts.Revoke(id, MonotonicNow());
    if (const auto found = this->active.find(id); found != this->active.end()) {
      if (found->second.connection != nullptr) {
        todo.frames.emplace_back(found->second.connection,
                                 MakeFrame(Refusal(id, "patience_expired")));
      }
      this->active.erase(found);
    }
  }
  todo.starts.insert(todo.starts.end(), actions.start.begin(),
                     actions.start.end());
}

void Daemon::EndAttempt(const std::string& id,
                        const messages::AttemptDone& done,
                        bool hold,
                        Todo& todo) {
  const auto found = this->active.find(id);
  const messages::HeldResult result{.execute = found->second.execute,
                                    .done = done,
                                    .text = found->second.text};
  this->attempts.Finish(result, hold, MonotonicNow());
  if (found->second.execute.kind == WorkKind::kBatch && done.complete) {
    const Frame frame = MakeFrame(messages::OfferResults{.results = {result}});
    if (found->second.connection != nullptr) {
      todo.frames.emplace_back(found->second.connection, frame);
    }
  } else if (found->second.connection != nullptr) {
    todo.frames.emplace_back(found->second.connection, MakeFrame(done));
  }
  LogEvent(Event::kAttemptFinished,
           {{"attempt", id},
            {"verdict", std::string(ToString(done.verdict))},
            {"tokens", std::to_string(done.token_count)}});
  this->active.erase(found);
}

messages::LoadReport Daemon::MakeReport() const {
  messages::LoadReport report{.rules_version = this->rules.version};
  for (const auto& [name, replica] : this->replicas) {
    report.replicas.push_back(
        {.endpoint = this->settings.endpoint.name,
         .replica = name,
         .models = this->settings.endpoint.models,
         .slots = this->settings.endpoint.slots,
         .online_running = replica.gate->online_running(),
         .online_waiting = replica.gate->online_waiting(),
         .batch_running = replica.gate->batch_running(),
         .batch_room = this->is_leaving ? 0 : replica.gate->BatchRoom(),
         .leaving = this->is_leaving});
  }
  return report;
}

Daemon::Todo Daemon::MakeBroadcast() const {
  Todo todo;
  const Frame frame = MakeFrame(this->MakeReport());
  for (const auto& connection : this->connections) {
    todo.frames.emplace_back(connection, frame);
  }
  return todo;
}

void Daemon::Perform(const Todo& todo) {
  for (const auto& [replica, id] : todo.cancels) {
    this->cancellers->Submit([client = this->replicas[replica].client.get(),
                              id = id] { client->Cancel(id); });
  }
  for (const auto& id : todo.starts) {
    this->workers->Submit([this, id] { this->RunAttempt(id); });
  }
  for (const auto& [connection, frame] : todo.frames) {
    connection->Send(frame);
  }
}

void Daemon::ReportLater() {
  this->report_timer.expires_after(this->settings.timing.report_interval);
  this->report_timer.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    Todo todo;
    {
      std::lock_guard lock(this->mutex);
      const TimePoint now = MonotonicNow();
      for (auto& [name, replica] : this->replicas) {
        this->ApplyActions(name, replica.gate->Tick(now), todo);
      }
      this->attempts.Expire(now);
      const Todo broadcast = this->MakeBroadcast();
      todo.frames.insert(todo.frames.end(), broadcast.frames.begin(),
                         broadcast.frames.end());
    }
    this->Perform(todo);
    this->ReportLater();
  });
}

}  // namespace crocus
