#ifndef GATEWAY_BATCH_RUNNER_H_
#define GATEWAY_BATCH_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Gateway/batch_data_reader.h"
#include "Gateway/batch_writer.h"
#include "Gateway/forwarding_context.h"
#include "Gateway/replica_attempt.h"
#include "LibServing/batch_job_table.h"
#include "LibServing/batch_queue.h"
#include "LibServing/dropped_routes.h"
#include "LibServing/event_stream_parser.h"
#include "LibServing/routing_config.h"

namespace crocus {

/// Where the configuration in force comes from.
struct ConfigSource {
  /// Null until there is one.
  std::function<std::shared_ptr<const RoutingConfig>()> current;
  /// When the read was sent that last showed it to be the newest one.
  std::function<TimePoint()> as_of;
};

/// Runs the open items of the batch jobs whose partitions the store has
/// assigned to this host, in replica slots that online requests do not use.
class BatchRunner {
 public:
  BatchRunner(ForwardingContext& context,
              const BatchJobTable& job_table,
              const PeerItems& peer_items,
              BatchWriter& writer,
              BatchDataReader& data_reader,
              ConfigSource config,
              std::function<bool()> may_start);

  void Start();
  /// Starts no further items.
  void StopStarting() { this->is_stopping = true; }
  /// Stops all runs and records their progress, so that other hosts can resume
  /// the items.
  void StopRuns();

  void SetPartitions(std::set<std::uint32_t> partitions, std::uint32_t count);

  /// Starts at most one item at each replica with a free slot. With more than
  /// one, several hosts could fill the same slots before they receive each
  /// other's reports.
  void StartItems();

  /// At replicas that have more requests than slots, stops this host's share of
  /// the excess batch runs. Also stops the runs of items that are finished or
  /// whose job has ended.
  void PreemptRuns();

  /// Hashes of the running items, and of those whose result is not in the store
  /// yet, for the reports to other hosts.
  std::vector<std::uint64_t> RunningItemHashes() const;

  /// Due time of the most urgent item that waits for a slot and can be finished
  /// in time, in ms since the Unix epoch; 0 if there is none.
  std::int64_t earliest_waiting_due_ms() const { return this->waiting_due_ms; }

  /// True if the job's partition is assigned to this host.
  bool OwnsJob(const std::string& job) const {
    return this->queue.OwnsJob(job);
  }

  std::size_t running() const { return this->runs.size(); }

 private:
  struct Run {
    std::shared_ptr<ReplicaAttempt> attempt;
    std::vector<std::string> shared_parts;
    EventStreamParser event_parser;
    std::uint64_t received_bytes = 0;
    std::uint64_t events = 0;
    RequestSize size;
    WorkEstimate cost;
    std::uint32_t status = 0;
    bool is_usable = false;
    /// False after an event that has no id or no data, or whose id does not
    /// follow the previous one.
    bool is_in_order = true;
    /// When the last event, or the head of the response, was received.
    TimePoint last_event_received{};
  };

  void Tick();
  /// The runs, under PlacementPolicy::kWork in order of what is lost when they
  /// are stopped: the events so far are read again as part of the prompt, and a
  /// run with many of them would soon have ended.
  std::vector<ItemReference> RunsByLoss();
  /// Stops one run at the endpoint, if BatchQueue names one, to free its slot
  /// for a sound item that can be finished in time.
  void PreemptForSoundItem(const std::string& endpoint,
                           const RoutingConfig& routing_config,
                           std::int64_t unix_milliseconds);
  /// Sets the pause of an item whose run has failed, and logs that it is
  /// expected to fail.
  void DelayFailedItem(const ItemReference& item, bool has_progress);
  RequestMetadata MetadataOf(const ItemReference& item) const;
  RequestSize SizeOfItem(const ItemReference& item, const Route& route) const;
  /// Ids of the parts of the item's prompt that other requests may share.
  std::vector<std::string> SharedPartsOf(const ItemReference& item) const;
  /// The workspace that the requests for the job's items name, as in
  /// platform::ForwardOptions. The job keeps it after the workspace's keys, or
  /// the workspace, were removed.
  std::optional<std::string> WorkspaceInRequest(const BatchJobEntry& job) const;
  void StartItem(const ItemReference& item,
                 const Route& route,
                 const PlacementChoice& choice,
                 const std::vector<std::string>& shared_parts);
  void OnBody(const ItemReference& item, std::string_view bytes);
  void OnEnd(const ItemReference& item, const AttemptEnd& end);
  /// Cancels the item's run, if there is one. A later run can resume the item.
  void StopRun(const ItemReference& item, const std::string& reason);
  /// Records the item's final state. `reason` says why it is abandoned, for
  /// logs; it is empty for a completed item.
  void FinishItem(const ItemReference& item,
                  bool is_completed,
                  const std::string& reason);
  /// Abandons the items that can not or may not run any more.
  void AbandonItems();
  /// Reads the item's body from the store. Until it is at hand, the item does
  /// not start. False if too many reads are in progress.
  bool LoadBody(const ItemReference& item);
  /// Loads the recorded progress of the item if it is further than this host's.
  void LoadRecordedProgress(const ItemReference& item);
  /// Records the progress of each run whose last record is older than the
  /// record interval.
  void RecordProgress(TimePoint now);
  void RecordProgressOf(const ItemReference& item, TimePoint now);

  ForwardingContext& context;
  const BatchJobTable& job_table;
  const PeerItems& peer_items;
  BatchWriter& writer;
  BatchDataReader& data_reader;
  const ConfigSource config;
  /// True if the job table is current enough to start items from it.
  const std::function<bool()> may_start;
  BatchQueue queue;
  DroppedRoutes dropped_routes;
  boost::asio::steady_timer timer;
  std::map<ItemReference, Run> runs;
  std::int64_t waiting_due_ms = 0;
  /// Reads of bodies that are in progress.
  std::uint32_t body_reads = 0;
  bool is_stopping = false;
};

}  // namespace crocus

#endif  // GATEWAY_BATCH_RUNNER_H_
