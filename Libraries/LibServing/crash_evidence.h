#ifndef LIBSERVING_CRASH_EVIDENCE_H_
#define LIBSERVING_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibMessages/messages.h"

namespace crocus {

struct CrashEvidenceOptions {
  /// Reports of crashes of one replica within this time mean the same crash.
  Duration same_crash_time = std::chrono::milliseconds(1000);
  /// Crashes within this time may have one cause outside of the requests, such
  /// as the loss of a rack. They count as one.
  Duration common_cause_time = std::chrono::milliseconds(250);
  /// Crashes after which a part is blocked, if no request with it was served
  /// since the first of them.
  std::uint32_t crashes_to_block = 3;
  /// The same for parts with a served request shortly before.
  std::uint32_t crashes_to_block_proven_part = 5;
  /// How long a served request before the first crash speaks for its parts.
  Duration proof_lifetime = std::chrono::seconds(60);
  /// How long crashes count against a part that is not blocked.
  Duration suspicion_lifetime = std::chrono::seconds(120);
  /// How long a part stays blocked after its last crash at most.
  Duration block_lifetime = std::chrono::hours(1);
  /// Reports of evidence that expires within this time are ignored. Hosts would
  /// otherwise return expired evidence to each other.
  Duration expiry_margin = std::chrono::seconds(20);
  /// Time after the last crash until one request is let through to see whether
  /// the parts are still at fault. Each trial that fails triples it.
  Duration first_trial_delay = std::chrono::seconds(20);
  /// Time after a trial is due within which it takes place, if there is a
  /// request for it.
  Duration trial_spread = std::chrono::seconds(10);
  /// Parts with crashes; those with the least evidence are dropped first.
  std::size_t maximum_parts = 96;
  /// Crashes that are kept of a part: those of the replicas with the lowest
  /// hashes, so that all hosts keep the same ones.
  std::size_t maximum_crashes = 16;
  /// Parts in a report to other hosts.
  std::size_t maximum_reported_parts = 64;
  /// Parts whose last served request is remembered.
  std::size_t maximum_served_parts = 1024;
};

/// Parts of prompts that together crash replicas.
struct BlockedParts {
  /// In order. A request is blocked if it has all of them.
  std::vector<std::string> parts;
  /// Crashes that count against them.
  std::uint32_t crashes = 0;
  std::uint32_t failed_trials = 0;
  /// When a request may be let through.
  TimePoint next_trial{};

  bool operator==(const BlockedParts&) const = default;
};

/// A change of the blocked parts.
struct BlockChange {
  BlockedParts blocked;
  bool is_blocked = false;

  bool operator==(const BlockChange&) const = default;
};

/// Finds the parts of prompts that crash replicas, from what this host and its
/// peers have seen, and decides which requests must not reach a replica. It
/// answers the load of crashes: without it, requests of one kind end one
/// replica after the other, and with each the sound requests beside them.
///
/// A crash counts against every shared part of the requests that it ended. A
/// served request clears its parts of all earlier crashes, which clears the
/// parts that sound requests share with the faulty ones. Crashes that a blocked
/// part explains do not count against others. If several parts have the same
/// crashes, only requests with all of them are blocked: a request with some of
/// them then shows which is at fault.
///
/// Merging reports is idempotent and does not depend on their order, so reports
/// may be lost, repeated and relayed. Times cross hosts as ages. Not
/// thread-safe.
class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceOptions options = {})
      : options(options) {}

  /// A replica has crashed while a request with these shared parts ran there.
  /// Called for each of its requests.
  void OnCrash(const std::string& replica,
               const std::vector<std::string>& parts,
               TimePoint now);
  /// A replica has served a request with these shared parts: its response is
  /// complete, or has been arriving for a while.
  void OnServed(const std::vector<std::string>& parts, TimePoint now);
  /// An operator lifts every block with the part. The crashes behind them count
  /// against no part any more, on all hosts. False if no block has the part.
  bool Lift(const std::string& part, TimePoint now);

  /// The blocked parts that the request has, or none if it may be sent. If
  /// their trial is due, lets a request through, drawn by `chance` from 0 to 1.
  /// At first it is one in `hosts`, so that about one reaches a replica in the
  /// whole fleet; the share then grows, as only one host may have such
  /// requests.
  std::optional<BlockedParts> Check(const std::vector<std::string>& parts,
                                    TimePoint now,
                                    std::size_t hosts,
                                    double chance);

  std::vector<messages::PartEvidence> Report(TimePoint now) const;
  void Merge(const std::vector<messages::PartEvidence>& report, TimePoint now);

  /// Drops evidence that has expired. Must be called regularly.
  void Expire(TimePoint now);

  /// Number of changes, and of those among them that this host has seen itself.
  std::uint64_t changes_known() const { return this->change_count; }
  std::uint64_t own_changes() const { return this->own_change_count; }
  /// Number of parts that crashes count against, and of all with evidence.
  std::size_t suspects() const;
  std::size_t size() const { return this->entries.size(); }
  const std::vector<BlockedParts>& blocked() const {
    return this->blocked_parts;
  }
  /// Returns the changes of the blocked parts since the last call.
  std::vector<BlockChange> TakeChanges();

 private:
  struct Crash {
    std::uint64_t replica_hash = 0;
    TimePoint time{};

    bool operator==(const Crash&) const = default;
  };

  struct Entry {
    /// Crashes after the last served request, in the order of their times.
    std::vector<Crash> crashes;
    std::optional<TimePoint> served;
    std::uint32_t trials = 0;
    std::optional<TimePoint> last_trial;
  };

  bool IsSameCrash(const Crash& left, const Crash& right) const;
  bool HasCrash(const Entry& entry, const Crash& crash) const;
  bool HasSameCrashes(const Entry& left, const Entry& right) const;
  /// Crashes that count, without those in `explained`.
  std::uint32_t Count(const Entry& entry,
                      const std::vector<Crash>& explained) const;
  std::uint32_t Threshold(const Entry& entry) const;
  /// Both return true if the entry has changed.
  bool AddCrash(Entry& entry, const Crash& crash);
  bool AddServed(Entry& entry, TimePoint time);
  /// The entry of the part; a new one has its last served request.
  Entry& EntryOf(const std::string& part);
  /// Drops the entries with the least evidence above the limit.
  void Bound();
  void OnChange(bool is_own);
  bool IsBlocked(const std::string& part) const;
  /// Takes the part with the most crashes first; the crashes that it explains
  /// do not count against the next ones.
  std::vector<BlockedParts> FindBlocked() const;
  /// Updates the blocked parts and notes what has changed.
  void Evaluate();

  const CrashEvidenceOptions options;
  std::map<std::string, Entry> entries;
  std::map<std::string, TimePoint> served_parts;
  std::vector<BlockedParts> blocked_parts;
  std::vector<BlockChange> changes;
  std::uint64_t change_count = 0;
  std::uint64_t own_change_count = 0;
};

}  // namespace crocus

#endif  // LIBSERVING_CRASH_EVIDENCE_H_
