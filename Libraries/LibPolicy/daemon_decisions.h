#ifndef LIBPOLICY_DAEMON_DECISIONS_H_
#define LIBPOLICY_DAEMON_DECISIONS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibMessages/messages.h"
#include "LibPolicy/attempt_table.h"
#include "LibPolicy/daemon_actions.h"
#include "LibPolicy/replica_scheduler.h"
#include "LibPolicy/report_rate_limiter.h"
#include "LibRules/rule_set.h"

namespace crocus {

/// Why a daemon accepts no new work. Each reason is set and cleared only by its
/// source, so that the host list, which lags behind, cannot end a drain.
enum class LeavingReason { kSignal, kDrain, kHostList, kRules };

struct DaemonDecisionsOptions {
  messages::Hello hello;
  std::string endpoint;
  /// Whether the replicas can resume a stream; plain services cannot.
  bool is_resumable = true;
  std::vector<std::string> replicas;
  std::vector<std::string> models;
  ReplicaSchedulerOptions scheduler;
  AttemptTableOptions attempts;
  ReportRateLimiterOptions reports;
  /// Time between two offers of an unconfirmed result.
  Duration offer_interval = std::chrono::seconds(10);
  /// Refuses new work until rules have been received.
  bool requires_rules = false;
};

/// Makes all decisions of a daemon about attempts, without threads and I/O:
/// each function is called for one event and returns the actions that the event
/// requires. Not thread-safe.
class DaemonDecisions {
 public:
  explicit DaemonDecisions(DaemonDecisionsOptions options);

  DaemonActions Connect(ConnectionId connection);
  DaemonActions Disconnect(ConnectionId connection, TimePoint now);
  DaemonActions Execute(ConnectionId connection,
                        const messages::Execute& execute,
                        TimePoint now);
  DaemonActions Revoke(ConnectionId connection,
                       std::uint64_t correlation,
                       const std::string& attempt,
                       TimePoint now);
  void Confirm(const std::vector<std::string>& attempts);

  /// Records the version of the pushed rules if it is higher than that of the
  /// current ones; returns whether it is.
  bool AcceptRules(const messages::RulesPush& push);
  /// Applies a parsed rule set. The content of the rules takes effect only
  /// here.
  DaemonActions ApplyRuleSet(const RuleSet& rules, TimePoint now);
  DaemonActions SetLeaving(LeavingReason reason, bool is_leaving);
  /// Adds a model that a replica has loaded.
  DaemonActions AddModel(const std::string& replica, const std::string& model);

  /// Called by the thread that carries out a start, right before it calls the
  /// engine. Returns nothing if the run must not begin.
  std::optional<StreamCall> BeginStream(const EngineRun& run,
                                        TimePoint now,
                                        DaemonActions& actions);
  /// Records a token of the stream; returns false if the stream is no longer
  /// needed.
  bool AddToken(const EngineRun& run,
                std::uint32_t index,
                const std::string& text,
                TimePoint now,
                DaemonActions& actions);
  DaemonActions EndStream(const EngineRun& run,
                          const StreamOutcome& outcome,
                          TimePoint now);

  /// True while the run is at the engine and is to be cancelled.
  bool IsCancelPending(const EngineRun& run) const;

  /// Ends expired work and sends the reports and offers that are due.
  DaemonActions Tick(TimePoint now);
  /// Returns the time at which Tick must be called next.
  TimePoint NextTick(TimePoint now) const;

  bool is_leaving() const { return !this->leaving.empty(); }
  bool is_ready() const;
  std::size_t active_count() const { return this->active.size(); }
  std::size_t held_count() const { return this->attempts.held_count(); }
  const EndpointRule& endpoint_rule() const { return this->rule; }

 private:
  enum class Stage {
    /// In the scheduler's queue.
    kQueued,
    /// Holds a slot; no thread has called the engine yet.
    kStarting,
    /// Holds a slot at the engine.
    kStreaming,
  };
  struct Attempt {
    messages::Execute execute;
    ConnectionId connection = 0;
    Stage stage = Stage::kQueued;
    /// The latest run.
    EngineRun run;
    TimePoint deadline{};
    /// Text and number of the tokens received so far; a resumed stream
    /// continues after them.
    std::string text;
    std::uint32_t token_count = 0;
    bool is_suspended = false;
    bool is_cancelled = false;
    bool has_run = false;

    /// Whether the attempt is stopped when the connection to its entry is lost:
    /// repeatable online work is useless without its caller.
    bool requires_caller() const {
      return this->execute.kind == messages::WorkKind::kOnline &&
             this->execute.repeatable;
    }
  };
  using ActiveAttempts = std::map<std::string, Attempt>;
  struct Replica {
    ReplicaScheduler scheduler;
    std::vector<std::string> models;
    messages::ReplicaChange last_reported;
  };

  std::string RefusalReason(const messages::Execute& execute) const;
  void Admit(ConnectionId connection,
             const messages::Execute& execute,
             TimePoint now,
             DaemonActions& actions);
  void RespondToDuplicate(ConnectionId connection,
                          const std::string& id,
                          DaemonActions& actions);
  void RespondToFinished(ConnectionId connection,
                         const std::string& id,
                         TimePoint now,
                         DaemonActions& actions);

  /// Carries out the scheduler's actions and those that follow from them.
  void ApplySchedulerActions(const std::string& replica,
                             SchedulerActions first,
                             TimePoint now,
                             DaemonActions& actions);
  void Start(const std::string& replica,
             const std::string& id,
             TimePoint now,
             DaemonActions& actions,
             std::deque<SchedulerActions>& pending);
  void Suspend(const std::string& replica,
               const std::string& id,
               TimePoint now,
               DaemonActions& actions,
               std::deque<SchedulerActions>& pending);
  void ReleaseSlot(const std::string& replica,
                   const std::string& id,
                   TimePoint now,
                   DaemonActions& actions);

  /// Ends an attempt that has no stream at the engine.
  void EndWithoutStream(ActiveAttempts::iterator attempt,
                        const std::string& reason,
                        TimePoint now,
                        DaemonActions& actions);
  /// Stops an attempt that was revoked or whose connection was lost.
  void Stop(ActiveAttempts::iterator attempt,
            const std::string& reason,
            TimePoint now,
            DaemonActions& actions);
  /// Sends or holds the outcome of the attempt and removes the attempt.
  void End(ActiveAttempts::iterator attempt,
           const messages::AttemptDone& done,
           TimePoint now,
           DaemonActions& actions);

  void Report(TimePoint now, DaemonActions& actions);
  void Offer(const std::vector<messages::HeldResult>& results,
             DaemonActions& actions) const;
  void SendToAll(const DaemonMessage& message, DaemonActions& actions) const;
  messages::ReplicaChange CurrentLoad(const Replica& replica,
                                      std::uint16_t index) const;
  messages::LoadReport FullReport() const;
  /// Returns the changes since the last report and records them as reported.
  messages::LoadChange TakeChanges();

  const DaemonDecisionsOptions options;
  std::map<std::string, Replica> replicas;
  ActiveAttempts active;
  AttemptTable attempts;
  ReportRateLimiter reports;
  std::set<ConnectionId> connections;
  std::set<LeavingReason> leaving;
  std::uint64_t rules_version = 0;
  std::uint64_t reported_rules_version = 0;
  EndpointRule rule;
  std::uint64_t last_run_number = 0;
};

}  // namespace crocus

#endif  // LIBPOLICY_DAEMON_DECISIONS_H_
