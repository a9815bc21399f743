#include "daemon_node.h"

#include <utility>

namespace crocus {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr std::uint64_t kMaximumStartDelayMicroseconds = 3000;
constexpr std::uint64_t kMaximumCancelDelayMicroseconds = 5000;
constexpr std::uint64_t kTokenDelayRangeMicroseconds = 30000;
constexpr double kEngineFailureChance = 0.002;

}  // namespace

DaemonNode::DaemonNode(EventLoop& loop,
                       InvariantChecker& checker,
                       DaemonNodeOptions options,
                       std::uint64_t seed,
                       Sender sender)
    : loop(loop),
      checker(checker),
      options(std::move(options)),
      random(seed),
      sender(std::move(sender)) {
  this->Start();
}

void DaemonNode::Start() {
  ++this->state.incarnation;
  this->state.is_alive = true;
  this->state.paused_until = {};
  this->decisions = std::make_unique<DaemonDecisions>(
      DaemonDecisionsOptions{.hello = {.role = messages::Role::kDaemon,
                                       .name = this->options.name,
                                       .incarnation = this->state.incarnation},
                             .endpoint = "proof-models",
                             .replicas = this->options.replicas,
                             .models = {this->options.model},
                             .scheduler = {.slots = this->options.slots},
                             .offer_interval = std::chrono::seconds(2)});
  this->loop.Post(this->state, kTickInterval, [this] { this->Tick(); });
}

void DaemonNode::Crash() {
  this->state.is_alive = false;
  std::set<std::string> interrupted;
  for (const auto& [number, stream] : this->streams) {
    interrupted.insert(stream.execute.attempt);
  }
  this->checker.OnDaemonCrash(interrupted);
  this->streams.clear();
}

void DaemonNode::Connect(ConnectionId connection) {
  this->PerformActions(this->decisions->Connect(connection));
}

void DaemonNode::Disconnect(ConnectionId connection) {
  this->PerformActions(
      this->decisions->Disconnect(connection, this->loop.now()));
}

void DaemonNode::Execute(ConnectionId connection,
                         const messages::Execute& execute) {
  this->PerformActions(
      this->decisions->Execute(connection, execute, this->loop.now()));
}

void DaemonNode::Revoke(ConnectionId connection,
                        std::uint64_t correlation,
                        const std::string& attempt) {
  this->PerformActions(this->decisions->Revoke(connection, correlation, attempt,
                                               this->loop.now()));
}

void DaemonNode::Confirm(const std::vector<std::string>& attempts) {
  this->decisions->Confirm(attempts);
}

void DaemonNode::AcceptRules(const messages::RulesPush& push) {
  if (this->decisions->AcceptRules(push)) {
    this->checker.OnRulesVersion(this->options.name, this->state.incarnation,
                                 push.version);
  }
}

void DaemonNode::SetLeaving(bool is_leaving) {
  this->PerformActions(
      this->decisions->SetLeaving(LeavingReason::kDrain, is_leaving));
}

void DaemonNode::PerformActions(const DaemonActions& actions) {
  for (const auto& run : actions.cancels) {
    const Duration delay(this->random.Below(kMaximumCancelDelayMicroseconds));
    this->loop.Post(this->state, delay, [this, run] {
      const auto found = this->streams.find(run.number);
      if (found != this->streams.end() &&
          this->decisions->IsCancelPending(run)) {
        found->second.is_cancelled = true;
      }
    });
  }
  for (const auto& run : actions.starts) {
    const Duration delay(this->random.Below(kMaximumStartDelayMicroseconds));
    this->loop.Post(this->state, delay,
                    [this, run] { this->BeginStream(run); });
  }
  for (const auto& message : actions.messages) {
    this->sender(message);
  }
}

void DaemonNode::BeginStream(const EngineRun& run) {
  DaemonActions actions;
  const auto call =
      this->decisions->BeginStream(run, this->loop.now(), actions);
  this->PerformActions(actions);
  if (!call) {
    return;
  }
  this->checker.OnEngineBegin(call->execute);
  this->streams[run.number] = {
      .run = run, .execute = call->execute, .next_token = call->resume_from};
  std::uint32_t replica_streams = 0;
  for (const auto& [number, stream] : this->streams) {
    replica_streams += stream.run.replica == run.replica ? 1 : 0;
  }
  this->checker.Check(
      replica_streams <= this->options.slots,
      "replica " + run.replica + " runs more streams than it has slots");
  this->ScheduleNextStep(run.number);
}

void DaemonNode::ScheduleNextStep(std::uint64_t number) {
  const Duration delay(1000 + this->random.Below(kTokenDelayRangeMicroseconds));
  this->loop.Post(this->state, delay, [this, number] {
    const auto found = this->streams.find(number);
    if (found == this->streams.end()) {
      return;
    }
    Stream& stream = found->second;
    if (stream.is_cancelled) {
      this->EndStream(number, {.end = StreamEnd::kCancelled});
      return;
    }
    if (stream.execute.prompt.find(kFailingPromptMark) != std::string::npos) {
      this->EndStream(number,
                      {.end = StreamEnd::kFailed, .verdict = Verdict::kRan});
      return;
    }
    if (this->random.Chance(kEngineFailureChance)) {
      this->EndStream(
          number, {.end = StreamEnd::kFailed, .verdict = Verdict::kMayHaveRun});
      return;
    }
    if (stream.next_token >= stream.execute.max_tokens) {
      this->EndStream(number, {.end = StreamEnd::kComplete});
      return;
    }
    DaemonActions actions;
    const bool is_needed = this->decisions->AddToken(
        stream.run, stream.next_token,
        ExpectedToken(stream.execute.prompt, stream.next_token),
        this->loop.now(), actions);
    ++stream.next_token;
    this->PerformActions(actions);
    if (!is_needed) {
      this->EndStream(number, {.end = StreamEnd::kCancelled});
      return;
    }
    this->ScheduleNextStep(number);
  });
}

void DaemonNode::EndStream(std::uint64_t number, const StreamOutcome& outcome) {
  const auto stream = this->streams.extract(number);
  this->checker.OnEngineEnd(stream.mapped().execute.attempt);
  this->PerformActions(this->decisions->EndStream(stream.mapped().run, outcome,
                                                  this->loop.now()));
}

void DaemonNode::Tick() {
  if (this->decisions->NextTick(this->loop.now()) <= this->loop.now()) {
    this->PerformActions(this->decisions->Tick(this->loop.now()));
  }
  this->loop.Post(this->state, kTickInterval, [this] { this->Tick(); });
}

}  // namespace crocus
