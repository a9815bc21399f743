#include "daemon_node.h"

#include <utility>

namespace crocus {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr std::uint64_t kLongestStartMicroseconds = 3000;
constexpr std::uint64_t kLongestCancelMicroseconds = 5000;
constexpr std::uint64_t kLongestTokenMicroseconds = 30000;
constexpr double kEngineFailureChance = 0.002;

}  // namespace

DaemonNode::DaemonNode(EventLoop& loop,
                       Oracle& oracle,
                       DaemonNodeOptions options,
                       std::uint64_t seed,
                       Sender sender)
    : loop(loop),
      oracle(oracle),
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
  std::set<std::string> lost;
  for (const auto& [number, stream] : this->streams) {
    lost.insert(stream.execute.attempt);
  }
  this->oracle.OnDaemonLost(lost);
  this->streams.clear();
}

void DaemonNode::Connect(ConnectionId connection) {
  this->Perform(this->decisions->Connect(connection));
}

void DaemonNode::Disconnect(ConnectionId connection) {
  this->Perform(this->decisions->Disconnect(connection, this->loop.now()));
}

void DaemonNode::Execute(ConnectionId connection,
                         const messages::Execute& execute) {
  this->Perform(
      this->decisions->Execute(connection, execute, this->loop.now()));
}

void DaemonNode::Revoke(ConnectionId connection,
                        std::uint64_t correlation,
                        const std::string& attempt) {
  this->Perform(this->decisions->Revoke(connection, correlation, attempt,
                                        this->loop.now()));
}

void DaemonNode::Confirm(const std::vector<std::string>& attempts) {
  this->decisions->Confirm(attempts);
}

void DaemonNode::AcceptRules(const messages::RulesPush& push) {
  if (this->decisions->AcceptRules(push)) {
    this->oracle.OnRulesVersion(this->options.name, this->state.incarnation,
                                push.version);
  }
}

void DaemonNode::SetLeaving(bool is_leaving) {
  this->Perform(this->decisions->SetLeaving(LeavingReason::kDrain, is_leaving));
}

void DaemonNode::Perform(const DaemonActions& actions) {
  for (const auto& run : actions.cancels) {
    const Duration delay(this->random.Below(kLongestCancelMicroseconds));
    this->loop.Post(this->state, delay, [this, run] {
      const auto found = this->streams.find(run.number);
      if (found != this->streams.end() &&
          this->decisions->IsCancelPending(run)) {
        found->second.is_cancelled = true;
      }
    });
  }
  for (const auto& run : actions.starts) {
    const Duration delay(this->random.Below(kLongestStartMicroseconds));
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
  this->Perform(actions);
  if (!call) {
    return;
  }
  this->oracle.OnEngineBegin(call->execute);
  this->streams[run.number] = {
      .run = run, .execute = call->execute, .next = call->resume_from};
  std::uint32_t on_replica = 0;
  for (const auto& [number, stream] : this->streams) {
    on_replica += stream.run.replica == run.replica ? 1 : 0;
  }
  this->oracle.Check(on_replica <= this->options.slots,
                     "replica " + run.replica + " runs too many streams");
  this->Advance(run.number);
}

void DaemonNode::Advance(std::uint64_t number) {
  const Duration delay(1000 + this->random.Below(kLongestTokenMicroseconds));
  this->loop.Post(this->state, delay, [this, number] {
    const auto found = this->streams.find(number);
    if (found == this->streams.end()) {
      return;
    }
    Stream& stream = found->second;
    if (stream.is_cancelled) {
      this->End(number, {.end = StreamEnd::kCancelled});
      return;
    }
    if (stream.execute.prompt.find(kImpossibleMark) != std::string::npos) {
      this->End(number, {.end = StreamEnd::kFailed, .verdict = Verdict::kRan});
      return;
    }
    if (this->random.Chance(kEngineFailureChance)) {
      this->End(number,
                {.end = StreamEnd::kFailed, .verdict = Verdict::kMayHaveRun});
      return;
    }
    if (stream.next >= stream.execute.max_tokens) {
      this->End(number, {.end = StreamEnd::kComplete});
      return;
    }
    DaemonActions actions;
    const bool is_wanted = this->decisions->AddToken(
        stream.run, stream.next,
        ExpectedToken(stream.execute.prompt, stream.next), this->loop.now(),
        actions);
    ++stream.next;
    this->Perform(actions);
    if (!is_wanted) {
      this->End(number, {.end = StreamEnd::kCancelled});
      return;
    }
    this->Advance(number);
  });
}

void DaemonNode::End(std::uint64_t number, const StreamOutcome& outcome) {
  const auto stream = this->streams.extract(number);
  this->oracle.OnEngineEnd(stream.mapped().execute.attempt);
  this->Perform(this->decisions->EndStream(stream.mapped().run, outcome,
                                           this->loop.now()));
}

void DaemonNode::Tick() {
  if (this->decisions->NextTick(this->loop.now()) <= this->loop.now()) {
    this->Perform(this->decisions->Tick(this->loop.now()));
  }
  this->loop.Post(this->state, kTickInterval, [this] { this->Tick(); });
}

}  // namespace crocus
