#ifndef LIBPOLICY_BATCH_PLANNER_H_
#define LIBPOLICY_BATCH_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibPolicy/batch_job_scheduler.h"
#include "LibRules/rule_set.h"

namespace crocus {

/// Orders the batch jobs of the partitions that this entry owns, by the shares
/// in force and by what it observes of their items. Sets JobSummary::
/// item_seconds of the jobs itself. Not thread-safe.
class BatchPlanner {
 public:
  void SetRules(const RuleSet& rules);

  /// The partition's next job; `jobs` is not empty.
  std::size_t NextJob(std::uint32_t partition,
                      const std::vector<JobSummary>& jobs,
                      TimePoint now,
                      std::int64_t unix_ms);

  void OnStarted(const std::string& attempt,
                 std::uint32_t partition,
                 const std::string& job,
                 TimePoint now);
  /// An attempt that did not finish its item says nothing about the job's item
  /// time.
  void OnEnded(const std::string& attempt, bool is_finished, TimePoint now);

  /// When `candidate` finishes beside the other open `jobs` of this entry, by
  /// partition. Nothing until items ran for long enough.
  std::optional<FinishEstimate> EstimateFinish(
      const std::map<std::uint32_t, std::vector<JobSummary>>& jobs,
      std::uint32_t partition,
      const JobSummary& candidate,
      TimePoint now,
      std::int64_t unix_ms) const;

 private:
  struct PartitionPlan {
    BatchJobScheduler scheduler{BatchJobSchedulerOptions{}};
    /// Observed slot time of an item of each job, in seconds.
    std::map<std::string, double> item_seconds;
  };
  struct RunningItem {
    std::uint32_t partition = 0;
    std::string job;
    TimePoint start;
  };

  JobSummary WithItemSeconds(std::uint32_t partition, JobSummary job) const;
  /// Slot seconds finished per second in which items ran; 0 if not known yet.
  double Throughput(TimePoint now) const;
  /// What of the past counts at `now`. It does not fade while nothing runs.
  double DecayUntil(TimePoint now) const;

  BatchJobSchedulerOptions options;
  // A virtual time shared by partitions would move with the one that is served
  // most and level the differences between the workspaces of the others.
  std::map<std::uint32_t, PartitionPlan> plans;
  std::map<std::string, RunningItem> running;
  /// Mean over the items of all jobs, for jobs without one; 0 before the first.
  double mean_seconds = 0;
  double finished_seconds = 0;
  /// Weight of the time observed, from 0 to 1.
  double observed_weight = 0;
  TimePoint last_change{};
};

}  // namespace crocus

#endif  // LIBPOLICY_BATCH_PLANNER_H_
