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

/// Batch partitions as this entry sees them: replays every stream, owns some
/// of the partitions and runs their items. Thread-safe.
///
/// Threads follow the streams; each partition belongs to one of them. A stream
/// is followed while this entry owns the partition, may have to claim it or
/// holds a result of it; otherwise it is read only for a local query that the
/// owner does not answer, a submit or a cancel. With a read of every stream at
/// every entry, the log would send each record as often as there are entries.
/// An idle stream is read ever less often, and at once when something was
/// written to it here or another entry tells of a write.
class BatchStore {
 public:
  BatchStore(const EntrySettings& settings,
             std::uint64_t incarnation,
             DaemonConnections& daemon_connections,
             PeerLink& peers);
  ~BatchStore();

  void Start();
  /// Sends no more items, waits a short time for those that run, and releases
  /// the partitions.
  void Stop();

  /// Writes the job to the log; on success it is accepted. Fails with
  /// kConflict if the job exists with other items. Any entry may do this.
  Result<void> Submit(const BatchInput& input);
  /// Writes the cancel to the log. Fails with kNotFound for an unknown job.
  Result<void> Cancel(const std::string& job);

  /// A job's state without its items, as replayed here.
  Result<Job> Find(const std::string& job);
  /// Results of a job in the order of finishing, read from the log, from
  /// position `first`.
  Result<std::vector<records::ItemResult>> ReadPage(const std::string& job,
                                                    std::uint64_t first,
                                                    std::uint64_t limit);

  /// Shares of the workspaces come from `rules`.
  void SetRules(const std::shared_ptr<const RuleSet>& rules);
  /// When an open job finishes, as its owner expects it. Nothing if this entry
  /// is not the owner, or has not run items for long enough to know.
  std::optional<FinishEstimate> EstimateFinish(const Job& job);

  /// Name of the partition's owner, as replayed here.
  std::string OwnerOf(const std::string& job) const;
  std::uint32_t PartitionFor(const std::string& job) const;
  std::vector<messages::OwnedPartition> OwnedPartitions() const;

  /// Reads of the log so far and the bytes of their records, without those of
  /// the writers, which look for lost replies.
  std::uint64_t log_reads() const { return this->read_count; }
  std::uint64_t log_read_bytes() const { return this->read_bytes; }

  /// Called when load figures arrive: items may be sent.
  void OnCapacityReported();
  /// Reads the partition's stream now.
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
    /// The stream is read to its end again and again.
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
    /// Epoch whose release was written.
    std::uint64_t released_epoch = 0;
    /// Bytes applied since the last snapshot, and that snapshot's size.
    std::uint64_t bytes_since_snapshot = 0;
    std::uint64_t snapshot_bytes = 0;
    TimePoint next_maintenance{};
    TimePoint next_time_mark{};
    /// Open state up to this offset was written again.
    std::uint64_t carried_through = 0;
    /// Records of the last carry that are not replayed yet.
    std::uint32_t carry_pending = 0;
    std::uint64_t carry_replayed_at = 0;

    /// True if replay reached the end since following began.
    bool is_up_to_date() const {
      return this->is_followed && this->reader.is_current() &&
             this->reads_done > this->reads_before_following;
    }

    Partition(std::uint32_t number,
              std::uint32_t page_records,
              PartitionOwnerOptions options,
              JobOrder order,
              std::uint64_t seed,
              TimePoint now);
  };
  struct Follower {
    std::mutex mutex;
    std::condition_variable wake;
    bool is_notified = false;
    std::vector<Partition*> partitions;
    std::thread thread;
  };
  /// Room of the replicas as this entry sees it.
  struct Capacities {
    /// Replica of each attempt that was sent and has not ended.
    std::map<std::string, std::string> replicas;
    /// Attempts of `replicas` that run alone.
    std::set<std::string> isolated;
    std::map<std::string, std::uint32_t> sent_counts;
    /// What is free, reduced by each dispatch, and when it was worked out.
    std::vector<ReplicaRoom> free;
    TimePoint computed{};
  };

  void Run(Follower& follower);
  Result<LogPage> ReadLog(const std::string& stream,
                          std::uint64_t from,
                          std::uint32_t limit);
  /// Starts or stops following the stream; true if it must be read now.
  bool UpdateFollowing(Partition& partition);
  void Read(Partition& partition);
  void Tick(Partition& partition);
  void Claim(Partition& partition, TimePoint now);
  /// Starts and ends the handing over of a partition to an entry that started
  /// later; one partition at a time.
  void HandOver(Partition& partition, TimePoint now);
  void Dispatch(Partition& partition);
  void SendItem(Partition& partition,
                const ItemDispatch& dispatch,
                const Job& job);
  void WriteOutput(Partition& partition);
  void Maintain(Partition& partition, TimePoint now);
  void CarryForward(Partition& partition, std::int64_t unix_ms);
  void WriteSnapshot(Partition& partition);
  std::vector<ReplicaRoom> ComputeCapacities() const;
  void EndAttempt(const std::string& attempt, bool is_finished);
  /// Wakes the follower of the partition, to read or only to act.
  void WakeFollower(Partition& partition, bool must_read);
  /// Waits until the stream was read to its end after the call.
  bool Refresh(Partition& partition, Duration limit);
  /// Reads the stream to its end if it is not followed. Without the log, what
  /// was replayed before stays.
  void RefreshIfStale(Partition& partition);
  /// Queues a record whose callback reads the stream.
  bool Write(Partition& partition, records::Envelope envelope);
  Partition& PartitionOfJob(const std::string& job) const;

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
  /// Until when a partition is being handed over, as ticks of TimePoint.
  std::atomic<TimePoint::rep> hand_over_until = 0;

  /// Guards `rooms`. Taken before the DaemonConnections's lock.
  mutable std::mutex capacities_mutex;
  Capacities capacities;
};

}  // namespace crocus

#endif  // ENTRY_BATCH_STORE_H_
