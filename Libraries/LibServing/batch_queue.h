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
#include "LibServing/peer_items.h"
#include "LibServing/routing_config.h"

namespace crocus {

/// What runs of an item have brought so far.
struct ItemProgress {
  /// Data of the events, separated by line feeds.
  std::string text;
  std::optional<std::uint64_t> last_event;
  std::uint64_t events = 0;
  /// Keys of the records of failed runs that this host has seen.
  std::set<std::string> failures;
  std::uint32_t attempts = 0;
  /// Replicas where the last attempts failed.
  std::set<std::string> avoided;
  TimePoint not_before{};
  TimePoint first_started{};
  /// Time for which runs of the item have lasted.
  Duration run_time{};
  /// Events of the last progress record, and when it was written.
  std::uint64_t recorded_events = 0;
  TimePoint recorded{};
};

/// The item that goes next.
struct NextItem {
  ItemReference item;
  /// It cannot be done before it is due.
  bool is_late = false;
  /// In ms since the Unix epoch.
  std::int64_t due_ms = 0;

  bool operator==(const NextItem&) const = default;
};

/// The open items of the jobs that this host runs, and which goes next. Not
/// thread-safe.
class BatchQueue {
 public:
  /// Jobs of these partitions, out of `partition_count`, are this host's.
  void SetPartitions(std::set<std::uint32_t> partitions,
                     std::uint32_t partition_count);
  bool OwnsJob(const std::string& job) const;
  const std::set<std::uint32_t>& partitions() const {
    return this->own_partitions;
  }

  /// The item to start next: of the job that is due first, the first item in
  /// order. Items that cannot be done before they are due come after those that
  /// can: with more work than slots, doing the oldest first would make every
  /// job late. Items that run, that have their final state or that wait after a
  /// failure are passed over, and those that another host runs.
  std::optional<NextItem> Next(const BatchJobTable& job_table,
                               const RoutingConfig& config,
                               const PeerItems& peers,
                               TimePoint now,
                               std::int64_t unix_milliseconds) const;

  /// True if the item, with its progress, will not be done before it is due.
  bool IsLate(const BatchJobTable& job_table,
              const RoutingConfig& config,
              const ItemReference& item,
              std::int64_t unix_milliseconds) const;

  /// Takes the time for which a whole item ran, and its events, into account.
  void OnItemDone(Duration time, std::uint64_t events);

  /// Open items that may be given up: their job's retention has passed.
  std::vector<ItemReference> ItemsToAbandon(
      const BatchJobTable& job_table,
      const RoutingConfig& config,
      std::int64_t unix_milliseconds) const;

  ItemProgress& Progress(const ItemReference& item);
  /// Failed runs of the item on any host: those on the board, and those of this
  /// host that are not there yet.
  std::size_t FailureCount(const BatchJobTable& job_table,
                           const ItemReference& item) const;
  void SetRunning(const ItemReference& item, bool is_running);
  /// The item has its final state, although the board may not show it yet.
  void SetFinished(const ItemReference& item);
  bool IsFinished(const ItemReference& item) const;

  /// Forgets what it knows of items that the board shows as finished.
  void Prune(const BatchJobTable& job_table);

 private:
  /// When the results of a job must be finished, in ms since the Unix epoch.
  static std::int64_t DueTime(const Route& route, const BatchJobEntry& job);

  std::set<std::uint32_t> own_partitions;
  std::uint32_t partition_count = 1;
  std::map<ItemReference, ItemProgress> progress;
  std::set<ItemReference> running;
  std::set<ItemReference> finished;
  /// Time for which a whole item runs; 5 s at first.
  Duration mean_run_time = std::chrono::seconds(5);
  double mean_events = 0;
};

/// The route of a job under that configuration: by its name, or by host and
/// path if it was renamed. None if it was removed.
const Route* RouteOfJob(const RoutingConfig& config,
                        const records::BatchJobAccepted& job);

/// The endpoint that runs a job's items. All of them go to one endpoint while
/// the route's weights stay.
std::string EndpointOfJob(const Route& route, const std::string& job);

}  // namespace crocus

#endif  // LIBSERVING_BATCH_QUEUE_H_
