#include "LibPolicy/router.h"

#include <algorithm>
#include <cmath>

#include "LibCore/hashing.h"

namespace crocus {

namespace {

/// Weight of the newest time in the running means.
constexpr double kNewestWeight = 0.2;

/// Weight of the newest time in the usual times, and the multiple of the usual
/// time above which a time counts as this multiple.
constexpr double kUsualWeight = 0.02;
constexpr double kLargestUsualFactor = 1.5;

/// Tokens whose time counts in the cost of a replica; more would let noise in
/// the time of one token outweigh the wait.
constexpr std::uint32_t kCountedTokens = 16;

/// Added for a replica that refused a moment ago: used only if all did.
constexpr double kRefusalCostSeconds = 3600;

/// Added for a replica whose tokens are all overdue: it may be slow, so that
/// others are preferred, also those with a short queue.
constexpr double kOverdueCostSeconds = 1;

/// A token is overdue after this multiple of the typical time, and a first
/// token likewise; its time varies with the length of the prompt.
constexpr double kOverdueTokens = 2;
constexpr double kOverdueFirstTokens = 1.25;

/// A replica is suspected if its time between tokens exceeds this multiple of
/// the usual one. The first gap of a replica slowed 5 times passes it.
constexpr double kSuspectedTokens = 1.5;

/// No token is overdue before the time between tokens is known.
constexpr Duration kUnknownTokenTime = std::chrono::hours(1);

/// Largest number of spilled requests that may follow each other at once.
constexpr double kLargestSpillCredit = 8;

double Clamp01(double value) {
  return std::clamp(value, 0.0, 1.0);
}

}  // namespace

std::optional<std::size_t> Router::Choose(
    const std::vector<RouteCandidate>& candidates,
    const RouteRequest& request,
    const RuleSet& rules,
    TimePoint now) {
  const auto local = this->ChooseLocal(candidates, request, now);
  const auto spill = this->ChooseSpill(candidates, local, request, rules, now);
  return spill ? spill : local;
}

void Router::OnSent(const std::string& replica, TimePoint now) {
  Observation& observation = this->observations[replica];
  if (observation.open == 0) {
    observation.due = this->DueAfter(&Observation::first_token,
                                     this->options.initial_first_token, now);
  }
  ++observation.open;
}

void Router::OnEnded(const std::string& replica, TimePoint now) {
  Observation& observation = this->observations[replica];
  observation.open -= observation.open > 0 ? 1 : 0;
  // What is left may be waiting for its first token.
  if (now < observation.due) {
    observation.due = this->DueAfter(&Observation::first_token,
                                     this->options.initial_first_token, now);
  }
}

void Router::OnWaiting(const std::string& replica,
                       Duration waited,
                       TimePoint now) {
  const Observation& observation = this->observations[replica];
  // The time so far is only a lower bound of the time to the first token.
  if (ToSeconds(waited) > this->Seconds(&observation, &Observation::first_token,
                                        Duration(0), now)) {
    this->Update(this->observations[replica].first_token, waited, now);
  }
}

void Router::OnFirstToken(const std::string& replica,
                          Duration time,
                          TimePoint now) {
  this->Add(replica, &Observation::first_token, time, now);
  this->observations[replica].due =
      this->DueAfter(&Observation::token, kUnknownTokenTime, now);
}

void Router::OnToken(const std::string& replica, Duration time, TimePoint now) {
  this->Add(replica, &Observation::token, time, now);
  this->observations[replica].due =
      this->DueAfter(&Observation::token, kUnknownTokenTime, now);
}

void Router::OnFinished(const std::string& replica,
                        Duration time,
                        TimePoint now) {
  this->Add(replica, &Observation::service, time, now);
}

void Router::OnRefused(const RouteCandidate& candidate,
                       Duration retry_after,
                       TimePoint now) {
  const Duration avoided =
      retry_after.count() > 0 ? retry_after : this->options.refusal_memory;
  this->observations[candidate.replica].avoided_until = now + avoided;
  if (candidate.region != this->options.region) {
    this->overflows[candidate.region].openness /= 2;
  }
}

void Router::OnCacheHint(std::uint64_t prefix, const std::string& replica) {
  if (this->hints.size() >= this->options.cache_hints &&
      !this->hints.contains(prefix)) {
    // Prefixes are hashes, so the one that follows is an arbitrary one.
    const auto victim = this->hints.upper_bound(prefix);
    this->hints.erase(victim == this->hints.end() ? this->hints.begin()
                                                  : victim);
  }
  this->hints[prefix] = replica;
}

std::uint64_t Router::PrefixOf(std::string_view prompt) const {
  return HashBytes(prompt.substr(0, this->options.prefix_bytes));
}

bool Router::IsSuspected(const std::string& replica, TimePoint now) const {
  const auto found = this->observations.find(replica);
  if (found == this->observations.end() || found->second.open == 0) {
    return false;
  }
  const double usual =
      this->Seconds(&this->usual, &Observation::token, Duration(0), now);
  return now > found->second.due ||
         this->Seconds(&found->second, &Observation::token, Duration(0), now) >
             kSuspectedTokens * usual;
}

Duration Router::ExpectedWait(const RouteCandidate& candidate,
                              TimePoint now) const {
  const auto found = this->observations.find(candidate.replica);
  const Observation* observation =
      found == this->observations.end() ? nullptr : &found->second;
  const double first_token =
      this->Seconds(observation, &Observation::first_token,
                    this->options.initial_first_token, now);
  const double service = this->Seconds(observation, &Observation::service,
                                       this->options.initial_service, now);
  const double slots = std::max(1u, candidate.slots);
  const double load = this->LoadOf(candidate, now);
  // A free slot still costs more on a busy replica, which shares its batch.
  const double busy = first_token * std::min(1.0, load / slots);
  const double queue = std::max(0.0, load + 1 - slots) / slots * service;
  return FromSeconds(first_token + busy + queue);
}

void Router::Add(const std::string& replica,
                 std::optional<Mean> Observation::*mean,
                 Duration time,
                 TimePoint now) {
  this->Update(this->observations[replica].*mean, time, now);
  this->Update(this->typical.*mean, time, now);
  this->UpdateUsual(this->usual.*mean, time, now);
}

void Router::UpdateUsual(std::optional<Mean>& mean,
                         Duration time,
                         TimePoint now) const {
  const double seconds = ToSeconds(time);
  if (!mean || now - mean->updated > this->options.observation_memory) {
    mean = {.seconds = seconds, .updated = now};
    return;
  }
  const double bounded = std::min(seconds, kLargestUsualFactor * mean->seconds);
  mean->seconds += kUsualWeight * (bounded - mean->seconds);
  mean->updated = now;
}

void Router::Update(std::optional<Mean>& mean,
                    Duration time,
                    TimePoint now) const {
  const double seconds = ToSeconds(time);
  if (!mean || now - mean->updated > this->options.observation_memory) {
    mean = {.seconds = seconds, .updated = now};
    return;
  }
  mean->seconds += kNewestWeight * (seconds - mean->seconds);
  mean->updated = now;
}

double Router::Seconds(const Observation* observation,
                       std::optional<Mean> Observation::*mean,
                       Duration fallback,
                       TimePoint now) const {
  for (const Observation* source : {observation, &this->typical}) {
    if (source != nullptr && source->*mean &&
        now - (source->*mean)->updated <= this->options.observation_memory) {
      return (source->*mean)->seconds;
    }
  }
  return ToSeconds(fallback);
}

TimePoint Router::DueAfter(std::optional<Mean> Observation::*mean,
                           Duration fallback,
                           TimePoint now) const {
  const double factor =
      mean == &Observation::token ? kOverdueTokens : kOverdueFirstTokens;
  return now +
         FromSeconds(factor * this->Seconds(&this->usual, mean, fallback, now));
}

double Router::LoadOf(const RouteCandidate& candidate, TimePoint now) const {
  const double others =
      candidate.reported_online > candidate.outstanding_at_report
          ? candidate.reported_online - candidate.outstanding_at_report
          : 0;
  const double age = ToSeconds(now - candidate.reported) /
                     ToSeconds(this->options.report_memory);
  return candidate.outstanding + others * Clamp01(1 - age);
}

bool Router::HasFreeSlot(const RouteCandidate& candidate, TimePoint now) const {
  return this->LoadOf(candidate, now) + 1 <= candidate.slots;
}

double Router::CostOf(const RouteCandidate& candidate,
                      const RouteRequest& request,
                      TimePoint now) const {
  double cost = ToSeconds(this->ExpectedWait(candidate, now));
  if (candidate.region != this->options.region) {
    cost += ToSeconds(this->options.region_round_trip);
  } else if (candidate.availability_zone != this->options.availability_zone) {
    cost += ToSeconds(this->options.zone_round_trip);
  }
  const auto found = this->observations.find(candidate.replica);
  const Observation* observation =
      found == this->observations.end() ? nullptr : &found->second;
  const std::uint32_t tokens = std::min(request.max_tokens, kCountedTokens);
  cost += tokens *
          this->Seconds(observation, &Observation::token, Duration(0), now);
  if (this->IsSuspected(candidate.replica, now)) {
    cost += kOverdueCostSeconds;
  }
  if (observation != nullptr && now < observation->avoided_until) {
    cost += kRefusalCostSeconds;
  }
  return cost;
}

std::optional<std::size_t> Router::ChooseOfTwo(
    const std::vector<RouteCandidate>& candidates,
    const Indices& indices,
    const RouteRequest& request,
    TimePoint now) {
  if (indices.empty()) {
    return std::nullopt;
  }
  const std::size_t first = this->random.Below(indices.size());
  std::size_t second = first;
  if (indices.size() > 1) {
    second = this->random.Below(indices.size() - 1);
    second += second >= first ? 1 : 0;
  }
  const double first_cost =
      this->CostOf(candidates[indices[first]], request, now);
  const double second_cost =
      this->CostOf(candidates[indices[second]], request, now);
  return indices[second_cost < first_cost ? second : first];
}

std::optional<std::size_t> Router::ChooseLocal(
    const std::vector<RouteCandidate>& candidates,
    const RouteRequest& request,
    TimePoint now) {
  Indices region;
  Indices zone;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].region != this->options.region) {
      continue;
    }
    region.push_back(i);
    if (candidates[i].availability_zone == this->options.availability_zone) {
      zone.push_back(i);
    }
  }
  const auto near = this->ChooseOfTwo(candidates, zone, request, now);
  const auto far = this->ChooseOfTwo(candidates, region, request, now);
  if (!far) {
    return std::nullopt;
  }
  const auto cost = [&](std::size_t index) {
    return this->CostOf(candidates[index], request, now);
  };
  const std::size_t best = near && cost(*near) <= cost(*far) ? *near : *far;
  const auto cached = this->ChooseByPrefix(candidates, region, request, now);
  // A cached prefix saves at most the time to the first token.
  if (cached && cost(*cached) <= cost(best) + ToSeconds(this->ExpectedWait(
                                                  candidates[best], now))) {
    return cached;
  }
  return best;
}

std::optional<std::size_t> Router::ChooseByPrefix(
    const std::vector<RouteCandidate>& candidates,
    const Indices& local,
    const RouteRequest& request,
    TimePoint now) const {
  if (request.prompt.size() < this->options.shortest_prefix_bytes) {
    return std::nullopt;
  }
  const std::uint64_t prefix = this->PrefixOf(request.prompt);
  double total = 0;
  for (const std::size_t index : local) {
    total += this->LoadOf(candidates[index], now);
  }
  const double bound =
      std::ceil(this->options.affinity_load_bound * (total + 1) /
                static_cast<double>(local.size()));
  const auto hint = this->hints.find(prefix);
  std::optional<std::size_t> best;
  std::uint64_t best_weight = 0;
  for (const std::size_t index : local) {
    const RouteCandidate& candidate = candidates[index];
    // A cached prefix saves less time than a wait for a slot costs.
    if (this->LoadOf(candidate, now) + 1 >
        std::min(bound, static_cast<double>(candidate.slots))) {
      continue;
    }
    if (hint != this->hints.end() && hint->second == candidate.replica) {
      return index;
    }
    // Rendezvous hashing: few prefixes move when replicas come or go.
    const std::uint64_t weight = HashBytes(candidate.replica, prefix);
    if (!best || weight > best_weight) {
      best = index;
      best_weight = weight;
    }
  }
  return best;
}

std::optional<std::size_t> Router::ChooseSpill(
    const std::vector<RouteCandidate>& candidates,
    std::optional<std::size_t> local,
    const RouteRequest& request,
    const RuleSet& rules,
    TimePoint now) {
  std::map<std::string, Indices> regions;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].region != this->options.region) {
      regions[candidates[i].region].push_back(i);
    }
  }
  std::optional<std::size_t> best;
  double best_cost = 0;
  for (const auto& [region, indices] : regions) {
    const auto rule = rules.overflows.find({this->options.region, region});
    if (rule == rules.overflows.end()) {
      continue;
    }
    const auto remote = this->ChooseOfTwo(candidates, indices, request, now);
    const double cost = this->CostOf(candidates[*remote], request, now);
    std::optional<double> gain;
    if (local) {
      gain = this->CostOf(candidates[*local], request, now) - cost;
    }
    // A free slot elsewhere is not overloaded by a request that would wait.
    const bool is_free = local && !this->HasFreeSlot(candidates[*local], now) &&
                         this->HasFreeSlot(candidates[*remote], now);
    if (this->TakeSpill(this->overflows[region], rule->second, gain, is_free,
                        now) &&
        (!best || cost < best_cost)) {
      best = remote;
      best_cost = cost;
    }
  }
  return best;
}

bool Router::TakeSpill(Spill& spill,
                       const OverflowRule& rule,
                       std::optional<double> gain,
                       bool is_free,
                       TimePoint now) {
  const double elapsed =
      spill.updated == TimePoint{} ? 0 : ToSeconds(now - spill.updated);
  spill.updated = now;
  spill.openness = Clamp01(spill.openness +
                           elapsed / ToSeconds(this->options.spill_recovery));
  spill.credit =
      std::min(kLargestSpillCredit, spill.credit + rule.maximum_share);
  const double minimum = ToSeconds(rule.minimum_gain);
  if (gain) {
    const double weight =
        1 - std::exp(-elapsed / ToSeconds(this->options.spill_smoothing));
    // Refused replicas have a prohibitive cost; it must not fill the mean.
    const double bounded = std::clamp(*gain, -4 * minimum, 4 * minimum);
    spill.smoothed_gain += weight * (bounded - spill.smoothed_gain);
    // The probability rises with the smoothed gain, so that the traffic does
    // not move to and fro between regions as a whole.
    const double excess = minimum > 0 ? spill.smoothed_gain / minimum - 1 : 1;
    if (*gain <= minimum ||
        !(is_free || this->random.Chance(Clamp01(excess)))) {
      return false;
    }
  }
  if (spill.credit < 1 || !this->random.Chance(spill.openness)) {
    return false;
  }
  spill.credit -= 1;
  return true;
}

}  // namespace crocus
