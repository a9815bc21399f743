#include <signal.h>

#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "LibCore/hashing.h"
#include "LibLedger/partition_ledger.h"
#include "LibPlatform/http_log_client.h"
#include "process_fleet.h"

namespace crocus {

namespace {

constexpr char kBatchSettings[] =
    "[batch]\npartitions = 2\nheartbeat_timeout = 500ms\n"
    "submit_timeout = 2s\n";
constexpr int kTokens = 10;

std::string BatchBody(int items, const std::string& prefix = "proof ") {
  std::string body = R"({"model":"proof","workspace":"mats"})"
                     "\n";
  for (int i = 0; i < items; ++i) {
    body += R"({"prompt":")" + prefix + std::to_string(i) +
            R"(","max_tokens":)" + std::to_string(kTokens) + "}\n";
  }
  return body;
}

std::string ExpectedAnswer(const std::string& prompt) {
  std::string text;
  for (int i = 0; i < kTokens; ++i) {
    text += "t" +
            std::to_string(HashBytes(prompt, static_cast<std::uint64_t>(i)) %
                           10000) +
            " ";
  }
  return text;
}

}  // namespace

TEST_GROUP(BatchTakeover_TwoEntries) {
  ProcessFleet fleet;
  std::string log_url;
  std::vector<std::string> urls;
  std::string extra_settings = kBatchSettings;

  void setup() override {
    this->log_url = this->fleet.StartStandin(
        "log", {"log", "--appends-per-second", "1000"});
    const std::string engine =
        this->fleet.StartStandin("engine", {"engine", "--token-us", "3000"});
    this->daemon = this->fleet.StartDaemon("daemon-1", {engine});
  }

  std::string daemon;

  void StartEntries(int count = 2) {
    std::string other_entries;
    for (int i = 1; i <= count; ++i) {
      const std::string name = "entry-" + std::to_string(i);
      this->urls.push_back(this->fleet.StartEntry(
          name, this->log_url, {this->daemon},
          (other_entries.empty() ? "" : "entries = " + other_entries + "\n") +
              this->extra_settings));
      other_entries += (other_entries.empty() ? "" : ", ") +
                       std::string("127.0.0.1:") +
                       std::to_string(this->fleet.Port(name, "internal"));
    }
    for (const auto& url : this->urls) {
      CHECK(WaitUntil(
          [&url] { return Call("GET", url + "/readyz").status == 200; }));
    }
  }

  void SetFaults(const std::string& faults) {
    CHECK_EQUAL(200,
                Call("POST", this->log_url + "/admin/faults", faults).status);
  }

  std::string Submit(const std::string& url, const std::string& body,
                     const std::string& key = "") {
    return CallJson("POST", url + "/v1/batches", body,
                    key.empty()
                        ? std::map<std::string, std::string>()
                        : std::map<std::string, std::string>{{"Idempotency-Key",
                                                              key}})
        .value("id", "");
  }

  static nlohmann::json JobStatus(const std::string& url,
                                  const std::string& id) {
    auto status = CallJson("GET", url + "/v1/batches/" + id);
    return status.is_object() ? status : nlohmann::json::object();
  }

  static bool HasState(const std::string& url, const std::string& id,
                       const std::string& state) {
    return JobStatus(url, id).value("state", "") == state;
  }

  static int FinishedCount(const std::string& url, const std::string& id) {
    return JobStatus(url, id).value("finished", 0);
  }

  /// Replays the stream of a job's partition in the same way as an entry.
  PartitionLedger Replay(const std::string& id) {
    return this->Replay(PartitionOf(id, 2));
  }

  PartitionLedger Replay(std::uint32_t partition) {
    const auto stream = PartitionStream(partition);
    PartitionLedger ledger;
    HttpLogClient log(this->log_url);
    while (true) {
      const auto page = log.Read(stream, ledger.next_offset(), 1000);
      CHECK(page.has_value());
      if (page->records.empty()) {
        return ledger;
      }
      for (const auto& record : page->records) {
        ledger.Apply(record.offset, record.data);
      }
    }
  }

  /// Index in `urls` of the entry that owns the job's partition.
  std::size_t OwnerIndex(const std::string& id) {
    std::string owner;
    CHECK(WaitUntil([&] {
      owner = this->Replay(id).owner();
      return !owner.empty();
    }));
    return owner == "entry-1" ? 0 : 1;
  }

  /// Reads the results page by page and checks that each item has exactly one,
  /// with the text for its prompt.
  static void CheckResults(const std::string& url, const std::string& id,
                           int items) {
    std::set<int> indexes;
    for (int first = 0;; first += 70) {
      const auto page =
          Call("GET", url + "/v1/batches/" + id +
                          "/results?limit=70&first=" + std::to_string(first));
      CHECK_EQUAL(200, page.status);
      if (page.body.empty()) {
        break;
      }
      std::istringstream lines(page.body);
      for (std::string line; std::getline(lines, line);) {
        const auto result = nlohmann::json::parse(line);
        const int index = result["index"];
        CHECK(indexes.insert(index).second);
        STRCMP_EQUAL(ExpectedAnswer("proof " + std::to_string(index)).c_str(),
                     result.value("text", "").c_str());
      }
    }
    CHECK_EQUAL(items, static_cast<int>(indexes.size()));
  }
};

// Guards against two owners that both write. The records of the paused owner
// carry an old epoch, and it must stop acting as owner once it resumes and
// reads the stream.
TEST(BatchTakeover_TwoEntries, OwnerPausedPastItsTimeoutIsReplaced) {
  constexpr int kItems = 1200;
  this->StartEntries();
  const std::string id = this->Submit(this->urls[0], BatchBody(kItems));
  const std::size_t owner = this->OwnerIndex(id);
  const std::string owner_name = "entry-" + std::to_string(owner + 1);
  const std::string& other = this->urls[1 - owner];
  CHECK(WaitUntil([&] { return FinishedCount(other, id) > 10; }));
  this->fleet.Signal(owner_name, SIGSTOP);
  CHECK(WaitUntil([&] { return this->OwnerIndex(id) != owner; }));
  const int finished_at_takeover = FinishedCount(other, id);
  CHECK(finished_at_takeover < kItems);
  CHECK(WaitUntil(
      [&] { return FinishedCount(other, id) > finished_at_takeover; }));
  this->fleet.Signal(owner_name, SIGCONT);
  CHECK(WaitUntil([&] { return HasState(other, id, "finished"); }));
  CHECK(WaitUntil([&] { return HasState(this->urls[owner], id, "finished"); }));
  CHECK(this->OwnerIndex(id) != owner);
  CheckResults(other, id, kItems);
  CheckResults(this->urls[owner], id, kItems);
}

// Guards against items that are lost or finished twice when an append took
// effect, its reply was lost, and the writer was killed before it could resolve
// the outcome.
TEST(BatchTakeover_TwoEntries, LostRepliesAndAKilledOwnerLoseNoItems) {
  constexpr int kItems = 200;
  this->StartEntries();
  const std::string id = this->Submit(this->urls[0], BatchBody(kItems));
  const std::size_t owner = this->OwnerIndex(id);
  const std::string& other = this->urls[1 - owner];
  CHECK(WaitUntil([&] { return FinishedCount(other, id) > 10; }));
  this->SetFaults(R"({"lost_replies":3})");
  CHECK(WaitUntil([&] {
    return this->fleet.ReadLogFile("entry-" + std::to_string(owner + 1))
               .find("append_unknown") != std::string::npos;
  }));
  this->fleet.Signal("entry-" + std::to_string(owner + 1), SIGKILL);
  CHECK(WaitUntil([&] { return HasState(other, id, "finished"); }));
  CheckResults(other, id, kItems);
}

// Guards against a resent job that runs twice, and against an entry that is not
// the owner and reports another state.
TEST(BatchTakeover_TwoEntries, ResentJobIsTheSameJobAtEveryEntry) {
  constexpr int kItems = 20;
  this->StartEntries();
  const std::string body = BatchBody(kItems);
  const std::string id = this->Submit(this->urls[0], body);
  STRCMP_EQUAL(id.c_str(), this->Submit(this->urls[1], body).c_str());
  const std::string keyed = this->Submit(this->urls[0], body, "key-1");
  STRCMP_EQUAL(keyed.c_str(),
               this->Submit(this->urls[1], body, "key-1").c_str());
  CHECK(id != keyed);
  for (const auto& url : this->urls) {
    CHECK(WaitUntil([&] { return HasState(url, id, "finished"); }));
    CHECK(WaitUntil([&] { return HasState(url, keyed, "finished"); }));
    CheckResults(url, id, kItems);
    CheckResults(url, keyed, kItems);
  }
}

// Guards against results after a cancel, and against a job that one entry
// reports as cancelled and another one as finished.
TEST(BatchTakeover_TwoEntries, CancelRacingTheLastItemsHasOneOutcome) {
  this->StartEntries();
  for (int round = 0; round < 8; ++round) {
    const std::string id = this->Submit(
        this->urls[0], BatchBody(8, "race " + std::to_string(round) + " "));
    const int finished_before_cancel = round % 8;
    CHECK(WaitUntil([&] {
      return FinishedCount(this->urls[1], id) >= finished_before_cancel;
    }));
    CHECK_EQUAL(
        202,
        Call("POST", this->urls[1] + "/v1/batches/" + id + "/cancel").status);
    const auto replayed = this->Replay(id);
    const Job* job = replayed.FindJob(id);
    CHECK(job->is_closed());
    const std::string state(ToString(job->state));
    for (const auto& url : this->urls) {
      CHECK(WaitUntil([&] { return HasState(url, id, state); }));
      CHECK_EQUAL(static_cast<int>(job->finished_count),
                  FinishedCount(url, id));
    }
  }
}

// Guards against accepted jobs that are lost when entries restart during a log
// outage, and against jobs that are refused as not run but run later.
TEST(BatchTakeover_TwoEntries, OutageWithRestartsKeepsAcceptedJobs) {
  constexpr int kItems = 100;
  this->StartEntries();
  const std::string id = this->Submit(this->urls[0], BatchBody(kItems));
  CHECK(WaitUntil([&] { return FinishedCount(this->urls[0], id) > 5; }));
  this->SetFaults(R"({"outage":true})");
  const auto refused =
      CallJson("POST", this->urls[0] + "/v1/batches", BatchBody(5, "refused "));
  STRCMP_EQUAL("not_run", refused.value("verdict", "").c_str());
  for (const char* name : {"entry-1", "entry-2"}) {
    this->fleet.Restart(name);
  }
  for (std::size_t i = 0; i < 2; ++i) {
    this->urls[i] =
        "http://127.0.0.1:" + std::to_string(this->fleet.Port(
                                  "entry-" + std::to_string(i + 1), "http"));
  }
  this->SetFaults(R"({"outage":false})");
  for (const auto& url : this->urls) {
    CHECK(WaitUntil([&] { return HasState(url, id, "finished"); }));
    CheckResults(url, id, kItems);
  }
  HttpLogClient log(this->log_url);
  for (std::uint32_t partition = 0; partition < 2; ++partition) {
    const auto page = log.Read(PartitionStream(partition), 1, 10000);
    for (const auto& record : page->records) {
      CHECK(record.data.find("refused 0") == std::string::npos);
    }
  }
}

// Guards against a job that is lost, or whose results become unreadable, when
// the log trims records that the job still needs.
TEST(BatchTakeover_TwoEntries, JobOutlivesATrimmedStreamHead) {
  constexpr int kItems = 2500;
  this->extra_settings +=
      "snapshot_bytes = 4096\nlog_retention = 4s\ncommit_bytes = 4096\n";
  this->StartEntries(1);
  const std::string id = this->Submit(this->urls[0], BatchBody(kItems));
  const std::string stream = PartitionStream(PartitionOf(id, 2));
  CHECK(WaitUntil([&] { return FinishedCount(this->urls[0], id) > 20; }));
  // Trims the records that are older than the retention, as the platform's log
  // does.
  HttpLogClient log(this->log_url);
  const auto stream_end = log.Read(stream, ~0ull, 1)->next;
  std::this_thread::sleep_for(std::chrono::milliseconds(4500));
  CHECK_FALSE(HasState(this->urls[0], id, "finished"));
  CHECK_EQUAL(200, Call("POST", this->log_url + "/admin/trim",
                        R"({"stream":")" + stream + R"(","before":)" +
                            std::to_string(stream_end) + "}")
                       .status);
  CHECK(log.Read(stream, 1, 1)->first >= stream_end);
  this->fleet.Restart("entry-1");
  const std::string url =
      "http://127.0.0.1:" + std::to_string(this->fleet.Port("entry-1", "http"));
  CHECK(WaitUntil([&] { return HasState(url, id, "finished"); }));
  CheckResults(url, id, kItems);
}

// Guards against an entry that starts later and is never handed its share of
// the partitions, and against items that are lost in a hand-over.
TEST(BatchTakeover_TwoEntries, LaterEntryGetsItsShareOfActivePartitions) {
  constexpr int kItems = 800;
  constexpr std::uint32_t kPartitions = 8;
  this->extra_settings =
      "[batch]\npartitions = 8\nheartbeat_timeout = 500ms\n"
      "hand_over_after = 1s\n";
  this->StartEntries(1);
  const auto owned_partitions = [this](const std::string& name) {
    std::uint32_t count = 0;
    for (std::uint32_t i = 0; i < kPartitions; ++i) {
      count += this->Replay(i).owner() == name ? 1 : 0;
    }
    return count;
  };
  CHECK(WaitUntil([&] { return owned_partitions("entry-1") == kPartitions; }));
  std::vector<std::string> ids;
  for (int i = 0; i < 4; ++i) {
    ids.push_back(this->Submit(this->urls[0], BatchBody(kItems / 4),
                               "key-" + std::to_string(i)));
  }
  const std::string second_url = this->fleet.StartEntry(
      "entry-2", this->log_url, {this->daemon},
      "entries = 127.0.0.1:" +
          std::to_string(this->fleet.Port("entry-1", "internal")) + "\n" +
          this->extra_settings);
  CHECK(WaitUntil([&] { return owned_partitions("entry-2") > 0; }));
  for (const auto& id : ids) {
    CHECK(WaitUntil([&] { return HasState(second_url, id, "finished"); }));
    CheckResults(second_url, id, kItems / 4);
  }
  CHECK(owned_partitions("entry-1") > 0);
}

// Guards against a graceful stop that does not release the partitions, so that
// the other entries have to wait for the heartbeat timeout.
TEST(BatchTakeover_TwoEntries, StoppedOwnerReleasesItsPartitions) {
  constexpr int kItems = 150;
  this->StartEntries();
  const std::string id = this->Submit(this->urls[0], BatchBody(kItems));
  const std::size_t owner = this->OwnerIndex(id);
  const std::string name = "entry-" + std::to_string(owner + 1);
  CHECK(WaitUntil([&] { return FinishedCount(this->urls[0], id) > 5; }));
  this->fleet.Signal(name, SIGTERM);
  CHECK_EQUAL(0, this->fleet.WaitForExit(name, std::chrono::seconds(20)));
  CHECK(this->fleet.ReadLogFile(name).find("partition_released") !=
        std::string::npos);
  const std::string& other = this->urls[1 - owner];
  CHECK(WaitUntil([&] { return HasState(other, id, "finished"); }));
  CheckResults(other, id, kItems);
}

}  // namespace crocus
