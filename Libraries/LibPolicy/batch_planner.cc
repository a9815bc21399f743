#include "LibPolicy/batch_planner.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace crocus {

namespace {

/// Time constant of the throughput average; idle capacity changes within
/// seconds.
constexpr double kWindowSeconds = 30;

/// Time with running items after which the throughput counts as known. Right
/// after a start, few items have ended and the rate would be far too low.
constexpr double kMinimumObservedSeconds = 2;

/// Weight of the newest item time in the mean.
constexpr double kItemTimeWeight = 0.1;

/// Item times of jobs that have no items to assign are removed once there are
/// more than this many.
constexpr std::size_t kMaximumInactiveJobs = 256;

void UpdateMean(double& mean, double seconds) {
  mean = mean <= 0 ? seconds : mean + (seconds - mean) * kItemTimeWeight;
}

}  // namespace

void BatchPlanner::SetRules(const RuleSet& rules) {
  BatchJobSchedulerOptions new_options;
  for (const auto& [name, rule] : rules.workspaces) {
    new_options.shares[name] = rule.share;
  }
  this->options = new_options;
  for (auto& [partition, plan] : this->plans) {
    plan.scheduler.Configure(new_options);
  }
}

std::size_t BatchPlanner::NextJob(std::uint32_t partition,
                                  const std::vector<JobSummary>& jobs,
                                  TimePoint now,
                                  std::int64_t unix_ms) {
  const auto [entry, is_new] = this->plans.try_emplace(partition);
  PartitionPlan& plan = entry->second;
  if (is_new) {
    plan.scheduler.Configure(this->options);
  }
  if (plan.item_seconds.size() > jobs.size() + kMaximumInactiveJobs) {
    std::erase_if(plan.item_seconds, [&jobs](const auto& item) {
      return std::none_of(
          jobs.begin(), jobs.end(),
          [&item](const JobSummary& job) { return job.job == item.first; });
    });
  }
  std::vector<JobSummary> summaries;
  for (const auto& job : jobs) {
    summaries.push_back(this->WithItemSeconds(partition, job));
  }
  return plan.scheduler.NextJob(summaries, this->Throughput(now), unix_ms)
      .value_or(0);
}

void BatchPlanner::OnStarted(const std::string& attempt,
                             std::uint32_t partition,
                             const std::string& job,
                             TimePoint now) {
  if (this->running.empty()) {
    this->last_change = now;
  }
  this->running[attempt] = {.partition = partition, .job = job, .start = now};
}

void BatchPlanner::OnEnded(const std::string& attempt,
                           bool is_finished,
                           TimePoint now) {
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return;
  }
  const double decay = this->DecayFactor(now);
  this->finished_seconds *= decay;
  this->observed_weight = this->observed_weight * decay + (1 - decay);
  this->last_change = now;
  if (is_finished) {
    const double seconds = ToSeconds(now - found->second.start);
    this->finished_seconds += seconds / kWindowSeconds;
    UpdateMean(this->mean_seconds, seconds);
    UpdateMean(
        this->plans[found->second.partition].item_seconds[found->second.job],
        seconds);
  }
  this->running.erase(found);
}

std::optional<FinishEstimate> BatchPlanner::EstimateFinish(
    const std::map<std::uint32_t, std::vector<JobSummary>>& jobs,
    std::uint32_t partition,
    const JobSummary& candidate,
    TimePoint now,
    std::int64_t unix_ms) const {
  const double throughput = this->Throughput(now);
  if (throughput <= 0) {
    return std::nullopt;
  }
  std::vector<JobSummary> summaries;
  for (const auto& [number, open_jobs] : jobs) {
    for (const auto& job : open_jobs) {
      if (job.job != candidate.job) {
        summaries.push_back(this->WithItemSeconds(number, job));
      }
    }
  }
  return BatchJobScheduler(this->options)
      .EstimateFinish(summaries, this->WithItemSeconds(partition, candidate),
                      throughput, unix_ms);
}

JobSummary BatchPlanner::WithItemSeconds(std::uint32_t partition,
                                         JobSummary job) const {
  job.item_seconds = this->mean_seconds > 0 ? this->mean_seconds : 1;
  if (const auto plan = this->plans.find(partition);
      plan != this->plans.end()) {
    const auto found = plan->second.item_seconds.find(job.job);
    if (found != plan->second.item_seconds.end()) {
      job.item_seconds = found->second;
    }
  }
  return job;
}

double BatchPlanner::Throughput(TimePoint now) const {
  const double decay = this->DecayFactor(now);
  const double weight = this->observed_weight * decay + (1 - decay);
  const double minimum_weight =
      1 - std::exp(-kMinimumObservedSeconds / kWindowSeconds);
  return weight < minimum_weight ? 0 : this->finished_seconds * decay / weight;
}

double BatchPlanner::DecayFactor(TimePoint now) const {
  return this->running.empty()
             ? 1
             : std::exp(-ToSeconds(now - this->last_change) / kWindowSeconds);
}

}  // namespace crocus
