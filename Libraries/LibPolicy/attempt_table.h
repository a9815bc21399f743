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
  /// There is no room for a new attempt; the refusal is remembered.
  kFull,
  /// There is no room even for the refusal: nothing may be promised about a
  /// duplicate that arrives later.
  kFullUnrecorded,
};

struct AttemptTableOptions {
  /// How long tombstones and finished attempts are remembered. A message may
  /// not arrive later than this.
  Duration retention = std::chrono::minutes(10);
  /// Attempts that are remembered. The default covers ten minutes at 50
  /// attempts per second; a daemon has 31 at peak. With 40000 the process
  /// exceeded 32 MB at its bounds.
  std::size_t maximum_attempts = 30000;
  /// Held bytes from which on work whose result would be held is refused.
  std::size_t maximum_held_bytes = 5u << 20;
};

/// The daemon's record of attempts: prevents a second start of an attempt,
/// decides what a revocation may promise, and keeps results until an entry
/// confirms that they are in the log. Not thread-safe.
class AttemptTable {
 public:
  explicit AttemptTable(AttemptTableOptions options) : options(options) {}

  /// Registers an attempt that has arrived. `may_hold` says that its result
  /// would be held; such an attempt also needs room for held results.
  BeginOutcome Begin(const std::string& attempt, bool may_hold, TimePoint now);

  /// Returns false if the attempt was revoked while it was queued; then it
  /// must not be passed to the engine.
  bool MarkRunning(const std::string& attempt);

  /// Records the end of an attempt. `result.done.verdict` is kept for later
  /// revocations and is kNotRun exactly if the attempt was not marked running;
  /// with `hold`, the result is kept until it is confirmed.
  void Finish(const messages::HeldResult& result, bool hold, TimePoint now);

  /// Revokes an attempt. kNotRun is a promise: the attempt has not started
  /// and Begin and MarkRunning refuse it from now on. Without room for the
  /// tombstone of an unknown attempt the answer is kMayHaveRun.
  Verdict Revoke(const std::string& attempt, TimePoint now);

  /// Returns the held result of a finished attempt, or nullptr.
  const messages::HeldResult* FindHeld(const std::string& attempt) const;

  /// Forgets held results that are in the log.
  void Confirm(const std::vector<std::string>& attempts);

  /// All held results, in the order of attempt ids.
  std::vector<messages::HeldResult> UnconfirmedResults() const;

  /// Returns at most `limit` held results that were last offered before
  /// `now - interval`, and counts them as offered now.
  std::vector<messages::HeldResult> TakeDueOffers(TimePoint now,
                                                  Duration interval,
                                                  std::size_t limit);

  /// Forgets finished attempts and tombstones older than the option's limit.
  void Expire(TimePoint now);

  std::size_t size() const { return this->entries.size(); }
  std::size_t held_count() const { return this->held.size(); }
  std::size_t held_bytes() const { return this->bytes_held; }

 private:
  enum class State { kQueued, kRunning, kFinished, kRevoked };
  struct Entry {
    State state = State::kQueued;
    Verdict verdict = Verdict::kNotRun;
    TimePoint changed{};
  };
  struct Held {
    messages::HeldResult result;
    TimePoint last_offered{};
  };
  using Entries = std::map<std::string, Entry>;

  bool HasCapacity(bool may_hold) const;
  /// Keeps a refusal as a hash. A collision refuses a new attempt as not run,
  /// which is safe.
  bool RecordRefusal(std::uint64_t fingerprint, TimePoint now);
  void End(Entries::iterator entry,
           State state,
           Verdict verdict,
           TimePoint now);
  void Hold(const messages::HeldResult& result, TimePoint now);

  const AttemptTableOptions options;
  Entries entries;
  /// Ended entries in the order of their end.
  std::deque<Entries::iterator> ended;
  std::map<std::uint64_t, TimePoint> refusals;
  std::deque<std::uint64_t> refusal_order;
  std::map<std::string, Held> held;
  std::size_t bytes_held = 0;
};

}  // namespace crocus

#endif  // LIBPOLICY_ATTEMPT_TABLE_H_
