#ifndef LIBLEDGER_PARTITION_OWNER_H_
#define LIBLEDGER_PARTITION_OWNER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "LibCore/random.h"
#include "LibCore/time.h"
#include "LibLedger/partition_ledger.h"
#include "LibMessages/messages.h"
#include "LibMessages/records.h"

namespace crocus {

/// State of another entry, as observed by this one.
struct PeerView {
  std::string name;
  std::uint64_t incarnation = 0;
  /// When its last heartbeat arrived.
  TimePoint last_heartbeat;
  /// Start of the period in which its heartbeats have arrived without a gap as
  /// long as the timeout.
  TimePoint alive_since{};

  bool operator==(const PeerView&) const = default;
};

/// Capacity of a replica for batch items.
struct ReplicaCapacity {
  std::string daemon;
  std::string endpoint;
  std::string replica;
  std::vector<std::string> models;
  /// Number of items that may still be sent to it.
  std::uint32_t capacity = 0;
  /// Number of batch items that were sent to it or run there.
  std::uint32_t occupied = 0;
  /// True if an item runs in isolation there, or waits until the replica is
  /// empty.
  bool is_reserved = false;
  /// 0 in the availability zone of this entry, 1 in its region, 2 elsewhere.
  std::uint32_t network_cost = 0;

  bool operator==(const ReplicaCapacity&) const = default;
};

/// Properties of an open job. A JobSelector receives only jobs that have an
/// item to send and a replica with capacity for it.
struct JobView {
  std::string id;
  std::string workspace;
  std::int64_t due_ms = 0;
  /// Number of unfinished items, including those that run.
  std::uint32_t remaining = 0;
  /// Number of items of the job that run now.
  std::uint32_t running = 0;
  /// Number of items of the job's workspace that run now.
  std::uint32_t workspace_running = 0;

  bool operator==(const JobView&) const = default;
};

/// Returns the index of the job that sends the next item; the list is never
/// empty. An item of the chosen job is always sent, so a selector may count it.
using JobSelector = std::function<std::size_t(const std::vector<JobView>&)>;

/// Chooses the workspace with the fewest running items and, within it, the job
/// that is due first.
std::size_t ChooseFairEarliestDue(const std::vector<JobView>& jobs);

struct ItemKey {
  std::string job;
  std::uint32_t index = 0;

  bool operator==(const ItemKey&) const = default;
  bool operator<(const ItemKey& other) const {
    return std::tie(this->job, this->index) < std::tie(other.job, other.index);
  }
};

/// Returns the request id of an item in messages: job, slash, index.
std::string FormatItemRequest(const ItemKey& item);
std::optional<ItemKey> ParseItemRequest(const std::string& request);

/// An attempt that must be sent to a daemon.
struct ItemDispatch {
  std::string attempt;
  ItemKey item;
  /// Offset of the append that holds the item's body.
  std::uint64_t body_offset = 0;
  std::uint64_t epoch = 0;
  std::string daemon;
  std::string endpoint;
  std::string replica;
  /// Nothing else may be sent to the replica until the attempt ends.
  bool is_isolated = false;

  bool operator==(const ItemDispatch&) const = default;
};

/// An attempt and the daemon that it was sent to.
struct AttemptLocation {
  std::string daemon;
  std::string attempt;

  bool operator==(const AttemptLocation&) const = default;
};

/// Actions that follow from the calls since the previous TakeOutput. The
/// records must be written to the partition's stream.
struct OwnerOutput {
  records::ItemResults results;
  records::ItemFailures failures;
  /// Attempts whose results are in the log or will not be used.
  std::vector<AttemptLocation> confirm;
  /// Attempts that must be cancelled.
  std::vector<AttemptLocation> revoke;
  /// Items that have used all attempts and are finished with a failure.
  std::vector<ItemKey> abandoned;
};

struct PartitionOwnerOptions {
  std::uint32_t partition = 0;
  std::string name;
  std::uint64_t incarnation = 0;
  /// Time without heartbeats after which the owner is assumed to have failed.
  Duration heartbeat_timeout = std::chrono::seconds(2);
  /// Minimum time for which an entry that precedes this one in claim rank must
  /// have been alive, and this one must have owned the partition, before the
  /// partition is handed over.
  Duration hand_over_after = std::chrono::seconds(60);
  /// Number of failed attempts after which an item runs once more in isolation;
  /// if that attempt fails too, the item is finished with a failure.
  std::uint32_t failure_limit = 3;
  /// Dispatch stops while more than this many bytes of results wait to be in
  /// the log.
  std::size_t held_bytes = 16u << 20;
  /// Longest time an item waits for an empty replica to run on in isolation;
  /// after that it goes to the replica with the fewest items.
  Duration isolation_timeout = std::chrono::seconds(30);
  /// Backoff before another item is sent to a replica that refused one.
  Duration refusal_backoff = std::chrono::milliseconds(200);
  /// Bytes of results after which one TakeOutput adds no further result.
  std::size_t output_bytes = 256u << 10;
  /// Minimum interval between two records of results, unless output_bytes of
  /// results wait. Replay keeps one entry for each job and record, and the log
  /// accepts several hundred appends/s from all partitions, so a short interval
  /// increases both memory use and log traffic.
  Duration output_interval = std::chrono::milliseconds(0);
};

/// State machine of one entry for one partition: it decides when to claim the
/// partition and, while the entry owns it, which items to run and which records
/// to write. Does no I/O; not thread-safe.
///
/// Ownership is determined by replay alone. The entry owns the partition while
/// the newest replayed claim is its own, and stops when it replays another one.
class PartitionOwner {
 public:
  PartitionOwner(PartitionOwnerOptions options,
                 JobSelector select_job,
                 std::uint64_t seed,
                 TimePoint now);

  /// Returns a claim if the partition has no owner, its owner has restarted, or
  /// no heartbeat of its owner has arrived for the timeout. `peers` are the
  /// entries whose heartbeats have arrived so far. If more than half of the
  /// timeout has passed since the previous call, this process was paused. The
  /// time without heartbeats then counts from now, since a pause of this
  /// process is no evidence that another one has failed.
  std::optional<records::Claim> ClaimIfDue(const PartitionLedger& ledger,
                                           const std::vector<PeerView>& peers,
                                           TimePoint now);
  /// True if a pending claim must be withdrawn because its reason no longer
  /// holds.
  bool IsClaimObsolete(const PartitionLedger& ledger,
                       const std::vector<PeerView>& peers,
                       TimePoint now) const;
  /// Must be called if the claim was not written; another one may then be made
  /// at once.
  void OnClaimWithdrawn() { this->claimed_epoch.reset(); }

  /// Must be called after records were applied. `is_current` is true if replay
  /// has reached the end of the stream.
  void OnReplay(PartitionLedger& ledger, bool is_current, TimePoint now);

  /// True from a claim until replay contains a new owner or the claim is
  /// withdrawn.
  bool is_claim_pending() const { return this->claimed_epoch.has_value(); }
  /// True if a result is held that is not known to be in the log.
  bool has_offers() const { return !this->offers.empty(); }

  bool is_owner() const { return this->own_epoch != 0; }
  std::uint64_t owned_epoch() const { return this->own_epoch; }

  /// True if another entry precedes this one in the claim ranks, so that
  /// entries that start later receive their share of the partitions.
  bool ShouldHandOver(const std::vector<PeerView>& peers, TimePoint now) const;
  /// Stops the dispatch of items until the release or until `deadline`.
  void StartHandOver(TimePoint deadline) {
    this->hand_over_deadline = deadline;
  }
  /// True if nothing runs any more and the release can be written.
  bool IsHandOverDue(TimePoint now) const {
    return this->is_owner() && now < this->hand_over_deadline &&
           this->is_drained();
  }

  /// Chooses items for `replicas` and reduces their capacity accordingly.
  std::vector<ItemDispatch> Dispatch(const PartitionLedger& ledger,
                                     std::vector<ReplicaCapacity>& replicas,
                                     TimePoint now);
  /// True if this partition has an accepted job that is open.
  bool has_open_jobs() const { return !this->job_queues.empty(); }
  /// Returns the open jobs, with or without an item to send.
  std::vector<JobView> OpenJobs(const PartitionLedger& ledger) const;

  /// Must be called when an attempt ended without a result or was not sent, or
  /// when its daemon became unreachable.
  void OnFailed(const std::string& attempt, Verdict verdict, TimePoint now);
  /// Handles a result that a daemon holds. Must also be called while another
  /// entry is the owner: the offer is kept, within a limit, for a takeover. An
  /// incomplete result counts as a failed attempt.
  void OnOffer(const std::string& daemon,
               const messages::HeldResult& held,
               TimePoint now);

  OwnerOutput TakeOutput(const PartitionLedger& ledger, TimePoint now);
  /// Must be called if the log writer refused the records of an output; a later
  /// output contains them again.
  void OnWriteRefused(const OwnerOutput& refused);

  /// Stops claiming and sending items. The partition may be released once
  /// is_drained().
  void Leave() { this->is_leaving = true; }
  bool is_drained() const {
    return this->running.empty() && this->offers.empty() &&
           this->pending_failures.empty();
  }
  std::size_t running_count() const { return this->running.size(); }

 private:
  struct RunningItem {
    ItemKey item;
    std::string daemon;
    std::string replica;
    std::string workspace;
    bool is_isolated = false;
  };
  struct Offer {
    std::string daemon;
    ItemKey item;
    /// Epoch in which the attempt was sent.
    std::uint64_t epoch = 0;
    records::ItemResult result;
    bool is_written = false;
  };
  /// Failed attempt whose failure is not counted in the ledger yet.
  struct PendingFailure {
    std::uint32_t failures_before = 0;
    bool is_written = false;
  };
  /// Items of an open job that wait for dispatch.
  struct JobQueue {
    /// Index of the first item that was not considered yet.
    std::uint32_t cursor = 0;
    /// Items below the cursor that wait for another attempt.
    std::deque<std::uint32_t> retries;
    /// Items whose next attempt runs in isolation.
    std::deque<std::uint32_t> isolated;
    /// Items that have failed in isolation too.
    std::deque<std::uint32_t> exhausted;
    /// Number of running attempts, pending failures and offers of each item;
    /// items without any are absent.
    std::map<std::uint32_t, std::uint32_t> in_progress;
    std::optional<TimePoint> isolation_wait_start;
  };

  /// Claim rank of this entry among the entries that are alive; the entry with
  /// rank 0 claims first.
  std::uint32_t RankAmong(const std::vector<PeerView>& peers,
                          TimePoint now) const;
  TimePoint ClaimTime(const PartitionLedger& ledger,
                      const std::vector<PeerView>& peers,
                      TimePoint now) const;
  void Start(const PartitionLedger& ledger);
  void Stop();
  void Enqueue(const Job& job, JobQueue& queue, std::uint32_t index);
  void MarkInProgress(const ItemKey& item);
  void ReleaseItem(const PartitionLedger& ledger, const ItemKey& item);
  /// Returns the index of the next item to send, or nothing if there is none.
  static std::optional<std::uint32_t> PeekNext(const Job& job,
                                               JobQueue& queue,
                                               std::uint32_t failure_limit);
  ItemDispatch StartAttempt(const Job& job,
                            std::uint32_t index,
                            ReplicaCapacity& target,
                            bool is_isolated);
  void DispatchIsolated(const Job& job,
                        JobQueue& queue,
                        std::vector<ReplicaCapacity>& replicas,
                        TimePoint now,
                        std::vector<ItemDispatch>& sent);
  void AbandonExhausted(const Job& job, JobQueue& queue);
  void CheckPendingFailures(const PartitionLedger& ledger);
  void CheckOffers(const PartitionLedger& ledger);
  void CheckRunning(const PartitionLedger& ledger);
  void DropExcessOffers();
  ReplicaCapacity* FindReplica(const Job& job,
                               std::vector<ReplicaCapacity>& replicas,
                               TimePoint now);

  const PartitionOwnerOptions options;
  const JobSelector select_job;
  Random random;
  const TimePoint started;

  std::uint64_t own_epoch = 0;
  bool is_leaving = false;
  TimePoint hand_over_deadline{};
  bool has_reached_end = false;
  /// Ledger offset at the last checks after a replay. The checks are skipped if
  /// nothing has changed since, because they visit every running item.
  std::uint64_t checked_offset = 0;
  bool must_check = false;
  TimePoint next_output{};

  /// Epoch and owner after the last replay, and the time of their last change.
  std::uint64_t observed_epoch = 0;
  std::string observed_owner;
  TimePoint observed_since;
  TimePoint last_check;
  /// The time without heartbeats counts from here on at the earliest: from the
  /// start or from the end of a pause of this process.
  TimePoint earliest_gap_start;
  /// Random part of the claim delay, from 0 to 1.
  double jitter = 0;
  std::optional<std::uint64_t> claimed_epoch;

  std::map<std::string, JobQueue> job_queues;
  std::map<std::string, RunningItem> running;
  std::map<ItemKey, PendingFailure> pending_failures;
  std::map<std::string, Offer> offers;
  std::size_t offer_bytes = 0;
  std::map<std::string, TimePoint> backoff_until;
  OwnerOutput output;
};

}  // namespace crocus

#endif  // LIBLEDGER_PARTITION_OWNER_H_
