#ifndef ENTRY_REQUEST_RUN_H_
#define ENTRY_REQUEST_RUN_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Entry/attempt_stream.h"
#include "Entry/daemon_connections.h"
#include "Entry/online_request.h"
#include "Entry/refusal.h"
#include "Entry/route_planner.h"
#include "LibSettings/settings.h"

namespace crocus {

/// Final outcome of a request: the complete answer or a refusal.
struct RunOutcome {
  std::optional<Refusal> refusal;
  std::string text;
  std::uint32_t token_count = 0;

  bool operator==(const RunOutcome&) const = default;

  bool is_complete() const { return !this->refusal; }
};

class RequestRun;

/// Objects that all runs of an entry share.
struct RunServices {
  boost::asio::io_context& context;
  DaemonConnections& daemon_connections;
  RoutePlanner& planner;
  const EntrySettings::Online settings;
  /// Called once when a run has finished, without holding its lock.
  std::function<void(const std::shared_ptr<RequestRun>&)> on_finished;
};

/// Runs one accepted request: manages its attempts and the callers that wait
/// for it. The attempt that sends the first token provides the complete answer;
/// tokens of two attempts are never mixed.
///
/// After a failed attempt the request is sent again only if no caller has
/// received text, and if no attempt has run or the request is repeatable. A
/// second run of a model may produce another text, so a stream that has begun
/// ends with an error instead.
///
/// Thread-safe. The lock is taken before those of RoutePlanner and
/// DaemonConnections.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(RunServices& services,
             OnlineRequest request,
             TimePoint received,
             TimePoint deadline);

  /// Sends the first attempt.
  void Start();
  /// Ends the run without an attempt, for example with a result from the log.
  void Finish(RunOutcome outcome);

  /// Registers and removes a waiting caller. When the last caller is removed,
  /// the attempts are revoked, except for a request with an intent: its result
  /// can be read later, so it runs to completion.
  void AddCaller();
  void RemoveCaller();

  /// Waits until the outcome is known or `deadline` has passed. Returns whether
  /// the outcome is known.
  bool WaitForOutcome(TimePoint deadline);
  /// Waits for text after the byte `position`, returns it and advances
  /// `position`. Returns nothing if the run has finished without further text
  /// or `deadline` has passed.
  std::optional<std::string> ReadText(std::size_t& position,
                                      TimePoint deadline);

  std::optional<RunOutcome> outcome() const;
  const OnlineRequest& request() const { return this->accepted_request; }
  /// Common prefix of the attempts' ids.
  const std::string& attempt_id_prefix() const { return this->id_prefix; }
  /// Daemon and id of each attempt whose result a daemon may hold.
  std::vector<std::pair<std::string, std::string>> HeldAttempts() const;
  TimePoint received() const { return this->received_at; }
  TimePoint deadline() const { return this->expires_at; }
  /// True once Start was called. If the request needs an intent, it is in the
  /// log by then.
  bool is_started() const;
  std::optional<TimePoint> first_dispatch() const;
  std::optional<TimePoint> first_token() const;

 private:
  struct Attempt {
    std::string id;
    RoutePlan plan;
    TimePoint started{};
    AttemptStream stream;
    std::optional<TimePoint> first_token;
    /// Time and token count at which the current measurement of the time
    /// between tokens began.
    TimePoint measurement_start{};
    std::uint32_t measurement_start_tokens = 0;
    /// Set once the attempt has ended, or the reply to its revocation confirms
    /// that it did not run.
    std::optional<Verdict> verdict;
    bool is_revoked = false;
  };
  /// Work to do after the lock is released.
  struct Actions {
    std::vector<std::pair<std::string, std::string>> revokes;
    bool must_arm_timer = false;
    bool is_finished = false;
  };

  /// Runs `handler` under the lock, then performs the actions that it has
  /// added.
  template <typename Handler>
  void Handle(Handler handler);
  void Perform(const Actions& actions);

  void OnChunk(std::size_t index, const messages::TokenChunk& chunk);
  void OnDone(std::size_t index, const messages::AttemptDone& done);
  void OnRevokeReply(const std::string& id, Verdict verdict);
  void OnTimer();
  void ArmTimer();

  /// This function and the following ones require the lock.
  std::optional<TimePoint> NextTimerTime() const;
  std::optional<Refusal> Dispatch(TimePoint now, Actions& actions);
  bool Send(RoutePlan plan, TimePoint now);
  void SendHedge(TimePoint now, Actions& actions);
  void Retry(TimePoint now, Actions& actions);
  void SelectWinner(std::size_t index, Actions& actions);
  void MeasureTokenTime(Attempt& attempt, std::uint32_t minimum, TimePoint now);
  void ReportOutcome(const Attempt& attempt,
                     const messages::AttemptDone& done,
                     TimePoint now);
  bool MayRetry(const messages::AttemptDone& done, TimePoint now);
  bool HasActiveAttempt() const;
  void RevokeActiveAttempts(Actions& actions);
  void Expire(TimePoint now, Actions& actions);
  Verdict OverallVerdict() const;
  Refusal MakeRefusal(const messages::AttemptDone& done) const;
  void FinishExpired(Actions& actions);
  void FinishNow(RunOutcome outcome, Actions& actions);
  const std::string& AnswerText() const;

  RunServices& services;
  const OnlineRequest accepted_request;
  const std::string id_prefix;
  const TimePoint received_at;
  const TimePoint expires_at;
  boost::asio::steady_timer timer;

  mutable std::mutex mutex;
  std::condition_variable wake;
  std::deque<Attempt> attempts;
  std::optional<std::size_t> winner;
  std::set<std::string> excluded;
  std::optional<TimePoint> hedge_at;
  std::optional<TimePoint> retry_at;
  /// Set once the request's deadline has passed: time until which the run
  /// waits for the replies to its revocations.
  std::optional<TimePoint> revoke_deadline;
  std::optional<RunOutcome> result;
  bool has_started = false;
  std::uint32_t callers = 0;
  bool has_returned_text = false;
};

}  // namespace crocus

#endif  // ENTRY_REQUEST_RUN_H_
