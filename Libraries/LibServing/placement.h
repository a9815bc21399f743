#ifndef LIBSERVING_PLACEMENT_H_
#define LIBSERVING_PLACEMENT_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/random.h"
#include "LibCore/time.h"
#include "LibServing/replica_directory.h"
#include "LibServing/replica_loads.h"

namespace crocus {

struct PlacementOptions {
  /// Name of this host; spreads the batch work of different hosts.
  std::string host;
  std::string availability_zone;
  std::string region;
  /// Region of each availability zone.
  std::map<std::string, std::string> regions;
  /// Time that a detour to another zone or region is taken to cost. It is
  /// above the round trip, since those bytes are paid for.
  Duration other_zone_cost = std::chrono::milliseconds(4);
  Duration other_region_cost = std::chrono::milliseconds(40);
  /// Slots of a replica that batch work leaves free for online arrivals.
  std::uint32_t batch_reserve = 1;
};

struct PlacementChoice {
  std::string replica;
  OutstandingRequests load;
  std::uint32_t slots = 1;
  /// Time until the replica is expected to begin with the request.
  Duration expected_wait{};
};

/// Chooses replicas for requests. Not thread-safe.
class Placement {
 public:
  Placement(PlacementOptions options,
            const ReplicaDirectory& directory,
            const ReplicaLoads& loads,
            std::uint64_t seed);

  /// A replica that is expected to begin early with an online request, distance
  /// included; drawn, so that hosts with the same reports do not all take the
  /// same one. None if no replica is known that was not tried.
  std::optional<PlacementChoice> ChooseOnline(
      const std::string& endpoint,
      const std::set<std::string>& tried,
      TimePoint now);

  /// A replica with a slot for batch work, apart from `excluded`, that keeps
  /// `extra_reserve` slots free besides the reserve for online requests.
  /// Hosts prefer different replicas: with the same preference all of them
  /// would fill the emptiest one before they hear of each other.
  std::optional<PlacementChoice> ChooseBatch(
      const std::string& endpoint,
      const std::set<std::string>& excluded,
      TimePoint now,
      std::uint32_t extra_reserve = 0) const;

  /// Takes a finished request into account for the expected waits.
  void OnServed(const std::string& endpoint, Duration time);

  /// Mean time for which a request of the endpoint holds a slot.
  Duration MeanServiceTime(const std::string& endpoint) const;

 private:
  Duration NetworkCost(const ReplicaRecord& replica) const;
  /// Records that were not tried, without the paused ones if others are left.
  std::vector<const ReplicaRecord*> Candidates(
      const std::string& endpoint,
      const std::set<std::string>& tried,
      TimePoint now) const;

  const PlacementOptions options;
  const ReplicaDirectory& directory;
  const ReplicaLoads& loads;
  Random random;
  std::map<std::string, double> mean_service_seconds;
};

}  // namespace crocus

#endif  // LIBSERVING_PLACEMENT_H_
