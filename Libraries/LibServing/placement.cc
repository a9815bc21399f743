#include "LibServing/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

#include "LibServing/hash_point.h"

namespace crocus {

namespace {

/// Assumed service time of an endpoint that has not served a request yet.
constexpr double kInitialServiceSeconds = 0.3;
/// Weight of the newest request in the mean service time.
constexpr double kServiceTimeSmoothing = 0.05;
/// Weight of a host's preference, compared to a load of 1 for a full replica.
constexpr double kPreferenceWeight = 0.5;
/// Load that equals one second of network cost; 40 ms to another region weigh
/// 0.2.
constexpr double kBatchNetworkCostWeight = 5;
/// Mean age of the request counts that peers report: half the minimum interval
/// between their reports, the network delay, and the time until a busy host
/// reads the report.
constexpr double kPeerLoadAgeSeconds = 0.05;

/// Time until a batch run has been stopped for an online request: the report of
/// the load to the host of the run, and the cancellation.
constexpr Duration kPreemptionWait = std::chrono::milliseconds(100);

/// Least wait for each queued request under PlacementPolicy::kWork, in seconds:
/// about a step of a replica.
constexpr double kMinimumWaitPerRequest = 0.005;
/// Margin of batch runs under PlacementPolicy::kWork.
constexpr std::uint32_t kMarginByWork = 1;

/// What a new online request finds at a replica.
struct QueuePosition {
  QueuePosition(const OutstandingRequests& load, std::uint32_t slots)
      : free_slots(slots > load.total() ? slots - load.total() : 0),
        preemptible_slots(
            slots > load.online
                ? std::min(load.batch, slots - load.online - this->free_slots)
                : 0),
        requests_ahead(load.online < slots ? 0 : load.online - slots + 1) {}

  /// True if the request gets the slot of a batch run.
  bool needs_preemption() const {
    return this->free_slots == 0 && this->preemptible_slots > 0;
  }

  std::uint32_t free_slots = 0;
  std::uint32_t preemptible_slots = 0;
  /// Online requests that have to end before the request begins, if all batch
  /// runs are stopped.
  std::uint32_t requests_ahead = 0;
};

/// Removes the replicas for which the predicate holds.
template <typename Predicate>
void Exclude(std::vector<const ReplicaRecord*>& replicas,
             Exclusion reason,
             const auto& on_excluded,
             Predicate predicate) {
  std::erase_if(replicas, [&](const ReplicaRecord* replica) {
    if (!predicate(replica)) {
      return false;
    }
    on_excluded(*replica, reason);
    return true;
  });
}

/// As Exclude, but leaves the replicas as they are if the predicate holds for
/// all of them.
template <typename Predicate>
void ExcludeUnlessAll(std::vector<const ReplicaRecord*>& replicas,
                      Exclusion reason,
                      const auto& on_excluded,
                      Predicate predicate) {
  if (!std::all_of(replicas.begin(), replicas.end(), predicate)) {
    Exclude(replicas, reason, on_excluded, predicate);
  }
}

void IgnoreExcluded(const ReplicaRecord& /*replica*/, Exclusion /*reason*/) {}

}  // namespace

std::string_view ToString(Exclusion exclusion) {
  switch (exclusion) {
    case Exclusion::kNone:
      return "";
    case Exclusion::kTried:
      return "tried before";
    case Exclusion::kBackoff:
      return "backoff after failures";
    case Exclusion::kTrial:
      return "on trial, and the work has failed";
    case Exclusion::kNoMemory:
      return "no memory for the tokens";
    case Exclusion::kNoSlot:
      return "no free slot beside the reserve";
    case Exclusion::kUnreachable:
      return "unreachable";
  }
  return "";
}

Placement::Placement(PlacementOptions options,
                     const ReplicaDirectory& directory,
                     const ReplicaLoads& loads,
                     const FailureAttribution& failures,
                     std::uint64_t seed)
    : options(std::move(options)),
      directory(directory),
      loads(loads),
      failures(failures),
      random(seed) {}

Duration Placement::NetworkCost(const ReplicaRecord& replica) const {
  if (replica.availability_zone == this->options.availability_zone) {
    return {};
  }
  const auto region = this->options.regions.find(replica.availability_zone);
  return region != this->options.regions.end() &&
                 region->second == this->options.region
             ? this->options.other_zone_cost
             : this->options.other_region_cost;
}

std::vector<const ReplicaRecord*> Placement::Candidates(
    const std::string& endpoint,
    const std::set<std::string>& tried,
    TimePoint now,
    WorkId work,
    const OnExcluded& on_excluded) const {
  auto candidates = this->directory.Available(endpoint);
  Exclude(candidates, Exclusion::kTried, on_excluded,
          [&tried](const ReplicaRecord* replica) {
            return tried.contains(replica->id);
          });
  // If all of them are in backoff, the cause is more likely this host or the
  // work than the replicas.
  ExcludeUnlessAll(candidates, Exclusion::kBackoff, on_excluded,
                   [this, now](const ReplicaRecord* replica) {
                     return this->failures.IsInBackoff(replica->id, now);
                   });
  if (this->failures.BeliefOf(work).replicas > 0) {
    ExcludeUnlessAll(candidates, Exclusion::kTrial, on_excluded,
                     [this, now](const ReplicaRecord* replica) {
                       return this->failures.BeliefOf(replica->id, now) ==
                              ReplicaBelief::kOnTrial;
                     });
  }
  return candidates;
}

void Placement::SetPolicy(std::optional<PlacementByWork> policy) {
  this->by_work.reset();
  if (policy) {
    this->by_work.emplace(std::move(*policy));
  }
}

std::uint32_t Placement::PreemptionMargin(std::uint32_t slots) const {
  return this->by_work && this->by_work->reserves_for_rises
             ? std::min(kMarginByWork, slots - 1)
             : 0;
}

bool Placement::HasMemory(const ReplicaRecord& replica, double tokens) const {
  if (!this->by_work || tokens <= 0) {
    return true;
  }
  const auto capacity = this->by_work->token_capacity.find(replica.endpoint);
  if (capacity == this->by_work->token_capacity.end()) {
    return true;
  }
  const ReplicaWork& work = this->by_work->work;
  const std::uint32_t of_peers = this->loads.Total(replica.id).total() -
                                 this->loads.Own(replica.id).total();
  return work.Own(replica.id).tokens + of_peers * work.mean_tokens() + tokens <=
         static_cast<double>(capacity->second);
}

Placement::Candidate Placement::CandidateByCount(
    const ReplicaRecord& replica) const {
  const OutstandingRequests load = this->loads.Total(replica.id);
  const QueuePosition position(load, replica.slots);
  const double seconds_per_request =
      ToSeconds(this->MeanServiceTime(replica.endpoint)) / replica.slots;
  return {
      .choice = {.replica = replica.id,
                 .load = load,
                 .slots = replica.slots,
                 .expected_wait = position.needs_preemption()
                                      ? kPreemptionWait
                                      : FromSeconds(seconds_per_request *
                                                    position.requests_ahead)},
      .target = {.network_cost = ToSeconds(this->NetworkCost(replica)),
                 .spare_slots = std::int64_t{replica.slots} - load.online,
                 .preemptible_slots = position.preemptible_slots,
                 .preemption_wait = ToSeconds(kPreemptionWait),
                 .wait_per_request = seconds_per_request}};
}

Placement::Candidate Placement::CandidateByWork(const ReplicaRecord& replica,
                                                TimePoint now) const {
  Candidate candidate = this->CandidateByCount(replica);
  const double speed = this->by_work->speed.Of(replica.id, now);
  candidate.choice.speed = speed;
  const std::uint32_t online = candidate.choice.load.online;
  const QueuePosition position(candidate.choice.load, replica.slots);
  // Requests of peers count with the mean cost. The requests end after what is
  // left of each, so the next of them does after the mean over the slots.
  const double mean = ToSeconds(this->MeanServiceTime(replica.endpoint));
  const double seconds_left =
      this->by_work->work.Own(replica.id).seconds +
      (online - this->loads.Own(replica.id).online) * mean;
  const double mean_left = online == 0 ? mean : seconds_left / online;
  const double seconds_per_request =
      std::max(kMinimumWaitPerRequest, mean_left / replica.slots) / speed;
  candidate.target.wait_per_request = seconds_per_request;
  if (!position.needs_preemption()) {
    candidate.choice.expected_wait =
        FromSeconds(seconds_per_request * position.requests_ahead);
  }
  // A replica at half speed gets half.
  candidate.target.spare_slots =
      std::llround(replica.slots * std::min(1.0, speed)) -
      candidate.choice.load.online;
  candidate.target.preemptible_slots =
      std::min(candidate.target.preemptible_slots,
               std::max<std::int64_t>(0, candidate.target.spare_slots));
  return candidate;
}

Placement::OnlineSpread Placement::SpreadOnline(
    const std::string& endpoint,
    const std::set<std::string>& tried,
    TimePoint now,
    WorkId work,
    const WorkEstimate& cost,
    const OnExcluded& on_excluded) const {
  auto replicas = this->Candidates(endpoint, tried, now, work, on_excluded);
  ExcludeUnlessAll(replicas, Exclusion::kNoMemory, on_excluded,
                   [this, &cost](const ReplicaRecord* replica) {
                     return !this->HasMemory(*replica, cost.tokens);
                   });
  OnlineSpread spread;
  std::vector<SpreadTarget> targets;
  double peer_requests = 0;
  for (const auto* replica : replicas) {
    auto candidate = this->by_work ? this->CandidateByWork(*replica, now)
                                   : this->CandidateByCount(*replica);
    peer_requests +=
        candidate.choice.load.online - this->loads.Own(replica->id).online;
    spread.choices.push_back(std::move(candidate.choice));
    targets.push_back(candidate.target);
  }
  if (targets.empty()) {
    return spread;
  }
  // Peers are assumed to send requests at the rate that keeps the number of
  // their reported requests constant. At this rate, they have sent this many
  // that are not reported yet.
  const double unreported = peer_requests * kPeerLoadAgeSeconds /
                            ToSeconds(this->MeanServiceTime(endpoint));
  spread.shares = SpreadRequests(targets, 1 + unreported);
  return spread;
}

std::optional<PlacementChoice> Placement::ChooseOnline(
    const std::string& endpoint,
    const std::set<std::string>& tried,
    TimePoint now,
    WorkId work,
    const WorkEstimate& cost) {
  const auto [choices, shares] =
      this->SpreadOnline(endpoint, tried, now, work, cost, IgnoreExcluded);
  if (choices.empty()) {
    return std::nullopt;
  }
  double point =
      this->random.Unit() * std::accumulate(shares.begin(), shares.end(), 0.0);
  std::size_t chosen = 0;
  while (chosen + 1 < shares.size() && point >= shares[chosen]) {
    point -= shares[chosen];
    ++chosen;
  }
  return choices[chosen];
}

std::vector<Placement::BatchCandidate> Placement::BatchCandidates(
    const BatchPlacement& batch,
    TimePoint now,
    const OnExcluded& on_excluded) const {
  std::uint32_t full_reserve =
      this->options.batch_reserve + batch.extra_reserve;
  if (this->by_work && this->by_work->reserves_for_rises) {
    // One slot more than the margin at least, or a run would be stopped for
    // the next online request.
    full_reserve = std::max({full_reserve, kMarginByWork + 1,
                             this->by_work->variation.Reserve(batch.endpoint)});
  }
  const auto exclusion_of = [&](const ReplicaRecord& replica,
                                const OutstandingRequests& load) {
    // An idle replica takes batch work however few slots it has. Otherwise that
    // work would never be done.
    const std::uint32_t reserve = std::min(full_reserve, replica.slots - 1);
    if (load.total() + reserve >= replica.slots) {
      return Exclusion::kNoSlot;
    }
    if (this->failures.BeliefOf(replica.id, now) ==
        ReplicaBelief::kUnreachable) {
      return Exclusion::kUnreachable;
    }
    return load.total() > 0 && !this->HasMemory(replica, batch.tokens)
               ? Exclusion::kNoMemory
               : Exclusion::kNone;
  };
  std::vector<BatchCandidate> candidates;
  for (const auto* replica : this->Candidates(batch.endpoint, batch.excluded,
                                              now, batch.work, on_excluded)) {
    const OutstandingRequests load = this->loads.Total(replica->id);
    if (const Exclusion exclusion = exclusion_of(*replica, load);
        exclusion != Exclusion::kNone) {
      on_excluded(*replica, exclusion);
      continue;
    }
    const double preference = HashPoint(this->options.host + replica->id);
    candidates.push_back(
        {.choice = {.replica = replica->id,
                    .load = load,
                    .slots = replica->slots},
         .cost =
             static_cast<double>(load.total()) / replica->slots +
             kPreferenceWeight * preference +
             kBatchNetworkCostWeight * ToSeconds(this->NetworkCost(*replica))});
  }
  return candidates;
}

std::optional<PlacementChoice> Placement::ChooseBatch(
    const BatchPlacement& batch,
    TimePoint now) const {
  const auto candidates = this->BatchCandidates(batch, now, IgnoreExcluded);
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const BatchCandidate& a, const BatchCandidate& b) {
                         return a.cost < b.cost;
                       });
  return best == candidates.end() ? std::nullopt : std::optional(best->choice);
}

ReplicaView Placement::ViewOf(const ReplicaRecord& replica,
                              Exclusion exclusion) const {
  return {.choice = {.replica = replica.id,
                     .load = this->loads.Total(replica.id),
                     .slots = replica.slots},
          .network_cost = this->NetworkCost(replica),
          .exclusion = exclusion};
}

std::vector<ReplicaView> Placement::ViewOnline(const std::string& endpoint,
                                               TimePoint now,
                                               const WorkEstimate& cost) const {
  std::vector<ReplicaView> excluded;
  const auto [choices, shares] = this->SpreadOnline(
      endpoint, {}, now, 0, cost,
      [this, &excluded](const ReplicaRecord& replica, Exclusion reason) {
        excluded.push_back(this->ViewOf(replica, reason));
      });
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  std::vector<ReplicaView> views;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    const ReplicaRecord* replica = this->directory.Find(choices[i].replica);
    views.push_back({.choice = choices[i],
                     .network_cost = this->NetworkCost(*replica),
                     .share = sum > 0 ? shares[i] / sum : 0});
  }
  std::stable_sort(views.begin(), views.end(),
                   [](const ReplicaView& a, const ReplicaView& b) {
                     return a.share > b.share;
                   });
  views.insert(views.end(), excluded.begin(), excluded.end());
  return views;
}

std::vector<ReplicaView> Placement::ViewBatch(const BatchPlacement& batch,
                                              TimePoint now) const {
  std::vector<ReplicaView> excluded;
  auto candidates = this->BatchCandidates(
      batch, now,
      [this, &excluded](const ReplicaRecord& replica, Exclusion reason) {
        excluded.push_back(this->ViewOf(replica, reason));
      });
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const BatchCandidate& a, const BatchCandidate& b) {
                     return a.cost < b.cost;
                   });
  std::vector<ReplicaView> views;
  for (const auto& candidate : candidates) {
    const ReplicaRecord* replica =
        this->directory.Find(candidate.choice.replica);
    // The item goes to the first one.
    views.push_back({.choice = candidate.choice,
                     .network_cost = this->NetworkCost(*replica),
                     .share = views.empty() ? 1.0 : 0.0});
  }
  views.insert(views.end(), excluded.begin(), excluded.end());
  return views;
}

void Placement::OnServed(const std::string& endpoint, Duration time) {
  const auto [entry, is_new] =
      this->mean_service_seconds.try_emplace(endpoint, kInitialServiceSeconds);
  entry->second += kServiceTimeSmoothing * (ToSeconds(time) - entry->second);
}

Duration Placement::MeanServiceTime(const std::string& endpoint) const {
  const auto found = this->mean_service_seconds.find(endpoint);
  return FromSeconds(found == this->mean_service_seconds.end()
                         ? kInitialServiceSeconds
                         : found->second);
}

}  // namespace crocus
