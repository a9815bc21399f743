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

struct AppendQueueOptions {
  /// Name of the process, for the records.
  std::string writer;
  /// Longest time an entry waits for others to share its append.
  Duration delay = std::chrono::milliseconds(50);
  /// An append is sent once it holds this many bytes. One larger entry is
  /// sent alone.
  std::size_t append_bytes = 512u << 10;
  /// Entries beyond this many waiting bytes are refused.
  std::size_t queue_bytes = 64u << 20;
  Duration first_retry_delay = std::chrono::milliseconds(50);
  Duration maximum_retry_delay = std::chrono::seconds(2);
  /// Pause between the reads that settle an unknown outcome.
  Duration resolve_delay = std::chrono::milliseconds(100);
  /// Reads to the end of the stream without the append, after which it is sent
  /// again under the same id.
  std::uint32_t resolve_reads = 2;
  /// Records in one read.
  std::uint32_t page_records = 256;
};

/// What the caller of AppendQueue does next.
struct AppendStep {
  enum class Kind { kWait, kAppend, kRead };

  Kind kind = Kind::kWait;
  /// kWait: ask again at this time, or after an entry was added.
  TimePoint until = TimePoint::max();
  /// kAppend: the bytes to append.
  std::string data;
  /// kRead: where to read.
  std::uint64_t from = 0;
  std::uint32_t limit = 0;

  bool operator==(const AppendStep&) const = default;
};

/// An entry that is in the log, at the offset of its append.
struct AppendedEntry {
  std::uint64_t token = 0;
  std::uint64_t offset = 0;

  bool operator==(const AppendedEntry&) const = default;
};

/// Decisions of a group-commit writer of one stream: what waits, what is in
/// flight and what follows from each outcome. No threads and no I/O.
///
/// One append is in flight at a time. Its id is the writer's unique name, a
/// dot and a number that goes up, so replay needs to remember only the highest
/// number of each writer (see AppliedAppends). The next append starts once the
/// outcome of the last one is known:
///
/// - kNotRun: the entries return to the queue and are sent after a backoff.
/// - otherwise the outcome is unknown. The stream is read forward from the
///   position known before the append. If the id is found, the entries are in
///   the log. If it is still missing after `resolve_reads` reads to the end,
///   the same bytes are sent again under the same id. The first append may
///   become visible after that; replay then ignores whichever copy comes
///   second. Therefore an entry's offset names one copy of its append, and
///   state must be taken from replay, never from this offset.
class AppendQueue {
 public:
  AppendQueue(AppendQueueOptions options, std::string name, std::uint64_t seed);

  /// Adds an entry; `token` identifies it and must be unique. Fails with
  /// kUnavailable and kNotRun if the queue is full.
  Result<void> Add(std::uint64_t token,
                   records::Envelope envelope,
                   TimePoint now);

  /// Removes an entry that is certainly not in the log. False if it may be.
  bool Withdraw(std::uint64_t token);

  /// Returns what to do now. A step other than kWait must be carried out and
  /// reported before the next call.
  AppendStep Next(TimePoint now);

  /// Reports the outcome of an append or a read. Returns the entries that are
  /// in the log because of it.
  std::vector<AppendedEntry> OnAppend(const Result<std::uint64_t>& outcome,
                                      TimePoint now);
  std::vector<AppendedEntry> OnRead(const Result<LogPage>& page, TimePoint now);

  /// Sends what waits without further delay.
  void Flush() { this->is_flushing = true; }

  /// False from the first failed call until one succeeds.
  bool is_available() const { return this->failures == 0; }
  bool is_empty() const { return this->waiting.empty() && this->sent.empty(); }
  /// True while the outcome of an append is unknown.
  bool is_resolving() const { return this->state == State::kResolving; }
  /// Id of the append in flight, or of the last one.
  const std::string& append_id() const { return this->id; }
  std::size_t queued_bytes() const { return this->bytes; }
  /// All entries without a known outcome, oldest first.
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
  /// True if an earlier try of the append in flight has an unknown outcome.
  bool has_unknown_outcome = false;
  bool is_flushing = false;
  std::size_t bytes = 0;
  std::uint64_t next_sequence = 1;
  std::string id;
  std::string data;
  /// An offset at or before any copy of the append in flight; 0 if unknown.
  std::uint64_t position = 0;
  /// Where the reads that settle the outcome go on.
  std::uint64_t read_from = 0;
  std::uint32_t reads_without_match = 0;
  std::uint32_t failures = 0;
  TimePoint not_before{};
};

}  // namespace crocus

#endif  // LIBLEDGER_APPEND_QUEUE_H_
