#ifndef LIBPOLICY_BATCH_JOB_SCHEDULER_H_
#define LIBPOLICY_BATCH_JOB_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "LibServing/workspace_times.h"

namespace crocus {

/// State of a batch job, as recorded by the owner of its partition.
struct JobSummary {
  std::string job;
  std::string workspace;
  /// Milliseconds since the Unix epoch.
  std::int64_t due_ms = 0;
  /// Items that are not assigned yet.
  std::uint64_t remaining_items = 0;
  /// Items that are assigned and not finished.
  std::uint64_t running_items = 0;
  /// Expected slot time of one item, in seconds.
  double item_seconds = 1;

  bool operator==(const JobSummary&) const = default;
};

struct BatchJobSchedulerOptions {
  /// Weight of each workspace (WorkspaceRule::share); 1 if it is not listed.
  std::map<std::string, double> shares;
  /// Maximum share of the running items that may be long while short items
  /// wait.
  double long_share = 0.5;

  bool operator==(const BatchJobSchedulerOptions&) const = default;
};

struct FinishEstimate {
  /// Time at which the last item of the job finishes, in milliseconds since the
  /// Unix epoch.
  std::int64_t finish_ms = 0;
  bool meets_due = false;
  /// The first job that would miss its due time because of this one; empty if
  /// there is none.
  std::string delayed_job;

  bool operator==(const FinishEstimate&) const = default;
};

/// Chooses the batch job whose next item is assigned. Workspaces are served in
/// proportion to their shares; within a workspace, the job with the earliest
/// due time goes first. A job that would otherwise miss its due time goes first
/// as long as its workspace is not too far ahead of the others. Not
/// thread-safe.
class BatchJobScheduler {
 public:
  explicit BatchJobScheduler(BatchJobSchedulerOptions options);

  void Configure(const BatchJobSchedulerOptions& new_options) {
    this->options = new_options;
  }

  /// Returns the index of the job to take the next item from and counts the
  /// item as assigned; nothing if no job has items left. `throughput` is the
  /// observed rate in slot seconds of finished items per second; 0 if it is not
  /// known yet.
  std::optional<std::size_t> NextJob(std::span<const JobSummary> jobs,
                                     double throughput,
                                     std::int64_t now_ms);

  /// Estimates when `candidate` finishes if it runs along with the accepted
  /// `jobs`, which do not contain it, and whether it meets its due time.
  /// Assumes that jobs finish in the sequence of their due times, and that
  /// accepted jobs with the due time of the candidate finish before it.
  FinishEstimate EstimateFinish(std::span<const JobSummary> jobs,
                                const JobSummary& candidate,
                                double throughput,
                                std::int64_t now_ms) const;

 private:
  double Share(const std::string& workspace) const;
  bool IsLong(const JobSummary& job, double median_seconds) const;

  BatchJobSchedulerOptions options;
  /// Slot seconds assigned to each workspace, weighted by its share. The common
  /// time is the highest one at which a workspace was served for a job that was
  /// not urgent.
  WorkspaceTimes times;
};

}  // namespace crocus

#endif  // LIBPOLICY_BATCH_JOB_SCHEDULER_H_
