#ifndef LIBSERVING_REPLICA_DEPARTURES_H_
#define LIBSERVING_REPLICA_DEPARTURES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// One start of a replica's process. A replica that starts again under its id
/// is a new one.
struct ReplicaBoot {
  std::string id;
  /// In ms since the Unix epoch; 0 if the registry does not tell it.
  std::int64_t started_ms = 0;
  /// IP:port.
  std::string address;

  bool operator==(const ReplicaBoot&) const = default;
};

/// A belief that has ended, for logs.
struct EndedDeparture {
  std::string replica;
  std::string reason;
  Duration age{};

  bool operator==(const EndedDeparture&) const = default;
};

/// The replicas that have announced in an answer that they leave. The registry
/// may tell it later, or never. Not thread-safe.
class ReplicaDepartures {
 public:
  /// An answer of the replica says that it leaves. True if that is new.
  bool OnAnnounced(const ReplicaBoot& boot, TimePoint now);

  /// Whether requests must not be sent to the replica.
  bool IsLeaving(const ReplicaBoot& boot) const;

  /// The replica is registered as this boot. Ends the belief about an earlier
  /// one.
  std::vector<EndedDeparture> OnRegistered(const ReplicaBoot& boot,
                                           TimePoint now);

  /// Ends the beliefs that are older than any departure lasts.
  std::vector<EndedDeparture> Expire(TimePoint now);

  std::size_t size() const { return this->departures.size(); }

 private:
  struct Departure {
    ReplicaBoot boot;
    TimePoint since{};
    TimePoint last_announced{};
  };

  /// By the id of the replica.
  std::map<std::string, Departure> departures;
};

}  // namespace crocus

#endif  // LIBSERVING_REPLICA_DEPARTURES_H_
