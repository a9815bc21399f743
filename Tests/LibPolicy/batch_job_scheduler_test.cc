#include "LibPolicy/batch_job_scheduler.h"

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

constexpr std::int64_t kHourMs = 3600 * 1000;

/// Assigns up to `count` items and returns how many each job got.
std::map<std::string, int> AssignItems(BatchJobScheduler& scheduler,
                                       std::vector<JobSummary> jobs,
                                       int count,
                                       double throughput = 0) {
  std::map<std::string, int> taken;
  for (int item = 0; item < count; ++item) {
    const auto chosen = scheduler.NextJob(jobs, throughput, 0);
    if (!chosen) {
      break;
    }
    --jobs[*chosen].remaining_items;
    ++taken[jobs[*chosen].job];
  }
  return taken;
}

}  // namespace

TEST_GROUP(BatchJobScheduler_SeveralWorkspaces){};

// Guards against a workspace that gets more than its share by submitting more
// jobs.
TEST(BatchJobScheduler_SeveralWorkspaces, ItemsFollowTheShares) {
  BatchJobScheduler scheduler({.shares = {{"press", 3}, {"shade", 1}}});
  const auto taken = AssignItems(scheduler,
                                 {{.job = "p",
                                   .workspace = "press",
                                   .due_ms = kHourMs,
                                   .remaining_items = 1000},
                                  {.job = "s1",
                                   .workspace = "shade",
                                   .due_ms = kHourMs,
                                   .remaining_items = 1000},
                                  {.job = "s2",
                                   .workspace = "shade",
                                   .due_ms = kHourMs,
                                   .remaining_items = 1000}},
                                 400);
  CHECK_EQUAL(300, taken.at("p"));
}

// Guards against a job that misses its due time while other jobs have time
// left.
TEST(BatchJobScheduler_SeveralWorkspaces, UrgentJobGoesFirst) {
  BatchJobScheduler scheduler(BatchJobSchedulerOptions{});
  const auto taken = AssignItems(scheduler,
                                 {{.job = "later",
                                   .workspace = "press",
                                   .due_ms = kHourMs,
                                   .remaining_items = 1000},
                                  {.job = "urgent",
                                   .workspace = "shade",
                                   .due_ms = 110000,
                                   .remaining_items = 100}},
                                 10, /*throughput=*/1);
  CHECK_EQUAL(10, taken.at("urgent"));
}

TEST_GROUP(BatchJobScheduler_OneWorkspace){};

TEST(BatchJobScheduler_OneWorkspace, JobDueFirstGoesFirst) {
  BatchJobScheduler scheduler(BatchJobSchedulerOptions{});
  const auto taken =
      AssignItems(scheduler,
                  {{.job = "b", .due_ms = 2 * kHourMs, .remaining_items = 5},
                   {.job = "a", .due_ms = kHourMs, .remaining_items = 5}},
                  5);
  CHECK_EQUAL(5, taken.at("a"));
}

// Guards against long items that occupy every slot while short ones wait.
TEST(BatchJobScheduler_OneWorkspace, LongItemsLeaveCapacityForShortOnes) {
  BatchJobScheduler scheduler({.long_share = 0.5});
  std::vector<JobSummary> jobs = {
      {.job = "long",
       .due_ms = kHourMs,
       .remaining_items = 100,
       .item_seconds = 30},
      {.job = "short", .due_ms = 2 * kHourMs, .remaining_items = 100}};
  for (int item = 0; item < 40; ++item) {
    const auto chosen = scheduler.NextJob(jobs, 0, 0);
    CHECK(chosen.has_value());
    --jobs[*chosen].remaining_items;
    ++jobs[*chosen].running_items;
  }
  CHECK(jobs[0].running_items <= 20);
  CHECK(jobs[0].running_items >= 19);
}

// Guards against items that are never assigned, and against choosing a job
// without items.
TEST(BatchJobScheduler_OneWorkspace, EveryItemOfRandomJobsIsAssignedOnce) {
  CHECK(rc::check([] {
    BatchJobScheduler scheduler(BatchJobSchedulerOptions{});
    std::vector<JobSummary> jobs;
    int total = 0;
    for (int job = 0; job < *rc::gen::inRange(1, 6); ++job) {
      const auto items = *rc::gen::inRange(0, 20);
      total += items;
      jobs.push_back({.job = std::to_string(job),
                      .workspace = std::to_string(*rc::gen::inRange(0, 3)),
                      .due_ms = *rc::gen::inRange(-10, 10) * kHourMs,
                      .remaining_items = static_cast<std::uint64_t>(items),
                      .item_seconds = *rc::gen::inRange(1, 50) / 10.0});
    }
    int assigned = 0;
    for (const auto& [job, count] :
         AssignItems(scheduler, jobs, total + 1, *rc::gen::inRange(0, 5))) {
      RC_ASSERT(count ==
                static_cast<int>(jobs[std::stoul(job)].remaining_items));
      assigned += count;
    }
    RC_ASSERT(assigned == total);
  }));
}

TEST_GROUP(BatchJobScheduler_Admission) {
  BatchJobScheduler scheduler{BatchJobSchedulerOptions{}};
  std::vector<JobSummary> accepted = {
      {.job = "first", .due_ms = 100000, .remaining_items = 50},
      {.job = "last", .due_ms = 200000, .remaining_items = 140}};
};

TEST(BatchJobScheduler_Admission, WorkDueEarlierCountsAgainstTheCandidate) {
  const auto estimate = this->scheduler.EstimateFinish(
      this->accepted, {.job = "new", .due_ms = 110000, .remaining_items = 60},
      1, 0);
  CHECK_EQUAL(110000, estimate.finish_ms);
  CHECK(estimate.meets_due);
}

// Guards against admitting a job that makes an accepted job miss its due time.
TEST(BatchJobScheduler_Admission, AcceptedJobThatWouldBeLateIsReported) {
  const auto estimate = this->scheduler.EstimateFinish(
      this->accepted, {.job = "new", .due_ms = 150000, .remaining_items = 20},
      1, 0);
  CHECK(estimate.meets_due);
  STRCMP_EQUAL("last", estimate.delayed_job.c_str());
}

TEST(BatchJobScheduler_Admission, UnknownThroughputNeverMeetsTheDueTime) {
  CHECK_FALSE(
      this->scheduler
          .EstimateFinish({}, {.due_ms = kHourMs, .remaining_items = 1}, 0, 0)
          .meets_due);
}

}  // namespace crocus
