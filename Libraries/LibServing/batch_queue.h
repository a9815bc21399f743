#ifndef LIBSERVING_BATCH_QUEUE_H_
#define LIBSERVING_BATCH_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/time.h"
#include "LibServing/batch_job_table.h"
#include "LibServing/batch_shares.h"
#include "LibServing/dropped_routes.h"
#include "LibServing/failure_attribution.h"
#include "LibServing/peer_items.h"
#include "LibServing/placement.h"
#include "LibServing/routing_config.h"

namespace crocus {

/// The combined progress of the runs of an item.
struct ItemProgress {
  /// Data of the events, separated by line feeds.
  std::string text;
  std::optional<std::uint64_t> last_event;
  std::uint64_t events = 0;
  /// Events at the start of the last run.
  std::uint64_t events_at_start = 0;
  /// Keys of the records that this host has appended for failed runs.
  std::set<std::string> failures;
  std::uint32_t attempts = 0;
  /// Replicas to which this host has sent the item.
  std::set<std::string> tried;
  /// Replicas on which the last attempts failed.
  std::set<std::string> avoided;
  /// The next run must not start before this time.
  TimePoint not_before{};
  /// The body of the item, once it has been read from the store.
  std::optional<std::string> body;
  /// Reads of the body that found nothing in the store.
  std::uint32_t missing_body_reads = 0;
  TimePoint first_started{};
  /// Total duration of the runs of the item that have ended.
  Duration run_time{};
  /// Events of the last progress record, and when it was written.
  std::uint64_t recorded_events = 0;
  TimePoint recorded{};
  /// The item runs from its beginning, whatever progress was recorded.
  bool is_restarted = false;

  /// Drops the output so far, which cannot be continued.
  void Restart() {
    this->text.clear();
    this->last_event.reset();
    this->events = 0;
    this->is_restarted = true;
  }
};

/// Items that BatchQueue::Next leaves out.
struct ItemFilter {
  /// Endpoints that have no slot for a further item now.
  std::set<std::string> full_endpoints;
  /// Leaves out items whose bodies have yet to be read from the store.
  bool only_with_body = false;
};

/// The item to start next.
struct NextItem {
  ItemReference item;
  /// True if the item is expected to be done after its due time.
  bool is_late = false;
  /// What is believed of the item after its failures.
  WorkBelief belief;
  /// Due time in ms since the Unix epoch.
  std::int64_t due_ms = 0;

  bool operator==(const NextItem&) const = default;

  /// True if the item is worth the slot of a late or failing one.
  bool is_sound_and_in_time() const {
    return !this->belief.is_failing && !this->is_late;
  }
};

/// An item that is given up.
struct ItemToAbandon {
  ItemReference item;
  /// For logs.
  std::string reason;

  bool operator==(const ItemToAbandon&) const = default;
};

/// The open items of the jobs that are assigned to this host, and the order in
/// which they start. Not thread-safe.
class BatchQueue {
 public:
  /// Sets the partitions, out of `partition_count`, whose jobs this host runs.
  void SetPartitions(std::set<std::uint32_t> partitions,
                     std::uint32_t partition_count);
  bool OwnsJob(const std::string& job) const;
  const std::set<std::uint32_t>& partitions() const {
    return this->own_partitions;
  }

  /// Decides at which endpoints the items cannot all be done in time, and what
  /// the share of each workspace is there. To be called before each round of
  /// `Next`. It has no effect if the configuration has no workspaces.
  void UpdateShares(const BatchJobTable& job_table,
                    const RoutingConfig& config,
                    const PeerItems& peers,
                    const FailureAttribution& failures,
                    TimePoint now,
                    std::int64_t unix_milliseconds);
  /// Items of the endpoint wait and have no slot now.
  void SetFull(const std::string& endpoint, TimePoint now) {
    this->shares.SetFull(endpoint, now);
  }

  /// The item to start next: the first one in order of the job that is due
  /// first. Items that are expected to miss their due time come after the
  /// others: with more work than slots, running the oldest items first would
  /// make every job late. Items that have failed come after those that have
  /// not, and items that are expected to fail come last. Where the items of an
  /// endpoint cannot all be done in time, those that BatchShares defers come
  /// after the others. Skips items that run on this or another host, have their
  /// final state or wait after a failure, and those that `filter` leaves out:
  /// an item that cannot start must not hold back others that can.
  std::optional<NextItem> Next(const BatchJobTable& job_table,
                               const RoutingConfig& config,
                               const PeerItems& peers,
                               const FailureAttribution& failures,
                               TimePoint now,
                               std::int64_t unix_milliseconds,
                               const ItemFilter& filter = {}) const;

  /// The running item at the endpoint that gives its slot to a sound item which
  /// can be done in time: one that is expected to be late, else one that is
  /// expected to fail and whose run has brought no event; of several, one of a
  /// workspace above its share. None if there is no such item.
  std::optional<ItemReference> RunToPreempt(
      const std::string& endpoint,
      const BatchJobTable& job_table,
      const RoutingConfig& config,
      const FailureAttribution& failures,
      std::int64_t unix_milliseconds) const;

  /// True if the item's body is at hand.
  bool HasBody(const BatchJobTable& job_table, const ItemReference& item) const;

  /// True if the item, given its progress, is expected to miss its due time, or
  /// if its job or route no longer exists.
  bool IsLate(const BatchJobTable& job_table,
              const RoutingConfig& config,
              const ItemReference& item,
              std::int64_t unix_milliseconds) const;

  /// True if the item's workspace is above its share at an endpoint whose items
  /// cannot all be done in time.
  bool IsAboveShare(const BatchJobTable& job_table,
                    const RoutingConfig& config,
                    const ItemReference& item) const;

  /// Counts a run that starts in the account of the item's workspace. `seconds`
  /// is the expected time of a whole run of the item.
  void CountStart(const BatchJobTable& job_table,
                  const RoutingConfig& config,
                  const ItemReference& item,
                  double seconds);
  /// Counts the actual time of a run that has ended.
  void CountEnd(const ItemReference& item, Duration run_time) {
    this->shares.OnEnded(item, ToSeconds(run_time));
  }

  /// Updates the mean run time and the mean number of events of an item.
  void OnItemDone(Duration time, std::uint64_t events);

  /// Open items to abandon, and why: the retention of their job has passed, the
  /// job was ended, or its route was dropped. An item without a route that runs
  /// may still be finished.
  std::vector<ItemToAbandon> ItemsToAbandon(
      const BatchJobTable& job_table,
      const RoutingConfig& config,
      const DroppedRoutes& dropped_routes,
      const PeerItems& peers,
      TimePoint now,
      std::int64_t unix_milliseconds) const;

  /// The progress of the item; creates it if there is none.
  ItemProgress& Progress(const ItemReference& item);
  /// Failed runs of the item on any host: those in the job table, and those of
  /// this host that are not in it yet.
  std::size_t FailureCount(const BatchJobTable& job_table,
                           const ItemReference& item) const;
  void SetRunning(const ItemReference& item, bool is_running);
  /// Marks the item as finished before the job table contains its final state.
  void SetFinished(const ItemReference& item);
  bool IsFinished(const ItemReference& item) const;

  /// Removes the state of items that are finished in the job table or no longer
  /// in it.
  void Prune(const BatchJobTable& job_table);

 private:
  /// Calls `visit` for each item of the route's job that could start, with what
  /// is believed of it after its failures and its progress or null.
  template <typename Visit>
  void VisitItems(const std::string& id,
                  const BatchJobEntry& job,
                  const PeerItems& peers,
                  const FailureAttribution& failures,
                  TimePoint now,
                  Visit visit) const;
  /// The route of a job with open items that this host runs; null if there is
  /// none.
  const Route* RouteOfOpenJob(const RoutingConfig& config,
                              const std::string& id,
                              const BatchJobEntry& job) const;
  /// Part of the item's work that is left, from 0 to 1, if it is like the mean.
  double RemainingPart(const ItemProgress* item_progress) const;
  /// True if an item with that progress, and which is due then, is expected to
  /// miss its due time.
  bool WillBeLate(const ItemProgress* item_progress,
                  std::int64_t due_ms,
                  std::int64_t unix_milliseconds) const;
  /// The running items at the endpoint, those of workspaces above their share
  /// first.
  std::vector<ItemReference> RunsAt(const std::string& endpoint,
                                    const BatchJobTable& job_table,
                                    const RoutingConfig& config) const;
  /// When a job's items must be done so that their results can be read in time,
  /// in ms since the Unix epoch.
  static std::int64_t DueTime(const Route& route, const BatchJobEntry& job);

  std::set<std::uint32_t> own_partitions;
  std::uint32_t partition_count = 1;
  std::map<ItemReference, ItemProgress> progress;
  std::set<ItemReference> running;
  std::set<ItemReference> finished;
  /// Moving average of the total run time of an item; 5 s at first.
  Duration mean_run_time = std::chrono::seconds(5);
  double mean_events = 0;
  BatchShares shares;
};

/// The batch route of a job under that configuration: by host and path, or by
/// the name of the route if its host or path has changed. Null if there is
/// none.
const Route* RouteOfJob(const RoutingConfig& config,
                        const records::BatchJobAccepted& job);

/// Chooses a replica for an item, none of those that its progress says to avoid
/// unless no other has a slot. Then it avoids none any more.
std::optional<PlacementChoice> ChooseReplica(const Placement& placement,
                                             ItemProgress& progress,
                                             BatchPlacement batch,
                                             TimePoint now);

/// The endpoint that runs a job's items. It is the same for all of them as long
/// as the route's weights do not change.
std::string EndpointOfJob(const Route& route, const std::string& job);

}  // namespace crocus

#endif  // LIBSERVING_BATCH_QUEUE_H_
