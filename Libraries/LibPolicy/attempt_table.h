#ifndef LIBPOLICY_ATTEMPT_TABLE_H_
#define LIBPOLICY_ATTEMPT_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibCore/verdict.h"
#include "LibMessages/messages.h"

namespace crocus {

enum class BeginOutcome {
  /// The attempt is new and may be started.
  kStart,
  /// The attempt is queued or running; a duplicate must not start it again.
  kActive,
  /// The attempt has finished; its held result, if any, can be sent again.
  kFinished,
  /// The attempt was revoked or refused before.
  kRevoked,
  /// There is no capacity for a new attempt. The refusal is recorded, so a
  /// duplicate is refused as well.
  kFull,
  /// There is no capacity even to record the refusal. A duplicate that arrives
  /// later may run, so the attempt must not be reported as not run.
  kFullUnrecorded,
};

struct AttemptTableOptions {
  /// How long finished attempts and tombstones, the records of revoked and
  /// refused attempts, are kept. A message must not arrive later than this: its
  /// attempt would count as new.
  Duration retention = std::chrono::minutes(10);
  /// Maximum number of attempts that are kept. The default covers ten minutes
  /// at 50 attempts per second; a daemon receives 31 per second at peak. With
  /// 40000 attempts the process exceeded 32 MB when the table and the held
  /// results were full.
  std::size_t maximum_attempts = 30000;
  /// From this many bytes on, work whose result would be held is refused. Both
  /// the held results and the work that has not ended count.
  std::size_t maximum_held_bytes = 5u << 20;
  /// Below this many attempts that have not ended, only held results count: the
  /// replicas run so many at once, so that none of them has to wait.
  std::size_t running_attempts = 0;
};

/// The daemon's record of attempts. Prevents a second start of an attempt,
/// decides the verdict of a revocation, and keeps results until an entry
/// confirms that they are in the log. Not thread-safe.
class AttemptTable {
 public:
  explicit AttemptTable(AttemptTableOptions options) : options(options) {}

  /// Registers an attempt that has arrived. `may_hold` is true if its result
  /// would be held; such an attempt also needs capacity for held results, and
  /// for its prompt if it has to wait.
  BeginOutcome Begin(const std::string& attempt,
                     bool may_hold,
                     TimePoint now,
                     std::size_t prompt_bytes);

  /// Returns false if the attempt was revoked while it was queued; then it
  /// must not be passed to the engine.
  bool MarkRunning(const std::string& attempt);

  /// Records the end of an attempt. `result.done.verdict` is kept for later
  /// revocations and must be kNotRun exactly if the attempt was not marked
  /// running. With `hold`, the result is kept until it is confirmed.
  void Finish(const messages::HeldResult& result, bool hold, TimePoint now);

  /// Revokes an attempt. kNotRun guarantees that the attempt has not started
  /// and that Begin and MarkRunning refuse it from now on. Returns kMayHaveRun
  /// if there is no capacity for the tombstone of an unknown attempt.
  Verdict Revoke(const std::string& attempt, TimePoint now);

  /// Returns the held result of a finished attempt, or nullptr.
  const messages::HeldResult* FindHeld(const std::string& attempt) const;

  /// Removes held results that are in the log.
  void Confirm(const std::vector<std::string>& attempts);

  /// Returns all held results, ordered by attempt id.
  std::vector<messages::HeldResult> UnconfirmedResults() const;

  /// Returns at most `limit` held results whose last offer is at least
  /// `interval` old, and records `now` as the time of their last offer.
  std::vector<messages::HeldResult> TakeDueOffers(TimePoint now,
                                                  Duration interval,
                                                  std::size_t limit);

  /// Removes finished attempts and tombstones that are older than the retention
  /// time. Attempts whose result is held are kept.
  void Expire(TimePoint now);

  std::size_t size() const { return this->entries.size(); }
  std::size_t held_count() const { return this->held.size(); }
  std::size_t held_bytes() const { return this->bytes_held; }

 private:
  enum class State { kQueued, kRunning, kFinished, kRevoked };
  struct Entry {
    State state = State::kQueued;
    Verdict verdict = Verdict::kNotRun;
    TimePoint changed_at{};
    /// Memory that counts against the capacity until the attempt ends.
    std::size_t reserved_bytes = 0;
  };
  struct Held {
    messages::HeldResult result;
    TimePoint last_offered{};
  };
  using Entries = std::map<std::string, Entry>;

  bool HasCapacity(bool may_hold) const;
  /// Records a refusal as a hash of the attempt id; returns false if there is
  /// no capacity for it. If two ids have the same hash, a new attempt is
  /// refused as not run, which is safe.
  bool RecordRefusal(std::uint64_t fingerprint, TimePoint now);
  void End(Entries::iterator entry,
           State state,
           Verdict verdict,
           TimePoint now);
  void Hold(const messages::HeldResult& result, TimePoint now);

  const AttemptTableOptions options;
  Entries entries;
  /// Ended entries, ordered by the time of their last change.
  std::deque<Entries::iterator> ended;
  std::map<std::uint64_t, TimePoint> refusals;
  std::deque<std::uint64_t> refusal_order;
  std::map<std::string, Held> held;
  std::size_t bytes_held = 0;
  /// Attempts that have not ended and whose results would be held.
  std::size_t unfinished = 0;
  std::size_t bytes_unfinished = 0;
};

}  // namespace crocus

#endif  // LIBPOLICY_ATTEMPT_TABLE_H_
