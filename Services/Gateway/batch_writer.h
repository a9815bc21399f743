#ifndef GATEWAY_BATCH_WRITER_H_
#define GATEWAY_BATCH_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibCore/result.h"
#include "LibMessages/records.h"
#include "LibServing/batch_queue.h"
#include "platform/batch_wire.h"
#include "platform/store_client.h"

namespace crocus {

/// Time after which a failed append or read of a reservation is repeated. Its
/// caller expects an answer within 500 ms.
inline constexpr Duration kReservationRetryDelay =
    std::chrono::milliseconds(50);

struct BatchWriterOptions {
  /// Topic of jobs, final states, failures and ends, which all hosts read.
  std::string topic;
  /// Topics of bodies and texts, and of progress, by the job's partition.
  std::string data_topic;
  std::string progress_topic;
  std::uint32_t partitions = 1;
  /// The store's limits on the size of a record and of all records of an
  /// append.
  std::uint64_t record_bytes = 262144;
  std::uint64_t call_bytes = 2097152;
  /// Unique for each start of a process; the prefix of the tags of its records.
  std::string writer;
};

/// The workspace of a job that is appended.
struct JobOwner {
  /// Empty for a job without a workspace.
  std::string workspace;
  /// The job's record is not sent later than this: its reservation may expire.
  std::optional<TimePoint> give_up_at;
};

/// Appends the records of batch jobs to the store.
class BatchWriter {
 public:
  BatchWriter(boost::asio::io_context& loop,
              platform::StoreClient& store,
              BatchWriterOptions options);

  /// A tag that no other copy of a submission has.
  std::string NextTag();

  /// Appends a reservation. An append with an unknown outcome is repeated with
  /// the same key until `give_up_at`, and if that stays unknown, the key is
  /// deleted.
  void AppendReservation(const records::BatchTokenReservation& reservation,
                         TimePoint give_up_at,
                         std::function<void(Result<void>)> on_done);

  /// Appends the bodies of a job, then the job, whose tag is from NextTag. An
  /// error with the verdict not run means that the job is not and will not be
  /// in the store.
  void AppendJob(records::BatchJobAccepted job,
                 std::vector<platform::SubmittedItem> items,
                 JobOwner owner,
                 std::function<void(Result<void>)> on_done);

  /// Appends the record that ends a job before its items are finished.
  void AppendJobEnd(const std::string& job,
                    std::function<void(Result<void>)> on_done);

  /// Queues an item's text and the record of its final state. Queued records
  /// are appended together, and the append is retried until it succeeds. Then
  /// the keys of `obsolete_body` are deleted, and the item's progress.
  void AppendFinished(records::BatchItemFinished finished,
                      std::vector<std::string> obsolete_body);

  /// Queues a record that a run of the item has failed. Returns the record's
  /// key.
  std::string AppendItemFailure(const ItemReference& item);

  /// Queues a record of the progress of an item's runs. It replaces one that is
  /// still queued.
  void AppendProgress(const records::BatchItemProgress& progress);

  /// Deletes keys of the topic that all hosts read.
  void DeleteKeys(const std::vector<std::string>& keys);
  /// The same for bodies and texts of the job.
  void DeleteData(const std::string& job, const std::vector<std::string>& keys);

  /// Items whose final state was queued after `since` and has not been
  /// confirmed.
  std::vector<ItemReference> UnconfirmedItems(TimePoint since) const;

  /// Number of queued records.
  std::size_t unwritten() const;

 private:
  /// An append of a reservation.
  struct ReservationAppend {
    std::string key;
    std::string value;
    TimePoint give_up_at{};
    /// Whether an earlier try may have taken effect.
    bool may_be_stored = false;
    std::function<void(Result<void>)> on_done;
  };
  void SendReservation(const std::shared_ptr<ReservationAppend>& append);
  void OnReservationFailed(const std::shared_ptr<ReservationAppend>& append,
                           const Error& error);

  /// A queued record, which is kept until the store has confirmed its append.
  struct PendingRecord {
    /// If it is missing, each try uses a new key: with the same key, a later
    /// copy would replace the first one and change its offset.
    std::optional<std::string> key;
    std::string value;
    /// An item's final state, encoded anew for each try. Used if `key` is not
    /// set.
    records::BatchItemFinished finished;
    /// Where the text is, once it has been appended.
    std::optional<records::DataPlace> text;
    std::vector<std::string> obsolete_body;
    TimePoint queued{};
  };

  /// Greatest number of bytes of a body or a text in one record.
  std::uint64_t MaximumPartBytes() const;
  /// Splits `bytes` into records with the keys `prefix` and a number.
  std::vector<KeyedWrite> SplitIntoParts(const std::string& prefix,
                                         std::string_view bytes) const;
  /// Deletes the bodies of a job that was not accepted: `keys` has the keys of
  /// each append, of which the first `calls` may be in the store.
  void DeleteBodies(const std::string& job,
                    const std::vector<std::vector<std::string>>& keys,
                    std::size_t calls);
  TopicPartition DataPartition(const std::string& job) const;
  /// Appends the records of each call after those of the previous one, and
  /// passes the offsets of the first records to `on_offset`. Ends with the
  /// first error.
  void AppendInSequence(
      TopicPartition place,
      std::shared_ptr<std::deque<std::vector<KeyedWrite>>> calls,
      std::function<void(std::uint64_t)> on_offset,
      std::function<void(Result<void>)> on_done);
  /// Size of the record in an append, with all records of its text.
  std::uint64_t AppendBytes(const PendingRecord& record) const;
  /// Appends the text of the first pending record, which is too large for one
  /// call, in several ones, and then its result.
  void AppendLargeText();
  /// Appends the texts of the first `count` pending records that are not in the
  /// store yet, one partition after the other.
  void AppendTexts(std::size_t count);
  /// Appends the first `count` pending records, whose texts are in the store.
  void AppendResults(std::size_t count);
  void OnFlushFailed(std::size_t count, const Error& error);
  /// Deletes what the finished items do not need any more.
  void DeleteObsolete(const PendingRecord& record);
  /// Queues a record of which only the newest of its key matters. The append is
  /// retried until it succeeds or a newer record replaces this one.
  void QueueNewest(const TopicPartition& place, KeyedWrite write);
  void ScheduleNewestFlush(Duration delay);
  void FlushNewest();
  void AppendNewest(const TopicPartition& place,
                    std::vector<KeyedWrite> writes);
  void Flush();
  void ScheduleFlush(Duration delay);

  boost::asio::io_context& loop;
  platform::StoreClient& store;
  const BatchWriterOptions options;
  boost::asio::steady_timer timer;
  std::uint64_t next_tag = 1;
  std::deque<PendingRecord> pending;
  /// Values by key; none to delete the key.
  using NewestRecords = std::map<std::string, std::optional<std::string>>;
  std::map<TopicPartition, NewestRecords> queued_newest;
  boost::asio::steady_timer newest_timer;
  bool is_newest_flush_scheduled = false;
  /// Records of appends that have no reply yet.
  std::size_t appending_newest = 0;
  bool is_flushing = false;
  bool is_flush_scheduled = false;
};

}  // namespace crocus

#endif  // GATEWAY_BATCH_WRITER_H_
