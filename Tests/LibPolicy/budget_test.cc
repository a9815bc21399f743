#include <deque>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "LibPolicy/hedge_policy.h"
#include "LibPolicy/retry_budget.h"

namespace crocus {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

}  // namespace

TEST_GROUP(RetryBudget_AnyTraffic){};

// Guards against a retry storm: the extra attempts within the window never
// exceed the share of the window's requests or the minimum.
TEST(RetryBudget_AnyTraffic, ExtraAttemptsStayWithinTheShare) {
  CHECK(rc::check([] {
    const auto window = *rc::gen::inRange<std::size_t>(
        1, RetryBudget::kMaximumWindowSeconds + 1);
    RetryBudget budget({.window_seconds = window});
    const double share = *rc::gen::inRange(0, 50) / 100.0;
    std::deque<std::int64_t> requests;
    std::deque<std::int64_t> taken;
    TimePoint now = kStart;
    for (int step = 0; step < 400; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 200));
      const std::int64_t second = now.time_since_epoch().count() / 1000000;
      const auto is_old = [second, window](std::int64_t other) {
        return other <= second - static_cast<std::int64_t>(window);
      };
      std::erase_if(requests, is_old);
      std::erase_if(taken, is_old);
      if (*rc::gen::inRange(0, 3) > 0) {
        budget.OnRequest(now);
        requests.push_back(second);
      }
      const double limit =
          std::max(1.0, share * static_cast<double>(requests.size()));
      const bool is_allowed = budget.TryTake(share, now);
      RC_ASSERT(is_allowed == (static_cast<double>(taken.size()) + 1 <= limit));
      if (is_allowed) {
        taken.push_back(second);
      }
    }
  }));
}

TEST_GROUP(HedgePolicy_RecentTimes){};

// Guards against a second run of a request that must not run twice.
TEST(HedgePolicy_RecentTimes, NonRepeatableRequestIsNeverHedged) {
  HedgePolicy policy;
  CHECK_FALSE(policy.Delay(false).has_value());
  CHECK(policy.Delay(true).has_value());
}

// Guards against a hedge delay that grows with the slow replicas that hedging
// is meant to bypass: one request in five is ten times slower.
TEST(HedgePolicy_RecentTimes, DelayStaysNearTheMedian) {
  HedgePolicy policy;
  for (int i = 0; i < 320; ++i) {
    policy.OnFirstToken(milliseconds(i % 5 == 0 ? 200 : 20));
  }
  CHECK(*policy.Delay(true) == milliseconds(30));
}

}  // namespace crocus
