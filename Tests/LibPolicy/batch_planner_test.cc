#include "LibPolicy/batch_planner.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

constexpr std::int64_t kHourMs = 3600 * 1000;
constexpr std::uint32_t kPartition = 3;

}  // namespace

TEST_GROUP(BatchPlanner_OnePartition) {
  BatchPlanner planner;
  TimePoint now{std::chrono::seconds(100)};

  /// Assigns `count` items and returns how many each job got.
  std::map<std::string, int> AssignItems(std::vector<JobSummary> jobs,
                                         int count) {
    std::map<std::string, int> taken;
    for (int item = 0; item < count; ++item) {
      JobSummary& job =
          jobs[this->planner.NextJob(kPartition, jobs, this->now, 0)];
      --job.remaining_items;
      ++job.running_items;
      ++taken[job.job];
    }
    return taken;
  }

  /// Runs `count` items of one second, two at a time.
  void RunItems(int count) {
    for (int pair = 0; pair < count / 2; ++pair) {
      this->planner.OnStarted("a", kPartition, "done", this->now);
      this->planner.OnStarted("b", kPartition, "done", this->now);
      this->now += std::chrono::seconds(1);
      this->planner.OnEnded("a", true, this->now);
      this->planner.OnEnded("b", true, this->now);
    }
  }

  std::optional<FinishEstimate> Estimate(std::int64_t due_ms) {
    return this->planner.EstimateFinish(
        {{kPartition, {{.job = "other", .due_ms = 1, .remaining_items = 20}}}},
        kPartition, {.job = "j", .due_ms = due_ms, .remaining_items = 100},
        this->now, 0);
  }
};

// Guards against a job that waits for another job of its workspace that is due
// later.
TEST(BatchPlanner_OnePartition, JobDueEarlierGoesFirst) {
  const auto taken = this->AssignItems({{.job = "late",
                                         .workspace = "w",
                                         .due_ms = 2 * kHourMs,
                                         .remaining_items = 50},
                                        {.job = "early",
                                         .workspace = "w",
                                         .due_ms = kHourMs,
                                         .remaining_items = 10}},
                                       12);
  CHECK_EQUAL(10, taken.at("early"));
  CHECK_EQUAL(2, taken.at("late"));
}

// Guards against a workspace that starves another one by its number of jobs,
// and against workspace shares in the rules that have no effect.
TEST(BatchPlanner_OnePartition,
     WorkspaceWithManyJobsLeavesTheOthersTheirShare) {
  std::vector<JobSummary> jobs;
  for (int job = 0; job < 50; ++job) {
    jobs.push_back({.job = "many-" + std::to_string(job),
                    .workspace = "many",
                    .due_ms = kHourMs,
                    .remaining_items = 100});
  }
  jobs.push_back({.job = "single",
                  .workspace = "one",
                  .due_ms = 2 * kHourMs,
                  .remaining_items = 1000});
  CHECK_EQUAL(50, this->AssignItems(jobs, 100).at("single"));
  this->planner.SetRules({.workspaces = {{"one", {.share = 3}}}});
  CHECK_EQUAL(75, this->AssignItems(jobs, 100).at("single"));
}

// Guards against finish estimates before any item has been observed.
TEST(BatchPlanner_OnePartition, FinishIsUnknownUntilItemsRan) {
  CHECK_FALSE(this->Estimate(kHourMs).has_value());
  this->planner.OnStarted("a", kPartition, "done", this->now);
  this->now += std::chrono::milliseconds(10);
  this->planner.OnEnded("a", true, this->now);
  CHECK_FALSE(this->Estimate(kHourMs).has_value());
}

// Guards against estimating that a due time is met although the work ahead of
// the job takes longer.
TEST(BatchPlanner_OnePartition, FinishFollowsFromObservedThroughput) {
  this->RunItems(40);
  const auto estimate = this->Estimate(kHourMs);
  CHECK(estimate.has_value());
  // 120 items of one second, two at a time.
  DOUBLES_EQUAL(60000, static_cast<double>(estimate->finish_ms), 3000);
  CHECK(estimate->meets_due);
  CHECK_FALSE(this->Estimate(30000)->meets_due);
}

// Guards against a throughput estimate that decays while there is no work.
TEST(BatchPlanner_OnePartition, IdleTimeDoesNotChangeTheEstimate) {
  this->RunItems(40);
  const auto before = this->Estimate(kHourMs);
  this->now += std::chrono::hours(5);
  CHECK(before == this->Estimate(kHourMs));
}

// Guards against attempts that fail immediately and make items appear short.
TEST(BatchPlanner_OnePartition, FailedAttemptsDoNotCountAsItemTimes) {
  this->RunItems(40);
  const auto before = this->Estimate(kHourMs);
  this->planner.OnStarted("c", kPartition, "done", this->now);
  this->planner.OnEnded("c", false, this->now);
  CHECK(before == this->Estimate(kHourMs));
}

}  // namespace crocus
