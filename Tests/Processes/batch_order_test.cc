#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "process_fleet.h"

namespace crocus {

namespace {

constexpr std::int64_t kHourMs = 3600 * 1000;

}  // namespace

TEST_GROUP(BatchOrder_TwoEntriesOnePartition) {
  ProcessFleet fleet;
  std::vector<std::string> urls;

  void setup() override {
    const std::string log = this->fleet.StartStandin("log", {"log"});
    const std::string engine =
        this->fleet.StartStandin("engine", {"engine", "--token-us", "3000"});
    const std::string daemon = this->fleet.StartDaemon("daemon-1", {engine});
    std::string other_entries;
    for (const std::string name : {"entry-1", "entry-2"}) {
      this->urls.push_back(this->fleet.StartEntry(
          name, log, {daemon},
          other_entries +
              "[batch]\npartitions = 1\nheartbeat_timeout = 500ms\n"));
      other_entries = "entries = 127.0.0.1:" +
                      std::to_string(this->fleet.Port(name, "internal")) + "\n";
    }
    for (const auto& url : this->urls) {
      CHECK(WaitUntil(
          [&url] { return Call("GET", url + "/readyz").status == 200; }));
    }
  }

  static nlohmann::json Submit(
      const std::string& url, const std::string& workspace,
      const std::string& key, int items, std::int64_t due_in_ms) {
    std::string body = nlohmann::json{{"model", "proof"},
                                      {"workspace", workspace},
                                      {"due_in_ms", due_in_ms}}
                           .dump() +
                       "\n";
    for (int i = 0; i < items; ++i) {
      body += R"({"prompt":"p","max_tokens":10})"
              "\n";
    }
    return CallJson("POST", url + "/v1/batches", body,
                    {{"Idempotency-Key", key}});
  }

  nlohmann::json JobStatus(const nlohmann::json& job, std::size_t entry = 0) {
    return CallJson("GET", this->urls[entry] + "/v1/batches/" +
                               job.value("id", std::string()));
  }

  bool IsFinished(const nlohmann::json& job) {
    return this->JobStatus(job).value("state", "") == "finished";
  }
};

// Guards against a job that waits for a job of the same workspace that is due
// later.
TEST(BatchOrder_TwoEntriesOnePartition, JobDueEarlierFinishesFirst) {
  const auto late = Submit(this->urls[0], "w", "late", 1500, 2 * kHourMs);
  const auto early = Submit(this->urls[1], "w", "early", 40, kHourMs);
  CHECK(WaitUntil([&] { return this->IsFinished(early); }));
  CHECK(this->JobStatus(late).value("finished", 0) < 1000);
}

// Guards against a workspace that starves another one with many jobs, which are
// all due earlier.
TEST(BatchOrder_TwoEntriesOnePartition, ManyJobsDoNotStarveAnotherWorkspace) {
  constexpr int kJobs = 12;
  constexpr int kItems = 100;
  std::vector<nlohmann::json> many_jobs;
  for (int i = 0; i < kJobs; ++i) {
    many_jobs.push_back(Submit(this->urls[i % 2], "many",
                               "m" + std::to_string(i), kItems, kHourMs));
  }
  const auto other_job = Submit(this->urls[0], "one", "one", 50, 2 * kHourMs);
  CHECK(WaitUntil([&] { return this->IsFinished(other_job); }));
  int finished = 0;
  for (const auto& job : many_jobs) {
    finished += this->JobStatus(job).value("finished", 0);
  }
  CHECK(finished < kJobs * kItems / 2);
}

// Guards against an admission estimate that is missing, that differs between
// the owner and another entry, or that reports a due time as met although it
// cannot be met.
TEST(BatchOrder_TwoEntriesOnePartition, AdmissionEstimateComesFromTheOwner) {
  const auto first = Submit(this->urls[0], "w", "first", 3000, kHourMs);
  CHECK(first.at("meets_due_time") == "unknown");
  CHECK(first.at("expected_finish_ms").is_null());
  for (std::size_t entry : {0, 1}) {
    CHECK(WaitUntil([&] {
      const auto status = this->JobStatus(first, entry);
      return status.at("meets_due_time") == true &&
             status.at("expected_finish_ms") < status.at("due_ms");
    }));
    const auto unmeetable = Submit(
        this->urls[entry], "w", "unmeetable " + std::to_string(entry), 500, 1);
    CHECK(unmeetable.at("meets_due_time") == false);
    CHECK(unmeetable.at("expected_finish_ms").is_number_integer());
  }
}

}  // namespace crocus
