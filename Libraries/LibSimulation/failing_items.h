#ifndef LIBSIMULATION_FAILING_ITEMS_H_
#define LIBSIMULATION_FAILING_ITEMS_H_

#include <cstdint>
#include <vector>

#include "LibCore/time.h"
#include "LibServing/failure_attribution.h"

namespace crocus {

struct FailingItemsOptions {
  std::uint32_t replicas = 3;
  /// Slots of each replica.
  std::uint32_t slots = 8;
  /// Whether each item fails at each run, in the order in which they are due.
  std::vector<bool> fails;
  FailureKind kind = FailureKind::kBroken;
  Duration run_time = std::chrono::milliseconds(300);
  /// Time after which a failing run ends.
  Duration failing_run_time{};
  std::uint64_t seed = 1;
};

struct FailingItemsResult {
  /// Time until all sound items are done.
  Duration sound_done{};
  /// Sound items that are not done after `kFailingItemsLimit`.
  std::uint32_t sound_left = 0;
  /// Runs of failing items until then.
  std::uint32_t failing_runs = 0;

  bool operator==(const FailingItemsResult&) const = default;
};

/// Longest time that is simulated.
constexpr Duration kFailingItemsLimit = std::chrono::minutes(10);

/// Runs the items of one batch job, some of which fail at each run, in virtual
/// time with the decisions of the gateway: the order of the items, the choice
/// of the replica and the attribution of failures.
FailingItemsResult SimulateFailingItems(const FailingItemsOptions& options);

/// A share of failing items, spread evenly over `count` items.
std::vector<bool> FailingShare(std::size_t count, double share);

}  // namespace crocus

#endif  // LIBSIMULATION_FAILING_ITEMS_H_
