#include <signal.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <string>

#include <CppUTest/TestHarness.h>

#include "LibCore/time.h"
#include "control_runner.h"
#include "process_fleet.h"

namespace crocus {

namespace {

constexpr std::chrono::seconds kMaximumTimeToInForce{17};

std::uint64_t RulesVersionAt(const std::string& entry_url) {
  return CallJson("GET", entry_url + "/v1/rules")
      .value("version", std::uint64_t{0});
}

bool IsReady(const std::string& entry_url) {
  return Call("GET", entry_url + "/readyz").status == 200;
}

/// Rules version that the entry's only daemon last reported to it.
std::uint64_t DaemonRulesVersionAt(const std::string& entry_url) {
  const auto status = CallJson("GET", entry_url + "/v1/status");
  return status["daemons"][0].value("rules_version", std::uint64_t{0});
}

void SetLogFaults(const std::string& log_url, const std::string& faults) {
  Call("POST", log_url + "/admin/faults", faults);
}

}  // namespace

TEST_GROUP(Rules_TwoEntriesOneDaemon) {
  ProcessFleet fleet;
  std::string log_url;
  std::string daemon_address;
  std::string first_url;
  std::string second_url;
  std::string rule_file;

  std::string StartEntry(const std::string& name, const std::string& extra) {
    return this->fleet.StartEntry(name, this->log_url, {this->daemon_address},
                                  extra + "[platform]\nrequire_rules = true\n");
  }

  std::string InternalAddress(const std::string& name) {
    return "127.0.0.1:" + std::to_string(this->fleet.Port(name, "internal"));
  }

  void setup() override {
    this->log_url = this->fleet.StartStandin("log", {"log"});
    const auto engine =
        this->fleet.StartStandin("engine", {"engine", "--token-us", "500"});
    this->daemon_address = this->fleet.StartDaemon("daemon-1", {engine});
    this->first_url = this->StartEntry("entry-1", "");
    this->second_url = this->StartEntry(
        "entry-2", "entries = " + this->InternalAddress("entry-1") + "\n");
    this->rule_file = "/tmp/crocus-rules-" +
                      std::to_string(this->fleet.Port("entry-1", "http"));
    this->WriteRules(1);
  }

  void teardown() override {
    std::remove(this->rule_file.c_str());
  }

  void WriteRules(int share) {
    std::ofstream(this->rule_file)
        << "workspace mats share=" << share << "  # Calloway: press time\n";
  }

  ControlResult Publish(const std::string& options) {
    return RunControl("rules publish " + this->rule_file + " --log " +
                      this->log_url + " --entry " + this->first_url + "," +
                      this->second_url + " " + options);
  }
};

// Guards against a change of the rules that reaches some process late or never.
TEST(Rules_TwoEntriesOneDaemon, ChangeIsInForceEverywhereWithinSeconds) {
  CHECK_FALSE(IsReady(this->first_url));
  for (int i = 1; i <= 5; ++i) {
    this->WriteRules(i);
    const TimePoint start = MonotonicNow();
    const auto published = this->Publish("--wait --author Calloway");
    CHECK_EQUAL_TEXT(0, published.exit_code, published.output.c_str());
    std::printf("in force after %.2f s\n", ToSeconds(MonotonicNow() - start));
    CHECK(MonotonicNow() - start < kMaximumTimeToInForce);
  }
  CHECK_EQUAL(5, RulesVersionAt(this->first_url));
  CHECK_EQUAL(5, RulesVersionAt(this->second_url));
  CHECK(DaemonRulesVersionAt(this->second_url) == 5);
  CHECK(WaitUntil([this] { return IsReady(this->first_url); }));
  STRCMP_CONTAINS(
      "share=5",
      RunControl("rules show --entry " + this->first_url).output.c_str());
}

// Guards against two concurrent publishes that both report success.
TEST(Rules_TwoEntriesOneDaemon,
     OneOfTwoConcurrentPublishesSucceedsDespiteLostReplies) {
  // The delay lets both read the same version before either appends.
  for (int round = 0; round < 4; ++round) {
    this->WriteRules(10 + round);
    SetLogFaults(this->log_url, "{\"delay_ms\":200,\"lost_replies\":" +
                                    std::to_string(round % 3) + "}");
    const std::string options = "--base " + std::to_string(round);
    auto tesfaye_publish = std::async(std::launch::async, [&] {
      return this->Publish(options + " --author Tesfaye");
    });
    const auto calloway_result = this->Publish(options + " --author Calloway");
    const auto tesfaye_result = tesfaye_publish.get();
    CHECK_EQUAL_TEXT(3, calloway_result.exit_code + tesfaye_result.exit_code,
                     (calloway_result.output + tesfaye_result.output).c_str());
    CHECK(calloway_result.exit_code == 0 || tesfaye_result.exit_code == 0);
    const auto& refused =
        calloway_result.exit_code == 0 ? tesfaye_result : calloway_result;
    STRCMP_CONTAINS(calloway_result.exit_code == 0 ? "Calloway" : "Tesfaye",
                    refused.output.c_str());
  }
  CHECK(WaitUntil([this] { return RulesVersionAt(this->first_url) == 4; }));
}

// Guards against an entry that serves without rules, or with older ones, after
// a restart during a log outage.
TEST(Rules_TwoEntriesOneDaemon, RestartDuringALogOutageGetsTheRulesFromPeers) {
  CHECK_EQUAL(0, this->Publish("--wait").exit_code);
  SetLogFaults(this->log_url, R"({"outage":true})");
  this->fleet.Restart("entry-1");
  this->first_url =
      "http://127.0.0.1:" + std::to_string(this->fleet.Port("entry-1", "http"));
  CHECK(WaitUntil([this] { return IsReady(this->first_url); }));
  CHECK_EQUAL(1, RulesVersionAt(this->first_url));
  const std::string third_url = this->fleet.StartEntry(
      "entry-3", this->log_url, {"127.0.0.1:1"},
      "entries = " + this->InternalAddress("entry-1") + "\n");
  CHECK(WaitUntil([&] { return RulesVersionAt(third_url) == 1; }));
  const auto refused = this->Publish("");
  CHECK_EQUAL_TEXT(4, refused.exit_code, refused.output.c_str());
}

// Guards against an entry that is ready without rules although they are
// required, and against one that stays unready after rules were published.
TEST(Rules_TwoEntriesOneDaemon, MissingRulesKeepTheEntryUnready) {
  SetLogFaults(this->log_url, R"({"outage":true})");
  CHECK(WaitUntil([this] {
    return !CallJson("GET", this->first_url + "/v1/status")["replicas"].empty();
  }));
  CHECK_FALSE(IsReady(this->first_url));
  SetLogFaults(this->log_url, R"({"outage":false})");
  CHECK_EQUAL(0, this->Publish("--wait").exit_code);
  CHECK(IsReady(this->first_url));
}

// Guards against rules that are lost when the log trims the record of their
// publication.
TEST(Rules_TwoEntriesOneDaemon, NewReaderStartsFromCarriedRules) {
  CHECK_EQUAL(0, this->Publish("--wait").exit_code);
  const std::string carrier = this->fleet.StartEntry(
      "carrier", this->log_url, {this->daemon_address},
      "[platform]\nrules_carry = 100ms\nrules_poll = 20ms\n");
  const auto appended_records = [this] {
    return CallJson("GET", this->log_url + "/admin/state")["streams"].value(
        "rules", std::uint64_t{0});
  };
  CHECK(WaitUntil([&] { return appended_records() >= 3; }));
  this->fleet.Signal("carrier", SIGKILL);
  Call("POST", this->log_url + "/admin/trim",
       R"({"stream":"rules","before":)" + std::to_string(appended_records()) +
           "}");
  const std::string fresh_url =
      this->fleet.StartEntry("fresh", this->log_url, {"127.0.0.1:1"});
  CHECK(WaitUntil([&] { return RulesVersionAt(fresh_url) == 1; }));
  this->WriteRules(7);
  const auto published = this->Publish("--wait --base 1");
  CHECK_EQUAL_TEXT(0, published.exit_code, published.output.c_str());
}

TEST(Rules_TwoEntriesOneDaemon, DrainedEndpointLeavesAndReturns) {
  CHECK_EQUAL(0, this->Publish("--wait").exit_code);
  const auto leaving = [this] {
    return CallJson("GET", this->second_url + "/v1/status")["replicas"][0]
        .value("leaving", false);
  };
  const std::string entry = " --entry " + this->first_url;
  CHECK_EQUAL(0, RunControl("drain proof-models" + entry).exit_code);
  CHECK(WaitUntil(leaving));
  CHECK_EQUAL(0, RunControl("drain proof-models --return" + entry).exit_code);
  CHECK(WaitUntil([&] { return !leaving(); }));
  CHECK_EQUAL(1, RunControl("drain prof-models" + entry).exit_code);
  CHECK_EQUAL(2, RunControl("drain" + entry).exit_code);
}

}  // namespace crocus
