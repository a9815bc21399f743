#ifndef ENTRY_ROUTE_PLANNER_H_
#define ENTRY_ROUTE_PLANNER_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Entry/daemon_connections.h"
#include "Entry/online_request.h"
#include "LibPolicy/admission.h"
#include "LibPolicy/hedge_policy.h"
#include "LibPolicy/outlier_detector.h"
#include "LibPolicy/retry_budget.h"
#include "LibPolicy/router.h"
#include "LibRules/rule_set.h"

namespace crocus {

/// Replica to which an attempt is sent.
struct RoutePlan {
  /// `candidate.replica` is unique among the replicas of all daemons: it
  /// consists of the daemon's address and the replica's name.
  RouteCandidate candidate;
  std::string endpoint;
  /// Name of the replica at its daemon.
  std::string replica;
  /// The replica is ejected, and the attempt tests whether it has recovered. A
  /// hedge, already charged to the budget, is sent at once, so that the caller
  /// does not have to wait for the probe.
  bool is_probe = false;

  bool operator==(const RoutePlan&) const = default;
};

/// Records the times and failures that the entry observes at replicas, and
/// chooses replicas for all online requests based on them. Thread-safe; its
/// lock is taken after that of a RequestRun and before that of
/// DaemonConnections.
class RoutePlanner {
 public:
  RoutePlanner(DaemonConnections& daemon_connections,
               RouterOptions options,
               std::uint64_t seed);

  void SetRules(std::shared_ptr<const RuleSet> rules);
  std::shared_ptr<const RuleSet> rules() const;

  /// Chooses a replica that is not in `excluded`, and an ejected one only if
  /// there is no other. With `may_probe`, the request may be sent as a probe to
  /// an ejected replica.
  std::optional<RoutePlan> Plan(const OnlineRequest& request,
                                const std::set<std::string>& excluded,
                                bool may_probe,
                                TimePoint now);

  /// Load of the replicas that serve the model, for admission.
  AdmissionLoad LoadFor(const std::string& model, TimePoint now) const;

  void OnRequest(const std::string& model, TimePoint now);
  void OnFirstToken(const std::string& model,
                    const RoutePlan& plan,
                    Duration time,
                    TimePoint now);
  void OnToken(const RoutePlan& plan, Duration time, TimePoint now);
  void OnWaiting(const RoutePlan& plan, Duration waited, TimePoint now);
  void OnFinished(const RoutePlan& plan, Duration time, TimePoint now);
  void OnRefused(const RoutePlan& plan, Duration retry_after, TimePoint now);
  void OnFailure(const RoutePlan& plan, TimePoint now);

  /// Delay after the dispatch at which a hedge may be sent; nothing for a
  /// request that must not run twice.
  std::optional<Duration> HedgeDelay(const std::string& model,
                                     bool is_repeatable) const;
  /// Charge a hedge or a retry to its budget. Return false if it is used up.
  bool TryHedge(const std::string& model, TimePoint now);
  bool TryRetry(TimePoint now);

 private:
  struct Endpoint {
    OutlierDetector detector;
    TimePoint last_evaluated{};
    /// Ejected replicas whose ejection has been logged.
    std::set<std::string> logged_ejections;
  };
  /// `views` and `candidates` describe the same replicas in the same order.
  struct ReplicaChoices {
    std::vector<ReplicaView> views;
    std::vector<RouteCandidate> candidates;
  };

  /// This function and the following ones require the lock.
  ReplicaChoices UsableReplicas(const std::string& model) const;
  void Evaluate(const ReplicaChoices& choices, TimePoint now);
  void LogEjectionChanges(const std::string& name, Endpoint& endpoint) const;
  std::optional<std::size_t> TakeProbe(const ReplicaChoices& choices,
                                       const std::string& model,
                                       TimePoint now);
  bool IsEjected(const ReplicaView& view, const std::string& replica) const;

  DaemonConnections& daemon_connections;
  mutable std::mutex mutex;
  Router router;
  std::map<std::string, Endpoint> endpoints;
  std::map<std::string, HedgePolicy> hedge_policies;
  RetryBudget retry_budget;
  std::shared_ptr<const RuleSet> current_rules =
      std::make_shared<const RuleSet>();
};

}  // namespace crocus

#endif  // ENTRY_ROUTE_PLANNER_H_
