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
  /// Streams that the engine runs at once.
  std::uint32_t slots = 8;
  /// Batch items that may wait in the daemon for a free slot. Grows with the
  /// rate at which batch items finish.
  std::uint32_t batch_backlog = 2;
  /// Upper bound of the slots that batch work leaves free for online bursts
  /// (EndpointRule::reserve_slots). The reserve in use follows the arrivals
  /// expected while a suspension takes effect.
  std::uint32_t reserve_slots = 1;
  /// Largest share of the slots that long requests may hold
  /// (EndpointRule::long_share); 1 is no bound.
  double long_share = 0.5;
  /// Time between online tokens that batch occupancy must keep
  /// (EndpointRule::token_target); 0 is no bound.
  Duration token_target = std::chrono::milliseconds(61);

  bool operator==(const ReplicaSchedulerOptions&) const = default;
};

struct ScheduledWork {
  std::string attempt;
  messages::WorkKind kind = messages::WorkKind::kOnline;
  /// The caller's token limit; 0 if there is none.
  std::uint32_t token_limit = 0;
  /// When the caller's patience ends.
  TimePoint deadline{};
  std::string workspace;
  std::uint32_t prompt_tokens = 0;
  /// Whether a running online attempt may be cancelled at the engine and
  /// resumed later; batch attempts always may. False for plain services and
  /// for work that must not be repeated.
  bool is_resumable = false;

  bool operator==(const ScheduledWork&) const = default;
};

/// What the daemon must do, in this order.
struct SchedulerActions {
  /// Attempts to cancel at the engine; the gate queues them again.
  std::vector<std::string> suspend;
  /// Attempts whose deadline passed before they started.
  std::vector<std::string> expired;
  /// Attempts to pass to the engine.
  std::vector<std::string> start;

  bool operator==(const SchedulerActions&) const = default;
};

/// Decides what one replica's engine sees. Online work goes first: it takes
/// free slots at once and suspends batch streams when there are none. A long
/// online request waits while long ones hold their share of the slots, even if
/// batch streams run. A short request for which there is no batch stream to
/// suspend suspends a long one that may be resumed. Not thread-safe.
class ReplicaScheduler {
 public:
  /// `predictor` may be shared by the gates of one daemon.
  explicit ReplicaScheduler(ReplicaSchedulerOptions options,
                            std::shared_ptr<LengthPredictor> predictor =
                                std::make_shared<LengthPredictor>());

  /// Puts new options in force; streams that run are not cut off.
  SchedulerActions Configure(const ReplicaSchedulerOptions& changed,
                             TimePoint now);

  /// Takes new work.
  SchedulerActions Submit(const ScheduledWork& work, TimePoint now);

  /// Reports that a started attempt has ended at the engine. A suspended
  /// attempt that ended early stays queued; one that completed is dropped by
  /// Remove.
  SchedulerActions Finish(const std::string& attempt, TimePoint now);

  /// Drops an attempt that is queued or was suspended.
  SchedulerActions Remove(const std::string& attempt, TimePoint now);

  /// Advances time: drops expired work and starts what fits.
  SchedulerActions Tick(TimePoint now);

  /// Reports that a running attempt has delivered `tokens` tokens in all. The
  /// time between the tokens of online attempts bounds the batch occupancy,
  /// and an attempt that turns out long counts as long from then on.
  SchedulerActions ReportTokens(const std::string& attempt,
                                std::uint32_t tokens,
                                TimePoint now);

  /// Reports the length of a complete answer. Call before Finish.
  void ReportAnswer(const std::string& attempt, std::uint32_t tokens);

  /// Batch items that the daemon should ask the entries for.
  std::uint32_t BatchCapacity() const;

  std::uint32_t online_running() const;
  std::uint32_t batch_running() const;
  std::uint32_t online_waiting() const {
    return static_cast<std::uint32_t>(this->online_queue.size());
  }
  /// Long online attempts that hold a slot, also those that are being
  /// suspended.
  std::uint32_t long_running() const;
  /// Slots that long online attempts may hold.
  std::uint32_t long_slots() const;
  /// Slots that batch work leaves free now.
  std::uint32_t reserve(TimePoint now) const;

 private:
  struct Entry {
    ScheduledWork work;
    double predicted_tokens = 0;
    bool is_long = false;
    /// When it was queued last.
    TimePoint queued_at{};
    TimePoint started_at{};
    /// It has been at the engine, so it cannot expire as not run.
    bool has_started = false;
    std::uint32_t tokens = 0;
    TimePoint last_token{};
    bool has_token = false;
    TimePoint suspended_at{};
    bool is_complete = false;
  };
  using Queue = std::deque<Entry>;

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
  /// The online attempt to start next; the end if none may start.
  Queue::iterator ChooseOnline(TimePoint now);
  Queue::iterator ChooseBatch();
  std::map<std::string, Entry>::iterator ChooseBatchVictim();
  std::map<std::string, Entry>::iterator ChooseLongVictim(TimePoint now);
  /// Waiting online attempts that may take a slot as soon as one is free.
  std::uint32_t CountAdmissible() const;
  std::uint32_t CountWaitingShort() const;
  std::uint32_t CountLong(messages::WorkKind kind) const;
  std::uint32_t BatchLimit() const;
  void ObserveTokenTime(Duration time);
  /// True if the batch limit changed.
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
  /// Attempts that were told to stop but still hold their slot.
  std::map<std::string, Entry> suspending;

  /// Online arrivals per second, averaged over a second.
  double arrival_rate = 0;
  TimePoint last_arrival{};
  /// Batch items finished per second, averaged likewise.
  double batch_finish_rate = 0;
  TimePoint last_batch_finish{};
  /// Time from a suspension to the free slot, in seconds.
  double mean_suspension_seconds = 0;
  /// Time between online tokens, in seconds.
  double mean_token_seconds = 0;
  /// Batch streams allowed beside online streams.
  std::uint32_t batch_limit;
  TimePoint last_batch_limit_change{};
};

}  // namespace crocus

#endif  // LIBPOLICY_REPLICA_SCHEDULER_H_
