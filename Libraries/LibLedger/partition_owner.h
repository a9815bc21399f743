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

/// What an entry knows about another entry.
struct PeerView {
  std::string name;
  std::uint64_t incarnation = 0;
  /// When its last heartbeat arrived.
  TimePoint last_heartbeat;
  /// Since when it has been heard without a gap of the timeout.
  TimePoint alive_since{};

  bool operator==(const PeerView&) const = default;
};

/// Replica that takes batch items.
struct ReplicaCapacity {
  std::string daemon;
  std::string endpoint;
  std::string replica;
  std::vector<std::string> models;
  /// Items that may still be sent to it.
  std::uint32_t capacity = 0;
  /// Batch items that are sent to it or run there.
  std::uint32_t occupied = 0;
  /// An item runs alone there, or waits until the replica is empty.
  bool is_reserved = false;
  /// 0 in the own availability zone, 1 in the own region, 2 elsewhere.
  std::uint32_t network_cost = 0;

  bool operator==(const ReplicaCapacity&) const = default;
};

/// What the order of dispatch may look at. Only jobs with an item to send, and
/// a replica with room for it, are shown.
struct JobView {
  std::string id;
  std::string workspace;
  std::int64_t due_ms = 0;
  /// Items that are not finished, with those that run.
  std::uint32_t remaining = 0;
  /// Items of the job that run now.
  std::uint32_t running = 0;
  /// Items of the job's workspace that run now.
  std::uint32_t workspace_running = 0;

  bool operator==(const JobView&) const = default;
};

/// Chooses the job that sends the next item; the list is never empty. The item
/// is always sent, so that the order may count it.
using JobSelector = std::function<std::size_t(const std::vector<JobView>&)>;

/// The workspace with the fewest running items, and its earliest due job.
std::size_t ChooseFairEarliestDue(const std::vector<JobView>& jobs);

struct ItemKey {
  std::string job;
  std::uint32_t index = 0;

  bool operator==(const ItemKey&) const = default;
  bool operator<(const ItemKey& other) const {
    return std::tie(this->job, this->index) < std::tie(other.job, other.index);
  }
};

/// Request name of an item in messages: job, slash, index.
std::string FormatItemRequest(const ItemKey& item);
std::optional<ItemKey> ParseItemRequest(const std::string& request);

/// An attempt to send to a daemon.
struct ItemDispatch {
  std::string attempt;
  ItemKey item;
  /// Append that holds the item's body.
  std::uint64_t body_offset = 0;
  std::uint64_t epoch = 0;
  std::string daemon;
  std::string endpoint;
  std::string replica;
  /// Nothing else may be sent to the replica until the attempt ends.
  bool is_isolated = false;

  bool operator==(const ItemDispatch&) const = default;
};

/// An attempt at a daemon.
struct AttemptLocation {
  std::string daemon;
  std::string attempt;

  bool operator==(const AttemptLocation&) const = default;
};

/// What follows from the last calls. Records are for the partition's stream.
struct OwnerOutput {
  records::ItemResults results;
  records::ItemFailures failures;
  /// Results that are in the log or can no longer count.
  std::vector<AttemptLocation> confirm;
  std::vector<AttemptLocation> revoke;
  std::vector<ItemKey> abandoned;
};

struct PartitionOwnerOptions {
  std::uint32_t partition = 0;
  std::string name;
  std::uint64_t incarnation = 0;
  /// Silence after which the owner is taken for dead.
  Duration heartbeat_timeout = std::chrono::seconds(2);
  /// How long the entry that would claim the partition first must be heard,
  /// and this one must own the partition, before it is handed over.
  Duration hand_over_after = std::chrono::seconds(60);
  /// Failed attempts after which an item runs alone once more; if that fails
  /// too, it is finished with a failure.
  std::uint32_t failure_limit = 3;
  /// Bytes of results that wait for the log before dispatch stops.
  std::size_t held_bytes = 16u << 20;
  /// Longest time an item waits for an empty replica to run alone on; then it
  /// goes to the one with the fewest items.
  Duration isolation_timeout = std::chrono::seconds(30);
  /// Pause before another item goes to a replica that refused one.
  Duration refusal_backoff = std::chrono::milliseconds(200);
  /// Bytes of results in one TakeOutput.
  std::size_t output_bytes = 256u << 10;
  /// Results wait this long to share a record, unless output_bytes are there.
  /// Replay keeps one entry for each job and record, and the log takes several
  /// hundred appends/s from all partitions, so a short time costs both.
  Duration output_interval = std::chrono::milliseconds(0);
};

/// Decisions of one entry about one partition: when to claim it and, while it
/// owns it, which items to run and what to write. No I/O; not thread-safe.
///
/// Ownership follows from replay alone. The entry owns the partition while the
/// newest replayed claim is its own, and stops when it replays another one.
class PartitionOwner {
 public:
  PartitionOwner(PartitionOwnerOptions options,
                 JobSelector select_job,
                 std::uint64_t seed,
                 TimePoint now);

  /// Returns a claim if the partition has no owner or its owner has been silent
  /// for the timeout. `peers` are the entries heard so far. After a gap between
  /// two calls of half the timeout, in which this process was paused, silence
  /// counts from now: it says nothing about the others.
  std::optional<records::Claim> ClaimIfDue(const PartitionLedger& ledger,
                                           const std::vector<PeerView>& peers,
                                           TimePoint now);
  /// True if a pending claim must be withdrawn, because its reason is gone.
  bool IsClaimObsolete(const PartitionLedger& ledger,
                       const std::vector<PeerView>& peers,
                       TimePoint now) const;
  /// The claim was not written; the next one may be made at once.
  void OnClaimWithdrawn() { this->claimed_epoch.reset(); }

  /// Called after records were applied. `is_current` tells whether replay has
  /// reached the end of the stream.
  void OnReplay(PartitionLedger& ledger, bool is_current, TimePoint now);

  /// True from a claim until replay shows a new owner or it is withdrawn.
  bool is_claim_pending() const { return this->claimed_epoch.has_value(); }
  /// True if a result is held that is not known to be in the log.
  bool has_offers() const { return !this->offers.empty(); }

  bool is_owner() const { return this->own_epoch != 0; }
  std::uint64_t owned_epoch() const { return this->own_epoch; }

  /// True if the partition belongs to another entry by the order of claims, so
  /// that entries which start later get their share.
  bool ShouldHandOver(const std::vector<PeerView>& peers, TimePoint now) const;
  /// Sends no more items until the release or `limit`.
  void StartHandOver(TimePoint limit) { this->hand_over_limit = limit; }
  /// True if nothing runs any more and the release can be written.
  bool IsHandOverDue(TimePoint now) const {
    return this->is_owner() && now < this->hand_over_limit &&
           this->is_drained();
  }

  /// Chooses items for `rooms`, which it reduces.
  std::vector<ItemDispatch> Dispatch(const PartitionLedger& ledger,
                                     std::vector<ReplicaCapacity>& replicas,
                                     TimePoint now);
  /// True if a job of this partition is open.
  bool has_open_jobs() const { return !this->job_queues.empty(); }
  /// The open jobs, with or without an item to send.
  std::vector<JobView> OpenJobs(const PartitionLedger& ledger) const;

  /// The attempt ended without a result, was not sent, or its daemon was lost.
  void OnFailed(const std::string& attempt, Verdict verdict, TimePoint now);
  /// A daemon holds a result. Also called while another entry is the owner: the
  /// offer is kept, within a limit, for a takeover. A result that is not whole
  /// counts as a failed attempt.
  void OnOffer(const std::string& daemon,
               const messages::HeldResult& held,
               TimePoint now);

  OwnerOutput TakeOutput(const PartitionLedger& ledger, TimePoint now);
  /// The writer refused the output's records; they are put out again.
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
  struct PendingFailure {
    std::uint32_t failures_before = 0;
    bool is_written = false;
  };
  /// Items of an open job that wait.
  struct JobQueue {
    /// Items from here on were not looked at yet.
    std::uint32_t cursor = 0;
    std::deque<std::uint32_t> retries;
    std::deque<std::uint32_t> isolated;
    std::deque<std::uint32_t> exhausted;
    /// How often an item is running, failing or offered; absent if not at all.
    std::map<std::uint32_t, std::uint32_t> in_progress;
    std::optional<TimePoint> isolation_wait_start;
  };

  /// Place in the order of claims among the entries that are alive; 0 is first.
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
  /// Index of the next item to send; nothing if there is none.
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
  TimePoint hand_over_limit{};
  bool has_reached_end = false;
  /// What the checks after a replay saw last; without a change they are left
  /// out, because they look at every item that runs.
  std::uint64_t checked_offset = 0;
  bool must_check = false;
  TimePoint next_output{};

  /// Owner and epoch that replay showed last, and since when.
  std::uint64_t observed_epoch = 0;
  std::string observed_owner;
  TimePoint observed_since;
  TimePoint last_check;
  /// Silence does not count before this time.
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
