#include "Entry/route_planner.h"

#include <algorithm>
#include <utility>

#include "LibEvents/event_log.h"

namespace crocus {

namespace {

/// Minimum interval between two evaluations of an endpoint's ejections, since
/// each evaluation examines all of its replicas.
constexpr std::chrono::milliseconds kEvaluationInterval{20};

/// Retries that the budget permits at any traffic, so that they stay possible
/// when traffic is low.
constexpr double kMinimumRetries = 3;

EndpointRule FindEndpointRule(const RuleSet& rules,
                              const std::string& endpoint) {
  const auto found = rules.endpoints.find(endpoint);
  return found == rules.endpoints.end() ? EndpointRule{} : found->second;
}

RouteCandidate MakeCandidate(const ReplicaView& view) {
  return {
      .daemon = view.daemon,
      .replica = view.daemon + "/" + view.load.replica,
      .availability_zone = view.availability_zone,
      .region = view.region,
      .slots = view.load.slots,
      .outstanding = view.outstanding,
      .reported_online = view.load.online_running + view.load.online_waiting,
      .outstanding_at_report = view.outstanding_at_report,
      .reported = view.reported};
}

}  // namespace

RoutePlanner::RoutePlanner(DaemonConnections& daemon_connections,
                           RouterOptions options,
                           std::uint64_t seed)
    : daemon_connections(daemon_connections),
      router(std::move(options), seed),
      retry_budget({.minimum = kMinimumRetries}) {}

void RoutePlanner::SetRules(std::shared_ptr<const RuleSet> rules) {
  std::lock_guard lock(this->mutex);
  this->current_rules = std::move(rules);
}

std::shared_ptr<const RuleSet> RoutePlanner::rules() const {
  std::lock_guard lock(this->mutex);
  return this->current_rules;
}

std::optional<RoutePlan> RoutePlanner::Plan(
    const OnlineRequest& request,
    const std::set<std::string>& excluded,
    bool may_probe,
    TimePoint now) {
  std::lock_guard lock(this->mutex);
  ReplicaChoices usable = this->UsableReplicas(request.model);
  this->Evaluate(usable, now);
  std::optional<std::size_t> chosen;
  if (may_probe) {
    chosen = this->TakeProbe(usable, request.model, now);
  }
  const bool is_probe = chosen.has_value();
  if (!chosen) {
    ReplicaChoices healthy_replicas;
    ReplicaChoices ejected_replicas;
    for (std::size_t i = 0; i < usable.views.size(); ++i) {
      if (excluded.contains(usable.candidates[i].replica)) {
        continue;
      }
      ReplicaChoices& target =
          this->IsEjected(usable.views[i], usable.candidates[i].replica)
              ? ejected_replicas
              : healthy_replicas;
      target.views.push_back(std::move(usable.views[i]));
      target.candidates.push_back(std::move(usable.candidates[i]));
    }
    usable = healthy_replicas.views.empty() ? std::move(ejected_replicas)
                                            : std::move(healthy_replicas);
    chosen = this->router.Choose(
        usable.candidates,
        {.prompt = request.prompt, .max_tokens = request.max_tokens},
        *this->current_rules, now);
  }
  if (!chosen) {
    return std::nullopt;
  }
  return RoutePlan{.candidate = usable.candidates[*chosen],
                   .endpoint = usable.views[*chosen].load.endpoint,
                   .replica = usable.views[*chosen].load.replica,
                   .is_probe = is_probe};
}

AdmissionLoad RoutePlanner::LoadFor(const std::string& model,
                                    TimePoint now) const {
  std::lock_guard lock(this->mutex);
  const ReplicaChoices usable = this->UsableReplicas(model);
  AdmissionLoad load;
  Duration shortest_wait = Duration::max();
  bool has_free_slot = false;
  for (const auto& candidate : usable.candidates) {
    load.slots += candidate.slots;
    load.outstanding += candidate.outstanding;
    has_free_slot |= candidate.outstanding < candidate.slots;
    if (!has_free_slot) {
      shortest_wait =
          std::min(shortest_wait, this->router.ExpectedWait(candidate, now));
    }
  }
  load.expected_wait =
      has_free_slot || usable.candidates.empty() ? Duration(0) : shortest_wait;
  return load;
}

void RoutePlanner::OnRequest(const std::string& model, TimePoint now) {
  std::lock_guard lock(this->mutex);
  this->hedge_policies[model].OnRequest(now);
  this->retry_budget.OnRequest(now);
}

void RoutePlanner::OnFirstToken(const std::string& model,
                                const RoutePlan& plan,
                                Duration time,
                                TimePoint now) {
  std::lock_guard lock(this->mutex);
  this->hedge_policies[model].OnFirstToken(time);
  this->router.OnFirstToken(plan.candidate.replica, time, now);
  this->endpoints[plan.endpoint].detector.OnFirstToken(plan.candidate.replica,
                                                       time, now);
}

void RoutePlanner::OnToken(const RoutePlan& plan,
                           Duration time,
                           TimePoint now) {
  std::lock_guard lock(this->mutex);
  this->router.OnToken(plan.candidate.replica, time, now);
  this->endpoints[plan.endpoint].detector.OnToken(plan.candidate.replica, time,
                                                  now);
}

void RoutePlanner::OnWaiting(const RoutePlan& plan,
                             Duration waited,
                             TimePoint now) {
  std::lock_guard lock(this->mutex);
  this->router.OnWaiting(plan.candidate.replica, waited, now);
  this->endpoints[plan.endpoint].detector.OnWaiting(plan.candidate.replica,
                                                    waited, now);
}

void RoutePlanner::OnFinished(const RoutePlan& plan,
                              Duration time,
                              TimePoint now) {
  std::lock_guard lock(this->mutex);
  this->router.OnFinished(plan.candidate.replica, time, now);
}

void RoutePlanner::OnRefused(const RoutePlan& plan,
                             Duration retry_after,
                             TimePoint now) {
  std::lock_guard lock(this->mutex);
  this->router.OnRefused(plan.candidate, retry_after, now);
}

void RoutePlanner::OnFailure(const RoutePlan& plan, TimePoint now) {
  std::lock_guard lock(this->mutex);
  this->router.OnRefused(plan.candidate, Duration(0), now);
  this->endpoints[plan.endpoint].detector.OnFailure(plan.candidate.replica,
                                                    now);
}

std::optional<Duration> RoutePlanner::HedgeDelay(const std::string& model,
                                                 bool is_repeatable) const {
  std::lock_guard lock(this->mutex);
  const auto found = this->hedge_policies.find(model);
  return found == this->hedge_policies.end()
             ? HedgePolicy().Delay(is_repeatable)
             : found->second.Delay(is_repeatable);
}

bool RoutePlanner::TryHedge(const std::string& model, TimePoint now) {
  std::lock_guard lock(this->mutex);
  // FIXME: Call Router::OnSent and OnEnded for each attempt and use IsSuspected
  // here; without these calls the router never suspects a replica. RequestRun
  // reports tokens in groups, so the router must first take the duration of a
  // group into account, or it would suspect every replica between two reports.
  return this->hedge_policies[model].TryHedge(this->current_rules->budgets,
                                              /*is_suspected=*/true, now);
}

bool RoutePlanner::TryRetry(TimePoint now) {
  std::lock_guard lock(this->mutex);
  return this->retry_budget.TryTake(this->current_rules->budgets.retry_share,
                                    now);
}

RoutePlanner::ReplicaChoices RoutePlanner::UsableReplicas(
    const std::string& model) const {
  ReplicaChoices usable;
  for (auto& view : this->daemon_connections.ReplicasFor(model)) {
    if (FindEndpointRule(*this->current_rules, view.load.endpoint).is_leaving) {
      continue;
    }
    usable.candidates.push_back(MakeCandidate(view));
    usable.views.push_back(std::move(view));
  }
  return usable;
}

void RoutePlanner::Evaluate(const ReplicaChoices& choices, TimePoint now) {
  std::map<std::string, std::vector<std::string>> replicas;
  for (std::size_t i = 0; i < choices.views.size(); ++i) {
    const auto& name = choices.views[i].load.endpoint;
    if (now - this->endpoints[name].last_evaluated >= kEvaluationInterval) {
      replicas[name].push_back(choices.candidates[i].replica);
    }
  }
  for (const auto& [name, names] : replicas) {
    Endpoint& endpoint = this->endpoints[name];
    endpoint.last_evaluated = now;
    endpoint.detector.Evaluate(
        names, FindEndpointRule(*this->current_rules, name).ejected_share, now);
    this->LogEjectionChanges(name, endpoint);
  }
}

void RoutePlanner::LogEjectionChanges(const std::string& name,
                                      Endpoint& endpoint) const {
  const auto& ejected = endpoint.detector.ejected();
  for (const auto& replica : ejected) {
    if (!endpoint.logged_ejections.contains(replica)) {
      LogEvent(Event::kReplicaEjected,
               {{"endpoint", name}, {"replica", replica}});
    }
  }
  for (const auto& replica : endpoint.logged_ejections) {
    if (!ejected.contains(replica)) {
      LogEvent(Event::kReplicaReturned,
               {{"endpoint", name}, {"replica", replica}});
    }
  }
  endpoint.logged_ejections = ejected;
}

std::optional<std::size_t> RoutePlanner::TakeProbe(
    const ReplicaChoices& choices,
    const std::string& model,
    TimePoint now) {
  std::set<std::string> names;
  for (const auto& view : choices.views) {
    names.insert(view.load.endpoint);
  }
  for (const auto& name : names) {
    const auto probed = this->endpoints[name].detector.TakeProbe(now);
    const auto found =
        std::find_if(choices.candidates.begin(), choices.candidates.end(),
                     [&probed](const auto& candidate) {
                       return probed && candidate.replica == *probed;
                     });
    if (found != choices.candidates.end() &&
        this->hedge_policies[model].TryHedge(this->current_rules->budgets,
                                             /*is_suspected=*/true, now)) {
      return static_cast<std::size_t>(found - choices.candidates.begin());
    }
  }
  return std::nullopt;
}

bool RoutePlanner::IsEjected(const ReplicaView& view,
                             const std::string& replica) const {
  const auto endpoint = this->endpoints.find(view.load.endpoint);
  return endpoint != this->endpoints.end() &&
         endpoint->second.detector.ejected().contains(replica);
}

}  // namespace crocus
