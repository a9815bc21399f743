#include "LibPolicy/admission.h"

#include <map>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace crocus {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

AdmissionRequest MakeRequest(const std::string& workspace,
                             std::uint32_t tokens = 10) {
  return {.workspace = workspace,
          .request_class = "default",
          .model = "proof",
          .max_tokens = tokens,
          .timeout = std::chrono::seconds(1)};
}

}  // namespace

TEST_GROUP(Admission_AnyTraffic){};

// Guards against a workspace that exceeds its rate limits or its concurrency
// limit.
TEST(Admission_AnyTraffic, LimitsOfTheWorkspaceHold) {
  CHECK(rc::check([] {
    RuleSet rules;
    const double rate = *rc::gen::inRange(1, 50);
    const double token_rate = *rc::gen::inRange(10, 500);
    const auto concurrent = *rc::gen::inRange<std::uint32_t>(1, 10);
    rules.workspaces["w"] = {.requests_per_second = rate,
                             .tokens_per_second = token_rate,
                             .concurrent_requests = concurrent};
    Admission admission({});
    std::uint32_t running = 0;
    double admitted = 0;
    double tokens = 0;
    TimePoint now = kStart;
    constexpr std::uint32_t kMaximumRequestTokens = 40;
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 40));
      const auto request =
          MakeRequest("w", *rc::gen::inRange(1u, kMaximumRequestTokens));
      if (running > 0 && *rc::gen::inRange(0, 2) == 0) {
        admission.Finish(request, now);
        --running;
      }
      if (!admission.Admit(request, {.slots = 100}, rules, now)) {
        ++running;
        ++admitted;
        tokens += request.max_tokens;
      }
      RC_ASSERT(running <= concurrent);
      const double seconds = ToSeconds(now - kStart);
      RC_ASSERT(admitted <= rate * (seconds + 1) + 1);
      RC_ASSERT(tokens <= token_rate * (seconds + 1) + kMaximumRequestTokens);
    }
  }));
}

// Guards against one workspace that occupies all slots under overload while
// another with an equal share has work.
TEST(Admission_AnyTraffic, SharesHoldUnderOverload) {
  CHECK(rc::check([] {
    RuleSet rules;
    const double weight = *rc::gen::inRange(1, 5);
    rules.workspaces["heavy"].share = weight;
    Admission admission({.shared_requests_per_slot = 1});
    constexpr std::uint32_t kSlots = 24;
    std::map<std::string, std::uint32_t> running;
    for (int step = 0; step < 300; ++step) {
      const std::string name = *rc::gen::inRange(0, 2) == 0 ? "heavy" : "light";
      const std::uint32_t total = running["heavy"] + running["light"];
      const TimePoint now = kStart + step * milliseconds(1);
      if (running[name] > 0 && *rc::gen::inRange(0, 3) == 0) {
        admission.Finish(MakeRequest(name), now);
        --running[name];
      } else if (!admission.Admit(MakeRequest(name),
                                  {.slots = kSlots, .outstanding = total},
                                  rules, now)) {
        ++running[name];
        const double share =
            name == "heavy" ? weight / (weight + 1) : 1 / (weight + 1);
        // Without overload, a workspace may use free slots of the other.
        RC_ASSERT(total < kSlots || running[name] <= kSlots * share + 1 ||
                  running.size() < 2);
      }
    }
  }));
}

// Guards against refusing a request that would wait only briefly for a slot.
TEST(Admission_AnyTraffic, OnlyWorkspaceMayQueueBehindBusySlots) {
  Admission admission({});
  for (std::uint32_t i = 0; i < 16; ++i) {
    CHECK_FALSE(
        admission
            .Admit(MakeRequest("w"), {.slots = 8, .outstanding = i}, {}, kStart)
            .has_value());
  }
  CHECK(
      admission
          .Admit(MakeRequest("w"), {.slots = 8, .outstanding = 16}, {}, kStart)
          .has_value());
}

// Guards against admitting a request whose expected wait exceeds its timeout.
TEST(Admission_AnyTraffic, ExpectedWaitBeyondTheTimeoutIsRefused) {
  Admission admission({});
  const auto refusal = admission.Admit(
      MakeRequest("w"), {.slots = 8, .expected_wait = std::chrono::seconds(3)},
      {}, kStart);
  CHECK(refusal.has_value());
  STRCMP_EQUAL("patience_too_short", refusal->reason.c_str());
  CHECK(refusal->retry_after == std::chrono::seconds(2));
}

}  // namespace crocus
