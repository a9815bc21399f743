#ifndef LIBSIMULATION_ENTRY_ROUTING_H_
#define LIBSIMULATION_ENTRY_ROUTING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibPolicy/hedge_policy.h"
#include "LibPolicy/outlier_detector.h"
#include "LibPolicy/router.h"
#include "LibRules/rule_set.h"
#include "LibSimulation/routing_policy.h"

namespace crocus {

/// Routing policy of the entry for repeatable online requests: Router,
/// OutlierDetector and HedgePolicy, with default rules that allow overflow
/// between all regions.
class EntryRouting {
 public:
  explicit EntryRouting(const RoutingContext& context);

  std::optional<std::size_t> Choose(const RoutingRequest& request,
                                    const std::vector<ReplicaView>& replicas,
                                    TimePoint now);
  std::optional<Duration> HedgeDelay() const;
  bool TryHedge(TimePoint now);
  void ObserveSent(std::size_t replica, TimePoint now);
  void ObserveWaiting(std::size_t replica, Duration waited, TimePoint now);
  void ObserveFirstToken(std::size_t replica, Duration wait, TimePoint now);
  void ObserveToken(std::size_t replica, Duration gap, TimePoint now);
  void ObserveEnd(std::size_t replica,
                  Duration time,
                  bool is_complete,
                  TimePoint now);

 private:
  RuleSet rules;
  Router router;
  OutlierDetector outlier_detector;
  HedgePolicy hedge_policy;
  /// Replica of the last ObserveWaiting call. TryHedge is called right after
  /// ObserveWaiting and checks whether this replica is suspected to be slow.
  std::string waiting_replica;
};

}  // namespace crocus

#endif  // LIBSIMULATION_ENTRY_ROUTING_H_
