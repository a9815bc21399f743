#include "LibPolicy/replica_scheduler.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

using messages::WorkKind;

constexpr std::uint32_t kSlots = 4;
constexpr Duration kTimeout = std::chrono::seconds(30);

/// A simulated engine and daemon that carry out the scheduler's actions, with
/// the checks that must hold after each step.
class SchedulerHarness {
 public:
  SchedulerHarness()
      : predictor(std::make_shared<LengthPredictor>()),
        scheduler({.slots = kSlots, .reserve_slots = 2}, this->predictor) {
    // Observed lengths that make the requests of "brands" long and all others
    // short.
    for (int answer = 0; answer < 32; ++answer) {
      this->predictor->Observe({.workspace = "orders"}, 50);
    }
    for (int answer = 0; answer < 8; ++answer) {
      this->predictor->Observe({.workspace = "brands"}, 5000);
    }
  }

  void Submit(WorkKind kind, bool is_long) {
    const std::string id = std::to_string(this->submitted.size());
    const ScheduledWork work{.attempt = id,
                             .kind = kind,
                             .deadline = this->now + kTimeout,
                             .workspace = is_long ? "brands" : "orders",
                             .is_resumable = true};
    this->submitted[id] = work;
    this->queued.insert(id);
    this->Apply(this->scheduler.Submit(work, this->now));
  }

  /// Ends a stream at the engine. A suspended stream ends as cancelled unless
  /// `completes_first`.
  void End(std::size_t choice, bool completes_first) {
    if (this->engine.empty()) {
      return;
    }
    const std::string id =
        *std::next(this->engine.begin(),
                   static_cast<std::ptrdiff_t>(choice % this->engine.size()));
    this->engine.erase(id);
    const bool is_suspended = this->suspended.erase(id) > 0;
    const bool is_complete = !is_suspended || completes_first;
    if (is_complete) {
      this->scheduler.ReportAnswer(id, 50);
      this->ended.insert(id);
    } else {
      this->queued.insert(id);
    }
    this->Apply(this->scheduler.Finish(id, this->now));
    if (is_complete) {
      this->Apply(this->scheduler.Remove(id, this->now));
    }
  }

  void Advance(Duration time) {
    this->now += time;
    this->Apply(this->scheduler.Tick(this->now));
  }

  /// Ends all streams and checks that every attempt has ended.
  void Drain() {
    for (std::size_t round = 0;
         round < 4 * this->submitted.size() && !this->engine.empty(); ++round) {
      this->End(round, false);
    }
    RC_ASSERT(this->engine.empty());
    RC_ASSERT(this->queued.empty());
    RC_ASSERT(this->ended.size() == this->submitted.size());
  }

 private:
  void Apply(const SchedulerActions& actions) {
    for (const auto& id : actions.suspend) {
      RC_ASSERT(this->engine.contains(id));
      RC_ASSERT(this->suspended.insert(id).second);
    }
    for (const auto& id : actions.expired) {
      RC_ASSERT(this->queued.erase(id) == 1);
      // An attempt that has been started must not be reported as not run.
      RC_ASSERT(!this->has_run.contains(id));
      RC_ASSERT(this->submitted.at(id).deadline <= this->now);
      this->ended.insert(id);
    }
    for (const auto& id : actions.start) {
      RC_ASSERT(this->queued.erase(id) == 1);
      RC_ASSERT(this->engine.insert(id).second);
      this->has_run.insert(id);
    }
    this->Check();
  }

  void Check() const {
    RC_ASSERT(this->engine.size() <= kSlots);
    const auto count = [this](const std::set<std::string>& ids, WorkKind kind,
                              std::optional<bool> is_long) {
      return std::count_if(ids.begin(), ids.end(), [&](const auto& id) {
        const ScheduledWork& work = this->submitted.at(id);
        return work.kind == kind && (!is_long || *is_long == IsLong(work));
      });
    };
    const auto long_running = count(this->engine, WorkKind::kOnline, true);
    RC_ASSERT(long_running <= this->scheduler.long_slots());
    RC_ASSERT(this->scheduler.long_slots() < kSlots);
    // For each waiting online attempt that may start, a suspension is in
    // progress, or there is no batch stream left to suspend.
    const auto waiting_short = count(this->queued, WorkKind::kOnline, false);
    const auto waiting_long = std::min<std::ptrdiff_t>(
        count(this->queued, WorkKind::kOnline, true),
        this->scheduler.long_slots() -
            std::min<std::ptrdiff_t>(long_running,
                                     this->scheduler.long_slots()));
    const auto batch = count(this->engine, WorkKind::kBatch, std::nullopt) -
                       count(this->suspended, WorkKind::kBatch, std::nullopt);
    RC_ASSERT(batch == 0 ||
              waiting_short + waiting_long <=
                  static_cast<std::ptrdiff_t>(this->suspended.size()));
    // No slot is free while a short online request waits.
    RC_ASSERT(waiting_short == 0 || this->engine.size() == kSlots);
  }

  static bool IsLong(const ScheduledWork& work) {
    return work.workspace == "brands";
  }

  std::shared_ptr<LengthPredictor> predictor;
  ReplicaScheduler scheduler;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  std::map<std::string, ScheduledWork> submitted;
  std::set<std::string> queued;
  std::set<std::string> engine;
  std::set<std::string> suspended;
  std::set<std::string> has_run;
  std::set<std::string> ended;
};

}  // namespace

TEST_GROUP(ReplicaScheduler_RandomWork){};

// Guards against online work that waits behind batch work, too many streams at
// the engine, long requests that occupy all slots, and attempts that are lost
// or started twice.
TEST(ReplicaScheduler_RandomWork, InvariantsHoldAfterEachStepAndNothingIsLost) {
  CHECK(rc::check([] {
    SchedulerHarness harness;
    const auto steps =
        *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0u, 100u)));
    for (const auto& [step, value] : steps) {
      switch (step) {
        case 0:
        case 1:
          harness.Submit(WorkKind::kBatch, value % 4 == 0);
          break;
        case 2:
        case 3:
          harness.Submit(WorkKind::kOnline, value % 3 == 0);
          break;
        case 4:
        case 5:
        case 6:
          harness.End(value, value % 5 == 0);
          break;
        default:
          harness.Advance(std::chrono::milliseconds(value * 100));
      }
    }
    harness.Drain();
  }));
}

TEST_GROUP(ReplicaScheduler_FullOfBatch) {
  ReplicaScheduler scheduler{{.slots = 2, .reserve_slots = 0}};
  TimePoint now = TimePoint{} + std::chrono::hours(1);

  SchedulerActions SubmitOnline(const std::string& attempt) {
    return this->scheduler.Submit(
        {.attempt = attempt, .deadline = this->now + kTimeout}, this->now);
  }
  void setup() override {
    for (const char* attempt : {"b1", "b2", "b3"}) {
      this->scheduler.Submit({.attempt = attempt, .kind = WorkKind::kBatch},
                             this->now);
    }
  }
};

// Guards against a suspended item that is queued behind items that have not
// started.
TEST(ReplicaScheduler_FullOfBatch, SuspendedItemResumesBeforeNewItems) {
  const SchedulerActions arrival = this->SubmitOnline("o1");
  CHECK_EQUAL(1u, arrival.suspend.size());
  CHECK(arrival.start.empty());
  CHECK(this->scheduler.Finish(arrival.suspend.front(), this->now).start ==
        std::vector<std::string>{"o1"});
  CHECK(this->scheduler.Finish("o1", this->now).start == arrival.suspend);
}

// Guards against a slot that is never released when an item completes while it
// is being suspended.
TEST(ReplicaScheduler_FullOfBatch,
     ItemThatCompletesWhileSuspendedIsNotStartedAgain) {
  const std::string victim = this->SubmitOnline("o1").suspend.front();
  this->scheduler.ReportAnswer(victim, 10);
  this->scheduler.Finish(victim, this->now);
  this->scheduler.Remove(victim, this->now);
  CHECK(this->scheduler.Finish("o1", this->now).start ==
        std::vector<std::string>{"b3"});
}

// Guards against batch work that keeps the time between online tokens above its
// target.
TEST(ReplicaScheduler_FullOfBatch, SlowOnlineTokensReduceTheBatchStreams) {
  this->scheduler.Finish(this->SubmitOnline("o1").suspend.front(), this->now);
  CHECK_EQUAL(1u, this->scheduler.batch_running());
  std::size_t suspended = 0;
  for (std::uint32_t tokens = 1; tokens < 20; ++tokens) {
    this->now += std::chrono::milliseconds(100);
    suspended +=
        this->scheduler.ReportTokens("o1", tokens, this->now).suspend.size();
  }
  CHECK_EQUAL(1u, suspended);
}

TEST_GROUP(ReplicaScheduler_FullOfLongRequests) {
  std::shared_ptr<LengthPredictor> predictor =
      std::make_shared<LengthPredictor>();
  ReplicaScheduler scheduler{{.slots = 2, .long_share = 1}, this->predictor};
  TimePoint now = TimePoint{} + std::chrono::hours(1);

  void setup() override {
    for (int answer = 0; answer < 32; ++answer) {
      this->predictor->Observe({.workspace = "orders"}, 50);
      this->predictor->Observe({.workspace = "brands"}, answer < 4 ? 5000 : 50);
    }
    for (const char* attempt : {"l1", "l2"}) {
      this->scheduler.Submit({.attempt = attempt,
                              .deadline = this->now + kTimeout,
                              .workspace = "brands",
                              .is_resumable = true},
                             this->now);
      this->scheduler.ReportTokens(attempt, 1000, this->now);
    }
  }
};

// Guards against short requests that wait for a request that turned out to be
// long.
TEST(ReplicaScheduler_FullOfLongRequests, ShortRequestSuspendsALongOne) {
  this->now += std::chrono::seconds(2);
  const SchedulerActions actions = this->scheduler.Submit(
      {.attempt = "s", .deadline = this->now + kTimeout}, this->now);
  CHECK_EQUAL(1u, actions.suspend.size());
  CHECK(this->scheduler.Finish(actions.suspend.front(), this->now).start ==
        std::vector<std::string>{"s"});
  CHECK(this->scheduler.Finish("s", this->now).start == actions.suspend);
}

// Guards against reporting a request as not run although it has run.
TEST(ReplicaScheduler_FullOfLongRequests, SuspendedRequestDoesNotExpire) {
  this->now += std::chrono::seconds(2);
  const SchedulerActions actions = this->scheduler.Submit(
      {.attempt = "s", .deadline = this->now + kTimeout}, this->now);
  this->scheduler.Finish(actions.suspend.front(), this->now);
  this->now += kTimeout;
  CHECK(this->scheduler.Tick(this->now).expired.empty());
  CHECK(this->scheduler.Finish("s", this->now).start == actions.suspend);
}

}  // namespace crocus
