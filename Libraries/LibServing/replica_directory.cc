#include "LibServing/replica_directory.h"

#include <algorithm>

namespace crocus {

ReplicaBoot BootOf(const ReplicaRecord& record) {
  return {.id = record.id,
          .started_ms = record.started_ms,
          .address = record.address};
}

bool ReplicaDirectory::OnLeavingAnnounced(const ReplicaBoot& boot,
                                          TimePoint now) {
  const ReplicaRecord* record = this->Find(boot.id);
  return record != nullptr && BootOf(*record) == boot &&
         this->announced_departures.OnAnnounced(boot, now);
}

void ReplicaDirectory::Update(const ReplicaRecord& record) {
  this->replicas[record.id] =
      Entry{.record = record, .remove_at = std::nullopt};
}

bool ReplicaDirectory::is_in_grace_period(TimePoint now) const {
  return this->is_registry_unavailable ||
         (this->recovered_at &&
          now < *this->recovered_at + this->options.expiry_grace);
}

void ReplicaDirectory::Remove(const std::string& id, TimePoint now) {
  const auto found = this->replicas.find(id);
  if (found == this->replicas.end()) {
    return;
  }
  if (!this->is_in_grace_period(now) || found->second.record.is_draining) {
    this->replicas.erase(found);
    return;
  }
  if (!found->second.remove_at) {
    found->second.remove_at =
        this->recovered_at.value_or(now) + this->options.expiry_grace;
  }
}

void ReplicaDirectory::RetainOnly(const std::vector<std::string>& present,
                                  TimePoint now) {
  std::vector<std::string> missing;
  for (const auto& [id, entry] : this->replicas) {
    if (std::find(present.begin(), present.end(), id) == present.end()) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    this->Remove(id, now);
  }
}

void ReplicaDirectory::OnRegistryUnavailable(TimePoint) {
  this->is_registry_unavailable = true;
}

void ReplicaDirectory::OnRegistryRecovered(TimePoint now) {
  if (this->is_registry_unavailable) {
    this->is_registry_unavailable = false;
    this->recovered_at = now;
  }
}

std::vector<const ReplicaRecord*> ReplicaDirectory::Available(
    const std::string& endpoint) const {
  std::vector<const ReplicaRecord*> available;
  for (const auto& [id, entry] : this->replicas) {
    if (entry.record.endpoint == endpoint && !entry.record.is_draining &&
        !this->announced_departures.IsLeaving(BootOf(entry.record))) {
      available.push_back(&entry.record);
    }
  }
  return available;
}

const ReplicaRecord* ReplicaDirectory::Find(const std::string& id) const {
  const auto found = this->replicas.find(id);
  return found == this->replicas.end() ? nullptr : &found->second.record;
}

std::vector<std::string> ReplicaDirectory::RemoveExpired(TimePoint now) {
  std::vector<std::string> removed;
  for (auto entry = this->replicas.begin(); entry != this->replicas.end();) {
    if (entry->second.remove_at && *entry->second.remove_at <= now) {
      removed.push_back(entry->first);
      entry = this->replicas.erase(entry);
    } else {
      ++entry;
    }
  }
  return removed;
}

}  // namespace crocus
