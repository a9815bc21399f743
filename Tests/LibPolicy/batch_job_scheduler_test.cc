#include "LibPolicy/batch_job_scheduler.h"

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

constexpr std::int64_t kHourMs = 3600 * 1000;

/// Hands out `count` items and returns how many each job got.
std::map<std::string, int> HandOut(BatchJobScheduler& order,
                                   std::vector<JobSummary> jobs,
                                   int count,
                                   double throughput = 0) {
  std::map<std::string, int> taken;
  for (int item = 0; item < count; ++item) {
    const auto chosen = order.NextJob(jobs, throughput, 0);
    if (!chosen) {
      break;
    }
    --jobs[*chosen].remaining_items;
    ++taken[jobs[*chosen].job];
  }
  return taken;
}

}  // namespace

TEST_GROUP(BatchOrder_SeveralWorkspaces){};

// Guards against a workspace that starves the others by the number of its
// jobs.
TEST(BatchOrder_SeveralWorkspaces, ItemsFollowTheShares) {
  BatchJobScheduler order({.shares = {{"press", 3}, {"shade", 1}}});
  const auto taken = HandOut(order,
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

// Guards against a job that misses its due time while others have time left.
TEST(BatchOrder_SeveralWorkspaces, UrgentJobGoesBeforeItsTurn) {
  BatchJobScheduler order(BatchJobSchedulerOptions{});
  const auto taken = HandOut(order,
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

TEST_GROUP(BatchOrder_OneWorkspace){};

TEST(BatchOrder_OneWorkspace, JobDueFirstGoesFirst) {
  BatchJobScheduler order(BatchJobSchedulerOptions{});
  const auto taken =
      HandOut(order,
              {{.job = "b", .due_ms = 2 * kHourMs, .remaining_items = 5},
               {.job = "a", .due_ms = kHourMs, .remaining_items = 5}},
              5);
  CHECK_EQUAL(5, taken.at("a"));
}

// Guards against long items that take every slot while short ones wait.
TEST(BatchOrder_OneWorkspace, LongItemsLeaveRoomForShortOnes) {
  BatchJobScheduler order({.long_share = 0.5});
  std::vector<JobSummary> jobs = {
      {.job = "long",
       .due_ms = kHourMs,
       .remaining_items = 100,
       .item_seconds = 30},
      {.job = "short", .due_ms = 2 * kHourMs, .remaining_items = 100}};
  for (int item = 0; item < 40; ++item) {
    const auto chosen = order.NextJob(jobs, 0, 0);
    CHECK(chosen.has_value());
    --jobs[*chosen].remaining_items;
    ++jobs[*chosen].running_items;
  }
  CHECK(jobs[0].running_items <= 20);
  CHECK(jobs[0].running_items >= 19);
}

// Guards against items that are never handed out, and jobs without items that
// are chosen.
TEST(BatchOrder_OneWorkspace, EveryItemOfRandomJobsIsHandedOutOnce) {
  CHECK(rc::check([] {
    BatchJobScheduler order(BatchJobSchedulerOptions{});
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
    int handed_out = 0;
    for (const auto& [job, count] :
         HandOut(order, jobs, total + 1, *rc::gen::inRange(0, 5))) {
      RC_ASSERT(count ==
                static_cast<int>(jobs[std::stoul(job)].remaining_items));
      handed_out += count;
    }
    RC_ASSERT(handed_out == total);
  }));
}

TEST_GROUP(BatchOrder_Admission) {
  BatchJobScheduler order{BatchJobSchedulerOptions{}};
  std::vector<JobSummary> accepted = {
      {.job = "first", .due_ms = 100000, .remaining_items = 50},
      {.job = "last", .due_ms = 200000, .remaining_items = 140}};
};

TEST(BatchOrder_Admission, WorkDueEarlierCountsAgainstTheCandidate) {
  const auto estimate = this->order.EstimateFinish(
      this->accepted, {.job = "new", .due_ms = 110000, .remaining_items = 60},
      1, 0);
  CHECK_EQUAL(110000, estimate.finish_ms);
  CHECK(estimate.meets_due);
}

// Guards against a job that is admitted at the price of an accepted one.
TEST(BatchOrder_Admission, AcceptedJobThatWouldBeLateIsNamed) {
  const auto estimate = this->order.EstimateFinish(
      this->accepted, {.job = "new", .due_ms = 150000, .remaining_items = 20},
      1, 0);
  CHECK(estimate.meets_due);
  STRCMP_EQUAL("last", estimate.delayed_job.c_str());
}

TEST(BatchOrder_Admission, UnknownThroughputPromisesNothing) {
  CHECK_FALSE(
      this->order
          .EstimateFinish({}, {.due_ms = kHourMs, .remaining_items = 1}, 0, 0)
          .meets_due);
}

}  // namespace crocus
