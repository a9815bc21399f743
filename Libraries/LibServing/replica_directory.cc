#include "LibServing/replica_directory.h"

#include <algorithm>

namespace crocus {

void ReplicaDirectory::Update(const ReplicaRecord& record) {
  this->replicas[record.id] = Entry{.record = record, .drop_at = std::nullopt};
}

bool ReplicaDirectory::is_in_grace(TimePoint now) const {
  return this->is_registry_lost ||
         (this->regained && now < *this->regained + this->options.lapse_grace);
}

void ReplicaDirectory::Remove(const std::string& id, TimePoint now) {
  const auto found = this->replicas.find(id);
  if (found == this->replicas.end()) {
    return;
  }
  if (!this->is_in_grace(now) || found->second.record.is_draining) {
    this->replicas.erase(found);
    return;
  }
  if (!found->second.drop_at) {
    found->second.drop_at =
        this->regained.value_or(now) + this->options.lapse_grace;
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
  this->is_registry_lost = true;
}

void ReplicaDirectory::OnRegistryRecovered(TimePoint now) {
  if (this->is_registry_lost) {
    this->is_registry_lost = false;
    this->regained = now;
  }
}

std::vector<const ReplicaRecord*> ReplicaDirectory::Available(
    const std::string& endpoint) const {
  std::vector<const ReplicaRecord*> available;
  for (const auto& [id, entry] : this->replicas) {
    if (entry.record.endpoint == endpoint && !entry.record.is_draining) {
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
  std::vector<std::string> dropped;
  for (auto entry = this->replicas.begin(); entry != this->replicas.end();) {
    if (entry->second.drop_at && *entry->second.drop_at <= now) {
      dropped.push_back(entry->first);
      entry = this->replicas.erase(entry);
    } else {
      ++entry;
    }
  }
  return dropped;
}

}  // namespace crocus
