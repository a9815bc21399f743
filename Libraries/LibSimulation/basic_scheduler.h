#ifndef LIBSIMULATION_BASIC_SCHEDULER_H_
#define LIBSIMULATION_BASIC_SCHEDULER_H_

#include <cstdint>
#include <string>

#include "LibPolicy/replica_scheduler.h"

namespace crocus {

/// Baseline that the reports call "first gate": a ReplicaScheduler that
/// reserves no slots for online work, has no limit of batch occupancy and
/// treats long requests like the others. Online work suspends batch streams and
/// starts in order of arrival.
class BasicScheduler : private ReplicaScheduler {
 public:
  explicit BasicScheduler(const ReplicaSchedulerOptions& options)
      : ReplicaScheduler({.slots = options.slots,
                          .batch_backlog = options.batch_backlog,
                          .reserve_slots = 0,
                          .long_share = 1,
                          .token_target = Duration{0}}) {}

  using ReplicaScheduler::BatchCapacity;
  using ReplicaScheduler::Finish;
  using ReplicaScheduler::Remove;
  using ReplicaScheduler::Submit;
  using ReplicaScheduler::Tick;
  SchedulerActions ReportTokens(const std::string&, std::uint32_t, TimePoint) {
    return {};
  }
  /// Not forwarded: without observed answers, no request is predicted to be
  /// long.
  void ReportAnswer(const std::string&, std::uint32_t) {}
};

}  // namespace crocus

#endif  // LIBSIMULATION_BASIC_SCHEDULER_H_
