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

/// Chooses among the batch jobs of the partitions that this entry owns, using
/// the shares in force and the observed item times and throughput. Sets
/// JobSummary::item_seconds of the jobs itself. Not thread-safe.
class BatchPlanner {
 public:
  void SetRules(const RuleSet& rules);

  /// Returns the index of the partition's next job; `jobs` must not be empty.
  std::size_t NextJob(std::uint32_t partition,
                      const std::vector<JobSummary>& jobs,
                      TimePoint now,
                      std::int64_t unix_ms);

  void OnStarted(const std::string& attempt,
                 std::uint32_t partition,
                 const std::string& job,
                 TimePoint now);
  /// `is_finished` is false if the attempt did not finish its item; its time is
  /// then ignored.
  void OnEnded(const std::string& attempt, bool is_finished, TimePoint now);

  /// Estimates when `candidate` finishes if it runs along with the other open
  /// `jobs` of this entry, listed by partition. Returns nothing until items
  /// have run for long enough.
  std::optional<FinishEstimate> EstimateFinish(
      const std::map<std::uint32_t, std::vector<JobSummary>>& jobs,
      std::uint32_t partition,
      const JobSummary& candidate,
      TimePoint now,
      std::int64_t unix_ms) const;

 private:
  struct PartitionPlan {
    BatchJobScheduler scheduler{BatchJobSchedulerOptions{}};
    /// Observed mean slot time of an item of each job, in seconds.
    std::map<std::string, double> item_seconds;
  };
  struct RunningItem {
    std::uint32_t partition = 0;
    std::string job;
    TimePoint start;
  };

  JobSummary WithItemSeconds(std::uint32_t partition, JobSummary job) const;
  /// Returns the slot seconds of finished items per second in which items ran;
  /// 0 if that is not known yet.
  double Throughput(TimePoint now) const;
  /// Returns the factor by which past observations have decayed at `now`. They
  /// do not decay while nothing runs.
  double DecayFactor(TimePoint now) const;

  BatchJobSchedulerOptions options;
  // Each partition has a scheduler of its own. A shared virtual time would
  // advance with the partition that is served most and hide the differences
  // between the workspaces of the others.
  std::map<std::uint32_t, PartitionPlan> plans;
  std::map<std::string, RunningItem> running;
  /// Mean item time over all jobs, in seconds; used for jobs without observed
  /// items. 0 before the first item has finished.
  double mean_seconds = 0;
  /// Decayed slot seconds finished per second; Throughput divides them by the
  /// weight of the observed time.
  double finished_seconds = 0;
  /// Weight of the observed time in the decaying average, from 0 to 1.
  double observed_weight = 0;
  TimePoint last_change{};
};

}  // namespace crocus

#endif  // LIBPOLICY_BATCH_PLANNER_H_
