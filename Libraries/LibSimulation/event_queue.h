#ifndef LIBSIMULATION_EVENT_QUEUE_H_
#define LIBSIMULATION_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// Runs actions in virtual time. Actions with the same due time run in the
/// order in which they were added, so a run depends only on its inputs.
class EventQueue {
 public:
  using Action = std::function<void()>;

  TimePoint now() const { return this->time; }

  /// Adds an action. A due time in the past counts as now.
  void ScheduleAt(TimePoint due, Action action) {
    this->actions.push({.due = due < this->time ? this->time : due,
                        .sequence = this->next_sequence++,
                        .action = std::move(action)});
  }
  void ScheduleAfter(Duration delay, Action action) {
    this->ScheduleAt(this->time + delay, std::move(action));
  }

  /// Runs all actions that are due at or before `end`, including those that are
  /// added meanwhile, and sets the time to `end`.
  void RunUntil(TimePoint end) {
    while (!this->actions.empty() && this->actions.top().due <= end) {
      // Copied, because the action may add further actions, which can change
      // the top of the queue.
      const ScheduledAction next = this->actions.top();
      this->actions.pop();
      this->time = next.due;
      next.action();
    }
    this->time = end;
  }

 private:
  struct ScheduledAction {
    TimePoint due;
    std::uint64_t sequence;
    Action action;

    bool operator<(const ScheduledAction& other) const {
      return std::pair(other.due, other.sequence) <
             std::pair(this->due, this->sequence);
    }
  };

  TimePoint time{};
  std::uint64_t next_sequence = 0;
  std::priority_queue<ScheduledAction> actions;
};

}  // namespace crocus

#endif  // LIBSIMULATION_EVENT_QUEUE_H_
