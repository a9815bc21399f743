#include "LibPolicy/router.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace crocus {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

RouteCandidate MakeCandidate(const std::string& replica,
                             const std::string& region,
                             std::uint32_t outstanding) {
  return {.daemon = "d-" + replica,
          .replica = replica,
          .availability_zone = region + "-1",
          .region = region,
          .slots = 8,
          .outstanding = outstanding};
}

RuleSet RulesWithOverflow(double share) {
  RuleSet rules;
  rules.overflows[{"here", "there"}] = {
      .minimum_gain = std::chrono::milliseconds(100), .maximum_share = share};
  return rules;
}

RouterOptions Options() {
  return {.availability_zone = "here-1", .region = "here"};
}

}  // namespace

TEST_GROUP(Router_AnyLoad){};

// Guards against overflow above the declared share, whatever the loads are.
TEST(Router_AnyLoad, OverflowStaysWithinTheShare) {
  CHECK(rc::check([] {
    const double share = *rc::gen::inRange(0, 100) / 100.0;
    const bool has_local = *rc::gen::arbitrary<bool>();
    Router router(Options(), *rc::gen::arbitrary<std::uint64_t>());
    double overflowed = 0;
    const int requests = *rc::gen::inRange(1, 300);
    for (int i = 0; i < requests; ++i) {
      std::vector<RouteCandidate> candidates = {
          MakeCandidate("far", "there", *rc::gen::inRange(0, 20))};
      if (has_local) {
        candidates.push_back(
            MakeCandidate("near", "here", *rc::gen::inRange(0, 200)));
      }
      const auto chosen = router.Choose(
          candidates, {.prompt = "x", .max_tokens = 4},
          RulesWithOverflow(share), kStart + i * std::chrono::milliseconds(50));
      RC_ASSERT(!has_local || chosen);
      overflowed += chosen && *chosen == 0 ? 1 : 0;
    }
    RC_ASSERT(overflowed <= 1 + share * requests);
  }));
}

// Guards against sending traffic to another region without a gain, or without a
// rule that allows it.
TEST(Router_AnyLoad, NoOverflowWithoutGainOrRule) {
  CHECK(rc::check([](std::uint64_t seed, bool has_rule) {
    Router router(Options(), seed);
    const RuleSet rules = has_rule ? RulesWithOverflow(1) : RuleSet{};
    const std::uint32_t local_load = has_rule ? 7 : 100;
    for (int i = 0; i < 100; ++i) {
      const auto chosen =
          router.Choose({MakeCandidate("far", "there", 0),
                         MakeCandidate("near", "here", local_load)},
                        {.prompt = "x", .max_tokens = 4}, rules,
                        kStart + i * std::chrono::milliseconds(50));
      RC_ASSERT(chosen == std::optional<std::size_t>(1));
    }
  }));
}

// Guards against a popular prefix that overloads the replica that has it
// cached.
TEST(Router_AnyLoad, PrefixAffinityKeepsTheLoadBound) {
  CHECK(rc::check([](std::uint64_t seed) {
    Router router(Options(), seed);
    std::vector<RouteCandidate> candidates;
    for (int i = 0; i < 6; ++i) {
      candidates.push_back(MakeCandidate("r" + std::to_string(i), "here", 0));
      candidates.back().slots = 100;
    }
    const std::string prompt(512, 'p');
    constexpr std::uint32_t kRequests = 36;
    for (std::uint32_t i = 0; i < kRequests; ++i) {
      const auto chosen = router.Choose(
          candidates, {.prompt = prompt, .max_tokens = 4}, {}, kStart);
      ++candidates[*chosen].outstanding;
    }
    for (const auto& candidate : candidates) {
      RC_ASSERT(candidate.outstanding <= 8);
    }
  }));
}

TEST_GROUP(Router_SlowReplica){};

// Guards against giving a delayed load report more weight than the times that
// this entry observes: the report shows an idle replica while its first tokens
// take ten times as long.
TEST(Router_SlowReplica, OwnTimesOutweighTheLateReport) {
  Router router(Options(), 1);
  std::vector<RouteCandidate> candidates = {MakeCandidate("fast", "here", 2),
                                            MakeCandidate("slow", "here", 0)};
  for (int i = 0; i < 5; ++i) {
    router.OnFirstToken("fast", std::chrono::milliseconds(20), kStart);
    router.OnFirstToken("slow", std::chrono::milliseconds(200), kStart);
  }
  for (int i = 0; i < 50; ++i) {
    CHECK_EQUAL(0u, *router.Choose(candidates, {.prompt = "x", .max_tokens = 4},
                                   {}, kStart));
  }
}

// Guards against a new replica that is never chosen because the observed ones
// are faster than the times assumed for it.
TEST(Router_SlowReplica, ReplicaWithoutTimesIsTried) {
  Router router(Options(), 1);
  const std::vector<RouteCandidate> candidates = {
      MakeCandidate("known", "here", 0), MakeCandidate("new", "here", 0)};
  std::size_t tried = 0;
  for (int i = 0; i < 50; ++i) {
    router.OnFirstToken("known", std::chrono::milliseconds(5), kStart);
    tried += *router.Choose(candidates, {.prompt = "x", .max_tokens = 4}, {},
                            kStart);
  }
  CHECK(tried > 10);
}

// Guards against sending further requests to a replica that has just refused
// one.
TEST(Router_SlowReplica, RefusingReplicaIsAvoided) {
  Router router(Options(), 1);
  const std::vector<RouteCandidate> candidates = {
      MakeCandidate("busy", "here", 7), MakeCandidate("leaving", "here", 0)};
  router.OnRefused(candidates[1], Duration(0), kStart);
  CHECK_EQUAL(0u, *router.Choose(candidates, {.prompt = "x", .max_tokens = 4},
                                 {}, kStart));
  CHECK_EQUAL(1u, *router.Choose(candidates, {.prompt = "x", .max_tokens = 4},
                                 {}, kStart + std::chrono::seconds(1)));
}

// Guards against sending further requests to a replica whose streams have just
// stalled, and against suspecting one without open streams.
TEST(Router_SlowReplica, ReplicaWithOverdueTokensIsSuspected) {
  Router router(Options(), 1);
  router.OnSent("r", kStart);
  router.OnFirstToken("r", std::chrono::milliseconds(100), kStart);
  router.OnToken("r", std::chrono::milliseconds(40), kStart);
  CHECK_FALSE(router.IsSuspected("r", kStart + std::chrono::milliseconds(70)));
  const TimePoint late = kStart + std::chrono::milliseconds(90);
  CHECK(router.IsSuspected("r", late));
  const std::vector<RouteCandidate> candidates = {
      MakeCandidate("r", "here", 1), MakeCandidate("other", "here", 4)};
  CHECK_EQUAL(1u, *router.Choose(candidates, {.prompt = "x", .max_tokens = 4},
                                 {}, late));
  router.OnEnded("r", late);
  CHECK_FALSE(router.IsSuspected("r", late));
}

}  // namespace crocus
