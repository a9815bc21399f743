#include "LibPolicy/router.h"

#include <algorithm>
#include <cmath>

#include "LibCore/hashing.h"

namespace crocus {

namespace {

/// Weight of the newest time in the running means.
constexpr double kNewestWeight = 0.2;

/// Weight of the newest time in the baseline.
constexpr double kBaselineWeight = 0.02;

/// A time above this multiple of the baseline counts as this multiple.
constexpr double kMaximumBaselineFactor = 1.5;

/// Maximum number of tokens whose time counts in the cost of a replica; with
/// more, noise in the time of one token would outweigh the wait.
constexpr std::uint32_t kMaximumCountedTokens = 16;

/// Added to the cost of a replica that refused a moment ago, so that any other
/// candidate is preferred.
constexpr double kRefusalCostSeconds = 3600;

/// Added to the cost of a replica that is suspected to be slow, so that others
/// are preferred, including those with a short queue.
constexpr double kSuspectedCostSeconds = 1;

/// A token is overdue after this multiple of the baseline time between tokens.
constexpr double kOverdueTokenFactor = 2;

/// A first token is overdue after this multiple of the baseline time to the
/// first token. The actual time varies with the length of the prompt, which the
/// baseline does not include.
constexpr double kOverdueFirstTokenFactor = 1.25;

/// A replica is suspected if its time between tokens exceeds this multiple of
/// the baseline. The first gap of a replica slowed 5 times exceeds it.
constexpr double kSuspectedTokenFactor = 1.5;

/// Time between tokens that is assumed until one is observed, so that no token
/// is overdue.
constexpr Duration kUnknownTokenTime = std::chrono::hours(1);

/// Maximum number of overflow requests to a region in one burst.
constexpr double kMaximumOverflowCredit = 8;

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
  const auto overflow =
      this->ChooseOverflow(candidates, local, request, rules, now);
  return overflow ? overflow : local;
}

void Router::OnSent(const std::string& replica, TimePoint now) {
  Observation& observation = this->observations[replica];
  if (observation.open_attempts == 0) {
    observation.next_token_due = this->DueAfter(
        &Observation::first_token, this->options.initial_first_token, now);
  }
  ++observation.open_attempts;
}

void Router::OnEnded(const std::string& replica, TimePoint now) {
  Observation& observation = this->observations[replica];
  observation.open_attempts -= observation.open_attempts > 0 ? 1 : 0;
  // The remaining attempts may be waiting for their first token.
  if (now < observation.next_token_due) {
    observation.next_token_due = this->DueAfter(
        &Observation::first_token, this->options.initial_first_token, now);
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
  this->observations[replica].next_token_due =
      this->DueAfter(&Observation::token, kUnknownTokenTime, now);
}

void Router::OnToken(const std::string& replica, Duration time, TimePoint now) {
  this->Add(replica, &Observation::token, time, now);
  this->observations[replica].next_token_due =
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
      retry_after.count() > 0 ? retry_after : this->options.refusal_backoff;
  this->observations[candidate.replica].avoided_until = now + avoided;
  if (candidate.region != this->options.region) {
    this->overflow_by_region[candidate.region].send_probability /= 2;
  }
}

void Router::OnCacheHint(std::uint64_t prefix, const std::string& replica) {
  if (this->cache_hints.size() >= this->options.maximum_cache_hints &&
      !this->cache_hints.contains(prefix)) {
    // Prefixes are hashes, so the next one in the map is arbitrary.
    const auto victim = this->cache_hints.upper_bound(prefix);
    this->cache_hints.erase(
        victim == this->cache_hints.end() ? this->cache_hints.begin() : victim);
  }
  this->cache_hints[prefix] = replica;
}

std::uint64_t Router::PrefixOf(std::string_view prompt) const {
  return HashBytes(prompt.substr(0, this->options.prefix_bytes));
}

bool Router::IsSuspected(const std::string& replica, TimePoint now) const {
  const auto found = this->observations.find(replica);
  if (found == this->observations.end() || found->second.open_attempts == 0) {
    return false;
  }
  const double baseline =
      this->Seconds(&this->baseline, &Observation::token, Duration(0), now);
  return now > found->second.next_token_due ||
         this->Seconds(&found->second, &Observation::token, Duration(0), now) >
             kSuspectedTokenFactor * baseline;
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
  // A slot of a busy replica costs more even if it is free, because its stream
  // shares the engine's batch with others.
  const double busy = first_token * std::min(1.0, load / slots);
  const double queue = std::max(0.0, load + 1 - slots) / slots * service;
  return FromSeconds(first_token + busy + queue);
}

void Router::Add(const std::string& replica,
                 std::optional<Mean> Observation::*mean,
                 Duration time,
                 TimePoint now) {
  this->Update(this->observations[replica].*mean, time, now);
  this->Update(this->overall.*mean, time, now);
  this->UpdateBaseline(this->baseline.*mean, time, now);
}

void Router::UpdateBaseline(std::optional<Mean>& mean,
                            Duration time,
                            TimePoint now) const {
  const double seconds = ToSeconds(time);
  if (!mean || now - mean->updated > this->options.observation_lifetime) {
    mean = {.seconds = seconds, .updated = now};
    return;
  }
  const double bounded =
      std::min(seconds, kMaximumBaselineFactor * mean->seconds);
  mean->seconds += kBaselineWeight * (bounded - mean->seconds);
  mean->updated = now;
}

void Router::Update(std::optional<Mean>& mean,
                    Duration time,
                    TimePoint now) const {
  const double seconds = ToSeconds(time);
  if (!mean || now - mean->updated > this->options.observation_lifetime) {
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
  for (const Observation* source : {observation, &this->overall}) {
    if (source != nullptr && source->*mean &&
        now - (source->*mean)->updated <= this->options.observation_lifetime) {
      return (source->*mean)->seconds;
    }
  }
  return ToSeconds(fallback);
}

TimePoint Router::DueAfter(std::optional<Mean> Observation::*mean,
                           Duration fallback,
                           TimePoint now) const {
  const double factor = mean == &Observation::token ? kOverdueTokenFactor
                                                    : kOverdueFirstTokenFactor;
  return now + FromSeconds(factor *
                           this->Seconds(&this->baseline, mean, fallback, now));
}

double Router::LoadOf(const RouteCandidate& candidate, TimePoint now) const {
  const double others =
      candidate.reported_online > candidate.outstanding_at_report
          ? candidate.reported_online - candidate.outstanding_at_report
          : 0;
  const double age = ToSeconds(now - candidate.reported) /
                     ToSeconds(this->options.report_lifetime);
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
  const std::uint32_t tokens =
      std::min(request.max_tokens, kMaximumCountedTokens);
  cost += tokens *
          this->Seconds(observation, &Observation::token, Duration(0), now);
  if (this->IsSuspected(candidate.replica, now)) {
    cost += kSuspectedCostSeconds;
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
  const auto zone_choice = this->ChooseOfTwo(candidates, zone, request, now);
  const auto region_choice =
      this->ChooseOfTwo(candidates, region, request, now);
  if (!region_choice) {
    return std::nullopt;
  }
  const auto cost = [&](std::size_t index) {
    return this->CostOf(candidates[index], request, now);
  };
  const std::size_t best =
      zone_choice && cost(*zone_choice) <= cost(*region_choice)
          ? *zone_choice
          : *region_choice;
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
  if (request.prompt.size() < this->options.minimum_prefix_bytes) {
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
  const auto hint = this->cache_hints.find(prefix);
  std::optional<std::size_t> best;
  std::uint64_t best_weight = 0;
  for (const std::size_t index : local) {
    const RouteCandidate& candidate = candidates[index];
    // A cached prefix saves less time than a wait for a slot costs.
    if (this->LoadOf(candidate, now) + 1 >
        std::min(bound, static_cast<double>(candidate.slots))) {
      continue;
    }
    if (hint != this->cache_hints.end() && hint->second == candidate.replica) {
      return index;
    }
    // Rendezvous hashing: few prefixes move when replicas are added or removed.
    const std::uint64_t weight = HashBytes(candidate.replica, prefix);
    if (!best || weight > best_weight) {
      best = index;
      best_weight = weight;
    }
  }
  return best;
}

std::optional<std::size_t> Router::ChooseOverflow(
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
    // A request that would wait locally cannot overload a remote replica with a
    // free slot, so it may overflow without a smoothed gain.
    const bool gains_free_slot = local &&
                                 !this->HasFreeSlot(candidates[*local], now) &&
                                 this->HasFreeSlot(candidates[*remote], now);
    if (this->TryOverflow(this->overflow_by_region[region], rule->second, gain,
                          gains_free_slot, now) &&
        (!best || cost < best_cost)) {
      best = remote;
      best_cost = cost;
    }
  }
  return best;
}

bool Router::TryOverflow(OverflowState& overflow,
                         const OverflowRule& rule,
                         std::optional<double> gain,
                         bool gains_free_slot,
                         TimePoint now) {
  const double elapsed =
      overflow.updated == TimePoint{} ? 0 : ToSeconds(now - overflow.updated);
  overflow.updated = now;
  overflow.send_probability =
      Clamp01(overflow.send_probability +
              elapsed / ToSeconds(this->options.overflow_recovery));
  overflow.credit =
      std::min(kMaximumOverflowCredit, overflow.credit + rule.maximum_share);
  const double minimum = ToSeconds(rule.minimum_gain);
  if (gain) {
    const double weight =
        1 - std::exp(-elapsed / ToSeconds(this->options.overflow_smoothing));
    // Replicas that refused have a prohibitive cost, which must not dominate
    // the mean.
    const double bounded = std::clamp(*gain, -4 * minimum, 4 * minimum);
    overflow.smoothed_gain += weight * (bounded - overflow.smoothed_gain);
    // The probability rises with the smoothed gain, so that the traffic does
    // not oscillate between regions as a whole.
    const double excess =
        minimum > 0 ? overflow.smoothed_gain / minimum - 1 : 1;
    if (*gain <= minimum ||
        !(gains_free_slot || this->random.Chance(Clamp01(excess)))) {
      return false;
    }
  }
  if (overflow.credit < 1 || !this->random.Chance(overflow.send_probability)) {
    return false;
  }
  overflow.credit -= 1;
  return true;
}

}  // namespace crocus
