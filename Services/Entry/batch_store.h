#ifndef ENTRY_BATCH_STORE_H_
#define ENTRY_BATCH_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Entry/body_cache.h"
#include "Entry/daemon_connections.h"
#include "Entry/peer_link.h"
#include "LibLedger/ledger_reader.h"
#include "LibLedger/log_writer.h"
#include "LibLedger/partition_owner.h"
#include "LibPlatform/http_log_client.h"
#include "LibPolicy/batch_planner.h"
#include "LibSettings/settings.h"

namespace crocus {

struct BatchItemInput {
  std::string prompt;
  std::uint32_t max_tokens = 0;
};

struct BatchInput {
  std::string job;
  std::string workspace;
  std::string request_class;
  std::string model;
  std::int64_t due_ms = 0;
  std::vector<BatchItemInput> items;
};

/// Manages the batch partitions at this entry: replays their streams, owns some
/// of the partitions and runs the items of those. Thread-safe.
///
/// Each partition is assigned to one of several follower threads. A stream is
/// followed while this entry owns the partition, may have to claim it or was
/// offered a result of it; otherwise it is read only for a submission, a
/// cancellation, or a local query to which the owner does not respond. If every
/// entry read every stream, the log would send each record once per entry. An
/// idle stream is read at growing intervals, and at once when this entry has
/// written to it or another entry reports a write.
class BatchStore {
 public:
  BatchStore(const EntrySettings& settings,
             std::uint64_t incarnation,
             DaemonConnections& daemon_connections,
             PeerLink& peers);
  ~BatchStore();

  void Start();
  /// Stops sending items, waits a limited time for the running ones, and
  /// releases the partitions.
  void Stop();

  /// Writes the job to the log; on success it is accepted. Fails with
  /// kConflict if the job exists with other items. The entry does not have to
  /// own the partition.
  Result<void> Submit(const BatchInput& input);
  /// Writes a cancellation to the log. Fails with kNotFound for an unknown job.
  Result<void> Cancel(const std::string& job);

  /// Returns a job's state without its items, as replayed at this entry.
  Result<Job> Find(const std::string& job);
  /// Reads at most `limit` results of a job from the log, in the order in which
  /// the items finished, from position `first` on.
  Result<std::vector<records::ItemResult>> ReadPage(const std::string& job,
                                                    std::uint64_t first,
                                                    std::uint64_t limit);

  /// Sets the rules, which define the shares of the workspaces.
  void SetRules(const std::shared_ptr<const RuleSet>& rules);
  /// Estimates when an open job finishes. Returns nothing if this entry is not
  /// the owner, or has not run items for long enough.
  std::optional<FinishEstimate> EstimateFinish(const Job& job);

  /// Name of the entry that owns the job's partition, from the replay or a
  /// heartbeat with a higher epoch.
  std::string OwnerOf(const std::string& job) const;
  std::uint32_t PartitionNumberOf(const std::string& job) const;
  std::vector<messages::OwnedPartition> OwnedPartitions() const;

  /// Number of reads of the log and bytes of the records read, without the
  /// reads by which the writers search for appends whose reply was lost.
  std::uint64_t log_reads() const { return this->read_count; }
  std::uint64_t log_read_bytes() const { return this->read_bytes; }

  /// Called when a daemon has reported its load: items may be sent.
  void OnCapacityReported();
  /// Called when another entry has written to the partition's stream, which is
  /// then read at once.
  void OnPartitionWritten(std::uint32_t partition);
  void OnOffer(const std::string& daemon, const messages::OfferResults& offer);

 private:
  using Writer = LogWriter<HttpLogClient>;

  struct Partition {
    std::uint32_t number = 0;
    std::unique_ptr<Writer> writer;

    /// Guards what follows. Taken before `capacities_mutex`.
    mutable std::mutex mutex;
    std::condition_variable read_completed;
    LedgerReader reader;
    PartitionOwner owner;
    bool must_read = false;
    /// The stream is read to its end periodically.
    bool is_followed = false;
    /// Value of reads_started when following began.
    std::uint64_t reads_before_following = 0;
    bool must_tick = true;
    TimePoint next_read{};
    Duration read_delay{};
    std::uint64_t reads_started = 0;
    std::uint64_t reads_done = 0;
    bool is_log_available = true;
    std::optional<std::uint64_t> claim_token;
    /// Epoch whose release was queued for writing.
    std::uint64_t released_epoch = 0;
    /// Bytes applied since the last snapshot, and that snapshot's size.
    std::uint64_t bytes_since_snapshot = 0;
    std::uint64_t snapshot_bytes = 0;
    TimePoint next_maintenance{};
    TimePoint next_time_mark{};
    /// All records up to this offset that are still needed were carried
    /// forward.
    std::uint64_t carried_through = 0;
    /// Carried records that are queued and not written yet.
    std::uint32_t pending_carried_records = 0;
    /// Highest offset of a written carried record. No more records are carried
    /// forward until it is replayed.
    std::uint64_t newest_carried_offset = 0;

    /// True if the replay has reached the end of the stream since following
    /// began.
    bool is_up_to_date() const {
      return this->is_followed && this->reader.is_current() &&
             this->reads_done > this->reads_before_following;
    }

    Partition(std::uint32_t number,
              std::uint32_t page_records,
              PartitionOwnerOptions options,
              JobSelector select_job,
              std::uint64_t seed,
              TimePoint now);
  };
  /// Thread that follows the streams of some of the partitions.
  struct Follower {
    std::mutex mutex;
    std::condition_variable wake;
    bool is_notified = false;
    std::vector<Partition*> partitions;
    std::thread thread;
  };
  /// Capacity of the replicas for batch items, as known to this entry.
  struct Capacities {
    /// Replica of each attempt that was sent and has not ended.
    std::map<std::string, std::string> attempt_replicas;
    /// Attempts of `attempt_replicas` that run in isolation.
    std::set<std::string> isolated_attempts;
    /// Number of attempts of `attempt_replicas` for each replica.
    std::map<std::string, std::uint32_t> sent_counts;
    /// Free capacity of the replicas, reduced by each dispatch, and when it was
    /// computed.
    std::vector<ReplicaCapacity> free;
    TimePoint computed_at{};
  };

  void Run(Follower& follower);
  Result<LogPage> ReadLog(const std::string& stream,
                          std::uint64_t from,
                          std::uint32_t limit);
  /// Starts or stops following the stream. Returns true if it must be read now.
  bool UpdateFollowing(Partition& partition);
  void Read(Partition& partition);
  void Tick(Partition& partition);
  void Claim(Partition& partition, TimePoint now);
  /// Starts and completes the handover of a partition to an entry that started
  /// later. One partition is handed over at a time.
  void HandOver(Partition& partition, TimePoint now);
  void Dispatch(Partition& partition);
  void SendItem(Partition& partition,
                const ItemDispatch& dispatch,
                const Job& job);
  void WriteOutput(Partition& partition);
  /// Writes time marks, removes expired jobs, carries records forward and
  /// writes snapshots, as far as they are due.
  void Maintain(Partition& partition, TimePoint now);
  /// Writes again some of the records that are still needed and that the log
  /// may trim soon.
  void CarryForward(Partition& partition, std::int64_t unix_ms);
  void WriteSnapshot(Partition& partition);
  std::vector<ReplicaCapacity> ComputeCapacities() const;
  void EndAttempt(const std::string& attempt, bool is_finished);
  /// Wakes the follower thread of the partition. It reads the stream if
  /// `must_read`; otherwise it only acts on the state replayed so far.
  void WakeFollower(Partition& partition, bool must_read);
  /// Waits up to `timeout` until a read that started after this call has
  /// reached the end of the stream. Returns whether one has.
  bool Refresh(Partition& partition, Duration timeout);
  /// Reads the stream to its end unless the replay is up to date. If the log is
  /// unavailable, the state stays as replayed before.
  void RefreshIfStale(Partition& partition);
  /// Queues a record. The stream is read once the record is written. Returns
  /// false if the queue did not accept it.
  bool Write(Partition& partition, records::Envelope envelope);
  Partition& FindPartition(const std::string& job) const;

  const EntrySettings settings;
  DaemonConnections& daemon_connections;
  PeerLink& peers;
  HttpLogClient log;
  BodyCache bodies;
  /// Guards `planner`; taken last.
  std::mutex planner_mutex;
  BatchPlanner planner;
  std::vector<std::unique_ptr<Partition>> partitions;
  std::vector<std::unique_ptr<Follower>> followers;
  std::atomic<bool> is_stopping = false;
  std::atomic<std::uint64_t> read_count = 0;
  std::atomic<std::uint64_t> read_bytes = 0;
  /// Deadline of the handover in progress, as ticks of TimePoint. Another
  /// handover can start after it or once the partition is released.
  std::atomic<TimePoint::rep> hand_over_deadline = 0;

  /// Guards `capacities`. Taken before the lock of DaemonConnections.
  mutable std::mutex capacities_mutex;
  Capacities capacities;
};

}  // namespace crocus

#endif  // ENTRY_BATCH_STORE_H_
