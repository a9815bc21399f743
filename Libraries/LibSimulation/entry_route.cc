#include "LibSimulation/entry_route.h"

#include <algorithm>

namespace crocus {

namespace {

const std::string kEndpoint = "models";

/// Long enough for the router to regard it as a prefix.
constexpr std::size_t kPromptBytes = 256;

RuleSet MakeRules(const RouteContext& context) {
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

std::string NameOf(std::size_t replica) {
  return std::to_string(replica);
}

}  // namespace

EntryRoute::EntryRoute(const RouteContext& context)
    : rules(MakeRules(context)),
      router({.availability_zone = context.zone,
              .region = context.region,
              .zone_round_trip = context.zone_round_trip,
              .region_round_trip = context.region_round_trip},
             context.seed) {}

std::optional<std::size_t> EntryRoute::Choose(
    const RouteInput& input,
    const std::vector<ReplicaView>& replicas,
    TimePoint now) {
  std::vector<std::string> names;
  for (const auto& view : replicas) {
    names.push_back(NameOf(view.index));
  }
  const auto& ejected = this->outliers.Evaluate(
      names, this->rules.endpoints[kEndpoint].ejected_share, now);
  if (const auto probe = this->outliers.TakeProbe(now)) {
    const auto found = std::find(names.begin(), names.end(), *probe);
    const auto position = found - names.begin();
    if (replicas[position].region == input.region) {
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
  std::string prompt = input.prefix;
  prompt.resize(kPromptBytes, ' ');
  const auto chosen = this->router.Choose(
      candidates, {.prompt = prompt, .max_tokens = input.token_limit},
      this->rules, now);
  return chosen ? std::optional(positions[*chosen]) : std::nullopt;
}

std::optional<Duration> EntryRoute::HedgeDelay() const {
  return this->hedges.Delay(true);
}

bool EntryRoute::TryHedge(TimePoint now) {
  return this->hedges.TryHedge(
      this->rules.budgets, this->router.IsSuspected(this->waiting, now), now);
}

void EntryRoute::ObserveSent(std::size_t replica, TimePoint now) {
  this->router.OnSent(NameOf(replica), now);
  this->hedges.OnRequest(now);
}

void EntryRoute::ObserveWaiting(std::size_t replica,
                                Duration waited,
                                TimePoint now) {
  this->waiting = NameOf(replica);
  this->router.OnWaiting(NameOf(replica), waited, now);
  this->outliers.OnWaiting(NameOf(replica), waited, now);
}

void EntryRoute::ObserveFirstToken(std::size_t replica,
                                   Duration wait,
                                   TimePoint now) {
  this->router.OnFirstToken(NameOf(replica), wait, now);
  this->outliers.OnFirstToken(NameOf(replica), wait, now);
  this->hedges.OnFirstToken(wait);
}

void EntryRoute::ObserveToken(std::size_t replica,
                              Duration gap,
                              TimePoint now) {
  this->router.OnToken(NameOf(replica), gap, now);
  this->outliers.OnToken(NameOf(replica), gap, now);
}

void EntryRoute::ObserveEnd(std::size_t replica,
                            Duration time,
                            bool is_complete,
                            TimePoint now) {
  this->router.OnEnded(NameOf(replica), now);
  if (is_complete) {
    this->router.OnFinished(NameOf(replica), time, now);
  }
}

}  // namespace crocus
