#ifndef GATEWAY_KEYED_FOLLOWER_H_
#define GATEWAY_KEYED_FOLLOWER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibCore/time.h"
#include "LibServing/keyed_record.h"
#include "platform/store_client.h"

namespace crocus {

struct KeyedFollowerOptions {
  std::string topic;
  /// Minimum interval between the starts of two reads. Records that arrive in
  /// between are read together, since every read is paid for.
  Duration minimum_read_interval = std::chrono::milliseconds(100);
  /// How long a read waits for records. A connection that has stopped
  /// responding is not detected before this time.
  Duration wait = std::chrono::milliseconds(1000);
  /// Receives the newest record of each key, in the order of their offsets.
  /// Called at the start, and after records were deleted before they could be
  /// read.
  std::function<void(const std::vector<KeyedRecord>&)> on_snapshot;
  std::function<void(const KeyedRecord&)> on_record;
  /// Called when reads begin to fail, and when one has succeeded again.
  std::function<void()> on_unavailable;
  std::function<void()> on_recovered;
};

/// Follows a keyed topic of the store: first the newest record of each key,
/// then the records that are appended.
class KeyedFollower {
 public:
  KeyedFollower(boost::asio::io_context& loop,
                platform::StoreClient& store,
                KeyedFollowerOptions options);

  void Start();
  void Stop();

  /// Reads to the present end of the topic. The callback receives true once all
  /// records up to there were passed to `on_record`, and false if a read
  /// failed, the snapshot is not complete or the follower is stopped.
  void CatchUp(std::function<void(bool)> on_done);

  bool has_snapshot() const { return this->next_offset.has_value(); }
  /// When the last read that reached the end of the topic was sent; the epoch
  /// of the clock until such a read follows a snapshot.
  TimePoint current_as_of() const { return this->synced_at; }
  /// True while reads of the topic fail.
  bool is_unavailable() const { return this->unavailable_since.has_value(); }

 private:
  /// Reads the next page of the snapshot, after `snapshot_key`.
  void ReadSnapshot();
  void RestartSnapshot();
  void OnSnapshotPage(const NewestPage& page);
  void FinishSnapshot();
  void ReadNextPage();
  void OnPage(const KeyedPage& page, TimePoint sent);
  /// Logs that records of a page, read up to that offset, were left out.
  void LogUnreadable(std::uint32_t records, std::uint64_t end_offset) const;
  void OnReadError(const Error& error);
  void OnStoreResponse();
  void Schedule(Duration delay);

  platform::StoreClient& store;
  const KeyedFollowerOptions options;
  boost::asio::steady_timer timer;
  /// Offset of the next record to read; set once the snapshot is complete.
  std::optional<std::uint64_t> next_offset;
  /// Records of the snapshot's pages that were read so far, and their last key.
  std::vector<KeyedRecord> snapshot;
  std::string snapshot_key;
  std::optional<std::uint64_t> snapshot_end;
  /// Timeout for the next page of the snapshot. It is doubled, up to a limit,
  /// after each page that took longer.
  Duration page_timeout;
  std::optional<TimePoint> unavailable_since;
  TimePoint synced_at{};
  TimePoint last_read{};
  bool is_stopped = false;
};

}  // namespace crocus

#endif  // GATEWAY_KEYED_FOLLOWER_H_
