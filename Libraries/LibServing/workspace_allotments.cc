#include "LibServing/workspace_allotments.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "LibCore/hashing.h"

namespace crocus {

namespace {

/// Mean age of the figures in the report of a zone when it is sent.
constexpr Duration kZoneDelay = std::chrono::milliseconds(60);
/// Demand that was not reported for longer than this counts as ended.
constexpr Duration kDemandLifetime = std::chrono::seconds(3);
constexpr Duration kSourceCheckInterval = std::chrono::milliseconds(10);
constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaximumRetryAfter = std::chrono::seconds(5);
/// Time over which the retries of refused requests are spread.
constexpr double kRetrySpreadSeconds = 1;
constexpr double kReportedRateUnit = 1000;

/// Level that a host reports which does not know what was admitted before.
constexpr std::uint32_t kUnknownLevel =
    std::numeric_limits<std::uint32_t>::max();

std::uint32_t ToReported(double value) {
  return static_cast<std::uint32_t>(
      std::clamp<double>(value, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

void WorkspaceAllotments::Rate::Add(double count,
                                    Duration time,
                                    TimePoint now) {
  this->per_second = this->At(time, now) + count / ToSeconds(time);
  this->updated = now;
}

double WorkspaceAllotments::Rate::At(Duration time, TimePoint now) const {
  return this->per_second *
         std::exp(-ToSeconds(std::max(Duration::zero(), now - this->updated)) /
                  ToSeconds(time));
}

void WorkspaceAllotments::Rate::Remove(TimePoint added,
                                       Duration time,
                                       TimePoint now) {
  const double remaining =
      Rate{.per_second = 1 / ToSeconds(time), .updated = added}.At(time, now);
  this->per_second = std::max(0.0, this->At(time, now) - remaining);
  this->updated = now;
}

std::uint64_t WorkspaceAllotments::HashOf(std::string_view workspace) {
  return HashBytes(workspace);
}

double WorkspaceAllotments::Tolerance(const State& state) const {
  return (state.rate * ToSeconds(this->options.window) + state.burst) *
             this->options.excess +
         this->options.slack;
}

double WorkspaceAllotments::Capacity(const State& state) const {
  return state.burst + this->options.burst_part * this->Tolerance(state);
}

double WorkspaceAllotments::DrawInitialLevel() {
  const double part =
      (1 - this->options.burst_part) * this->options.slack / this->Hosts();
  // A part of a request is drawn, so that all hosts together keep to the slack
  // when they start at once.
  return std::floor(part + this->random.Unit());
}

void WorkspaceAllotments::CountHeardHosts() {
  this->heard_hosts = 1;
  for (const auto& [source, known] : this->sources) {
    this->heard_hosts += known.hosts;
  }
}

std::uint64_t WorkspaceAllotments::silent_hosts() const {
  std::uint64_t hosts = 0;
  for (const auto& source : this->silent_sources) {
    hosts += this->sources.at(source).hosts;
  }
  return hosts;
}

double WorkspaceAllotments::Hosts() const {
  return std::max({this->heard_hosts, static_cast<double>(this->known_hosts),
                   this->is_settled
                       ? 1.0
                       : static_cast<double>(this->options.unsettled_hosts)});
}

double WorkspaceAllotments::ReservedShare(const State& state) const {
  double share = 1 - this->heard_hosts / this->Hosts();
  for (const auto& [source, use] : state.peers) {
    share += use.reserved_share;
  }
  return std::clamp(share, 0.0, 1 - 1 / this->Hosts());
}

Duration WorkspaceAllotments::SlotTime() const {
  // The last intervals cover the time after which a source counts as silent.
  return this->options.silence / static_cast<int>(kSlots - 2);
}

std::int64_t WorkspaceAllotments::SlotNumber(TimePoint now) const {
  return now.time_since_epoch() / this->SlotTime();
}

double WorkspaceAllotments::RecentlyAdmitted(const State& state,
                                             Duration time,
                                             TimePoint now) const {
  const std::int64_t first = this->SlotNumber(now - time);
  double admitted = 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    admitted += state.slot_numbers[i] >= first ? state.slot_admitted[i] : 0;
  }
  return admitted;
}

double WorkspaceAllotments::EarlierDemand(const State& state,
                                          Duration ago,
                                          TimePoint now) const {
  const std::int64_t first = this->SlotNumber(now - ago);
  std::int64_t earliest = std::numeric_limits<std::int64_t>::max();
  double demand = state.demand.At(this->options.demand_time, now);
  for (std::size_t i = 0; i < kSlots; ++i) {
    if (state.slot_numbers[i] >= first && state.slot_numbers[i] < earliest) {
      earliest = state.slot_numbers[i];
      demand = state.slot_demand[i];
    }
  }
  return demand;
}

void WorkspaceAllotments::CountInSlot(State& state,
                                      double admitted,
                                      TimePoint now) {
  const std::int64_t number = this->SlotNumber(now);
  const auto slot = static_cast<std::size_t>(number) % kSlots;
  if (state.slot_numbers[slot] != number) {
    state.slot_numbers[slot] = number;
    state.slot_admitted[slot] = 0;
    state.slot_demand[slot] = state.demand.At(this->options.demand_time, now);
  }
  state.slot_admitted[slot] += admitted;
}

void WorkspaceAllotments::DropExpiredUndone(State& state, TimePoint now) {
  // The buckets of peers may have been refilled for these admissions since.
  if (now > state.undone_until) {
    state.undone_reported = 0;
    state.undone_zone_reported = 0;
  }
}

void WorkspaceAllotments::CountForPeers(State& state, TimePoint now) {
  DropExpiredUndone(state, now);
  if (state.undone_reported > 0) {
    --state.undone_reported;
  } else {
    ++state.counter;
  }
  if (state.undone_zone_reported > 0) {
    --state.undone_zone_reported;
  } else {
    state.zone_counter += 1;
  }
}

double WorkspaceAllotments::WeightFloor(const State& state) const {
  // Hosts without recent demand get a small part of the limit.
  constexpr double kFloor = 0.1;
  return kFloor * state.rate / this->Hosts();
}

double WorkspaceAllotments::Weight(const State& state,
                                   const PeerUse& use,
                                   double hosts,
                                   TimePoint now) const {
  const bool is_recent = now - use.updated <= kDemandLifetime;
  return (is_recent ? use.demand : 0) + hosts * this->WeightFloor(state);
}

double WorkspaceAllotments::EarlierWeight(const State& state,
                                          const PeerUse& use,
                                          double hosts,
                                          TimePoint now) const {
  const bool is_recent = now - use.updated <= kDemandLifetime;
  return (is_recent ? use.earlier_demand : 0) +
         hosts * this->WeightFloor(state);
}

double WorkspaceAllotments::ReportThreshold(const State& state) const {
  // All hosts together keep at most a quarter of the bucket to themselves.
  constexpr double kUnreportedPart = 0.25;
  return kUnreportedPart * this->Capacity(state) / this->Hosts();
}

double WorkspaceAllotments::ExpectedUse(const State& state,
                                        const Source& source,
                                        const PeerUse& use,
                                        TimePoint now) const {
  if (use.is_silent) {
    return 0;
  }
  const double expected = use.rate * ToSeconds(now - use.updated);
  return use.sequence == source.sequence
             ? expected
             : std::min(expected, this->ReportThreshold(state) * source.hosts);
}

WorkspaceAllotments::Shares WorkspaceAllotments::SharesOf(const State& state,
                                                          TimePoint now) const {
  Shares shares;
  const double own = this->EarlierDemand(state, this->options.visibility, now) +
                     this->WeightFloor(state);
  double total = own;
  for (const auto& [source, known] : this->sources) {
    shares.age = std::max(shares.age, now - known.heard);
    const auto found = state.peers.find(source);
    if (found == state.peers.end()) {
      total += known.hosts * this->WeightFloor(state);
      continue;
    }
    const PeerUse& use = found->second;
    if (!use.is_silent) {
      total += this->Weight(state, use, known.hosts, now);
      shares.elsewhere += this->ExpectedUse(state, known, use, now);
      shares.rate_elsewhere +=
          now - use.updated <= kDemandLifetime ? use.rate : 0;
    }
  }
  shares.own = own / total;
  shares.reserved = this->ReservedShare(state);
  return shares;
}

double WorkspaceAllotments::LeftBeforeSilence(const State& state,
                                              const ReportSource& source,
                                              TimePoint now) const {
  const Duration silence = this->options.silence;
  double left = state.level + this->RecentlyAdmitted(state, silence, now);
  for (const auto& [other, use] : state.peers) {
    if (!use.is_silent && other != source) {
      left += use.rate * ToSeconds(silence);
    }
  }
  return std::max(0.0, left);
}

void WorkspaceAllotments::SetAside(State& state,
                                   const ReportSource& source,
                                   double requests) {
  state.level -= requests;
  if (source.availability_zone == this->options.own_zone) {
    state.zone_counter += requests;
  }
}

void WorkspaceAllotments::BeginSilence(State& state,
                                       const ReportSource& source,
                                       PeerUse& use,
                                       TimePoint now) {
  const Duration silence = this->options.silence;
  double total =
      this->EarlierDemand(state, silence, now) + this->WeightFloor(state);
  for (const auto& [other, known] : this->sources) {
    const auto found = state.peers.find(other);
    if (found == state.peers.end()) {
      total += known.hosts * this->WeightFloor(state);
    } else if (!found->second.is_silent) {
      total += this->EarlierWeight(state, found->second, known.hosts, now);
    }
  }
  const double part =
      this->EarlierWeight(state, use, this->sources.at(source).hosts, now) /
      total;
  const double left = this->LeftBeforeSilence(state, source, now);
  use.is_silent = true;
  use.reserved_share = part * (1 - this->ReservedShare(state));
  use.reserved = part * left;
  this->SetAside(state, source, use.reserved);
}

void WorkspaceAllotments::Advance(State& state, TimePoint now) {
  const Duration elapsed = now - state.advanced;
  if (elapsed > Duration::zero()) {
    state.advanced = now;
    const double tokens = state.rate * ToSeconds(elapsed);
    const double reserved = this->ReservedShare(state);
    for (auto& [source, use] : state.peers) {
      const double part = use.reserved_share * tokens;
      use.reserved += part;
      if (source.availability_zone == this->options.own_zone) {
        state.zone_counter += part;
      }
    }
    state.level = std::min(state.level + (1 - reserved) * tokens,
                           this->Capacity(state) * (1 - reserved));
  }
  for (const auto& source : this->silent_sources) {
    if (PeerUse& use = state.peers[source]; !use.is_silent) {
      this->BeginSilence(state, source, use, now);
    }
  }
}

void WorkspaceAllotments::DropSource(const ReportSource& source) {
  this->sources.erase(source);
  std::erase(this->silent_sources, source);
  this->CountHeardHosts();
  for (auto& [hash, state] : this->states) {
    state.peers.erase(source);
  }
}

void WorkspaceAllotments::OnCall(TimePoint now) {
  if (!this->has_started || now - this->last_call > this->options.suspension) {
    // What was admitted meanwhile is not known, so there is no burst.
    this->has_started = true;
    this->is_settled = false;
    this->started = now;
    this->sources.clear();
    this->silent_sources.clear();
    this->CountHeardHosts();
    for (auto& [hash, state] : this->states) {
      state.peers.clear();
      state.level = std::min(state.level, this->DrawInitialLevel());
      state.advanced = now;
    }
  }
  this->last_call = std::max(this->last_call, now);
  if (!this->is_settled && now - this->started > this->options.settling) {
    this->Settle(now);
  }
  if (now >= this->next_source_check) {
    this->next_source_check = now + kSourceCheckInterval;
    this->CheckSources(now);
  }
}

void WorkspaceAllotments::CheckSources(TimePoint now) {
  this->silent_sources.clear();
  std::vector<ReportSource> ended;
  std::vector<ReportSource> brief;
  for (const auto& [source, known] : this->sources) {
    if (now - known.heard > this->options.reservation) {
      ended.push_back(source);
    } else if (now - known.heard > this->options.silence) {
      const bool is_brief =
          known.heard - known.first_heard < this->options.settling;
      (is_brief ? brief : this->silent_sources).push_back(source);
    }
  }
  for (const auto& source : brief) {
    this->DropBriefSource(source, now);
  }
  for (const auto& source : ended) {
    this->DropSource(source);
  }
}

void WorkspaceAllotments::DropBriefSource(const ReportSource& source,
                                          TimePoint now) {
  const double part =
      this->sources.at(source).hosts /
      (this->heard_hosts - static_cast<double>(this->silent_hosts()));
  for (auto& [hash, state] : this->states) {
    this->Advance(state, now);
    this->SetAside(state, source,
                   part * this->LeftBeforeSilence(state, source, now));
  }
  this->DropSource(source);
}

void WorkspaceAllotments::Settle(TimePoint now) {
  this->is_settled = true;
  for (auto& [hash, state] : this->states) {
    // Hosts report each workspace of whose bucket less than half is left. If
    // all have just started, at least the refill since then is left; a quarter
    // of the tolerance for unknown requests is used beside it, so that small
    // workspaces do not start with refusals.
    double level = std::min(
        this->Capacity(state) / 2,
        1 + state.rate * ToSeconds(this->options.settling) +
            (1 - this->options.burst_part) * this->Tolerance(state) / 4);
    for (const auto& [source, use] : state.peers) {
      if (now - use.updated <= this->options.settling) {
        level = std::min(level, use.level);
      }
    }
    state.level =
        std::max(state.level, level * (1 - this->ReservedShare(state)));
  }
}

void WorkspaceAllotments::Configure(const std::vector<Workspace>& workspaces,
                                    TimePoint now) {
  this->OnCall(now);
  std::set<std::uint64_t> limited;
  for (const auto& workspace : workspaces) {
    if (!(workspace.requests_per_second > 0)) {
      continue;
    }
    const std::uint64_t hash = HashOf(workspace.name);
    limited.insert(hash);
    const auto [found, is_new] = this->states.try_emplace(hash);
    State& state = found->second;
    if (!is_new) {
      this->Advance(state, now);
    }
    const double capacity_before = this->Capacity(state);
    state.name = workspace.name;
    state.rate = workspace.requests_per_second;
    state.burst = std::max(0.0, workspace.burst);
    if (is_new) {
      state.advanced = now;
      // No host has admitted a request under a limit that is new to all. A
      // process that has just started does not know whether it is.
      state.level =
          this->is_settled ? this->Capacity(state) : this->DrawInitialLevel();
    } else {
      state.level += this->Capacity(state) - capacity_before;
    }
  }
  std::erase_if(this->states, [&limited](const auto& entry) {
    return limited.count(entry.first) == 0;
  });
}

AllotmentDecision WorkspaceAllotments::Figures(const State& state,
                                               const Shares& shares,
                                               TimePoint now) const {
  return {.has_limit = true,
          .limit = state.rate,
          .burst = state.burst,
          .left = state.level - shares.elsewhere,
          .rate_here = state.admitted_rate.At(this->options.rate_time, now),
          .rate_elsewhere = shares.rate_elsewhere,
          .share = shares.own * (1 - shares.reserved),
          .report_age = shares.age};
}

AllotmentDecision WorkspaceAllotments::Admit(std::string_view workspace,
                                             TimePoint now) {
  this->OnCall(now);
  const auto found = this->states.find(HashOf(workspace));
  if (found == this->states.end()) {
    return {};
  }
  State& state = found->second;
  this->Advance(state, now);
  const Shares shares = this->SharesOf(state, now);
  AllotmentDecision decision = this->Figures(state, shares, now);
  const double open = 1 - shares.reserved;
  const Duration visibility = this->options.visibility;
  const double unknown = this->RecentlyAdmitted(state, visibility, now);
  const double pool = decision.left + unknown;
  const double margin =
      (1 - this->options.burst_part) * this->Tolerance(state) * open;
  const double refill = state.rate * open * ToSeconds(visibility);
  // What the largest expected surge admits until all hosts know of it.
  const double surge = (this->options.surge - 1) * refill - margin;
  double allowance = 0;
  if (decision.left > surge) {
    // Half of what is left, so that a few hosts cannot each use all of it.
    allowance = std::max(1.0, pool / 2);
  }
  if (const std::int64_t slot = now.time_since_epoch() / visibility;
      state.rounding_slot != slot) {
    state.rounding_slot = slot;
    state.rounding = this->random.Unit();
  }
  allowance = std::max(
      allowance, std::floor(shares.own * (pool + refill) +
                            0.5 * margin / this->Hosts() + state.rounding));
  decision.is_admitted = decision.left >= 1 && unknown + 1 <= allowance;
  this->CountInSlot(state, decision.is_admitted ? 1 : 0, now);
  state.demand.Add(1, this->options.demand_time, now);
  state.last_arrival = now;
  if (decision.is_admitted) {
    state.level -= 1;
    ++state.admitted;
    CountForPeers(state, now);
    state.admitted_rate.Add(1, this->options.rate_time, now);
  } else {
    ++state.refused;
    const double wait = std::max(0.0, 1 - decision.left) / (state.rate * open) +
                        this->random.Unit() * kRetrySpreadSeconds;
    decision.retry_after =
        std::clamp(FromSeconds(wait), kMinimumRetryAfter, kMaximumRetryAfter);
  }
  return decision;
}

bool WorkspaceAllotments::UndoAdmission(std::string_view workspace,
                                        TimePoint admitted,
                                        TimePoint now) {
  this->OnCall(now);
  const auto found = this->states.find(HashOf(workspace));
  if (found == this->states.end()) {
    return false;
  }
  State& state = found->second;
  this->Advance(state, now);
  const Duration age = now - admitted;
  // What is older counts with peers as if it had run. After a start or a
  // suspension, the level does not include it.
  if (age > this->options.visibility || admitted < this->started) {
    return false;
  }
  ++state.undone;
  state.level = std::min(state.level + 1, this->Capacity(state) *
                                              (1 - this->ReservedShare(state)));
  state.admitted_rate.Remove(admitted, this->options.rate_time, now);
  const std::int64_t number = this->SlotNumber(admitted);
  if (const auto slot = static_cast<std::size_t>(number) % kSlots;
      state.slot_numbers[slot] == number && state.slot_admitted[slot] >= 1) {
    state.slot_admitted[slot] -= 1;
  }
  DropExpiredUndone(state, now);
  const TimePoint until = admitted + this->options.visibility;
  state.undone_until = state.undone_reported + state.undone_zone_reported == 0
                           ? until
                           : std::min(state.undone_until, until);
  // Counters never fall below what peers may have received.
  if (state.counter != state.reported_counter) {
    --state.counter;
  } else {
    ++state.undone_reported;
  }
  if (state.zone_counter - state.reported_zone_counter >= 1) {
    state.zone_counter -= 1;
  } else {
    ++state.undone_zone_reported;
  }
  return true;
}

double WorkspaceAllotments::FleetFactor(std::string_view workspace,
                                        TimePoint now) const {
  const auto found = this->states.find(HashOf(workspace));
  if (found == this->states.end()) {
    return 1;
  }
  const State& state = found->second;
  const double own = state.demand.At(this->options.demand_time, now);
  double elsewhere = 0;
  for (const auto& [source, use] : state.peers) {
    elsewhere += now - use.updated <= kDemandLifetime ? use.demand : 0;
  }
  return own > 0 ? 1 + elsewhere / own : 1;
}

messages::WorkspaceUse WorkspaceAllotments::MakeUse(const State& state,
                                                    std::uint64_t hash,
                                                    TimePoint now) const {
  return {
      .workspace = hash,
      .admitted = state.counter,
      .rate = ToReported(kReportedRateUnit *
                         state.admitted_rate.At(this->options.rate_time, now)),
      .demand = ToReported(kReportedRateUnit *
                           state.demand.At(this->options.demand_time, now)),
      .level =
          this->is_settled
              ? ToReported(state.level - this->SharesOf(state, now).elsewhere)
              : kUnknownLevel};
}

std::vector<messages::WorkspaceUse> WorkspaceAllotments::Report(TimePoint now) {
  this->OnCall(now);
  std::vector<messages::WorkspaceUse> uses;
  for (auto& [hash, state] : this->states) {
    this->Advance(state, now);
    const bool is_active =
        now - state.last_arrival <= 2 * this->options.refresh_interval;
    const double unreported =
        static_cast<std::uint32_t>(state.counter - state.reported_counter);
    const bool is_contended = state.level < this->Capacity(state) / 2;
    const bool is_due = now - state.reported >= this->options.refresh_interval;
    if (!is_active || uses.size() >= this->options.maximum_entries ||
        !(is_contended || is_due ||
          (unreported > 0 && unreported >= this->ReportThreshold(state)))) {
      continue;
    }
    state.reported_counter = state.counter;
    state.reported = now;
    uses.push_back(this->MakeUse(state, hash, now));
  }
  return uses;
}

std::vector<messages::WorkspaceUse> WorkspaceAllotments::ZoneReport(
    TimePoint now) {
  this->OnCall(now);
  std::vector<messages::WorkspaceUse> uses;
  for (auto& [hash, state] : this->states) {
    this->Advance(state, now);
    messages::WorkspaceUse use = this->MakeUse(state, hash, now);
    double hosts = 1;
    bool is_active =
        now - state.last_arrival <= 2 * this->options.refresh_interval;
    for (const auto& [source, peer] : state.peers) {
      if (source.is_whole_zone() ||
          source.availability_zone != this->options.own_zone) {
        continue;
      }
      hosts += 1;
      if (now - peer.updated <= 2 * this->options.refresh_interval) {
        is_active = true;
        use.rate += ToReported(kReportedRateUnit * peer.rate);
        use.demand += ToReported(kReportedRateUnit * peer.demand);
      }
    }
    const double unreported = state.zone_counter - state.reported_zone_counter;
    const bool is_contended = state.level < this->Capacity(state) / 2;
    const bool is_due =
        now - state.zone_reported >= this->options.refresh_interval;
    if (!is_active || uses.size() >= this->options.maximum_entries ||
        !(is_contended || is_due ||
          (unreported > 0 &&
           unreported >= this->ReportThreshold(state) * hosts))) {
      continue;
    }
    use.admitted = static_cast<std::uint32_t>(
        static_cast<std::uint64_t>(state.zone_counter));
    state.reported_zone_counter = state.zone_counter;
    state.zone_reported = now;
    uses.push_back(use);
  }
  return uses;
}

bool WorkspaceAllotments::ReplaceSources(const ReportSource& source,
                                         TimePoint now) {
  std::vector<ReportSource> replaced;
  for (const auto& [other, known] : this->sources) {
    if (other == source) {
      continue;
    }
    const bool is_same_zone =
        other.availability_zone == source.availability_zone;
    if (source.is_whole_zone() ? is_same_zone : other.host == source.host) {
      replaced.push_back(other);
    } else if (other.is_whole_zone() && is_same_zone) {
      if (now - known.heard <= this->options.visibility) {
        return false;
      }
      replaced.push_back(other);
    }
  }
  for (const auto& other : replaced) {
    this->DropSource(other);
  }
  return true;
}

void WorkspaceAllotments::ApplyUse(State& state,
                                   const ReportSource& source,
                                   const messages::WorkspaceUse& reported,
                                   bool is_same_process,
                                   TimePoint now) {
  const auto [found, is_new] = state.peers.try_emplace(source);
  PeerUse& use = found->second;
  const bool has_counter = use.sequence > 0;
  double admitted = 0;
  if (has_counter && is_same_process) {
    // The difference also holds after the counter has passed 2^32.
    admitted =
        std::max(0, static_cast<std::int32_t>(reported.admitted - use.counter));
  } else {
    // Without an earlier counter of this process, only its recent requests are
    // known. If the source had another process, the last requests of that one
    // are not.
    admitted = std::min<double>(
        reported.admitted,
        reported.rate / kReportedRateUnit * ToSeconds(this->options.rate_time));
    if (has_counter && !use.is_silent) {
      admitted += use.rate * ToSeconds(now - use.updated);
    }
  }
  // What was reserved for a silent source is replaced by what it has admitted.
  // Another reporter of a zone does not know what the hosts of the zone have
  // admitted meanwhile, so nothing is returned.
  const bool has_other_reporter = source.is_whole_zone() && !is_same_process;
  state.level += has_other_reporter ? std::min(0.0, use.reserved - admitted)
                                    : use.reserved - admitted;
  const double floor =
      state.rate * (this->is_settled ? ToSeconds(this->options.window)
                                     : ToSeconds(this->options.visibility));
  state.level = std::clamp(state.level, -floor, this->Capacity(state));
  if (source.availability_zone == this->options.own_zone) {
    state.zone_counter += std::max(0.0, admitted - use.reserved);
  }
  const double demand = reported.demand / kReportedRateUnit;
  if (!has_counter) {
    use.earlier_demand = use.next_earlier_demand = demand;
    use.earlier_since = now;
  } else if (now - use.earlier_since >= this->options.silence) {
    use.earlier_demand = use.next_earlier_demand;
    use.next_earlier_demand = demand;
    use.earlier_since = now;
  }
  use.counter = reported.admitted;
  use.rate = reported.rate / kReportedRateUnit;
  use.demand = demand;
  use.updated = source.is_whole_zone() ? now - kZoneDelay : now;
  use.is_silent = false;
  use.reserved_share = 0;
  use.reserved = 0;
  use.level = static_cast<double>(reported.level);
}

bool WorkspaceAllotments::OnPeerReport(
    const ReportSource& source,
    std::uint64_t sender,
    std::uint64_t sequence,
    std::uint32_t hosts,
    const std::vector<messages::WorkspaceUse>& uses,
    TimePoint now) {
  this->OnCall(now);
  const auto known = this->sources.find(source);
  if (known != this->sources.end() && known->second.sender == sender &&
      sequence <= known->second.sequence) {
    return false;
  }
  const bool is_new = known == this->sources.end();
  if (sequence == 0 || (is_new && !this->ReplaceSources(source, now))) {
    return false;
  }
  const bool is_same_process = !is_new && known->second.sender == sender;
  const bool has_ended = !is_new && known->second.sender != sender;
  const bool was_silent = std::erase(this->silent_sources, source) > 0;
  if (was_silent) {
    for (auto& [hash, state] : this->states) {
      this->Advance(state, now);
    }
  }
  const bool keeps_history =
      is_same_process || (!is_new && source.is_whole_zone());
  Source& updated = this->sources[source];
  this->heard_hosts +=
      std::max<std::uint32_t>(1, hosts) - (is_new ? 0.0 : updated.hosts);
  updated = {.sender = sender,
             .sequence = sequence,
             .hosts = std::max<std::uint32_t>(1, hosts),
             .heard = now,
             .first_heard = keeps_history ? updated.first_heard : now};
  std::set<std::uint64_t> reported;
  for (const auto& use : uses) {
    if (const auto found = this->states.find(use.workspace);
        found != this->states.end() && reported.insert(use.workspace).second) {
      this->Advance(found->second, now);
      this->ApplyUse(found->second, source, use, is_same_process, now);
      found->second.peers.at(source).sequence = sequence;
    }
  }
  if (was_silent || has_ended) {
    this->EndSilence(source, reported, has_ended);
  }
  return true;
}

void WorkspaceAllotments::EndSilence(const ReportSource& source,
                                     const std::set<std::uint64_t>& reported,
                                     bool has_ended) {
  for (auto& [hash, state] : this->states) {
    const auto found = state.peers.find(source);
    if (found == state.peers.end() || reported.count(hash) > 0) {
      continue;
    }
    // Use far below the limit is not reported.
    PeerUse& use = found->second;
    if (!has_ended || !source.is_whole_zone()) {
      state.level = std::min(state.level + use.reserved, this->Capacity(state));
    }
    use.is_silent = false;
    use.reserved_share = 0;
    use.reserved = 0;
    if (has_ended) {
      state.peers.erase(found);
    }
  }
}

std::vector<AllotmentUse> WorkspaceAllotments::Uses(std::size_t maximum,
                                                    TimePoint now) {
  this->OnCall(now);
  std::vector<AllotmentUse> uses;
  for (auto& [hash, state] : this->states) {
    if (uses.size() >= maximum) {
      break;
    }
    this->Advance(state, now);
    uses.push_back(
        {.workspace = state.name,
         .admitted = state.admitted,
         .refused = state.refused,
         .undone = state.undone,
         .figures = this->Figures(state, this->SharesOf(state, now), now)});
  }
  return uses;
}

}  // namespace crocus
