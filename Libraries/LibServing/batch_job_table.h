#ifndef LIBSERVING_BATCH_JOB_TABLE_H_
#define LIBSERVING_BATCH_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/result.h"
#include "LibMessages/records.h"
#include "LibServing/keyed_record.h"
#include "LibServing/token_reservations.h"

namespace crocus {

enum class ItemState { kOpen, kCompleted, kAbandoned };

/// An item of a batch job and its state.
struct BatchItemEntry {
  records::BatchItemSpec spec;
  /// Kept while the item is open. Only jobs of an earlier version have their
  /// bodies here; others have `stored_body`.
  std::string body;
  records::DataPlace stored_body;
  ItemState state = ItemState::kOpen;
  /// Only results of an earlier version have their texts here; others have
  /// `stored_text`.
  std::string text;
  records::DataPlace stored_text;
  /// Part of the keys of the records of `stored_text`.
  std::string text_writer;
  /// Keys of the records of failed runs.
  std::set<std::string> failures;
  /// The progress record with the most events; kept while the item is open.
  records::BatchItemProgress progress;
};

/// A batch job and its items.
struct BatchJobEntry {
  /// Empty for a job without a workspace.
  std::string workspace;
  /// Its `job` is the identity of the job.
  records::BatchJobAccepted record;
  std::vector<BatchItemEntry> items;
  /// Indices of the finished items in the order of their records. Callers read
  /// results by their position in this list.
  std::vector<std::uint32_t> finished_items;
  bool is_ended = false;

  std::uint64_t open_tokens() const;
};

/// The batch jobs, replayed from the store's records. All hosts that apply the
/// same records in the order of their offsets have the same jobs, results and
/// positions. Bodies and texts are not part of it: they are stored in
/// partitions of their own and read on need, so that the state of a host does
/// not grow with all work of the fleet. Records of earlier versions, which
/// contain bodies, texts and progress, are applied too. Whether a job is
/// accepted follows from its record alone, not from the state of its reader.
/// Not thread-safe.
class BatchJobTable {
 public:
  /// Applies a record. Records must be applied in the order of their offsets.
  /// Fails with kCorrupt if the record is malformed or refers to an unknown job
  /// or item, or if a part is missing. `times` matters only for reservations.
  Result<void> Apply(const KeyedRecord& record, const RecordTimes& times = {});

  /// Applies the content of a progress record that is stored apart from the
  /// jobs. Fails as Apply does.
  Result<void> ApplyProgress(std::string_view content);

  const BatchJobEntry* Find(const std::string& job) const;
  const std::map<std::string, BatchJobEntry>& jobs() const {
    return this->entries;
  }

  /// Tokens of the open items of all jobs that the workspace has on a route and
  /// that have not ended; of those without a workspace if it is empty.
  std::uint64_t OpenTokens(const std::string& route,
                           const std::string& workspace = {}) const;

  /// Reservations of tokens for jobs that are not known yet.
  const TokenReservations& reservations() const {
    return this->token_reservations;
  }

  /// Keys of all records of a job, to delete them from the store.
  std::vector<std::string> KeysOf(const std::string& job) const;

 private:
  /// Removes the parts whose keys `key_of` returns for the numbers from 0 to
  /// `count` - 1, and returns them joined.
  template <typename KeyOf>
  Result<std::string> JoinParts(std::size_t count, KeyOf key_of);
  Result<void> AcceptJob(const KeyedRecord& record);
  Result<void> AcceptStoredJob(const KeyedRecord& record);
  Result<void> AcceptWorkspaceJob(const KeyedRecord& record);
  Result<void> AddReservation(const KeyedRecord& record,
                              const RecordTimes& times);
  void ApplyDeletion(const std::string& key,
                     const std::vector<std::string>& key_parts);
  Result<void> FinishItem(const KeyedRecord& record);
  Result<void> FinishStoredItem(const KeyedRecord& record);
  void AddJob(BatchJobEntry job);
  /// The item that a record refers to, or an error.
  Result<BatchItemEntry*> FindItem(const std::string& job, std::uint32_t item);
  /// Notes the item's final state. False if it had one before.
  bool MarkFinished(const records::BatchItemFinished& finished);
  Result<void> RecordFailure(const KeyedRecord& record);
  Result<void> EndJob(const KeyedRecord& record);

  std::map<std::string, BatchJobEntry> entries;
  /// Bodies and texts whose job or result record has not been applied yet, by
  /// key.
  std::map<std::string, std::string> parts;
  std::map<std::string, std::set<std::string>> keys_by_job;
  TokenReservations token_reservations;
};

/// Identity of a workspace's job: jobs of two workspaces may have the same id.
/// It is the id itself if `workspace` is empty. Records and their keys refer to
/// a job by its identity. It cannot equal an id that a caller sends, since no
/// header or path contains a line feed.
std::string MakeJobIdentity(const std::string& workspace,
                            const std::string& id);
/// The id that the callers of a job use.
std::string JobIdOf(const std::string& identity);
/// True if callers may use `id` for a job.
bool IsJobId(std::string_view id);

/// Key of the record of a workspace's job.
std::string WorkspaceJobKey(const std::string& job, const std::string& tag);
/// Key of the record that reserves tokens for it.
std::string ReservationKey(const std::string& job, const std::string& tag);

/// Keys of the records of the versions that store bodies, texts and progress
/// apart. A key of a part is the prefix and the number of the part.
std::string StoredJobKey(const std::string& job, const std::string& tag);
std::string ResultKey(const std::string& job,
                      std::size_t item,
                      const std::string& tag);
std::string BodyKeyPrefix(const std::string& job,
                          const std::string& tag,
                          std::size_t item);
std::string TextKeyPrefix(const std::string& job,
                          std::size_t item,
                          const std::string& writer);
std::string StoredProgressKey(const std::string& job, std::size_t item);

/// The partition, out of `count`, to which the job's work and data belong.
std::uint32_t PartitionOfJob(const std::string& job, std::uint32_t count);

/// Keys of the records. `tag` is unique for each attempt to append, so that a
/// record that is sent again after a lost reply does not replace the first one
/// and change its offset.
std::string JobKey(const std::string& job, const std::string& tag);
std::string BodyKey(const std::string& job,
                    const std::string& tag,
                    std::size_t item,
                    std::size_t part);
std::string FinishedKey(const std::string& job,
                        std::size_t item,
                        const std::string& tag);
/// Key of one part of the text of an item, used if the text does not fit into
/// one record.
std::string TextKey(const std::string& job,
                    std::size_t item,
                    const std::string& tag,
                    std::size_t part);
std::string FailedKey(const std::string& job,
                      std::size_t item,
                      const std::string& tag);
/// All progress records of an item from one writer have the same key, so that
/// the store keeps only the newest.
std::string ProgressKey(const std::string& job,
                        std::size_t item,
                        const std::string& writer);
std::string EndedKey(const std::string& job, const std::string& tag);

}  // namespace crocus

#endif  // LIBSERVING_BATCH_JOB_TABLE_H_
