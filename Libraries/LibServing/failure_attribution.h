#ifndef LIBSERVING_FAILURE_ATTRIBUTION_H_
#define LIBSERVING_FAILURE_ATTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// Identifies a request or a batch item over all of its runs.
using WorkId = std::uint64_t;

/// A piece of work at a replica.
struct WorkRun {
  std::string endpoint;
  std::string replica;
  WorkId work = 0;

  bool operator==(const WorkRun&) const = default;
};

enum class FailureKind {
  /// The connection could not be opened: the work had no part in it.
  kUnreachable,
  /// The response broke off, was malformed or did not come.
  kBroken,
  /// The response is whole and of no use, such as one of status 500. It says
  /// nothing about the replica's other work.
  kUnusable,
};

enum class FailureCause { kOpen, kWork, kReplica };

std::string_view ToString(FailureCause cause);

/// What is believed of a piece of work.
struct WorkBelief {
  /// Failures that are attributed to the work.
  std::uint32_t failures = 0;
  /// Replicas at which it has failed since it was first seen.
  std::size_t replicas = 0;
  /// True if it is expected to fail wherever it runs.
  bool is_failing = false;

  bool operator==(const WorkBelief&) const = default;
};

/// What is believed of a replica.
enum class ReplicaBelief {
  kSound,
  /// No connection can be opened; its backoff is not over.
  kUnreachable,
  /// Its work fails where that of others does not; its backoff is not over.
  kFailing,
  /// Its backoff is over. Nothing has shown yet that it is sound.
  kOnTrial,
};

struct FailureAttributionOptions {
  /// First backoff of a replica. It doubles with each further one.
  Duration minimum_backoff = std::chrono::milliseconds(400);
  Duration maximum_backoff = std::chrono::milliseconds(4000);
  /// Failures of different work in a row, not attributed to the work, after
  /// which a replica counts as failing if work succeeds elsewhere.
  std::uint32_t failures_before_backoff = 3;
  /// Probability below which such a row is no chance, given the share of runs
  /// that fail at the other replicas of the endpoint.
  double chance_of_row = 0.00001;
  /// Weight of the newest run in the share of runs that fail.
  double share_weight = 0.05;
  /// Failures that are attributed to work from which on it counts as failing.
  std::uint32_t failures_of_failing_work = 2;
  /// How long a success of other work shows that a replica is sound.
  Duration proof_lifetime = std::chrono::seconds(10);
  /// Pause of a piece of work after its first failure. It doubles with each
  /// failure that is attributed to the work, and a few times with open ones:
  /// its replicas may have recovered.
  Duration minimum_pause = std::chrono::milliseconds(300);
  Duration maximum_pause = std::chrono::seconds(10);
  std::uint32_t doublings_of_open_failures = 2;
  /// How long a piece of work that has not failed again is remembered.
  Duration work_lifetime = std::chrono::minutes(10);
  /// Pieces of work that are remembered; the oldest are dropped first. Such a
  /// piece is recognised again after two failures.
  std::size_t maximum_works = 8192;
  /// Failures that are remembered of a replica.
  std::size_t maximum_failures = 256;
};

/// Decides what a failed run says about its replica and about its work, so that
/// neither worsens what others get. It answers the load of failures: without
/// it, requests that fail for their own sake put replicas in backoff for all
/// work, and use up the trials that would end the backoff.
///
/// A failure is open at first. It is attributed to the work, and with it all
/// earlier failures of the work, once the replica has served other work after
/// it, or once the work has failed at another replica too and at one of the two
/// nothing else has. It is attributed to the replica once another one has
/// served the work. Failures of different work in a row that are not attributed
/// to the work count against the replica, unless as many are likely at the
/// other replicas of the endpoint. Work that is expected to fail counts against
/// no replica. Not thread-safe.
class FailureAttribution {
 public:
  explicit FailureAttribution(FailureAttributionOptions options = {})
      : options(options) {}

  /// A run has failed. Returns what that is attributed to by now; a later
  /// success may show otherwise.
  FailureCause OnFailure(const WorkRun& run, FailureKind kind, TimePoint now);
  void OnSuccess(const WorkRun& run, TimePoint now);
  /// The work has ended, however that may be.
  void Forget(WorkId work) { this->works.erase(work); }
  /// The replica has started again, has changed its state or is gone.
  void ResetReplica(const std::string& replica);
  /// Drops work that has not failed for a while. Must be called regularly.
  void Expire(TimePoint now);

  WorkBelief BeliefOf(WorkId work) const;
  /// Time before the work may run again after a failure.
  Duration PauseOf(WorkId work) const;

  ReplicaBelief BeliefOf(const std::string& replica, TimePoint now) const;
  /// True while the replica is avoided after failures.
  bool IsInBackoff(const std::string& replica, TimePoint now) const;

  /// Number of pieces of work that are expected to fail.
  std::size_t failing_works() const;
  /// Number of replicas that are in backoff.
  std::size_t replicas_in_backoff(TimePoint now) const;

 private:
  struct Work {
    /// Failures that are attributed to the work, and all failed runs.
    std::uint32_t failures = 0;
    std::uint32_t failed_runs = 0;
    /// Replicas at which it has failed, and when it did last.
    std::map<std::string, TimePoint> failed_at;
    TimePoint last_failure{};
  };
  struct Replica {
    std::string endpoint;
    /// Work that has failed here since the last success, if the failure is not
    /// attributed to the work.
    std::map<WorkId, FailureKind> failures;
    /// Those of kind kBroken.
    std::uint32_t broken = 0;
    /// Moving average over the runs that are not attributed to the work.
    double failed_share = 0;
    bool is_unreachable = false;
    Duration backoff{};
    TimePoint backoff_until{};
    TimePoint last_success{};
  };

  /// The replica of the run; creates it if there is none.
  Replica& ReplicaOf(const WorkRun& run);
  /// Drops the failures at the replica, which say nothing about their work.
  void ResetFailures(const std::string& replica);
  void StartBackoff(Replica& replica, TimePoint now) const;
  /// Failures in a row after which the replica counts as failing.
  std::uint32_t RequiredFailures(const std::string& name,
                                 const Replica& replica) const;
  bool IsFailing(const std::string& name, const Replica& replica) const;
  /// True if the replica has served work lately, and nothing but this work has
  /// failed there since.
  bool IsProven(const std::string& replica, WorkId work, TimePoint now) const;
  /// Adds a failure that is not attributed to the work. Returns true if the
  /// replica counts as failing.
  bool AddFailure(const WorkRun& run, FailureKind kind, TimePoint now);
  static void RemoveFailure(Replica& replica, WorkId work);
  /// Attributes all failures of the work to it.
  void BlameWork(WorkId id, Work& work);
  /// Makes room for one more piece of work.
  void DropOldestWork(TimePoint now);

  const FailureAttributionOptions options;
  std::map<WorkId, Work> works;
  std::map<std::string, Replica> replicas;
  /// Names of the replicas of each endpoint.
  std::map<std::string, std::set<std::string>> endpoints;
};

}  // namespace crocus

#endif  // LIBSERVING_FAILURE_ATTRIBUTION_H_
