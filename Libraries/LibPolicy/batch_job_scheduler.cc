#include "LibPolicy/batch_job_scheduler.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>
#include <vector>

namespace crocus {

namespace {

/// An item is long if its time is at least this multiple of the median over the
/// jobs.
constexpr double kLongFactor = 8;

/// Virtual time (slot seconds divided by the share) that a workspace may run
/// ahead of the others because of an urgent job.
constexpr double kMaximumUrgentLead = 600;

/// A job is urgent if the time until it is due is below this multiple of the
/// time it needs. The margin is there because the throughput varies with the
/// online load.
constexpr double kUrgencyMargin = 1.25;

constexpr double kMillisecondsPerSecond = 1000;

double RemainingSeconds(const JobSummary& job) {
  return static_cast<double>(job.remaining_items + job.running_items) *
         job.item_seconds;
}

/// Median of the item times of the jobs with items left.
double MedianItemSeconds(std::span<const JobSummary> jobs) {
  std::vector<double> seconds;
  for (const auto& job : jobs) {
    if (job.remaining_items + job.running_items > 0) {
      seconds.push_back(job.item_seconds);
    }
  }
  if (seconds.empty()) {
    return 0;
  }
  // Uses the lower median: with two jobs, the shorter item time counts as
  // typical.
  const auto middle =
      seconds.begin() + static_cast<std::ptrdiff_t>((seconds.size() - 1) / 2);
  std::nth_element(seconds.begin(), middle, seconds.end());
  return *middle;
}

}  // namespace

BatchJobScheduler::BatchJobScheduler(BatchJobSchedulerOptions options)
    : options(std::move(options)) {}

std::optional<std::size_t> BatchJobScheduler::NextJob(
    std::span<const JobSummary> jobs,
    double throughput,
    std::int64_t now_ms) {
  const double median_seconds = MedianItemSeconds(jobs);
  // Both counts start at 1, as if a long item were assigned now.
  double running = 1;
  double running_long = 1;
  bool has_short = false;
  for (const auto& job : jobs) {
    const bool is_long = this->IsLong(job, median_seconds);
    running += static_cast<double>(job.running_items);
    running_long += is_long ? static_cast<double>(job.running_items) : 0;
    has_short = has_short || (job.remaining_items > 0 && !is_long);
  }
  const bool excludes_long =
      has_short && running_long > this->options.long_share * running;

  std::optional<std::size_t> best;
  std::tuple<bool, double, std::int64_t, double> best_rank;
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    const JobSummary& job = jobs[index];
    if (job.remaining_items == 0 ||
        (excludes_long && this->IsLong(job, median_seconds))) {
      continue;
    }
    const double workspace_time = this->times.TimeOf(job.workspace);
    const double remaining_seconds =
        static_cast<double>(job.due_ms - now_ms) / kMillisecondsPerSecond;
    const double needed_seconds =
        throughput > 0 ? RemainingSeconds(job) / throughput : 0;
    // A job past its due time is not urgent: it cannot meet that time any more,
    // while other jobs still can.
    const bool is_urgent =
        remaining_seconds > 0 &&
        remaining_seconds < needed_seconds * kUrgencyMargin &&
        workspace_time < this->times.time() + kMaximumUrgentLead;
    const std::tuple rank{
        !is_urgent,
        is_urgent ? remaining_seconds - needed_seconds : workspace_time,
        job.due_ms, RemainingSeconds(job)};
    if (!best || rank < best_rank) {
      best = index;
      best_rank = rank;
    }
  }
  if (best) {
    const JobSummary& job = jobs[*best];
    const double workspace_time = this->times.TimeOf(job.workspace);
    if (const bool is_urgent = !std::get<0>(best_rank); !is_urgent) {
      this->times.AdvanceTo(workspace_time);
    }
    this->times.Count(job.workspace, job.item_seconds,
                      this->Share(job.workspace));
  }
  return best;
}

FinishEstimate BatchJobScheduler::EstimateFinish(
    std::span<const JobSummary> jobs,
    const JobSummary& candidate,
    double throughput,
    std::int64_t now_ms) const {
  if (throughput <= 0) {
    return {.finish_ms = std::numeric_limits<std::int64_t>::max()};
  }
  std::vector<const JobSummary*> sorted_jobs;
  for (const auto& job : jobs) {
    sorted_jobs.push_back(&job);
  }
  std::stable_sort(sorted_jobs.begin(), sorted_jobs.end(),
                   [](const JobSummary* left, const JobSummary* right) {
                     return left->due_ms < right->due_ms;
                   });
  sorted_jobs.insert(
      std::upper_bound(sorted_jobs.begin(), sorted_jobs.end(), &candidate,
                       [](const JobSummary* left, const JobSummary* right) {
                         return left->due_ms < right->due_ms;
                       }),
      &candidate);
  FinishEstimate estimate;
  const double candidate_seconds = RemainingSeconds(candidate);
  double cumulative_seconds = 0;
  bool is_after_candidate = false;
  const auto finish_after = [&](double seconds) {
    return now_ms + static_cast<std::int64_t>(seconds / throughput *
                                              kMillisecondsPerSecond);
  };
  for (const JobSummary* job : sorted_jobs) {
    cumulative_seconds += RemainingSeconds(*job);
    const std::int64_t finish = finish_after(cumulative_seconds);
    if (job == &candidate) {
      estimate.finish_ms = finish;
      estimate.meets_due = finish <= candidate.due_ms;
      is_after_candidate = true;
    } else if (is_after_candidate && estimate.delayed_job.empty() &&
               finish > job->due_ms &&
               finish_after(cumulative_seconds - candidate_seconds) <=
                   job->due_ms) {
      estimate.delayed_job = job->job;
    }
  }
  return estimate;
}

double BatchJobScheduler::Share(const std::string& workspace) const {
  const auto found = this->options.shares.find(workspace);
  // A share of 0 must not block a workspace permanently.
  constexpr double kMinimumShare = 0.001;
  return found == this->options.shares.end()
             ? 1
             : std::max(found->second, kMinimumShare);
}

bool BatchJobScheduler::IsLong(const JobSummary& job,
                               double median_seconds) const {
  return job.item_seconds >= kLongFactor * median_seconds;
}

}  // namespace crocus
