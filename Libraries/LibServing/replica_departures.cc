#include "LibServing/replica_departures.h"

#include <utility>

namespace crocus {

namespace {

/// A replica that leaves ends within seconds. One that still runs after this
/// time has announced it wrongly, and its endpoint must not stay without it.
constexpr Duration kLongestDeparture = std::chrono::seconds(60);

}  // namespace

bool ReplicaDepartures::OnAnnounced(const ReplicaBoot& boot, TimePoint now) {
  const auto [found, is_new] = this->departures.try_emplace(
      boot.id, Departure{.boot = boot, .since = now, .last_announced = now});
  if (is_new) {
    return true;
  }
  if (found->second.boot == boot) {
    found->second.last_announced = now;
    return false;
  }
  found->second = {.boot = boot, .since = now, .last_announced = now};
  return true;
}

bool ReplicaDepartures::IsLeaving(const ReplicaBoot& boot) const {
  const auto found = this->departures.find(boot.id);
  return found != this->departures.end() && found->second.boot == boot;
}

std::vector<EndedDeparture> ReplicaDepartures::OnRegistered(
    const ReplicaBoot& boot,
    TimePoint now) {
  const auto found = this->departures.find(boot.id);
  if (found == this->departures.end() || found->second.boot == boot) {
    return {};
  }
  const EndedDeparture ended{.replica = boot.id,
                             .reason = "new boot",
                             .age = now - found->second.since};
  this->departures.erase(found);
  return {ended};
}

std::vector<EndedDeparture> ReplicaDepartures::Expire(TimePoint now) {
  std::vector<EndedDeparture> ended;
  for (auto entry = this->departures.begin();
       entry != this->departures.end();) {
    const Departure& departure = entry->second;
    if (now - departure.last_announced < kLongestDeparture) {
      ++entry;
      continue;
    }
    ended.push_back({.replica = entry->first,
                     .reason = "older than any departure",
                     .age = now - departure.since});
    entry = this->departures.erase(entry);
  }
  return ended;
}

}  // namespace crocus
