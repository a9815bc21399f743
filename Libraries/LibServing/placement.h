#ifndef LIBSERVING_PLACEMENT_H_
#define LIBSERVING_PLACEMENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/random.h"
#include "LibCore/time.h"
#include "LibServing/failure_attribution.h"
#include "LibServing/load_spread.h"
#include "LibServing/online_variation.h"
#include "LibServing/placement_policy.h"
#include "LibServing/replica_directory.h"
#include "LibServing/replica_loads.h"
#include "LibServing/replica_speed.h"
#include "LibServing/replica_work.h"
#include "LibServing/work_estimate.h"

namespace crocus {

struct PlacementOptions {
  /// Name of this host. Its hash decides which replicas it prefers for batch
  /// work, so that different hosts prefer different replicas.
  std::string host;
  std::string availability_zone;
  std::string region;
  /// Region of each availability zone.
  std::map<std::string, std::string> regions;
  /// Network cost of a replica in another availability zone or region, as a
  /// time. It is above the round-trip time, since this traffic is billed.
  Duration other_zone_cost = std::chrono::milliseconds(4);
  Duration other_region_cost = std::chrono::milliseconds(40);
  /// Slots of a replica that batch work leaves free for online requests.
  std::uint32_t batch_reserve = 1;
};

/// The replica that was chosen for a request.
struct PlacementChoice {
  std::string replica;
  OutstandingRequests load;
  std::uint32_t slots = 1;
  /// Time until the replica is expected to start the request.
  Duration expected_wait{};
  /// Under PlacementPolicy::kWork, the speed of the replica.
  double speed = 1;
};

/// Why a replica of an endpoint is not chosen.
enum class Exclusion {
  kNone,
  /// The request has been sent there before.
  kTried,
  /// Its requests failed recently.
  kBackoff,
  /// The work has failed elsewhere, and must not be the trial of the replica.
  kTrial,
  kNoMemory,
  /// No slot is free beside those that batch work leaves free.
  kNoSlot,
  kUnreachable,
};

std::string_view ToString(Exclusion exclusion);

/// A replica of an endpoint as the placement of a request sees it.
struct ReplicaView {
  PlacementChoice choice;
  Duration network_cost{};
  /// Part of such requests that would be sent there now, from 0 to 1.
  double share = 0;
  Exclusion exclusion = Exclusion::kNone;
};

/// What PlacementPolicy::kWork judges by.
struct PlacementByWork {
  const ReplicaWork& work;
  const ReplicaSpeed& speed;
  const OnlineVariation& variation;
  /// Tokens that fit into the memory of a replica, by endpoint. Replicas of
  /// other endpoints have no limit.
  std::map<std::string, std::uint64_t> token_capacity;
  /// Whether the slots that batch runs leave free follow the rises of the
  /// online load, with one more that is kept free. It shortens the waits of
  /// online requests and leaves fewer slots to batch runs.
  bool reserves_for_rises = true;
};

/// A batch item that needs a replica.
struct BatchPlacement {
  std::string endpoint;
  std::set<std::string> excluded;
  /// Slots left free in addition to the reserve for online requests.
  std::uint32_t extra_reserve = 0;
  /// The item over all of its runs; 0 for work that has not failed.
  WorkId work = 0;
  /// Tokens that the item takes up in the replica's memory.
  double tokens = 0;
};

/// Chooses replicas for requests. Not thread-safe.
class Placement {
 public:
  Placement(PlacementOptions options,
            const ReplicaDirectory& directory,
            const ReplicaLoads& loads,
            const FailureAttribution& failures,
            std::uint64_t seed);

  /// Places by work from now on, or by counts with none.
  void SetPolicy(std::optional<PlacementByWork> policy);
  PlacementPolicy policy() const {
    return this->by_work ? PlacementPolicy::kWork : PlacementPolicy::kCount;
  }

  /// Slots of a replica that batch runs leave free before they are stopped: an
  /// online request that has to wait until a run is stopped waits for the
  /// reports of the load and for the step in progress.
  std::uint32_t PreemptionMargin(std::uint32_t slots) const;

  /// Draws a replica for an online request, with larger weights for replicas
  /// that are expected to start it early, network cost included. The draw
  /// keeps hosts with the same reports from all choosing the same replica. None
  /// if all available replicas are in `tried`. Work that has failed is not used
  /// for the trial of a replica; `work` is 0 for work that has not.
  std::optional<PlacementChoice> ChooseOnline(
      const std::string& endpoint,
      const std::set<std::string>& tried,
      TimePoint now,
      WorkId work = 0,
      const WorkEstimate& cost = {});

  /// Chooses a replica that is not excluded and has a slot for batch work
  /// beside the reserves; none if there is no such replica. An idle replica
  /// always has a slot, even if the reserves are larger than it, and memory:
  /// an item that fits nowhere must not hold back those behind it. Hosts prefer
  /// different replicas: with the same preference, all of them would fill the
  /// emptiest replica before they receive each other's reports. If work fails
  /// at all replicas, none of them is left out but those that can't be reached.
  std::optional<PlacementChoice> ChooseBatch(const BatchPlacement& batch,
                                             TimePoint now) const;

  /// The replicas of the endpoint as ChooseOnline and ChooseBatch would see
  /// them, those with the largest shares first and those that are left out
  /// last. Replicas that leave are missing.
  std::vector<ReplicaView> ViewOnline(const std::string& endpoint,
                                      TimePoint now,
                                      const WorkEstimate& cost) const;
  std::vector<ReplicaView> ViewBatch(const BatchPlacement& batch,
                                     TimePoint now) const;

  /// Updates the mean service time of the endpoint, from which expected waits
  /// are computed, with the time from the start of an attempt to its complete
  /// response.
  void OnServed(const std::string& endpoint, Duration time);

  /// Moving average of the times that OnServed received, which estimates the
  /// time for which a request of the endpoint holds a slot.
  Duration MeanServiceTime(const std::string& endpoint) const;

 private:
  /// A replica as a candidate for an online request.
  struct Candidate {
    PlacementChoice choice;
    SpreadTarget target;
  };

  /// The candidates for an online request, and how many of the next requests
  /// each should receive.
  struct OnlineSpread {
    std::vector<PlacementChoice> choices;
    std::vector<double> shares;
  };
  /// A candidate for a batch item; the one with the lowest cost is chosen.
  struct BatchCandidate {
    PlacementChoice choice;
    double cost = 0;
  };
  /// Receives each replica that is left out.
  using OnExcluded = std::function<void(const ReplicaRecord&, Exclusion)>;

  OnlineSpread SpreadOnline(const std::string& endpoint,
                            const std::set<std::string>& tried,
                            TimePoint now,
                            WorkId work,
                            const WorkEstimate& cost,
                            const OnExcluded& on_excluded) const;
  std::vector<BatchCandidate> BatchCandidates(
      const BatchPlacement& batch,
      TimePoint now,
      const OnExcluded& on_excluded) const;
  ReplicaView ViewOf(const ReplicaRecord& replica, Exclusion exclusion) const;

  Candidate CandidateByCount(const ReplicaRecord& replica) const;
  Candidate CandidateByWork(const ReplicaRecord& replica, TimePoint now) const;
  /// True if the replica's memory has room for further tokens.
  bool HasMemory(const ReplicaRecord& replica, double tokens) const;
  Duration NetworkCost(const ReplicaRecord& replica) const;
  /// Available replicas that are not in `tried`, without those in backoff
  /// unless all of them are, and, for work that has failed, without those on
  /// trial unless all of them are.
  std::vector<const ReplicaRecord*> Candidates(
      const std::string& endpoint,
      const std::set<std::string>& tried,
      TimePoint now,
      WorkId work,
      const OnExcluded& on_excluded) const;

  const PlacementOptions options;
  const ReplicaDirectory& directory;
  const ReplicaLoads& loads;
  const FailureAttribution& failures;
  Random random;
  std::map<std::string, double> mean_service_seconds;
  std::optional<PlacementByWork> by_work;
};

}  // namespace crocus

#endif  // LIBSERVING_PLACEMENT_H_
