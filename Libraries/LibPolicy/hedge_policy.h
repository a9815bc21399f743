#ifndef LIBPOLICY_HEDGE_POLICY_H_
#define LIBPOLICY_HEDGE_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "LibPolicy/retry_budget.h"
#include "LibRules/rule_set.h"

namespace crocus {

struct HedgePolicyOptions {
  /// Quantile of the recent times to first token after which a hedge is sent.
  double quantile = 0.95;
  /// The delay is clamped to these multiples of the recent median, because with
  /// many slowed replicas the quantile itself is slow.
  double minimum_median_factor = 1.5;
  double maximum_median_factor = 1.5;
  /// Used until enough times have been observed.
  Duration initial_delay = std::chrono::milliseconds(500);
  Duration minimum_delay = std::chrono::milliseconds(2);
  /// Maximum number of recent times from which the delay is computed.
  std::size_t maximum_samples = 256;
  /// Share of the budget that is available to requests at replicas that are not
  /// suspected to be slow, such as requests that take long because of a long
  /// prompt.
  double unsuspected_budget_share = 0.6;
  /// The budget accumulates over a minute while replicas are healthy and is
  /// spent when they are slow. With a window of 10 s, the budget of an entry
  /// with 2.5 requests/s allowed one hedge.
  RetryBudgetOptions budget{.window_seconds = 60};

  bool operator==(const HedgePolicyOptions&) const = default;
};

/// Decides when a second attempt of a repeatable request is sent. One policy
/// covers requests whose times are comparable, such as those of one model.
/// Not thread-safe.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgePolicyOptions options = {})
      : options(options), budget(options.budget) {}

  void OnRequest(TimePoint now) { this->budget.OnRequest(now); }
  /// Time from the first dispatch of a request to its first token.
  void OnFirstToken(Duration time);

  /// Returns the delay after the dispatch at which a hedge may be sent; nothing
  /// for a request that must not run twice.
  std::optional<Duration> Delay(bool is_repeatable) const;

  /// Takes a hedge from the budget and returns true if the budget allows one.
  /// Part of the budget is kept for requests at replicas that are suspected to
  /// be slow.
  bool TryHedge(const BudgetRule& rule, bool is_suspected, TimePoint now) {
    const double budget_share =
        is_suspected ? 1 : this->options.unsuspected_budget_share;
    return this->budget.TryTake(budget_share * rule.hedge_share, now);
  }

 private:
  void UpdateDelay();

  const HedgePolicyOptions options;
  RetryBudget budget;
  std::vector<Duration> times;
  std::size_t next = 0;
  std::optional<Duration> delay;
};

}  // namespace crocus

#endif  // LIBPOLICY_HEDGE_POLICY_H_
