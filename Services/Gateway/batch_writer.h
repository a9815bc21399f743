#ifndef GATEWAY_BATCH_WRITER_H_
#define GATEWAY_BATCH_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibCore/result.h"
#include "LibMessages/records.h"
#include "LibServing/batch_queue.h"
#include "platform/batch_wire.h"
#include "platform/store_client.h"

namespace crocus {

struct BatchWriterOptions {
  std::string topic;
  /// The store's limits on the size of a record and of all records of an
  /// append.
  std::uint64_t record_bytes = 262144;
  std::uint64_t call_bytes = 2097152;
  /// Unique for each start of a process; the prefix of the tags of its records.
  std::string writer;
};

/// Appends the records of batch jobs to the store.
class BatchWriter {
 public:
  BatchWriter(boost::asio::io_context& loop,
              platform::StoreClient& store,
              BatchWriterOptions options);

  /// Appends a job with its bodies. An error with the verdict not run means
  /// that the job is not and will not be in the store.
  void AppendJob(records::BatchJobAccepted job,
                 std::vector<platform::SubmittedItem> items,
                 std::function<void(Result<void>)> on_done);

  /// Appends the record that ends a job before its items are finished.
  void AppendJobEnd(const std::string& job,
                    std::function<void(Result<void>)> on_done);

  /// Queues the record of an item's final state. Queued records are appended
  /// together, and the append is retried until it succeeds.
  void AppendFinished(records::BatchItemFinished finished);

  /// Queues a record that a run of the item has failed. Returns the record's
  /// key.
  std::string AppendItemFailure(const ItemReference& item);

  /// Queues a record of the progress of an item's runs.
  void AppendProgress(const records::BatchItemProgress& progress);

  /// Deletes keys. A failure is logged and the call is not retried.
  void DeleteKeys(const std::vector<std::string>& keys);

  std::size_t unwritten() const { return this->pending.size(); }

 private:
  /// A queued record, which is kept until the store has confirmed its append.
  struct PendingRecord {
    /// If it is missing, each try uses a new key: with the same key, a later
    /// copy would replace the first one and change its offset.
    std::optional<std::string> key;
    std::string value;
    /// An item's final state, encoded anew for each try. Used if `key` is not
    /// set.
    records::BatchItemFinished finished;
  };

  std::string NextTag();
  /// Greatest number of bytes of a body or a text in one record.
  std::uint64_t MaximumPartBytes() const;
  /// Encodes the records of an item's final state. A text that is too long for
  /// one record is split into several.
  std::vector<KeyedWrite> EncodeFinishedItem(
      records::BatchItemFinished finished);
  /// Appends the records of each call after those of the previous one. Ends
  /// with the first error.
  void AppendInSequence(
      std::shared_ptr<std::deque<std::vector<KeyedWrite>>> calls,
      std::function<void(Result<void>)> on_done);
  void Flush();
  void ScheduleFlush(Duration delay);

  platform::StoreClient& store;
  const BatchWriterOptions options;
  boost::asio::steady_timer timer;
  std::uint64_t next_tag = 1;
  std::deque<PendingRecord> pending;
  bool is_flushing = false;
  bool is_flush_scheduled = false;
};

}  // namespace crocus

#endif  // GATEWAY_BATCH_WRITER_H_
