#include "Daemon/daemon.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>

#include "LibCore/processor_wait.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibRules/rule_parser.h"

namespace crocus {

namespace {

/// A cancel that failed, or that reached the engine before its stream did, is
/// sent again after a delay that doubles from the first value up to the
/// maximum.
constexpr std::chrono::milliseconds kFirstCancelRetryDelay{5};
constexpr std::chrono::milliseconds kMaximumCancelRetryDelay{1000};

/// Interval at which a shutdown checks whether running work has ended.
constexpr std::chrono::milliseconds kDrainPollInterval{20};

/// Bytes of replies that are queued for an entry before its requests are no
/// longer read. Small against the daemon's 32 MB also if all of 8 entries do
/// not read.
constexpr std::size_t kMaximumUnreadReplyBytes = 128u << 10;

/// Time for sending the last frames before a shutdown closes the connections.
constexpr std::chrono::milliseconds kFlushTime{100};

DaemonDecisionsOptions MakeOptions(const DaemonSettings& settings,
                                   std::uint64_t incarnation) {
  return {
      .hello = {.role = messages::Role::kDaemon,
                .name = settings.host.name,
                .availability_zone = settings.host.availability_zone,
                .region = settings.host.region,
                .incarnation = incarnation},
      .endpoint = settings.endpoint.name,
      .is_resumable = settings.endpoint.kind != "service",
      .replicas = settings.endpoint.replicas,
      .models = settings.endpoint.models,
      .scheduler = {.slots = settings.endpoint.slots},
      .attempts = {.maximum_attempts = settings.memory.attempts,
                   .maximum_held_bytes = settings.memory.held_bytes,
                   .running_attempts = settings.endpoint.replicas.size() *
                                       settings.endpoint.slots},
      .reports = {.delay = settings.timing.report_delay,
                  .interval = settings.timing.report_interval,
                  .bytes_per_second = settings.timing.report_bytes_per_second},
      .offer_interval = settings.timing.offer_interval,
      .requires_rules = settings.host.require_rules};
}

/// The part of the time to a cancel request in which the threads on its path
/// were ready to run and had no processor. The deciding thread may also have
/// waited after the worker was ready, and the worker before the decision; the
/// sum is limited accordingly.
std::string ProcessorWaitText(std::int64_t decider_us,
                              const Result<Duration>& worker,
                              Duration time_to_begin,
                              Duration time_to_send) {
  if (decider_us < 0 || !worker) {
    return "unknown";
  }
  const Duration before_ready =
      std::max(Duration::zero(), time_to_begin - *worker);
  const Duration wait = std::min(Duration(decider_us), before_ready) + *worker;
  return std::to_string(std::min(wait, time_to_send).count());
}

}  // namespace

Daemon::Daemon(DaemonSettings initial_settings)
    : settings(std::move(initial_settings)),
      incarnation(SystemRandom()),
      decisions(MakeOptions(this->settings, this->incarnation)),
      tick_timer(this->io.context()),
      workers(this->settings.endpoint.replicas.size() *
                  this->settings.endpoint.slots +
              1),
      command_runner(this->io.context(),
                     this->settings.endpoint.replicas,
                     this->settings.platform.weights_url,
                     [this](const messages::EngineCommand& command) {
                       if (command.action == "load_model") {
                         this->Decide([this, &command] {
                           return this->decisions.AddModel(command.replica,
                                                           command.argument);
                         });
                       }
                     }) {
  for (const auto& url : this->settings.endpoint.replicas) {
    this->clients.try_emplace(url, url);
    // An online burst can suspend the batch streams of all slots at once. With
    // fewer threads than slots the last cancels would wait for the responses to
    // the first ones, and on a busy host would be sent more than 5 ms after the
    // decision.
    this->cancel_workers.try_emplace(url, this->settings.endpoint.slots);
  }
}

Daemon::~Daemon() {
  this->hosts.reset();
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
                                      const auto&) { this->OnClosed(peer); }},
                 {.maximum_unread_reply_bytes = kMaximumUnreadReplyBytes}));
  this->hosts = std::make_unique<HostListPoller>(
      HostListPollerOptions{.url = this->settings.platform.hosts_url,
                            .host = this->settings.host.name,
                            .interval = this->settings.platform.hosts_interval},
      [this](bool is_leaving) {
        this->SetLeaving(LeavingReason::kHostList, is_leaving);
      });
  this->Decide([] { return DaemonActions{}; });
  return {};
}

bool Daemon::IsDrained() {
  std::lock_guard lock(this->mutex);
  return this->decisions.active_count() == 0 &&
         this->decisions.held_count() == 0;
}

bool Daemon::Stop() {
  this->SetLeaving(LeavingReason::kSignal, true);
  const TimePoint deadline = MonotonicNow() + this->settings.timing.drain_limit;
  while (!this->IsDrained() && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  std::this_thread::sleep_for(kFlushTime);
  this->server->Close();
  std::lock_guard lock(this->mutex);
  if (const auto held = this->decisions.held_count(); held > 0) {
    LogEvent(Event::kResultsLeft, {{"results", std::to_string(held)}});
  }
  return this->decisions.active_count() == 0;
}

void Daemon::OnOpen(const std::shared_ptr<Connection>& connection) {
  this->Decide([this, &connection] {
    this->connections[connection->id()] = connection;
    return this->decisions.Connect(connection->id());
  });
}

void Daemon::OnClosed(const std::shared_ptr<Connection>& connection) {
  this->Decide([this, &connection] {
    this->connections.erase(connection->id());
    return this->decisions.Disconnect(connection->id(), MonotonicNow());
  });
}

void Daemon::OnFrame(const std::shared_ptr<Connection>& connection,
                     const Frame& frame) {
  using messages::MessageType;
  const auto decode_and_handle = [&]<typename Message>(auto handle) {
    const auto message = Decode<Message>(frame.body);
    if (message) {
      handle(*message);
      return;
    }
    LogEvent(Event::kFrameRejected, {{"peer", connection->peer()},
                                     {"reason", message.error().message}});
    connection->Close(message.error().message);
  };
  switch (frame.type) {
    case MessageType::kExecute:
      return decode_and_handle.operator()<messages::Execute>(
          [&](const auto& execute) {
            this->Decide([&] {
              return this->decisions.Execute(connection->id(), execute,
                                             MonotonicNow());
            });
          });
    case MessageType::kRevoke:
      return decode_and_handle.operator()<messages::Revoke>(
          [&](const auto& revoke) {
            this->Decide([&] {
              return this->decisions.Revoke(connection->id(), frame.correlation,
                                            revoke.attempt, MonotonicNow());
            });
          });
    case MessageType::kConfirmResults:
      return decode_and_handle.operator()<messages::ConfirmResults>(
          [&](const auto& confirm) {
            std::lock_guard lock(this->mutex);
            this->decisions.Confirm(confirm.attempts);
          });
    case MessageType::kRulesPush:
      return decode_and_handle.operator()<messages::RulesPush>(
          [&](const auto& push) { this->OnRules(push); });
    case MessageType::kRulesQuery:
      return decode_and_handle.operator()<messages::RulesQuery>(
          [&](const auto& query) {
            this->OnRulesQuery(connection, frame.correlation, query);
          });
    case MessageType::kDrain:
      return decode_and_handle.operator()<messages::Drain>(
          [&](const auto& drain) { this->OnDrain(drain); });
    case MessageType::kEngineCommand:
      return decode_and_handle.operator()<messages::EngineCommand>(
          [&](const auto& command) {
            this->OnCommand(connection, frame.correlation, command);
          });
    case MessageType::kFencingFloors:
      return decode_and_handle.operator()<messages::FencingFloors>(
          [&](const auto& message) {
            // Floors for an earlier incarnation do not cover the commands
            // that it accepted, so they are ignored.
            if (message.incarnation == this->incarnation) {
              this->command_runner.SetFloors(message.floors);
            }
          });
    default:
      return;
  }
}

void Daemon::OnRules(const messages::RulesPush& push) {
  this->Decide([this, &push] {
    if (!this->decisions.AcceptRules(push)) {
      return DaemonActions{};
    }
    this->rules = push;
    LogEvent(Event::kRulesInForce, {{"version", std::to_string(push.version)}});
    this->ScheduleTick(MonotonicNow());
    // Only text that parses becomes valid in the log, but a text in a newer
    // version of the rule language may contain rules unknown to this program.
    const auto parsed = ParseRules("rules", push.text);
    return parsed ? this->decisions.ApplyRuleSet(parsed->rules, MonotonicNow())
                  : DaemonActions{};
  });
}

void Daemon::OnRulesQuery(const std::shared_ptr<Connection>& connection,
                          std::uint64_t correlation,
                          const messages::RulesQuery& query) {
  std::lock_guard lock(this->mutex);
  messages::RulesPush reply = this->rules;
  if (query.known_version >= reply.version) {
    reply.text.clear();
  }
  connection->Send(MakeFrame(reply, correlation));
}

void Daemon::OnDrain(const messages::Drain& drain) {
  if (drain.endpoint.empty() ||
      drain.endpoint == this->settings.endpoint.name) {
    this->SetLeaving(LeavingReason::kDrain, drain.leave);
  }
}

void Daemon::SetLeaving(LeavingReason reason, bool is_leaving) {
  std::lock_guard lock(this->mutex);
  const bool was_leaving = this->decisions.is_leaving();
  this->Perform(this->decisions.SetLeaving(reason, is_leaving));
  if (this->decisions.is_leaving() != was_leaving) {
    LogEvent(Event::kDraining, {{"endpoint", this->settings.endpoint.name},
                                {"reason", was_leaving ? "return" : "leave"}});
  }
}

void Daemon::OnCommand(const std::shared_ptr<Connection>& connection,
                       std::uint64_t correlation,
                       const messages::EngineCommand& command) {
  this->command_runner.Submit(command,
                              [connection, correlation](const auto& reply) {
                                connection->Send(MakeFrame(reply, correlation));
                              });
}

void Daemon::Run(const EngineRun& run) {
  std::optional<StreamCall> call;
  this->Decide([&] {
    DaemonActions actions;
    call = this->decisions.BeginStream(run, MonotonicNow(), actions);
    return actions;
  });
  if (!call) {
    return;
  }
  LogEvent(
      Event::kAttemptStarted,
      {{"attempt", run.attempt}, {"endpoint", this->settings.endpoint.name}});
  const StreamOutcome outcome = this->settings.endpoint.kind == "service"
                                    ? this->CallService(run, *call)
                                    : this->CallEngine(run, *call);
  LogEvent(Event::kAttemptFinished,
           {{"attempt", run.attempt},
            {"verdict", std::string(ToString(outcome.verdict))}});
  this->Decide(
      [&] { return this->decisions.EndStream(run, outcome, MonotonicNow()); });
}

StreamOutcome Daemon::CallEngine(const EngineRun& run, const StreamCall& call) {
  const auto outcome =
      this->clients.at(run.replica)
          .Complete({.request_id = run.StreamName(),
                     .model = call.execute.model,
                     .prompt = call.execute.prompt,
                     .max_tokens = call.execute.max_tokens,
                     .resume_from = call.resume_from},
                    [this, &run](std::uint32_t index, const std::string& text) {
                      return this->OnToken(run, index, text);
                    });
  if (!outcome) {
    return {.end = StreamEnd::kFailed, .verdict = outcome.error().verdict};
  }
  return {.end = *outcome == EngineOutcome::kComplete ? StreamEnd::kComplete
                                                      : StreamEnd::kCancelled};
}

StreamOutcome Daemon::CallService(const EngineRun& run,
                                  const StreamCall& call) {
  const auto response = this->clients.at(run.replica)
                            .CallService({.request_id = run.StreamName(),
                                          .prompt = call.execute.prompt});
  if (!response) {
    return {.end = StreamEnd::kFailed, .verdict = response.error().verdict};
  }
  this->OnToken(run, 0, *response);
  return {};
}

bool Daemon::OnToken(const EngineRun& run,
                     std::uint32_t index,
                     const std::string& text) {
  bool is_needed = false;
  this->Decide([&] {
    DaemonActions actions;
    is_needed =
        this->decisions.AddToken(run, index, text, MonotonicNow(), actions);
    return actions;
  });
  return is_needed;
}

bool Daemon::IsCancelPending(const EngineRun& run) {
  std::lock_guard lock(this->mutex);
  return this->decisions.IsCancelPending(run);
}

void Daemon::Cancel(const EngineRun& run,
                    const std::shared_ptr<const CancelDecision>& decision,
                    std::chrono::milliseconds retry_delay) {
  const Duration time_to_begin = MonotonicNow() - decision->time;
  // A plain service has no cancel call; its response is dropped.
  if (this->settings.endpoint.kind == "service") {
    return;
  }
  const Result<Duration> worker_wait = WorkerPool::ProcessorWait();
  const Duration time_to_send = MonotonicNow() - decision->time;
  const auto cancelled = this->clients.at(run.replica).Cancel(run.StreamName());
  if (cancelled && *cancelled) {
    const Duration time_to_response = MonotonicNow() - decision->time;
    LogEvent(Event::kStreamCancelled,
             {{"attempt", run.attempt},
              {"begun_us", std::to_string(time_to_begin.count())},
              {"sent_us", std::to_string(time_to_send.count())},
              {"processor_wait_us",
               ProcessorWaitText(decision->processor_wait_us, worker_wait,
                                 time_to_begin, time_to_send)},
              {"answered_us", std::to_string(time_to_response.count())}});
    return;
  }
  if (!cancelled) {
    LogEvent(Event::kCancelFailed,
             {{"attempt", run.attempt}, {"reason", cancelled.error().message}});
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      this->io.context(), retry_delay);
  timer->async_wait([this, timer, run, decision,
                     retry_delay](boost::system::error_code error) {
    if (!error) {
      const auto next = std::min(retry_delay * 2, kMaximumCancelRetryDelay);
      this->cancel_workers.at(run.replica).Submit([this, run, decision, next] {
        if (this->IsCancelPending(run)) {
          this->Cancel(run, decision, next);
        }
      });
    }
  });
}

void Daemon::SubmitCancels(const std::vector<EngineRun>& runs, TimePoint now) {
  const Result<Duration> wait_before = ReadProcessorWait();
  for (const auto& run : runs) {
    const auto decision = std::make_shared<CancelDecision>();
    decision->time = now;
    this->cancel_workers.at(run.replica).Submit([this, run, decision] {
      this->Cancel(run, decision, kFirstCancelRetryDelay);
    });
    // The thread may lose its processor before it has woken the worker.
    const auto wait = ProcessorWaitSince(wait_before);
    decision->processor_wait_us = wait ? wait->count() : -1;
  }
}

void Daemon::Perform(const DaemonActions& actions) {
  const TimePoint now = MonotonicNow();
  if (!actions.cancels.empty()) {
    this->SubmitCancels(actions.cancels, now);
  }
  for (const auto& run : actions.starts) {
    this->workers.Submit([this, run] { this->Run(run); });
  }
  for (const auto& outgoing : actions.messages) {
    if (const auto found = this->connections.find(outgoing.connection);
        found != this->connections.end()) {
      found->second->Send(std::visit(
          [&outgoing](const auto& message) {
            return MakeFrame(message, outgoing.correlation);
          },
          outgoing.message));
    }
  }
  this->ScheduleTick(now);
}

void Daemon::ScheduleTick(TimePoint now) {
  const TimePoint next = this->decisions.NextTick(now);
  if (next >= this->scheduled_tick) {
    return;
  }
  this->scheduled_tick = next;
  boost::asio::post(this->io.context(), [this] {
    {
      // This handler may run after handlers that other threads posted later, so
      // the latest scheduled time is read here.
      std::lock_guard lock(this->mutex);
      if (this->scheduled_tick == TimePoint::max()) {
        return;
      }
      this->tick_timer.expires_at(this->scheduled_tick);
    }
    this->tick_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        this->Tick();
      }
    });
  });
}

void Daemon::Tick() {
  this->Decide([this] {
    this->scheduled_tick = TimePoint::max();
    return this->decisions.Tick(MonotonicNow());
  });
}

}  // namespace crocus
