#include <algorithm>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "process_fleet.h"

namespace crocus {

TEST_GROUP(BatchReads_ThreeEntries){};

// Guards against entries that read the streams of partitions that another entry
// owns: the log would then send each record once per entry.
TEST(BatchReads_ThreeEntries, OnlyTheOwnerReadsTheResults) {
  constexpr int kItems = 20000;
  constexpr int kPartitions = 8;
  ProcessFleet fleet;
  const std::string log = fleet.StartStandin("log", {"log"});
  const std::string engine =
      fleet.StartStandin("engine", {"engine", "--token-us", "300"});
  const std::string daemon = fleet.StartDaemon("daemon-1", {engine});
  std::vector<std::string> urls;
  std::string other_entries;
  for (const std::string name : {"entry-1", "entry-2", "entry-3"}) {
    urls.push_back(fleet.StartEntry(
        name, log, {daemon},
        (other_entries.empty() ? "" : "entries = " + other_entries + "\n") +
            "[batch]\npartitions = 8\nheartbeat_timeout = 1s\n"));
    other_entries += (other_entries.empty() ? "" : ", ") +
                     std::string("127.0.0.1:") +
                     std::to_string(fleet.Port(name, "internal"));
  }
  for (const auto& url : urls) {
    CHECK(WaitUntil(
        [&url] { return Call("GET", url + "/readyz").status == 200; }));
  }
  // An entry follows a stream until it receives heartbeats of the owner. Waits
  // until each partition's stream has a record, and then for heartbeats.
  CHECK(WaitUntil([&log] {
    const auto state = CallJson("GET", log + "/admin/state");
    for (int partition = 0; partition < kPartitions; ++partition) {
      if (state.at("streams").value("batch-" + std::to_string(partition), 0) ==
          0) {
        return false;
      }
    }
    return true;
  }));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  std::string body = R"({"model":"proof","workspace":"w"})"
                     "\n";
  for (int i = 0; i < kItems; ++i) {
    body += R"({"prompt":"proof )" + std::to_string(i) +
            R"(","max_tokens":1})"
            "\n";
  }
  const std::string id =
      CallJson("POST", urls[0] + "/v1/batches", body).value("id", "");
  CHECK(WaitUntil(
      [&] {
        return CallJson("GET", urls[0] + "/v1/batches/" + id)
                   .value("state", "") == "finished";
      },
      std::chrono::seconds(60)));
  std::vector<std::uint64_t> bytes;
  for (const auto& url : urls) {
    const auto entry = CallJson("GET", url + "/v1/status").at("entry");
    bytes.push_back(entry.at("batch_log_read_bytes"));
    // Figures for the measurements page.
    std::printf("reads %llu bytes %llu\n",
                static_cast<unsigned long long>(
                    entry.at("batch_log_reads").get<std::uint64_t>()),
                static_cast<unsigned long long>(bytes.back()));
  }
  std::sort(bytes.begin(), bytes.end());
  // The entry that accepted the job reads it back and the owner follows the
  // stream, so at least one of the three entries reads nothing of the job.
  CHECK(bytes[0] < bytes[2] / 10);
}

}  // namespace crocus
