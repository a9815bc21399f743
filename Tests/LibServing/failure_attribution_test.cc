#include "LibServing/failure_attribution.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "LibCore/random.h"

namespace crocus {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
const std::array<std::string, 3> kReplicas{"r0", "r1", "r2"};

}  // namespace

TEST_GROUP(FailureAttribution_ThreeReplicas) {
  FailureAttribution failures;
  TimePoint now = kStart;
  WorkId next_work = 1000;

  static WorkRun Run(int replica, WorkId work) {
    return {.endpoint = "model", .replica = kReplicas[replica], .work = work};
  }

  FailureCause Fail(int replica, WorkId work,
                    FailureKind kind = FailureKind::kBroken) {
    this->now += std::chrono::milliseconds(1);
    return this->failures.OnFailure(Run(replica, work), kind, this->now);
  }

  void Serve(int replica, WorkId work) {
    this->now += std::chrono::milliseconds(1);
    this->failures.OnSuccess(Run(replica, work), this->now);
  }

  void ServeOthers() {
    for (int replica = 0; replica < 3; ++replica) {
      this->Serve(replica, this->next_work++);
    }
  }

  bool IsInBackoff(int replica) const {
    return this->failures.IsInBackoff(kReplicas[replica], this->now);
  }
};

// Guards against blame without evidence: one failure may have any cause.
TEST(FailureAttribution_ThreeReplicas, FirstFailureIsOpen) {
  CHECK(this->Fail(0, 1) == FailureCause::kOpen);
  CHECK_EQUAL(0U, this->failures.BeliefOf(WorkId{1}).failures);
  CHECK_FALSE(this->IsInBackoff(0));
}

// Guards against a failing replica that is left later than after three
// requests.
TEST(FailureAttribution_ThreeReplicas,
     ThirdFailureOfDifferentWorkIsItsReplicas) {
  this->ServeOthers();
  CHECK(this->Fail(0, 1) == FailureCause::kOpen);
  CHECK(this->Fail(0, 2) == FailureCause::kOpen);
  CHECK(this->Fail(0, 3) == FailureCause::kReplica);
  CHECK_TRUE(this->IsInBackoff(0));
  CHECK_FALSE(this->IsInBackoff(1));
}

// Guards against work that fails at one replica after the other and puts all of
// them in backoff.
TEST(FailureAttribution_ThreeReplicas,
     WorkThatFailsAtTwoSoundReplicasIsAtFault) {
  for (WorkId work = 1; work <= 20; ++work) {
    this->ServeOthers();
    CHECK(this->Fail(work % 3, work) == FailureCause::kOpen);
    CHECK(this->Fail((work + 1) % 3, work) == FailureCause::kWork);
    CHECK(this->Fail((work + 2) % 3, work) == FailureCause::kWork);
    CHECK_TRUE(this->failures.BeliefOf(work).is_failing);
  }
  CHECK_EQUAL(0U, this->failures.replicas_in_backoff(this->now));
}

// Guards against the same at an endpoint with one replica: what it serves after
// a failure shows that it is sound.
TEST(FailureAttribution_ThreeReplicas, ReplicaThatServesOthersIsNotAtFault) {
  for (int run = 0; run < 2; ++run) {
    CHECK(this->Fail(0, 1) ==
          (run == 0 ? FailureCause::kOpen : FailureCause::kWork));
    this->Serve(0, this->next_work++);
  }
  CHECK_TRUE(this->failures.BeliefOf(WorkId{1}).is_failing);
  CHECK_FALSE(this->IsInBackoff(0));
}

// Guards against sound work that is blamed because two replicas fail: the third
// one has served it.
TEST(FailureAttribution_ThreeReplicas,
     WorkThatIsServedElsewhereBlamesItsReplicas) {
  this->ServeOthers();
  for (WorkId work = 1; work <= 3; ++work) {
    this->Fail(0, work);
    this->Fail(1, work);
    this->Serve(2, work);
    CHECK_EQUAL(0U, this->failures.BeliefOf(work).failures);
  }
  CHECK_TRUE(this->IsInBackoff(0));
  CHECK_TRUE(this->IsInBackoff(1));
  CHECK_FALSE(this->IsInBackoff(2));
}

// Guards against answers without use, such as of status 500, that put a replica
// in backoff which serves others.
TEST(FailureAttribution_ThreeReplicas, UnusableAnswersCountAgainstNoReplica) {
  for (WorkId work = 1; work <= 10; ++work) {
    this->Fail(0, work, FailureKind::kUnusable);
  }
  CHECK_FALSE(this->IsInBackoff(0));
  this->Serve(0, this->next_work++);
  CHECK_EQUAL(1U, this->failures.BeliefOf(WorkId{1}).failures);
}

// Guards against blaming the work whose runs a crash of its replica has ended.
TEST(FailureAttribution_ThreeReplicas, CrashSaysNothingAboutTheWork) {
  this->ServeOthers();
  this->Fail(0, 1);
  this->Fail(0, 2);
  CHECK(this->Fail(0, 3, FailureKind::kUnreachable) == FailureCause::kReplica);
  CHECK_TRUE(this->IsInBackoff(0));
  CHECK(this->failures.BeliefOf("r0", this->now) ==
        ReplicaBelief::kUnreachable);
  CHECK_EQUAL(0U, this->failures.BeliefOf(WorkId{1}).replicas);
  this->failures.ResetReplica("r0");
  CHECK_FALSE(this->IsInBackoff(0));
  this->Serve(0, this->next_work++);
  CHECK_EQUAL(0U, this->failures.BeliefOf(WorkId{1}).failures);
}

// Guards against failing work that runs without a pause, or never again.
TEST(FailureAttribution_ThreeReplicas, PausesGrowAndAreBounded) {
  Duration last{};
  for (int run = 0; run < 12; ++run) {
    this->ServeOthers();
    this->Fail(run % 3, 1);
    const Duration pause = this->failures.PauseOf(1);
    CHECK(pause >= last);
    CHECK(pause <= std::chrono::seconds(10));
    last = pause;
  }
  CHECK(last == std::chrono::seconds(10));
  this->Serve(0, 1);
  this->Fail(0, 1);
  CHECK(this->failures.PauseOf(1) == std::chrono::milliseconds(300));
}

// Guards against a replica whose backoff ends at once, or that is believed
// sound without having served anything.
TEST(FailureAttribution_ThreeReplicas, ReplicaIsOnTrialAfterItsBackoff) {
  this->ServeOthers();
  for (WorkId work = 1; work <= 3; ++work) {
    this->Fail(0, work);
  }
  this->now += std::chrono::milliseconds(500);
  CHECK(this->failures.BeliefOf("r0", this->now) == ReplicaBelief::kOnTrial);
  CHECK(this->Fail(0, 4) == FailureCause::kReplica);
  this->now += std::chrono::milliseconds(500);
  CHECK_TRUE(this->IsInBackoff(0));
  this->Serve(0, 5);
  CHECK(this->failures.BeliefOf("r0", this->now) == ReplicaBelief::kSound);
}

// Guards against memory that grows with the number of failed requests.
TEST(FailureAttribution_ThreeReplicas, RememberedWorkIsBounded) {
  FailureAttribution bounded{{.maximum_works = 100}};
  for (WorkId work = 1; work <= 1000; ++work) {
    bounded.OnFailure(Run(0, work), FailureKind::kUnusable,
                      kStart + std::chrono::milliseconds(work));
  }
  const auto remembered = [&bounded] {
    std::size_t count = 0;
    for (WorkId work = 1; work <= 1000; ++work) {
      count += bounded.BeliefOf(work).replicas;
    }
    return count;
  };
  CHECK_EQUAL(100U, remembered());
  bounded.Expire(kStart + std::chrono::hours(1));
  CHECK_EQUAL(0U, remembered());
}

namespace {

/// Requests of sound callers and of one whose requests always fail, at three
/// replicas, one of which may fail.
struct Mixture {
  double failing_share = 0;
  /// Replicas at which a failed request is tried.
  int attempts = 1;
  int failing_replica = -1;
  std::uint64_t seed = 1;
};

struct MixtureResult {
  /// Requests that found a sound replica in backoff and another one not.
  int sound_left_out = 0;
  /// Sound requests at the failing replica before it was left.
  int sound_failures = 0;
};

MixtureResult RunMixture(const Mixture& mixture, int requests) {
  FailureAttribution failures;
  Random random(mixture.seed);
  MixtureResult result;
  TimePoint now = kStart;
  for (int i = 0; i < requests; ++i) {
    now += std::chrono::milliseconds(5);
    const bool fails = random.Chance(mixture.failing_share);
    const WorkId work = i + 1;
    std::vector<int> candidates;
    for (int replica = 0; replica < 3; ++replica) {
      if (!failures.IsInBackoff(kReplicas[replica], now)) {
        candidates.push_back(replica);
      }
    }
    if (candidates.empty()) {
      candidates = {0, 1, 2};
    }
    const auto sound = std::count_if(
        candidates.begin(), candidates.end(),
        [&mixture](int replica) { return replica != mixture.failing_replica; });
    result.sound_left_out +=
        sound < (mixture.failing_replica < 0 ? 3 : 2) ? 1 : 0;
    for (int attempt = 0; attempt < mixture.attempts && !candidates.empty();
         ++attempt) {
      const std::size_t index = random.Next() % candidates.size();
      const int replica = candidates[index];
      candidates.erase(candidates.begin() + index);
      const WorkRun run{
          .endpoint = "model", .replica = kReplicas[replica], .work = work};
      if (fails || replica == mixture.failing_replica) {
        result.sound_failures += fails ? 0 : 1;
        failures.OnFailure(run, FailureKind::kBroken, now);
      } else {
        failures.OnSuccess(run, now);
        break;
      }
    }
    failures.Forget(work);
  }
  return result;
}

}  // namespace

TEST_GROUP(FailureAttribution_MixedCallers){};

// Guards against a caller whose requests always fail and who ejects sound
// replicas for other callers, however many of the requests are that caller's,
// and whether they may be repeated or not. One request in 100 may find one left
// out: a row of failures can be chance.
TEST(FailureAttribution_MixedCallers, FailingCallerEjectsNoSoundReplica) {
  constexpr int kRequests = 20000;
  std::string wrong;
  for (const double share : {0.05, 0.2, 0.5, 0.8, 0.95, 1.0}) {
    for (const int attempts : {1, 2, 3}) {
      for (const std::uint64_t seed : {1, 2, 3}) {
        const auto result = RunMixture(
            {.failing_share = share, .attempts = attempts, .seed = seed},
            kRequests);
        if (result.sound_left_out > kRequests / 100) {
          wrong += std::to_string(share) + " with " + std::to_string(attempts) +
                   " attempts: " + std::to_string(result.sound_left_out) + "; ";
        }
      }
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

// Guards against a failing replica that is not left because some requests fail
// everywhere.
TEST(FailureAttribution_MixedCallers, FailingReplicaIsLeftAllTheSame) {
  constexpr int kRequests = 20000;
  for (const double share : {0.0, 0.05, 0.2}) {
    for (const int attempts : {1, 2, 3}) {
      const auto result = RunMixture(
          {.failing_share = share, .attempts = attempts, .failing_replica = 1},
          kRequests);
      // Left all the time, it would get a third of the requests. Its backoffs
      // end at most every 4 s, with one request each.
      CHECK(result.sound_failures < 60);
      CHECK(result.sound_left_out <= kRequests / 100);
    }
  }
}

}  // namespace crocus
