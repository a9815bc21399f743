#ifndef LIBSERVING_REPLICA_DIRECTORY_H_
#define LIBSERVING_REPLICA_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// What a replica says of itself in the platform's registry.
struct ReplicaRecord {
  std::string id;
  std::string endpoint;
  /// IP:port.
  std::string address;
  std::string availability_zone;
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// Time after its start in which the replica stays slow.
  Duration remaining_warm_up{};
  /// Start of the replica's process, in ms since the Unix epoch. A replica
  /// that starts again under its id knows nothing of what it ran before.
  std::int64_t started_ms = 0;

  bool operator==(const ReplicaRecord&) const = default;
};

struct ReplicaDirectoryOptions {
  /// How long entries that lapsed during an outage of the registry are still
  /// used after its return. Live replicas register again within two seconds.
  Duration expiry_grace = std::chrono::milliseconds(2000);
};

/// The replicas that may be sent requests, from the platform's registry.
class ReplicaDirectory {
 public:
  explicit ReplicaDirectory(ReplicaDirectoryOptions options = {})
      : options(options) {}

  void Update(const ReplicaRecord& record);
  /// The registry has no entry of that id any more.
  void Remove(const std::string& id, TimePoint now);
  /// The registry was read from its beginning: entries that are not among
  /// `present` have gone.
  void RetainOnly(const std::vector<std::string>& present, TimePoint now);

  /// The registry does not answer.
  void OnRegistryUnavailable(TimePoint now);
  void OnRegistryRecovered(TimePoint now);

  /// Replicas of the endpoint that take new requests.
  std::vector<const ReplicaRecord*> Available(
      const std::string& endpoint) const;
  const ReplicaRecord* Find(const std::string& id) const;
  std::size_t size() const { return this->replicas.size(); }

  /// Drops entries whose grace has passed; their ids are returned.
  std::vector<std::string> RemoveExpired(TimePoint now);

 private:
  struct Entry {
    ReplicaRecord record;
    /// Set for an entry that lapsed during an outage.
    std::optional<TimePoint> remove_at;
  };

  bool is_in_grace_period(TimePoint now) const;

  const ReplicaDirectoryOptions options;
  std::map<std::string, Entry> replicas;
  bool is_registry_unavailable = false;
  std::optional<TimePoint> recovered_at;
};

}  // namespace crocus

#endif  // LIBSERVING_REPLICA_DIRECTORY_H_
