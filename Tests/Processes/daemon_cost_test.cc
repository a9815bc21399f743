#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "LibCore/random.h"
#include "daemon_client.h"
#include "process_fleet.h"

namespace crocus {

namespace {

/// Targets of docs/design.md, section 4.
constexpr double kMaximumCoreShare = 0.017;
constexpr double kMaximumMegabytes = 32;
constexpr double kMaximumKilobytesPerSecond = 14;

constexpr std::chrono::milliseconds kMeasurementTime{2000};

/// With 8 replicas, one item per interval keeps about half of the slots busy,
/// so the load figures change all the time.
constexpr std::chrono::milliseconds kSendInterval{1};

/// Default of report_bytes_per_second, and the factor by which a measurement of
/// two seconds may exceed it.
constexpr double kReportBudgetKilobytesPerSecond = 8.192;
constexpr double kReportBudgetTolerance = 1.1;

/// Minimum traffic if changes are reported without delay.
constexpr double kMinimumBusyKilobytesPerSecond = 4;

struct Cost {
  double core_share = 0;
  double megabytes = 0;
  double kilobytes_per_second = 0;
};

/// Runs a daemon with some replicas and connected entries, and measures its
/// cost.
class DaemonCostMeasurement {
 public:
  DaemonCostMeasurement(int replicas, int entries) {
    for (int i = 0; i < replicas; ++i) {
      this->replicas.push_back(this->fleet.StartStandin(
          "engine-" + std::to_string(i), {"engine", "--token-us", "20000"}));
    }
    const std::string address =
        this->fleet.StartDaemon("daemon", this->replicas);
    for (int i = 0; i < entries; ++i) {
      this->clients.push_back(std::make_unique<DaemonClient>(address));
      CHECK(WaitUntil([this] {
        return this->clients.back()->Find<messages::LoadReport>().has_value();
      }));
    }
  }

  /// Sends a batch item of 1 to 4 tokens to a random replica.
  void SendItem() {
    const std::string id = "b" + std::to_string(this->sent++);
    this->clients[0]->Send(messages::Execute{
        .attempt = id,
        .request = id,
        .kind = messages::WorkKind::kBatch,
        .replica = this->replicas[this->random.Below(this->replicas.size())],
        .model = "proof",
        .prompt = "p",
        .max_tokens = static_cast<std::uint32_t>(1 + this->random.Below(4)),
        .repeatable = true});
  }

  /// Measures the cost over kMeasurementTime. Reports are sent to every entry,
  /// results only to the first one. The bytes that the last entry receives,
  /// times the number of entries, are therefore the report traffic.
  Cost Measure(bool with_work = false) {
    const double cpu = this->fleet.CpuSeconds("daemon");
    const std::uint64_t bytes = this->clients.back()->received_bytes();
    const auto end = std::chrono::steady_clock::now() + kMeasurementTime;
    while (std::chrono::steady_clock::now() < end) {
      if (with_work) {
        this->SendItem();
      }
      std::this_thread::sleep_for(kSendInterval);
    }
    const double seconds =
        std::chrono::duration<double>(kMeasurementTime).count();
    const auto received =
        static_cast<double>(this->clients.back()->received_bytes() - bytes);
    return {
        .core_share = (this->fleet.CpuSeconds("daemon") - cpu) / seconds,
        .megabytes = static_cast<double>(this->fleet.ResidentBytes("daemon")) /
                     (1 << 20),
        .kilobytes_per_second = received *
                                static_cast<double>(this->clients.size()) /
                                seconds / 1000};
  }

 private:
  ProcessFleet fleet;
  std::vector<std::string> replicas;
  std::vector<std::unique_ptr<DaemonClient>> clients;
  Random random{20261204};
  int sent = 0;
};

void PrintCost(const char* label, int replicas, int entries, const Cost& cost) {
  std::printf(
      "\n  %s, %d replicas, %d entries: %.2f%% of a core, %.1f MB, "
      "%.2f KB/s",
      label, replicas, entries, cost.core_share * 100, cost.megabytes,
      cost.kilobytes_per_second);
}

}  // namespace

TEST_GROUP(Daemon_ControlCost){};

// Guards against control traffic, memory or processor time that exceed their
// budget as the number of entries and replicas grows.
TEST(Daemon_ControlCost, IdleDaemonStaysWithinItsBudget) {
  for (const int replicas : {1, 4, 8}) {
    for (const int entries : {1, 2, 4, 8}) {
      const Cost cost = DaemonCostMeasurement(replicas, entries).Measure();
      PrintCost("idle", replicas, entries, cost);
      CHECK(cost.core_share <= kMaximumCoreShare);
      CHECK(cost.megabytes <= kMaximumMegabytes);
      CHECK(cost.kilobytes_per_second <= kMaximumKilobytesPerSecond);
    }
  }
}

// Guards against a full report after every attempt, which took 5,608 KB/s, and
// against reports that are delayed longer than the budget requires.
TEST(Daemon_ControlCost, ReportsStayWithinTheirBudgetWhileWorkRuns) {
  DaemonCostMeasurement measurement(8, 8);
  const Cost cost = measurement.Measure(true);
  PrintCost("busy", 8, 8, cost);
  CHECK(cost.kilobytes_per_second <=
        kReportBudgetKilobytesPerSecond * kReportBudgetTolerance);
  CHECK(cost.kilobytes_per_second >= kMinimumBusyKilobytesPerSecond);
}

// Guards against tombstones and held results that exceed the memory limit of
// the process.
TEST(Daemon_ControlCost, FullDaemonStaysWithinItsMemoryLimit) {
  ProcessFleet fleet;
  const std::string engine = fleet.StartStandin(
      "engine", {"engine", "--token-us", "100", "--slots", "32"});
  DaemonClient client(fleet.StartDaemon("daemon", {engine}, "slots = 32\n"));
  CHECK(WaitUntil(
      [&] { return client.Find<messages::LoadReport>().has_value(); }));
  const std::string id_padding = "0123456789abcdef0123456789abcdef";
  const auto attempt_id = [&id_padding](int i) {
    return "b-" + id_padding + std::to_string(i);
  };
  constexpr int kResponseLag = 100;
  int sent = 0;
  for (; !client.FindDone(attempt_id(sent - kResponseLag)); ++sent) {
    CHECK(sent < 20000);
    client.Send(messages::Execute{.attempt = attempt_id(sent),
                                  .request = "job-" + id_padding + "/1",
                                  .workspace = "mats",
                                  .request_class = "default",
                                  .kind = messages::WorkKind::kBatch,
                                  .endpoint = "proof-models",
                                  .model = "proof",
                                  .prompt = std::string(500, 'x'),
                                  .max_tokens = 1,
                                  .repeatable = true});
    std::this_thread::sleep_for(std::chrono::microseconds(700));
  }
  STRCMP_EQUAL(
      "daemon_memory_full",
      client.FindDone(attempt_id(sent - kResponseLag))->reason.c_str());
  constexpr int kRevokes = 70000;
  for (int i = 0; i < kRevokes; ++i) {
    client.Send(
        messages::Revoke{.attempt = "r-" + id_padding + std::to_string(i)});
  }
  client.Send(messages::Revoke{.attempt = "last"});
  CHECK(WaitUntil([&] { return client.FindRevoke("last").has_value(); }));
  CHECK(client.FindRevoke("last")->verdict == Verdict::kMayHaveRun);
  const double megabytes =
      static_cast<double>(fleet.ResidentBytes("daemon")) / (1 << 20);
  std::printf("\n  full: %.1f MB", megabytes);
  CHECK(megabytes <= kMaximumMegabytes);
}

}  // namespace crocus
