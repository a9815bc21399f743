#ifndef LIBPOLICY_REPLICA_SCHEDULER_H_
#define LIBPOLICY_REPLICA_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibMessages/messages.h"
#include "LibPolicy/length_predictor.h"

namespace crocus {

struct ReplicaSchedulerOptions {
  /// Number of streams that the engine runs at once.
  std::uint32_t slots = 8;
  /// Batch items that may wait in the daemon for a free slot. The number grows
  /// above this with the rate at which batch items finish.
  std::uint32_t batch_backlog = 2;
  /// Upper bound of the slots that batch work leaves free for online bursts
  /// (EndpointRule::reserve_slots). The actual reserve is the number of online
  /// arrivals expected while a suspension takes effect.
  std::uint32_t reserve_slots = 1;
  /// Maximum share of the slots that long requests may hold
  /// (EndpointRule::long_share); 1 means no bound.
  double long_share = 0.5;
  /// Target of the time between online tokens, which batch occupancy must not
  /// exceed (EndpointRule::token_target); 0 means no target.
  Duration token_target = std::chrono::milliseconds(61);

  bool operator==(const ReplicaSchedulerOptions&) const = default;
};

struct ScheduledWork {
  std::string attempt;
  messages::WorkKind kind = messages::WorkKind::kOnline;
  /// The caller's token limit; 0 if there is none.
  std::uint32_t token_limit = 0;
  /// When the caller's timeout expires.
  TimePoint deadline{};
  std::string workspace;
  std::uint32_t prompt_tokens = 0;
  /// Whether a running online attempt may be cancelled at the engine and
  /// resumed later; batch attempts always may. False for plain services and
  /// for work that must not be repeated.
  bool is_resumable = false;

  bool operator==(const ScheduledWork&) const = default;
};

/// What the daemon must do: first the suspensions, then the expirations, then
/// the starts.
struct SchedulerActions {
  /// Attempts to cancel at the engine; the scheduler queues them again.
  std::vector<std::string> suspend;
  /// Attempts whose deadline passed before they started.
  std::vector<std::string> expired;
  /// Attempts to pass to the engine.
  std::vector<std::string> start;

  bool operator==(const SchedulerActions&) const = default;
};

/// Decides which streams the engine of one replica runs. Online work goes
/// first: it takes free slots at once and suspends batch streams when there are
/// none. A long online request waits while long ones hold their share of the
/// slots, even if batch streams run. A short request for which there is no
/// batch stream to suspend suspends a long one that may be resumed. Not
/// thread-safe.
class ReplicaScheduler {
 public:
  /// `predictor` may be shared by the schedulers of one daemon.
  explicit ReplicaScheduler(ReplicaSchedulerOptions options,
                            std::shared_ptr<LengthPredictor> predictor =
                                std::make_shared<LengthPredictor>());

  /// Applies new options. Streams that run may be suspended but are not ended.
  SchedulerActions Configure(const ReplicaSchedulerOptions& new_options,
                             TimePoint now);

  /// Adds new work.
  SchedulerActions Submit(const ScheduledWork& work, TimePoint now);

  /// Reports that a started attempt has ended at the engine. A suspended
  /// attempt that is not complete is queued again; if it must not resume, call
  /// Remove.
  SchedulerActions Finish(const std::string& attempt, TimePoint now);

  /// Removes an attempt that is queued or was suspended.
  SchedulerActions Remove(const std::string& attempt, TimePoint now);

  /// Advances time: returns the work that has expired and the work to start or
  /// suspend.
  SchedulerActions Tick(TimePoint now);

  /// Reports that a running attempt has delivered `tokens` tokens in total. The
  /// time between the tokens of online attempts limits the number of batch
  /// streams, and an attempt that turns out to be long counts as long from then
  /// on.
  SchedulerActions ReportTokens(const std::string& attempt,
                                std::uint32_t tokens,
                                TimePoint now);

  /// Reports the length of a complete answer. Must be called before Finish.
  void ReportAnswer(const std::string& attempt, std::uint32_t tokens);

  /// Number of further batch items that the daemon can accept for this replica.
  std::uint32_t BatchCapacity() const;

  std::uint32_t online_running() const;
  std::uint32_t batch_running() const;
  std::uint32_t online_waiting() const {
    return static_cast<std::uint32_t>(this->online_queue.size());
  }
  /// Number of long online attempts that hold a slot, including those that are
  /// being suspended.
  std::uint32_t long_running() const;
  /// Number of slots that long online attempts may hold.
  std::uint32_t long_slots() const;
  /// Number of slots that batch work leaves free at `now`.
  std::uint32_t reserve(TimePoint now) const;

 private:
  struct Entry {
    ScheduledWork work;
    double predicted_tokens = 0;
    bool is_long = false;
    /// When it was last queued.
    TimePoint queued_at{};
    TimePoint started_at{};
    /// Whether it has been started at the engine; if so, it must not expire as
    /// not run.
    bool has_started = false;
    std::uint32_t tokens = 0;
    TimePoint last_token{};
    bool has_token = false;
    TimePoint suspended_at{};
    bool is_complete = false;
  };
  using Queue = std::deque<Entry>;

  /// Expires queued online work, and starts and suspends streams as the slots
  /// allow.
  SchedulerActions Advance(TimePoint now);
  void StartOnline(SchedulerActions& actions, TimePoint now);
  void SuspendStreams(SchedulerActions& actions, TimePoint now);
  void StartBatch(SchedulerActions& actions, TimePoint now);
  void Start(Queue& queue,
             Queue::iterator entry,
             TimePoint now,
             SchedulerActions& actions);
  void Suspend(std::map<std::string, Entry>::iterator victim,
               TimePoint now,
               SchedulerActions& actions);
  /// Returns the online attempt to start next; the end of the queue if none may
  /// start.
  Queue::iterator ChooseOnline(TimePoint now);
  Queue::iterator ChooseBatch();
  std::map<std::string, Entry>::iterator ChooseBatchVictim();
  std::map<std::string, Entry>::iterator ChooseLongVictim(TimePoint now);
  /// Number of waiting online attempts that may take a slot as soon as one is
  /// free.
  std::uint32_t CountAdmissible() const;
  std::uint32_t CountWaitingShort() const;
  std::uint32_t CountLong(messages::WorkKind kind) const;
  std::uint32_t BatchLimit() const;
  void ObserveTokenTime(Duration time);
  /// Returns true if the batch limit has changed.
  bool AdjustBatchLimit(TimePoint now);
  std::uint32_t CountRunning(messages::WorkKind kind) const;
  std::uint32_t occupied() const {
    return static_cast<std::uint32_t>(this->running.size() +
                                      this->suspending.size());
  }

  ReplicaSchedulerOptions options;
  std::shared_ptr<LengthPredictor> predictor;
  Queue online_queue;
  Queue batch_queue;
  std::map<std::string, Entry> running;
  /// Attempts whose suspension was requested and that still hold their slot.
  std::map<std::string, Entry> suspending;

  /// Online arrivals per second, averaged over a second.
  double arrival_rate = 0;
  TimePoint last_arrival{};
  /// Batch items finished per second, averaged over a second.
  double batch_finish_rate = 0;
  TimePoint last_batch_finish{};
  /// Mean time from a suspension to the release of the slot, in seconds.
  double mean_suspension_seconds = 0;
  /// Mean time between online tokens, in seconds.
  double mean_token_seconds = 0;
  /// Maximum number of batch streams while there is online work.
  std::uint32_t batch_limit;
  TimePoint last_batch_limit_change{};
};

}  // namespace crocus

#endif  // LIBPOLICY_REPLICA_SCHEDULER_H_
