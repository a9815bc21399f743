#include "LibServing/crash_evidence.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "LibCore/hashing.h"
#include "LibServing/request_metadata.h"

namespace crocus {

namespace {

/// The age of something that is not known, in a report.
constexpr std::int64_t kNoAge = -1;
/// Beyond this many failed trials the delay does not grow.
constexpr std::uint32_t kMaximumTrials = 6;
constexpr int kTrialDelayFactor = 3;

std::int64_t AgeOf(std::optional<TimePoint> time, TimePoint now) {
  return time ? std::max<std::int64_t>(
                    0, std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - *time)
                           .count())
              : kNoAge;
}

std::optional<TimePoint> TimeOf(std::int64_t age_ms, TimePoint now) {
  // An age beyond a day is not plausible, and could overflow.
  constexpr std::int64_t kMaximumAge = 86'400'000;
  if (age_ms < 0 || age_ms > kMaximumAge) {
    return std::nullopt;
  }
  return now - std::chrono::milliseconds(age_ms);
}

bool Contains(const std::vector<std::string>& parts, const std::string& part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

}  // namespace

bool CrashEvidence::IsSameCrash(const Crash& left, const Crash& right) const {
  return left.replica_hash == right.replica_hash &&
         std::chrono::abs(left.time - right.time) <
             this->options.same_crash_time;
}

bool CrashEvidence::HasCrash(const Entry& entry, const Crash& crash) const {
  return std::any_of(
      entry.crashes.begin(), entry.crashes.end(),
      [&](const Crash& other) { return this->IsSameCrash(crash, other); });
}

bool CrashEvidence::HasSameCrashes(const Entry& left,
                                   const Entry& right) const {
  return left.crashes.size() == right.crashes.size() &&
         std::all_of(
             left.crashes.begin(), left.crashes.end(),
             [&](const Crash& crash) { return this->HasCrash(right, crash); });
}

std::uint32_t CrashEvidence::Count(const Entry& entry,
                                   const std::vector<Crash>& explained) const {
  std::uint32_t count = 0;
  std::optional<TimePoint> last;
  for (const auto& crash : entry.crashes) {
    const bool is_explained = std::any_of(
        explained.begin(), explained.end(),
        [&](const Crash& other) { return this->IsSameCrash(crash, other); });
    if (!is_explained &&
        (!last || crash.time - *last >= this->options.common_cause_time)) {
      ++count;
      last = crash.time;
    }
  }
  return count;
}

std::uint32_t CrashEvidence::Threshold(const Entry& entry) const {
  const bool is_proven =
      entry.served && !entry.crashes.empty() &&
      entry.crashes.front().time - *entry.served < this->options.proof_lifetime;
  return is_proven ? this->options.crashes_to_block_proven_part
                   : this->options.crashes_to_block;
}

bool CrashEvidence::AddCrash(Entry& entry, const Crash& crash) {
  if (entry.served && *entry.served >= crash.time) {
    return false;
  }
  const auto before = entry.crashes;
  // Hosts see the same crash at different times. All of them keep the earliest.
  std::erase_if(entry.crashes, [&crash, this](const Crash& other) {
    return this->IsSameCrash(crash, other) && crash.time < other.time;
  });
  if (this->HasCrash(entry, crash)) {
    return false;
  }
  const auto position = std::upper_bound(
      entry.crashes.begin(), entry.crashes.end(), crash,
      [](const Crash& a, const Crash& b) { return a.time < b.time; });
  entry.crashes.insert(position, crash);
  if (entry.crashes.size() > this->options.maximum_crashes) {
    entry.crashes.erase(
        std::max_element(entry.crashes.begin(), entry.crashes.end(),
                         [](const Crash& a, const Crash& b) {
                           return a.replica_hash < b.replica_hash;
                         }));
  }
  return entry.crashes != before;
}

bool CrashEvidence::AddServed(Entry& entry, TimePoint time) {
  if (entry.served && *entry.served >= time) {
    return false;
  }
  const std::uint32_t threshold = this->Threshold(entry);
  entry.served = time;
  const auto cleared = std::erase_if(
      entry.crashes, [time](const Crash& crash) { return crash.time <= time; });
  if (entry.crashes.empty()) {
    entry.trials = 0;
    entry.last_trial.reset();
  }
  // A served request before the first crash speaks for the part as well.
  return cleared > 0 || this->Threshold(entry) != threshold;
}

CrashEvidence::Entry& CrashEvidence::EntryOf(const std::string& part) {
  const auto [found, is_new] = this->entries.try_emplace(part);
  if (is_new) {
    const auto served = this->served_parts.find(part);
    if (served != this->served_parts.end()) {
      found->second.served = served->second;
    }
  }
  return found->second;
}

void CrashEvidence::OnCrash(const std::string& replica,
                            const std::vector<std::string>& parts,
                            TimePoint now) {
  const Crash crash{.replica_hash = HashBytes(replica), .time = now};
  bool has_changed = false;
  for (const auto& part : parts) {
    has_changed = this->AddCrash(this->EntryOf(part), crash) || has_changed;
  }
  if (has_changed) {
    this->OnChange(true);
  }
}

void CrashEvidence::OnServed(const std::vector<std::string>& parts,
                             TimePoint now) {
  bool has_changed = false;
  for (const auto& part : parts) {
    if (this->served_parts.size() < this->options.maximum_served_parts ||
        this->served_parts.contains(part)) {
      this->served_parts[part] = now;
    }
    if (const auto found = this->entries.find(part);
        found != this->entries.end()) {
      has_changed = this->AddServed(found->second, now) || has_changed;
    }
  }
  if (has_changed) {
    this->OnChange(true);
  }
}

bool CrashEvidence::Lift(const std::string& part, TimePoint now) {
  std::vector<Crash> lifted;
  for (const auto& blocked : this->blocked_parts) {
    if (Contains(blocked.parts, part)) {
      const auto& crashes = this->entries.at(blocked.parts.front()).crashes;
      lifted.insert(lifted.end(), crashes.begin(), crashes.end());
    }
  }
  if (lifted.empty()) {
    return false;
  }
  for (auto& [name, entry] : this->entries) {
    const bool has_lifted_crash =
        std::any_of(lifted.begin(), lifted.end(),
                    [&entry = entry, this](const Crash& crash) {
                      return this->HasCrash(entry, crash);
                    });
    if (has_lifted_crash) {
      this->AddServed(entry, now);
    }
  }
  this->OnChange(true);
  return true;
}

std::optional<BlockedParts> CrashEvidence::Check(
    const std::vector<std::string>& parts,
    TimePoint now,
    std::size_t hosts,
    double chance) {
  for (const auto& blocked : this->blocked_parts) {
    const bool has_all =
        std::all_of(blocked.parts.begin(), blocked.parts.end(),
                    [&](const auto& part) { return Contains(parts, part); });
    if (!has_all) {
      continue;
    }
    const double overdue = ToSeconds(now - blocked.next_trial) /
                           ToSeconds(this->options.trial_spread);
    const double trial_share =
        1.0 / static_cast<double>(std::max<std::size_t>(hosts, 1)) +
        overdue * overdue;
    const bool is_trial = overdue >= 0 && chance < trial_share;
    if (!is_trial) {
      return blocked;
    }
    for (const auto& part : blocked.parts) {
      Entry& entry = this->entries.at(part);
      entry.trials = std::min(entry.trials + 1, kMaximumTrials);
      entry.last_trial = now;
    }
    this->OnChange(true);
    return std::nullopt;
  }
  return std::nullopt;
}

std::vector<messages::PartEvidence> CrashEvidence::Report(TimePoint now) const {
  using Item = std::pair<const std::string, Entry>;
  std::vector<const Item*> items;
  for (const auto& item : this->entries) {
    items.push_back(&item);
  }
  const auto last_change = [](const Entry& entry) {
    const TimePoint served = entry.served.value_or(TimePoint());
    return entry.crashes.empty() ? served
                                 : std::max(served, entry.crashes.back().time);
  };
  std::sort(items.begin(), items.end(), [&](const Item* a, const Item* b) {
    return std::make_pair(a->second.crashes.size(), last_change(a->second)) >
           std::make_pair(b->second.crashes.size(), last_change(b->second));
  });
  items.resize(std::min(items.size(), this->options.maximum_reported_parts));
  std::vector<messages::PartEvidence> report;
  for (const auto* item : items) {
    const auto& [part, entry] = *item;
    messages::PartEvidence evidence{
        .part = part,
        .crashes = {},
        .served_age_ms = AgeOf(entry.served, now),
        .trials = entry.trials,
        .trial_age_ms = AgeOf(entry.last_trial, now)};
    for (const auto& crash : entry.crashes) {
      evidence.crashes.push_back({.replica_hash = crash.replica_hash,
                                  .age_ms = AgeOf(crash.time, now)});
    }
    report.push_back(std::move(evidence));
  }
  return report;
}

void CrashEvidence::Merge(const std::vector<messages::PartEvidence>& report,
                          TimePoint now) {
  bool has_changed = false;
  for (const auto& evidence : report) {
    const auto served = TimeOf(evidence.served_age_ms, now);
    if (evidence.part.empty() || evidence.part.size() > kMaximumPartIdBytes ||
        (evidence.crashes.empty() && !this->entries.contains(evidence.part))) {
      continue;
    }
    // Evidence that is enough to block the part lives longer.
    const Duration lifetime =
        evidence.crashes.size() >= this->options.crashes_to_block
            ? this->options.block_lifetime
            : this->options.suspicion_lifetime;
    Entry& entry = this->EntryOf(evidence.part);
    if (served) {
      has_changed = this->AddServed(entry, *served) || has_changed;
    }
    for (const auto& crash : evidence.crashes) {
      if (const auto time = TimeOf(crash.age_ms, now);
          time && now - *time < lifetime - this->options.expiry_margin) {
        has_changed = this->AddCrash(entry, {.replica_hash = crash.replica_hash,
                                             .time = *time}) ||
                      has_changed;
      }
    }
    const auto last_trial = TimeOf(evidence.trial_age_ms, now);
    if (!entry.crashes.empty() && last_trial &&
        evidence.trials > entry.trials) {
      entry.trials = std::min(evidence.trials, kMaximumTrials);
      entry.last_trial = last_trial;
      has_changed = true;
    }
  }
  if (has_changed || this->entries.size() > this->options.maximum_parts) {
    this->OnChange(false);
  }
}

void CrashEvidence::Expire(TimePoint now) {
  std::erase_if(this->served_parts, [&](const auto& item) {
    return now - item.second > this->options.proof_lifetime;
  });
  bool has_changed = false;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    const auto& [part, evidence] = *entry;
    const TimePoint last = evidence.crashes.empty()
                               ? evidence.served.value_or(TimePoint())
                               : evidence.crashes.back().time;
    const Duration lifetime = this->IsBlocked(part)
                                  ? this->options.block_lifetime
                                  : this->options.suspicion_lifetime;
    if (now - last > lifetime) {
      entry = this->entries.erase(entry);
      has_changed = true;
    } else {
      ++entry;
    }
  }
  if (has_changed) {
    this->Evaluate();
  }
}

std::size_t CrashEvidence::suspects() const {
  return static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(),
      [](const auto& item) { return !item.second.crashes.empty(); }));
}

std::vector<BlockChange> CrashEvidence::TakeChanges() {
  return std::exchange(this->changes, {});
}

void CrashEvidence::Bound() {
  while (this->entries.size() > this->options.maximum_parts) {
    const auto weakest = std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& a, const auto& b) {
          const auto rank = [](const Entry& entry) {
            return std::make_pair(entry.crashes.size(),
                                  entry.crashes.empty()
                                      ? TimePoint()
                                      : entry.crashes.back().time);
          };
          return rank(a.second) < rank(b.second);
        });
    this->entries.erase(weakest);
  }
}

bool CrashEvidence::IsBlocked(const std::string& part) const {
  return std::any_of(this->blocked_parts.begin(), this->blocked_parts.end(),
                     [&part](const BlockedParts& blocked) {
                       return Contains(blocked.parts, part);
                     });
}

void CrashEvidence::OnChange(bool is_own) {
  ++this->change_count;
  this->own_change_count += is_own ? 1 : 0;
  this->Bound();
  this->Evaluate();
}

std::vector<BlockedParts> CrashEvidence::FindBlocked() const {
  using Item = std::pair<const std::string, Entry>;
  std::vector<const Item*> suspects;
  for (const auto& item : this->entries) {
    if (!item.second.crashes.empty()) {
      suspects.push_back(&item);
    }
  }
  std::stable_sort(
      suspects.begin(), suspects.end(), [this](const Item* a, const Item* b) {
        const auto rank = [this](const Entry& entry) {
          return std::make_pair(this->Count(entry, {}), entry.crashes.size());
        };
        return rank(a->second) > rank(b->second);
      });
  std::vector<BlockedParts> found;
  std::vector<Crash> explained;
  for (const auto* suspect : suspects) {
    const Entry& entry = suspect->second;
    if (this->Count(entry, explained) < this->Threshold(entry)) {
      continue;
    }
    BlockedParts blocked{.crashes = this->Count(entry, {}),
                         .failed_trials = entry.trials};
    Duration delay = this->options.first_trial_delay;
    for (std::uint32_t i = 0; i < entry.trials; ++i) {
      delay *= kTrialDelayFactor;
    }
    blocked.next_trial = std::max(entry.crashes.back().time,
                                  entry.last_trial.value_or(TimePoint())) +
                         delay;
    for (const auto* other : suspects) {
      if (this->HasSameCrashes(entry, other->second)) {
        blocked.parts.push_back(other->first);
      }
    }
    std::sort(blocked.parts.begin(), blocked.parts.end());
    explained.insert(explained.end(), entry.crashes.begin(),
                     entry.crashes.end());
    found.push_back(std::move(blocked));
  }
  return found;
}

void CrashEvidence::Evaluate() {
  std::vector<BlockedParts> found = this->FindBlocked();
  const auto has_parts_of = [](const std::vector<BlockedParts>& list,
                               const BlockedParts& blocked) {
    return std::any_of(list.begin(), list.end(), [&](const auto& other) {
      return other.parts == blocked.parts;
    });
  };
  for (const auto& old : this->blocked_parts) {
    if (!has_parts_of(found, old)) {
      this->changes.push_back({.blocked = old, .is_blocked = false});
    }
  }
  for (const auto& blocked : found) {
    if (!has_parts_of(this->blocked_parts, blocked)) {
      this->changes.push_back({.blocked = blocked, .is_blocked = true});
    }
  }
  this->blocked_parts = std::move(found);
}

}  // namespace crocus
