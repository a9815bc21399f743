#ifndef LIBLEDGER_APPEND_QUEUE_H_
#define LIBLEDGER_APPEND_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "LibCore/random.h"
#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibLedger/log_client.h"
#include "LibMessages/records.h"

namespace crocus {

/// In this file an entry is a record that was queued for an append, not an
/// entry process.
struct AppendQueueOptions {
  /// Name of the process, stored in each append.
  std::string writer;
  /// Longest time an entry waits for other entries to share its append.
  Duration delay = std::chrono::milliseconds(50);
  /// An append is sent once its entries have this many bytes. An entry larger
  /// than this is sent in an append of its own.
  std::size_t append_bytes = 512u << 10;
  /// An entry that would raise the queued bytes above this limit is refused,
  /// unless no other entry waits.
  std::size_t queue_bytes = 64u << 20;
  Duration first_retry_delay = std::chrono::milliseconds(50);
  Duration maximum_retry_delay = std::chrono::seconds(2);
  /// Pause after each pass over the stream that does not find an append whose
  /// outcome is unknown.
  Duration resolve_delay = std::chrono::milliseconds(100);
  /// Number of passes to the end of the stream without the append after which
  /// it is sent again with the same id.
  std::uint32_t resolve_reads = 2;
  /// Largest number of records in one read.
  std::uint32_t page_records = 256;
};

/// Next action that the caller of AppendQueue must carry out.
struct AppendStep {
  enum class Kind { kWait, kAppend, kRead };

  Kind kind = Kind::kWait;
  /// kWait: when to call Next() again, unless an entry is added before.
  TimePoint until = TimePoint::max();
  /// kAppend: the bytes to append.
  std::string data;
  /// kRead: first offset and largest number of records to read.
  std::uint64_t from = 0;
  std::uint32_t limit = 0;

  bool operator==(const AppendStep&) const = default;
};

/// An entry that is in the log, with the offset of its append.
struct AppendedEntry {
  std::uint64_t token = 0;
  std::uint64_t offset = 0;

  bool operator==(const AppendedEntry&) const = default;
};

/// State machine of a group-commit writer for one stream: it decides which
/// entries form the next append, and what follows from the outcome of each
/// append and read. It has no threads and does no I/O.
///
/// One append is in flight at a time. Its id is the writer's unique name, a dot
/// and an increasing number, so replay keeps only the highest number of each
/// writer (see AppliedAppends). The next append starts once the outcome of the
/// previous one is known:
///
/// - kNotRun, and no earlier attempt has an unknown outcome: the entries return
///   to the queue and are sent after a backoff.
/// - Otherwise the outcome is unknown. The stream is read from an offset that
///   is at or before any copy of the append. If the id is found, the entries
///   are in the log. If `resolve_reads` passes to the end do not find it, the
///   same bytes are sent again with the same id. The first copy may still
///   become visible after that; replay ignores whichever copy comes second. An
///   entry's offset therefore refers to one copy of its append, and state must
///   be derived from replay, never from this offset.
class AppendQueue {
 public:
  AppendQueue(AppendQueueOptions options, std::string name, std::uint64_t seed);

  /// Adds an entry; `token` identifies it and must be unique. Fails with
  /// kUnavailable and kNotRun if the queue is full.
  Result<void> Add(std::uint64_t token,
                   records::Envelope envelope,
                   TimePoint now);

  /// Removes an entry that has not been sent. Returns false if the entry may be
  /// in the log.
  bool Withdraw(std::uint64_t token);

  /// Returns the next action. A step other than kWait must be carried out and
  /// reported before the next call.
  AppendStep Next(TimePoint now);

  /// Handles the outcome of an append or a read. Returns the entries that are
  /// now known to be in the log.
  std::vector<AppendedEntry> OnAppend(const Result<std::uint64_t>& outcome,
                                      TimePoint now);
  std::vector<AppendedEntry> OnRead(const Result<LogPage>& page, TimePoint now);

  /// Sends the waiting entries without further delay.
  void Flush() { this->is_flushing = true; }

  /// False from a failed append or read until one succeeds.
  bool is_available() const { return this->failures == 0; }
  bool is_empty() const { return this->waiting.empty() && this->sent.empty(); }
  /// True while the stream is read to find the outcome of an append.
  bool is_resolving() const { return this->state == State::kResolving; }
  /// Id of the append in flight, or of the last one.
  const std::string& append_id() const { return this->id; }
  std::size_t queued_bytes() const { return this->bytes; }
  /// Tokens of all entries without a known outcome, oldest first.
  std::vector<std::uint64_t> tokens() const;
  /// True if the entry was sent and its outcome is unknown.
  bool MayBeInLog(std::uint64_t token) const;

 private:
  enum class State { kIdle, kAppending, kResolving };
  struct Entry {
    std::uint64_t token = 0;
    records::Envelope envelope;
    TimePoint added;
  };

  std::vector<AppendedEntry> Resolve(std::uint64_t offset);
  void BackOff(TimePoint now);
  void BuildAppend();
  bool IsDue(TimePoint now) const;

  const AppendQueueOptions options;
  const std::string name;
  Random random;
  State state = State::kIdle;
  std::deque<Entry> waiting;
  /// Entries of the append in flight.
  std::deque<Entry> sent;
  /// True if an earlier attempt to send the append in flight has an unknown
  /// outcome.
  bool has_unknown_outcome = false;
  bool is_flushing = false;
  std::size_t bytes = 0;
  std::uint64_t next_sequence = 1;
  std::string id;
  std::string data;
  /// An offset at or before any copy of the append in flight; 0 if unknown.
  std::uint64_t position = 0;
  /// Next offset to read while the outcome of an append is resolved.
  std::uint64_t read_from = 0;
  std::uint32_t reads_without_match = 0;
  std::uint32_t failures = 0;
  TimePoint not_before{};
};

}  // namespace crocus

#endif  // LIBLEDGER_APPEND_QUEUE_H_
