#ifndef LIBSIMULATION_PASS_THROUGH_SCHEDULER_H_
#define LIBSIMULATION_PASS_THROUGH_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <string>

#include "LibPolicy/replica_scheduler.h"

namespace crocus {

/// Baseline that the reports call "no gate": starts all work at the engine as
/// it arrives.
class PassThroughScheduler {
 public:
  explicit PassThroughScheduler(ReplicaSchedulerOptions options)
      : options(options) {}

  SchedulerActions Submit(const ScheduledWork& work, TimePoint) {
    this->attempts[work.attempt] = work.kind;
    return {.start = {work.attempt}};
  }
  SchedulerActions Finish(const std::string& attempt, TimePoint) {
    this->attempts.erase(attempt);
    return {};
  }
  SchedulerActions Remove(const std::string& attempt, TimePoint) {
    this->attempts.erase(attempt);
    return {};
  }
  SchedulerActions Tick(TimePoint) { return {}; }
  SchedulerActions ReportTokens(const std::string&, std::uint32_t, TimePoint) {
    return {};
  }
  void ReportAnswer(const std::string&, std::uint32_t) {}

  std::uint32_t BatchCapacity() const {
    const std::size_t capacity =
        this->options.slots + this->options.batch_backlog;
    return static_cast<std::uint32_t>(this->attempts.size() >= capacity
                                          ? 0
                                          : capacity - this->attempts.size());
  }

 private:
  const ReplicaSchedulerOptions options;
  std::map<std::string, messages::WorkKind> attempts;
};

}  // namespace crocus

#endif  // LIBSIMULATION_PASS_THROUGH_SCHEDULER_H_
