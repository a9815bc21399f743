#ifndef LIBSERVING_REPLICA_DIRECTORY_H_
#define LIBSERVING_REPLICA_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibServing/replica_departures.h"

namespace crocus {

/// A replica's entry in the platform's registry.
struct ReplicaRecord {
  std::string id;
  std::string endpoint;
  /// IP:port.
  std::string address;
  std::string availability_zone;
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// Time for which the replica is still slow after its start.
  Duration remaining_warm_up{};
  /// Start of the replica's process, in ms since the Unix epoch. A replica that
  /// restarts under the same id has no record of its earlier requests.
  std::int64_t started_ms = 0;

  bool operator==(const ReplicaRecord&) const = default;
};

struct ReplicaDirectoryOptions {
  /// How long entries that expired during an outage of the registry are still
  /// used after its recovery. Live replicas register again within two seconds.
  Duration expiry_grace = std::chrono::milliseconds(2000);
};

/// The boot that the entry describes.
ReplicaBoot BootOf(const ReplicaRecord& record);

/// The replicas of the platform's registry, to which requests may be sent.
class ReplicaDirectory {
 public:
  explicit ReplicaDirectory(ReplicaDirectoryOptions options = {})
      : options(options) {}

  void Update(const ReplicaRecord& record);
  /// The entry was removed from the registry. During an outage of the registry
  /// and the grace period after it, the replica stays until RemoveExpired
  /// removes it, unless it is draining.
  void Remove(const std::string& id, TimePoint now);
  /// The registry was read from its beginning: removes the replicas that are
  /// not in `present`, under the same conditions.
  void RetainOnly(const std::vector<std::string>& present, TimePoint now);

  /// The registry does not respond.
  void OnRegistryUnavailable(TimePoint now);
  void OnRegistryRecovered(TimePoint now);

  /// An answer of that boot of a replica says that it leaves. Returns true if
  /// that is new and the boot is registered.
  bool OnLeavingAnnounced(const ReplicaBoot& boot, TimePoint now);
  ReplicaDepartures& departures() { return this->announced_departures; }

  /// Replicas of the endpoint that accept new requests: those that neither the
  /// registry nor an answer of their own describes as leaving.
  std::vector<const ReplicaRecord*> Available(
      const std::string& endpoint) const;
  const ReplicaRecord* Find(const std::string& id) const;
  std::size_t size() const { return this->replicas.size(); }

  /// Removes the entries whose grace period has passed and returns their ids.
  std::vector<std::string> RemoveExpired(TimePoint now);

 private:
  struct Entry {
    ReplicaRecord record;
    /// Set for an entry that expired during an outage of the registry.
    std::optional<TimePoint> remove_at;
  };

  bool is_in_grace_period(TimePoint now) const;

  const ReplicaDirectoryOptions options;
  std::map<std::string, Entry> replicas;
  ReplicaDepartures announced_departures;
  bool is_registry_unavailable = false;
  std::optional<TimePoint> recovered_at;
};

}  // namespace crocus

#endif  // LIBSERVING_REPLICA_DIRECTORY_H_
