#include <string>

#include <CppUTest/TestHarness.h>

#include "LibCore/hashing.h"
#include "process_fleet.h"

namespace crocus {

namespace {

/// Text that the engine stand-in returns; its tokens depend on the prompt only.
std::string ExpectedAnswer(const std::string& prompt, std::uint32_t tokens) {
  std::string text;
  for (std::uint32_t i = 0; i < tokens; ++i) {
    text += "t" + std::to_string(HashBytes(prompt, i) % 10000) + " ";
  }
  return text;
}

}  // namespace

TEST_GROUP(EndToEnd_OneEntryOneDaemon) {
  ProcessFleet fleet;
  std::string log_url;
  std::string engine_url;
  std::string entry_url;

  void setup() override {
    this->log_url = this->fleet.StartStandin("log", {"log"});
    this->engine_url =
        this->fleet.StartStandin("engine", {"engine", "--token-us", "500"});
    const std::string daemon =
        this->fleet.StartDaemon("daemon-1", {this->engine_url});
    this->entry_url =
        this->fleet.StartEntry("entry-1", this->log_url, {daemon});
    CHECK(WaitUntil([this] {
      return Call("GET", this->entry_url + "/readyz").status == 200;
    }));
  }
};

// Guards against an answer that is lost or changed in part between the engine
// and the caller.
TEST(EndToEnd_OneEntryOneDaemon, OnlineRequestReturnsTheCompleteAnswer) {
  const auto reply =
      CallJson("POST", this->entry_url + "/v1/requests",
               R"({"model":"proof","prompt":"ranch brand","max_tokens":20,)"
               R"("workspace":"mats"})");
  CHECK(reply.is_object());
  STRCMP_EQUAL("ran", reply.value("verdict", "").c_str());
  STRCMP_EQUAL(ExpectedAnswer("ranch brand", 20).c_str(),
               reply["choices"][0].value("text", "").c_str());
}

TEST(EndToEnd_OneEntryOneDaemon, StreamedRequestEndsWithTheDoneEvent) {
  const auto reply = Call("POST", this->entry_url + "/v1/requests",
                          R"({"model":"proof","prompt":"logo","max_tokens":5,)"
                          R"("workspace":"mats","stream":true})");
  CHECK_EQUAL(200, reply.status);
  CHECK(reply.body.find("data: [DONE]") != std::string::npos);
}

// Guards against batch items that are lost, repeated or mixed up.
TEST(EndToEnd_OneEntryOneDaemon, SmallBatchFinishesEveryItem) {
  std::string body = R"({"model":"proof","workspace":"mats"})"
                     "\n";
  constexpr int kItems = 30;
  for (int i = 0; i < kItems; ++i) {
    body += R"({"prompt":"proof )" + std::to_string(i) +
            R"(","max_tokens":4})"
            "\n";
  }
  const auto submitted =
      CallJson("POST", this->entry_url + "/v1/batches", body);
  const std::string id = submitted.value("id", "");
  CHECK_FALSE(id.empty());
  const std::string url = this->entry_url + "/v1/batches/" + id;
  CHECK(WaitUntil([&url] {
    return CallJson("GET", url).value("state", "") == "finished";
  }));
  const auto results = Call("GET", url + "/results").body;
  for (int i = 0; i < kItems; ++i) {
    CHECK(results.find(ExpectedAnswer("proof " + std::to_string(i), 4)) !=
          std::string::npos);
  }
}

TEST(EndToEnd_OneEntryOneDaemon, UnknownModelIsRefusedAsNotRun) {
  const auto reply =
      CallJson("POST", this->entry_url + "/v1/requests",
               R"({"model":"other","prompt":"x","workspace":"mats"})");
  STRCMP_EQUAL("not_run", reply.value("verdict", "").c_str());
}

}  // namespace crocus
