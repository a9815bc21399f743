#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "LibPolicy/command_fence.h"
#include "LibPolicy/daemon_decisions.h"

namespace crocus {

using messages::WorkKind;

namespace {

constexpr std::uint32_t kSlots = 2;
constexpr char kReplica[] = "r";
constexpr ConnectionId kEntry = 1;
constexpr ConnectionId kOtherEntry = 2;

DaemonDecisionsOptions SmallDaemon() {
  return {.endpoint = "e",
          .replicas = {kReplica},
          .models = {"m"},
          .scheduler = {.slots = kSlots},
          .attempts = {.maximum_attempts = 30, .maximum_held_bytes = 10000}};
}

messages::Execute MakeExecute(const std::string& id,
                              WorkKind kind,
                              bool is_repeatable = true,
                              std::uint32_t patience_ms = 10000) {
  return {.attempt = id,
          .request = id,
          .kind = kind,
          .replica = kReplica,
          .max_tokens = 4,
          .repeatable = is_repeatable,
          .patience_ms = patience_ms};
}

/// Carries out the daemon's actions on a simulated engine, which is a set of
/// open streams, and checks what the daemon reports against what the engine
/// ran.
class DaemonHarness {
 public:
  void Apply(const DaemonActions& actions) {
    for (const auto& run : actions.starts) {
      this->to_start.push_back(run);
    }
    for (const auto& run : actions.cancels) {
      RC_ASSERT(this->streams.contains(run.number));
    }
    for (const auto& outgoing : actions.messages) {
      this->Check(outgoing.message);
    }
  }

  void RecordSent(const messages::Execute& execute) {
    this->sent[execute.attempt] = execute;
    this->deadlines.try_emplace(
        execute.attempt,
        this->now + std::chrono::milliseconds(execute.patience_ms));
  }

  /// Acts as the thread of a start and calls BeginStream.
  void Begin(std::size_t choice) {
    if (this->to_start.empty()) {
      return;
    }
    const auto chosen =
        this->to_start.begin() +
        static_cast<std::ptrdiff_t>(choice % this->to_start.size());
    const EngineRun run = *chosen;
    this->to_start.erase(chosen);
    DaemonActions actions;
    const auto call = this->daemon.BeginStream(run, this->now, actions);
    this->Apply(actions);
    if (!call) {
      return;
    }
    RC_ASSERT(!this->not_run.contains(run.attempt));
    RC_ASSERT(!this->ended.contains(run.attempt));
    RC_ASSERT(this->tokens[run.attempt] == call->resume_from);
    RC_ASSERT(call->execute.kind == WorkKind::kBatch ||
              this->now < this->deadlines.at(run.attempt));
    // Only repeatable work may be suspended and run more than once.
    RC_ASSERT(this->ran.insert(run.attempt).second || call->execute.repeatable);
    RC_ASSERT(this->open_attempts.insert(run.attempt).second);
    this->streams[run.number] = run;
    RC_ASSERT(this->streams.size() <= kSlots);
  }

  /// Lets a stream deliver a token or end.
  void Advance(std::size_t choice, int action) {
    if (this->streams.empty()) {
      return;
    }
    const auto chosen =
        std::next(this->streams.begin(),
                  static_cast<std::ptrdiff_t>(choice % this->streams.size()));
    const EngineRun run = chosen->second;
    if (action == 0) {
      DaemonActions actions;
      auto& count = this->tokens[run.attempt];
      if (this->daemon.AddToken(run, count, "t", this->now, actions)) {
        ++count;
        this->Apply(actions);
        return;
      }
    }
    const bool is_cancelled = this->daemon.IsCancelPending(run);
    this->streams.erase(chosen);
    this->open_attempts.erase(run.attempt);
    StreamOutcome outcome{.end = StreamEnd::kComplete};
    if (is_cancelled && action != 1) {
      outcome.end = StreamEnd::kCancelled;
    } else if (action == 2) {
      outcome = {.end = StreamEnd::kFailed, .verdict = Verdict::kMayHaveRun};
    }
    const auto& execute = this->sent.at(run.attempt);
    if (execute.kind == WorkKind::kBatch ? outcome.end == StreamEnd::kComplete
                                         : !execute.repeatable) {
      this->held.insert(run.attempt);
    }
    this->Apply(this->daemon.EndStream(run, outcome, this->now));
  }

  /// Ends all remaining work and checks that every attempt has ended.
  void Drain() {
    for (int i = 0; i < 1000 && this->daemon.active_count() > 0; ++i) {
      this->Begin(0);
      this->Advance(0, 1);
      this->now += std::chrono::milliseconds(1);
      this->Apply(this->daemon.Tick(this->now));
    }
    RC_ASSERT(this->daemon.active_count() == 0u);
    for (const auto& [id, execute] : this->sent) {
      RC_ASSERT(this->ends_reported.contains(id) ||
                (this->was_disconnected && execute.repeatable));
    }
    this->CheckHeld();
    this->Apply(this->daemon.SetLeaving(LeavingReason::kDrain, false));
    // Checks that every slot is free again, also for batch work, which leaves a
    // reserve to online bursts.
    this->now += std::chrono::hours(1);
    for (std::uint32_t i = 0; i < kSlots; ++i) {
      const auto actions = this->daemon.Execute(
          kEntry, MakeExecute("x" + std::to_string(i), WorkKind::kBatch),
          this->now);
      RC_ASSERT(actions.starts.size() == 1u);
    }
  }

  void Confirm(const std::string& id) {
    this->daemon.Confirm({id});
    this->held.erase(id);
  }

  DaemonDecisions daemon{SmallDaemon()};
  TimePoint now{};
  bool was_disconnected = false;

 private:
  void Check(const DaemonMessage& message) {
    if (const auto* done = std::get_if<messages::AttemptDone>(&message)) {
      this->RecordEnd(*done);
    } else if (const auto* reply =
                   std::get_if<messages::RevokeReply>(&message)) {
      if (reply->verdict == Verdict::kNotRun) {
        RC_ASSERT(!this->ran.contains(reply->attempt));
        this->not_run.insert(reply->attempt);
      }
    } else if (const auto* offer =
                   std::get_if<messages::OfferResults>(&message)) {
      for (const auto& result : offer->results) {
        RC_ASSERT(result.execute.kind == WorkKind::kOnline ||
                  result.done.complete);
        this->RecordEnd(result.done);
      }
    }
  }

  /// Checks that an entry that connects is offered every unconfirmed result.
  void CheckHeld() {
    std::set<std::string> offered;
    for (const auto& outgoing :
         this->daemon.Connect(kOtherEntry + 1).messages) {
      if (const auto* offer =
              std::get_if<messages::OfferResults>(&outgoing.message)) {
        for (const auto& result : offer->results) {
          offered.insert(result.done.attempt);
        }
      }
    }
    for (const auto& id : this->held) {
      RC_ASSERT(offered.contains(id));
    }
    this->daemon.Confirm({offered.begin(), offered.end()});
  }

  void RecordEnd(const messages::AttemptDone& done) {
    this->ends_reported.insert(done.attempt);
    RC_ASSERT(!this->open_attempts.contains(done.attempt));
    if (done.verdict == Verdict::kNotRun) {
      RC_ASSERT(!this->ran.contains(done.attempt));
      this->not_run.insert(done.attempt);
    } else if (this->ran.contains(done.attempt)) {
      this->ended.insert(done.attempt);
    }
  }

  std::vector<EngineRun> to_start;
  std::map<std::uint64_t, EngineRun> streams;
  std::set<std::string> open_attempts;
  std::map<std::string, std::uint32_t> tokens;
  std::map<std::string, messages::Execute> sent;
  std::map<std::string, TimePoint> deadlines;
  std::set<std::string> held;
  std::set<std::string> ran;
  std::set<std::string> not_run;
  std::set<std::string> ended;
  std::set<std::string> ends_reported;
};

}  // namespace

TEST_GROUP(DaemonDecisions_ArbitraryEvents){};

// Guards against a second run of an attempt, a run after "not run" was
// reported, more streams than slots, lost progress of suspended work, and an
// attempt whose end is neither reported nor held.
TEST(DaemonDecisions_ArbitraryEvents, InvariantsHold) {
  CHECK(rc::check([] {
    DaemonHarness harness;
    harness.Apply(harness.daemon.Connect(kEntry));
    harness.Apply(harness.daemon.Connect(kOtherEntry));
    const auto steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i) {
      const std::string id = "a" + std::to_string(*rc::gen::inRange(0, 20));
      const auto choice = *rc::gen::inRange<std::size_t>(0, 16);
      const ConnectionId entry =
          *rc::gen::inRange(0, 4) == 0 ? kOtherEntry : kEntry;
      switch (*rc::gen::inRange(0, 13)) {
        case 0:
        case 1:
        case 2: {
          // The kind follows from the id because a duplicate has the same
          // content.
          const std::size_t number = std::stoul(id.substr(1));
          const auto execute = MakeExecute(
              id, number % 2 == 0 ? WorkKind::kOnline : WorkKind::kBatch,
              number % 4 != 0, number % 5 == 0 ? 5 : 100000);
          harness.RecordSent(execute);
          harness.Apply(harness.daemon.Execute(entry, execute, harness.now));
          break;
        }
        case 3:
          harness.Apply(harness.daemon.Revoke(entry, 7, id, harness.now));
          break;
        case 4:
        case 5:
          harness.Begin(choice);
          break;
        case 6:
          harness.Confirm(id);
          break;
        case 7:
          harness.now += std::chrono::milliseconds(choice);
          harness.Apply(harness.daemon.Tick(harness.now));
          break;
        case 8:
          if (choice == 0) {
            harness.was_disconnected = true;
            harness.Apply(harness.daemon.Disconnect(entry, harness.now));
            harness.Apply(harness.daemon.Connect(entry));
          }
          break;
        case 9:
          if (choice < 2) {
            harness.Apply(
                harness.daemon.SetLeaving(LeavingReason::kDrain, choice == 0));
          }
          break;
        default:
          harness.Advance(choice, *rc::gen::inRange(0, 4) % 3);
          break;
      }
    }
    harness.Drain();
  }));
}

TEST_GROUP(DaemonDecisions_FullOfBatchWork) {
  DaemonDecisions daemon{SmallDaemon()};
  TimePoint now{};
  std::vector<EngineRun> starts;

  void setup() override {
    this->daemon.Connect(kEntry);
    for (const char* id : {"b1", "b2"}) {
      const auto actions = this->daemon.Execute(
          kEntry, MakeExecute(id, WorkKind::kBatch), this->now);
      this->starts.insert(this->starts.end(), actions.starts.begin(),
                          actions.starts.end());
    }
    CHECK_EQUAL(2u, this->starts.size());
  }
};

// Guards against a suspension that is lost because it is decided before the
// thread of the start has called the engine: the batch stream would keep its
// slot.
TEST(DaemonDecisions_FullOfBatchWork, SuspendBeforeTheEngineCallFreesTheSlot) {
  const auto actions = this->daemon.Execute(
      kEntry, MakeExecute("o", WorkKind::kOnline), this->now);
  CHECK(actions.cancels.empty());
  CHECK_EQUAL(1u, actions.starts.size());
  STRCMP_EQUAL("o", actions.starts[0].attempt.c_str());
  DaemonActions ignored;
  int begun = 0;
  for (const auto& run : this->starts) {
    begun += this->daemon.BeginStream(run, this->now, ignored) ? 1 : 0;
  }
  CHECK_EQUAL(1, begun);
}

// Guards against a revoked attempt that runs after "not run" was reported.
TEST(DaemonDecisions_FullOfBatchWork, RevokeBeforeTheEngineCallIsFinal) {
  const auto actions = this->daemon.Revoke(kEntry, 1, "b1", this->now);
  CHECK(std::get<messages::RevokeReply>(actions.messages[0].message).verdict ==
        Verdict::kNotRun);
  DaemonActions ignored;
  CHECK_FALSE(this->daemon.BeginStream(this->starts[0], this->now, ignored));
  const auto next = this->daemon.Execute(
      kEntry, MakeExecute("o", WorkKind::kOnline), this->now);
  CHECK_EQUAL(1u, next.starts.size());
}

// Guards against a resumed stream that repeats or loses tokens.
TEST(DaemonDecisions_FullOfBatchWork, SuspendedStreamResumesAfterItsTokens) {
  DaemonActions actions;
  for (const auto& run : this->starts) {
    CHECK(this->daemon.BeginStream(run, this->now, actions).has_value());
    CHECK(this->daemon.AddToken(run, 0, "x ", this->now, actions));
  }
  const auto online = this->daemon.Execute(
      kEntry, MakeExecute("o", WorkKind::kOnline), this->now);
  CHECK_EQUAL(1u, online.cancels.size());
  const auto freed = this->daemon.EndStream(
      online.cancels[0], {.end = StreamEnd::kCancelled}, this->now);
  CHECK_EQUAL(1u, freed.starts.size());
  CHECK(this->daemon.BeginStream(freed.starts[0], this->now, actions)
            .has_value());
  const auto resumed = this->daemon.EndStream(freed.starts[0], {}, this->now);
  CHECK_EQUAL(1u, resumed.starts.size());
  CHECK(resumed.starts[0].StreamName() != online.cancels[0].StreamName());
  const auto call =
      this->daemon.BeginStream(resumed.starts[0], this->now, actions);
  CHECK_EQUAL(1u, call->resume_from);
}

// Guards against a drain that is ended by the host list, which lags behind.
TEST(DaemonDecisions_FullOfBatchWork, HostListCannotEndADrain) {
  this->daemon.SetLeaving(LeavingReason::kDrain, true);
  this->daemon.SetLeaving(LeavingReason::kHostList, true);
  this->daemon.SetLeaving(LeavingReason::kHostList, false);
  const auto actions = this->daemon.Execute(
      kEntry, MakeExecute("o", WorkKind::kOnline), this->now);
  const auto& done =
      std::get<messages::AttemptDone>(actions.messages[0].message);
  CHECK(done.verdict == Verdict::kNotRun);
  STRCMP_EQUAL("endpoint_leaving", done.reason.c_str());
}

TEST_GROUP(CommandFence_Started){};

// Guards against a restarted daemon that accepts a stale command.
TEST(CommandFence_Started, AcceptsOnlyIncreasingNumbersAboveTheFloor) {
  CommandFence fence({kReplica});
  CHECK(fence.Accept(kReplica, 9) == CommandDecision::kNoFloor);
  CHECK(fence.SetFloor(kReplica, 7));
  CHECK_FALSE(fence.SetFloor(kReplica, 3));
  CHECK(fence.Accept(kReplica, 7) == CommandDecision::kStale);
  CHECK(fence.Accept(kReplica, 8) == CommandDecision::kAccepted);
  CHECK(fence.Accept(kReplica, 8) == CommandDecision::kStale);
  CHECK(fence.Accept("other", 9) == CommandDecision::kUnknownReplica);
}

}  // namespace crocus
