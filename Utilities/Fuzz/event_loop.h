#ifndef FUZZ_EVENT_LOOP_H_
#define FUZZ_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "LibCore/time.h"

namespace crocus {

/// State of a simulated process. Events for an earlier incarnation are dropped;
/// events for a paused process are delayed until it resumes.
struct NodeState {
  std::uint64_t incarnation = 0;
  bool is_alive = true;
  TimePoint paused_until{};
};

/// Runs events in virtual time. Events of the same time run in the order in
/// which they were added, including events that a pause has delayed.
class EventLoop {
 public:
  TimePoint now() const { return this->current; }
  std::uint64_t steps() const { return this->step_count; }

  /// Runs `action` after the delay, independent of any process.
  void ScheduleAfter(Duration delay, std::function<void()> action) {
    this->events.emplace(Key(this->current + delay, this->next_number++),
                         std::move(action));
  }

  /// Runs `action` after the delay, unless the process has ended or restarted
  /// by then.
  void Post(const NodeState& node,
            Duration delay,
            std::function<void()> action) {
    this->Post(node, node.incarnation, delay, std::move(action));
  }

  /// Runs `action` after the delay if the process is then alive and has this
  /// incarnation.
  void Post(const NodeState& node,
            std::uint64_t incarnation,
            Duration delay,
            std::function<void()> action) {
    const Key key(this->current + delay, this->next_number++);
    this->Schedule(key, node, incarnation, std::move(action));
  }

  /// Runs the next event. There must be one; periodic events ensure that.
  void RunOne() {
    auto event = this->events.extract(this->events.begin());
    this->current = event.key().first;
    ++this->step_count;
    event.mapped()();
  }

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;

  void Schedule(Key key,
                const NodeState& node,
                std::uint64_t incarnation,
                std::function<void()> action) {
    this->events.emplace(
        key, [this, key, &node, incarnation, action = std::move(action)] {
          if (!node.is_alive || node.incarnation != incarnation) {
            return;
          }
          if (node.paused_until > this->current) {
            this->Schedule(Key(node.paused_until, key.second), node,
                           incarnation, action);
            return;
          }
          action();
        });
  }

  TimePoint current{Duration(1)};
  std::uint64_t next_number = 0;
  std::uint64_t step_count = 0;
  std::map<Key, std::function<void()>> events;
};

}  // namespace crocus

#endif  // FUZZ_EVENT_LOOP_H_
