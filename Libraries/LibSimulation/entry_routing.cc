#include "LibSimulation/entry_routing.h"

#include <algorithm>

namespace crocus {

namespace {

const std::string kEndpoint = "models";

/// At least RouterOptions::minimum_prefix_bytes, so that the router considers
/// which replica has the prefix cached.
constexpr std::size_t kPromptBytes = 256;

RuleSet MakeRules(const RoutingContext& context) {
  RuleSet rules;
  rules.endpoints[kEndpoint] = {};
  for (const auto& from : context.regions) {
    for (const auto& to : context.regions) {
      if (from != to) {
        rules.overflows[{from, to}] = {};
      }
    }
  }
  return rules;
}

std::string NameOfReplica(std::size_t replica) {
  return std::to_string(replica);
}

}  // namespace

EntryRouting::EntryRouting(const RoutingContext& context)
    : rules(MakeRules(context)),
      router({.availability_zone = context.zone,
              .region = context.region,
              .zone_round_trip = context.zone_round_trip,
              .region_round_trip = context.region_round_trip},
             context.seed) {}

std::optional<std::size_t> EntryRouting::Choose(
    const RoutingRequest& request,
    const std::vector<ReplicaView>& replicas,
    TimePoint now) {
  std::vector<std::string> names;
  for (const auto& view : replicas) {
    names.push_back(NameOfReplica(view.index));
  }
  const auto& ejected = this->outlier_detector.Evaluate(
      names, this->rules.endpoints[kEndpoint].ejected_share, now);
  if (const auto probe = this->outlier_detector.TakeProbe(now)) {
    const auto found = std::find(names.begin(), names.end(), *probe);
    const auto position = found - names.begin();
    if (replicas[position].region == request.region) {
      return position;
    }
  }
  std::vector<RouteCandidate> candidates;
  std::vector<std::size_t> positions;
  for (std::size_t position = 0; position < replicas.size(); ++position) {
    const ReplicaView& view = replicas[position];
    if (ejected.contains(names[position])) {
      continue;
    }
    positions.push_back(position);
    candidates.push_back({.replica = names[position],
                          .availability_zone = view.zone,
                          .region = view.region,
                          .slots = view.slots,
                          .outstanding = view.outstanding,
                          .reported_online = view.reported_online,
                          .outstanding_at_report = view.outstanding_at_report,
                          .reported = view.reported});
  }
  std::string prompt = request.prefix;
  prompt.resize(kPromptBytes, ' ');
  const auto chosen = this->router.Choose(
      candidates, {.prompt = prompt, .max_tokens = request.token_limit},
      this->rules, now);
  return chosen ? std::optional(positions[*chosen]) : std::nullopt;
}

std::optional<Duration> EntryRouting::HedgeDelay() const {
  return this->hedge_policy.Delay(true);
}

bool EntryRouting::TryHedge(TimePoint now) {
  return this->hedge_policy.TryHedge(
      this->rules.budgets, this->router.IsSuspected(this->waiting_replica, now),
      now);
}

void EntryRouting::ObserveSent(std::size_t replica, TimePoint now) {
  this->router.OnSent(NameOfReplica(replica), now);
  this->hedge_policy.OnRequest(now);
}

void EntryRouting::ObserveWaiting(std::size_t replica,
                                  Duration waited,
                                  TimePoint now) {
  this->waiting_replica = NameOfReplica(replica);
  this->router.OnWaiting(NameOfReplica(replica), waited, now);
  this->outlier_detector.OnWaiting(NameOfReplica(replica), waited, now);
}

void EntryRouting::ObserveFirstToken(std::size_t replica,
                                     Duration wait,
                                     TimePoint now) {
  this->router.OnFirstToken(NameOfReplica(replica), wait, now);
  this->outlier_detector.OnFirstToken(NameOfReplica(replica), wait, now);
  this->hedge_policy.OnFirstToken(wait);
}

void EntryRouting::ObserveToken(std::size_t replica,
                                Duration gap,
                                TimePoint now) {
  this->router.OnToken(NameOfReplica(replica), gap, now);
  this->outlier_detector.OnToken(NameOfReplica(replica), gap, now);
}

void EntryRouting::ObserveEnd(std::size_t replica,
                              Duration time,
                              bool is_complete,
                              TimePoint now) {
  this->router.OnEnded(NameOfReplica(replica), now);
  if (is_complete) {
    this->router.OnFinished(NameOfReplica(replica), time, now);
  }
}

}  // namespace crocus
