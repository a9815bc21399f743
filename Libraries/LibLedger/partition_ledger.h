#ifndef LIBLEDGER_PARTITION_LEDGER_H_
#define LIBLEDGER_PARTITION_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/result.h"
#include "LibLedger/applied_appends.h"
#include "LibLedger/job.h"
#include "LibMessages/records.h"

namespace crocus {

/// State of a batch partition: the deterministic replay of its stream. Every
/// process that applies the same records in offset order reaches the same
/// state, even if it started from a snapshot.
class PartitionLedger {
 public:
  /// Applies the append at `offset`; offsets must increase. Appends that cannot
  /// be decoded, or whose id was applied before, change nothing.
  void Apply(std::uint64_t offset, std::string_view data);

  /// Epoch of the newest valid claim, which is its offset; 0 if there was none.
  std::uint64_t epoch() const { return this->current_epoch; }
  /// Empty if the partition has no owner.
  const std::string& owner() const { return this->current_owner; }
  std::uint64_t owner_incarnation() const { return this->current_incarnation; }
  /// Offset after the last applied append.
  std::uint64_t next_offset() const { return this->next; }
  const std::map<std::string, Job>& jobs() const { return this->all_jobs; }
  const Job* FindJob(const std::string& id) const;

  /// Returns the jobs that changed since the last call: accepted, closed,
  /// removed, or with a newly counted failure.
  std::set<std::string> TakeChangedJobs();

  /// Newest offset that is older than `unix_ms` by the owners' clocks; 0 if
  /// there is none.
  std::uint64_t OffsetBefore(std::int64_t unix_ms) const;
  /// Time of the first mark at or after `offset`, in ms since the Unix epoch:
  /// an upper bound for the time of the record at `offset`. 0 if there is none.
  std::int64_t LatestTimeOf(std::uint64_t offset) const;

  /// Returns the state in parts of at most `part_bytes`. A snapshot by any
  /// process is valid, because all processes have the same state through an
  /// offset.
  std::vector<records::Snapshot> MakeSnapshot(std::size_t part_bytes) const;
  /// Restores the state; `parts` are all parts in order.
  static Result<PartitionLedger> FromSnapshot(
      const std::vector<records::Snapshot>& parts);

  bool operator==(const PartitionLedger& other) const;

 private:
  /// Position of a record: offset of its append and index in that append.
  struct RecordPosition {
    std::uint64_t offset = 0;
    std::uint32_t part = 0;
  };

  void ApplyRecord(RecordPosition position, const records::Envelope& envelope);
  void OnClaim(RecordPosition position, const records::Claim& claim);
  void OnRelease(const records::Release& release);
  void OnJobBegin(const records::JobBegin& begin);
  void OnJobItems(RecordPosition position, const records::JobItems& items);
  void OnJobCommit(RecordPosition position, const records::JobCommit& commit);
  void OnItemResults(RecordPosition position,
                     const records::ItemResults& results);
  void OnItemFailures(const records::ItemFailures& failures);
  void OnJobCancel(RecordPosition position, const records::JobCancel& cancel);
  void OnCarriedItems(RecordPosition position,
                      const records::CarriedItems& items);
  void OnCarriedResults(RecordPosition position,
                        const records::CarriedResults& results);
  void OnJobForget(const records::JobForget& forget);
  void OnTimeMark(RecordPosition position, const records::TimeMark& mark);
  Job* FindOpenJob(const std::string& id);

  std::uint64_t next = 1;
  std::uint64_t current_epoch = 0;
  std::string current_owner;
  std::uint64_t current_incarnation = 0;
  std::map<std::string, Job> all_jobs;
  AppliedAppends applied;
  /// Oldest first.
  std::vector<records::OffsetTime> times;
  std::set<std::string> changed_jobs;
};

/// Partition of a job; the same on every host.
std::uint32_t PartitionOf(const std::string& job, std::uint32_t partitions);

/// Name of the log stream of a partition.
std::string PartitionStream(std::uint32_t partition);

}  // namespace crocus

#endif  // LIBLEDGER_PARTITION_LEDGER_H_
