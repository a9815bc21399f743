#ifndef LIBPOLICY_BATCH_JOB_SCHEDULER_H_
#define LIBPOLICY_BATCH_JOB_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace crocus {

/// A batch job as its partition owner sees it.
struct JobSummary {
  std::string job;
  std::string workspace;
  /// Milliseconds since the Unix epoch.
  std::int64_t due_ms = 0;
  /// Items that were not handed out yet.
  std::uint64_t remaining_items = 0;
  /// Items handed out and not finished.
  std::uint64_t running_items = 0;
  /// Expected slot time of one item.
  double item_seconds = 1;

  bool operator==(const JobSummary&) const = default;
};

struct BatchJobSchedulerOptions {
  /// Weight of each workspace (WorkspaceRule::share); 1 if it is not listed.
  std::map<std::string, double> shares;
  /// Largest share of the running items that long items may have while short
  /// ones wait.
  double long_share = 0.5;

  bool operator==(const BatchJobSchedulerOptions&) const = default;
};

struct FinishEstimate {
  /// When the last item of the job finishes, milliseconds since the Unix
  /// epoch.
  std::int64_t finish_ms = 0;
  bool meets_due = false;
  /// The first job that would miss its due time because of this one; empty if
  /// there is none.
  std::string delayed_job;

  bool operator==(const FinishEstimate&) const = default;
};

/// Orders the items of batch jobs. Workspaces are served by share; within a
/// workspace the job due first goes first. A job that would miss its due time
/// otherwise goes before its turn, within a bound on how far its workspace may
/// run ahead. Not thread-safe.
class BatchJobScheduler {
 public:
  explicit BatchJobScheduler(BatchJobSchedulerOptions options);

  void Configure(const BatchJobSchedulerOptions& changed) {
    this->options = changed;
  }

  /// Index of the job to take the next item from; the item counts as handed
  /// out. Nothing if no job has items left. `throughput` is the observed rate,
  /// slot seconds of items finished per second; 0 if it is not known yet.
  std::optional<std::size_t> NextJob(std::span<const JobSummary> jobs,
                                     double throughput,
                                     std::int64_t now_ms);

  /// Whether `candidate` would meet its due time beside the accepted `jobs`,
  /// which do not contain it. Every job due earlier is finished first.
  FinishEstimate EstimateFinish(std::span<const JobSummary> jobs,
                                const JobSummary& candidate,
                                double throughput,
                                std::int64_t now_ms) const;

 private:
  double Share(const std::string& workspace) const;
  bool IsLong(const JobSummary& job, double median_seconds) const;

  BatchJobSchedulerOptions options;
  /// Slot seconds handed out to each workspace, divided by its share. Where a
  /// workspace starts that was away: at the virtual time.
  std::map<std::string, double> workspace_times;
  /// Turn of the workspace that was served last in its turn.
  double virtual_time = 0;
};

}  // namespace crocus

#endif  // LIBPOLICY_BATCH_JOB_SCHEDULER_H_
