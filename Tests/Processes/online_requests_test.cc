#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <future>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "LibCore/hashing.h"
#include "process_fleet.h"

namespace crocus {

namespace {

using std::chrono::milliseconds;

/// Text that the engine stand-in returns; its tokens depend on the prompt only.
std::string ExpectedAnswer(const std::string& prompt, std::uint32_t tokens) {
  std::string text;
  for (std::uint32_t i = 0; i < tokens; ++i) {
    text += "t" + std::to_string(HashBytes(prompt, i) % 10000) + " ";
  }
  return text;
}

std::string Body(const std::string& prompt,
                 std::uint32_t tokens,
                 const std::string& extra_fields = "") {
  return nlohmann::json{{"model", "proof"},
                        {"prompt", prompt},
                        {"max_tokens", tokens},
                        {"workspace", "mats"}}
      .dump()
      .insert(1, extra_fields);
}

const std::string kNonRepeatable = R"("repeatable":false,)";

std::string TextOf(const nlohmann::json& reply) {
  return reply.is_object() && reply.contains("choices")
             ? reply["choices"][0].value("text", "")
             : "";
}

/// A caller's connection that can be closed at any moment.
class RawCaller {
 public:
  explicit RawCaller(std::uint16_t port) {
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(0,
                connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)));
  }
  ~RawCaller() { this->Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& bytes) {
    send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  void SendRequest(const std::string& body) {
    this->Send("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  /// What arrives until the connection is closed, reset or silent for that
  /// long.
  std::string Receive(std::chrono::seconds silence) {
    const timeval timeout{.tv_sec = silence.count(), .tv_usec = 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
    std::string received;
    char buffer[4096];
    for (;;) {
      const ssize_t size = recv(this->descriptor, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        return received;
      }
      received.append(buffer, size);
    }
  }
  void Close() {
    if (this->descriptor >= 0) {
      close(this->descriptor);
    }
    this->descriptor = -1;
  }

 private:
  int descriptor = -1;
};

}  // namespace

TEST_GROUP(OnlineRequests_TwoEntriesTwoDaemons) {
  ProcessFleet fleet;
  std::string log;
  std::string engines[2];
  std::string entries[2];
  std::vector<std::string> daemons;

  void setup() override {
    this->log = this->fleet.StartStandin("log", {"log"});
    for (int i = 0; i < 2; ++i) {
      const std::string number = std::to_string(i + 1);
      this->engines[i] = this->fleet.StartStandin(
          "engine-" + number, {"engine", "--token-us", "20000"});
      this->daemons.push_back(
          this->fleet.StartDaemon("daemon-" + number, {this->engines[i]}));
    }
    for (int i = 0; i < 2; ++i) {
      this->entries[i] = this->fleet.StartEntry(
          "entry-" + std::to_string(i + 1), this->log, this->daemons,
          "[shutdown]\nbalancer_delay = 700\n");
    }
    for (const auto& entry : this->entries) {
      CHECK(WaitUntil([&entry] {
        const auto response = Call("GET", entry + "/readyz");
        return response.status == 200;
      }));
    }
    // An entry is ready as soon as it has one replica. This gives it time to
    // connect to the second daemon.
    std::this_thread::sleep_for(milliseconds(150));
  }

  nlohmann::json EngineState(int engine) {
    return CallJson("GET", this->engines[engine] + "/admin/state");
  }

  int TotalRunning() {
    return this->EngineState(0).value("running", 0) +
           this->EngineState(1).value("running", 0);
  }

  /// Runs of all attempts at both engines.
  int TotalRuns() {
    int runs = 0;
    for (int i = 0; i < 2; ++i) {
      const auto state = this->EngineState(i);
      for (const auto& [attempt, count] : state["runs"].items()) {
        runs += count.get<int>();
      }
    }
    return runs;
  }

  /// Waits until an engine runs a request and returns its index, or -1 if none
  /// does.
  int WaitForRunningEngine() {
    int engine = -1;
    WaitUntil([this, &engine] {
      for (int i = 0; i < 2; ++i) {
        engine = this->EngineState(i).value("running", 0) > 0 ? i : engine;
      }
      return engine >= 0;
    });
    return engine;
  }

  void KillDaemonOfRunningEngine() {
    const int engine = this->WaitForRunningEngine();
    CHECK(engine >= 0);
    std::this_thread::sleep_for(milliseconds(100));
    this->fleet.Signal("daemon-" + std::to_string(engine + 1), SIGKILL);
  }

  std::future<nlohmann::json> Post(
      int entry, const std::string& body,
      const std::map<std::string, std::string>& headers = {}) {
    return std::async(
        std::launch::async,
        [url = this->entries[entry] + "/v1/requests", body, headers] {
          return CallJson("POST", url, body, headers);
        });
  }

  void SetOutage(bool is_unavailable) {
    Call("POST", this->log + "/admin/faults",
         nlohmann::json{{"outage", is_unavailable}}.dump());
    // Each entry detects the change with its next read of the log.
    std::this_thread::sleep_for(milliseconds(700));
  }
};

// Guards against a repeatable request that fails when its daemon is killed, or
// whose answer mixes the tokens of two attempts.
TEST(OnlineRequests_TwoEntriesTwoDaemons,
     RepeatableIsRetriedAfterDaemonIsKilled) {
  auto reply = this->Post(0, Body("brand", 30));
  this->KillDaemonOfRunningEngine();
  STRCMP_EQUAL(ExpectedAnswer("brand", 30).c_str(),
               TextOf(reply.get()).c_str());
}

// Guards against a second run of work that must run at most once, and against
// reporting it as not run.
TEST(OnlineRequests_TwoEntriesTwoDaemons,
     NonRepeatableMayHaveRunAfterDaemonIsKilled) {
  auto reply = this->Post(0, Body("ticket", 30, kNonRepeatable));
  this->KillDaemonOfRunningEngine();
  const auto json = reply.get();
  STRCMP_EQUAL("may_have_run", json.value("verdict", "").c_str());
  STRCMP_EQUAL("connection_lost", json["error"].value("code", "").c_str());
  CHECK_EQUAL(1, this->TotalRuns());
}

// Guards against a stream that repeats or mixes tokens after its daemon was
// killed. Once text has been forwarded, the stream must end with an error.
TEST(OnlineRequests_TwoEntriesTwoDaemons, StreamWithTextEndsWithAnError) {
  auto reply = std::async(std::launch::async, [this] {
    return Call("POST", this->entries[0] + "/v1/requests",
                Body("proof", 30, R"("stream":true,)"))
        .body;
  });
  this->KillDaemonOfRunningEngine();
  const std::string body = reply.get();
  CHECK(body.find("may_have_run") != std::string::npos);
  CHECK(body.find("[DONE]") == std::string::npos);
  std::string text;
  for (std::size_t position = body.find("data: {");
       position != std::string::npos;
       position = body.find("data: {", position + 1)) {
    text += TextOf(nlohmann::json::parse(
        body.substr(position + 6, body.find('\n', position) - position - 6),
        nullptr, false));
  }
  CHECK_FALSE(text.empty());
  CHECK(ExpectedAnswer("proof", 30).rfind(text, 0) == 0);
}

// Guards against a second run of a keyed request that is resent through both
// entries during and after a log outage, and against losing its result.
TEST(OnlineRequests_TwoEntriesTwoDaemons, ResentKeyedRequestRunsOnce) {
  const std::string body = Body("order", 100, kNonRepeatable);
  const std::map<std::string, std::string> key = {{"Idempotency-Key", "o-1"}};
  auto first = this->Post(0, body, key);
  CHECK(this->WaitForRunningEngine() >= 0);
  std::this_thread::sleep_for(milliseconds(300));
  this->SetOutage(true);
  auto attached = this->Post(0, body, key);
  const auto other_entry_reply =
      this->Post(1, body,
                 {{"Idempotency-Key", "o-1"}, {"X-Patience-Ms", "300"}})
          .get();
  STRCMP_EQUAL("may_have_run", other_entry_reply.value("verdict", "").c_str());
  const auto refused = this->Post(1, body, {{"Idempotency-Key", "o-2"}}).get();
  STRCMP_EQUAL("not_run", refused.value("verdict", "").c_str());
  STRCMP_EQUAL("log_unavailable", refused["error"].value("code", "").c_str());
  const auto key_reuse =
      this->Post(0, Body("other", 5, kNonRepeatable), key).get();
  STRCMP_EQUAL("key_reused", key_reuse["error"].value("code", "").c_str());
  const auto reply = first.get();
  const std::string expected = ExpectedAnswer("order", 100);
  STRCMP_EQUAL(expected.c_str(), TextOf(reply).c_str());
  STRCMP_EQUAL(expected.c_str(), TextOf(attached.get()).c_str());
  this->SetOutage(false);
  for (int entry = 0; entry < 2; ++entry) {
    std::string text;
    CHECK(WaitUntil([&] {
      text = TextOf(
          this->Post(entry, body,
                     {{"Idempotency-Key", "o-1"}, {"X-Patience-Ms", "2000"}})
              .get());
      return !text.empty();
    }));
    STRCMP_EQUAL(expected.c_str(), text.c_str());
    const auto stored = CallJson(
        "GET", this->entries[entry] + "/v1/results/" + reply.value("id", ""));
    STRCMP_EQUAL(expected.c_str(), stored.value("text", "").c_str());
  }
  CHECK_EQUAL(1, this->TotalRuns());
}

// Guards against a second run of a repeatable keyed request that is resent
// while it runs.
TEST(OnlineRequests_TwoEntriesTwoDaemons, ResentRepeatableRequestAttaches) {
  const std::string body = Body("twice", 60);
  const std::map<std::string, std::string> key = {{"Idempotency-Key", "t-1"}};
  auto first = this->Post(0, body, key);
  CHECK(this->WaitForRunningEngine() >= 0);
  auto second = this->Post(0, body, key);
  for (auto* reply : {&first, &second}) {
    STRCMP_EQUAL(ExpectedAnswer("twice", 60).c_str(),
                 TextOf(reply->get()).c_str());
  }
  CHECK_EQUAL(1, this->TotalRuns());
}

// Guards against a second run of a keyed request after the entry that
// dispatched it was killed, and against losing the result that its daemon
// holds.
TEST(OnlineRequests_TwoEntriesTwoDaemons, ResultOutlivesAKilledEntry) {
  const std::string body = Body("print", 40, kNonRepeatable);
  const std::map<std::string, std::string> key = {{"Idempotency-Key", "p-1"},
                                                  {"X-Patience-Ms", "400"}};
  auto first = this->Post(0, body, {{"Idempotency-Key", "p-1"}});
  CHECK(this->WaitForRunningEngine() >= 0);
  this->fleet.Signal("entry-1", SIGKILL);
  first.get();
  const auto resent = this->Post(1, body, key).get();
  STRCMP_EQUAL("may_have_run", resent.value("verdict", "").c_str());
  CHECK(WaitUntil([this] { return this->TotalRunning() == 0; }));
  this->fleet.Restart("entry-1");
  std::string text;
  CHECK(WaitUntil([&] {
    text = TextOf(this->Post(1, body, key).get());
    return !text.empty();
  }));
  STRCMP_EQUAL(ExpectedAnswer("print", 40).c_str(), text.c_str());
  CHECK_EQUAL(1, this->TotalRuns());
}

// Guards against a hedged request that returns parts of two answers, or that
// waits for the slow engine.
TEST(OnlineRequests_TwoEntriesTwoDaemons,
     HedgedRequestReturnsOneCompleteAnswer) {
  Call("POST", this->engines[0] + "/admin/faults",
       R"({"slow_factor":150,"slow_ms":20000})");
  bool is_hedged = false;
  for (int i = 0; i < 10 && !is_hedged; ++i) {
    const std::string prompt = "hedge " + std::to_string(i);
    STRCMP_EQUAL(ExpectedAnswer(prompt, 6).c_str(),
                 TextOf(this->Post(0, Body(prompt, 6)).get()).c_str());
    is_hedged = this->fleet.ReadLogFile("entry-1").find("request_hedged") !=
                std::string::npos;
  }
  CHECK(is_hedged);
  // The slower attempt is revoked and frees its slot.
  CHECK(WaitUntil([this] { return this->TotalRunning() == 0; },
                  std::chrono::seconds(2)));
}

// Guards against slots that stay occupied after the caller has disconnected,
// with and without a stream.
TEST(OnlineRequests_TwoEntriesTwoDaemons, DisconnectedCallerFreesTheSlot) {
  for (const char* extra_fields : {"", R"("stream":true,)"}) {
    RawCaller caller(this->fleet.Port("entry-1", "http"));
    caller.SendRequest(Body("long", 1000, extra_fields));
    CHECK(this->WaitForRunningEngine() >= 0);
    caller.Close();
    CHECK(WaitUntil([this] { return this->TotalRunning() == 0; },
                    std::chrono::seconds(3)));
  }
}

// Guards against a shutdown that loses a result, or that cuts off requests of
// callers that use the entry for as long as /readyz reports it as ready.
TEST(OnlineRequests_TwoEntriesTwoDaemons, ShutdownUnderLoadCutsOffNoRequest) {
  std::atomic<bool> is_ready = true;
  std::atomic<int> complete = 0;
  std::atomic<int> failed = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; is_ready; ++n) {
        const std::string prompt = std::to_string(i) + "-" + std::to_string(n);
        const auto text = TextOf(CallJson(
            "POST", this->entries[0] + "/v1/requests", Body(prompt, 12)));
        ++(text == ExpectedAnswer(prompt, 12) ? complete : failed);
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(600));
  auto long_request = this->Post(0, Body("long", 100));
  std::this_thread::sleep_for(milliseconds(100));
  this->fleet.Signal("entry-1", SIGTERM);
  while (is_ready) {
    // A load balancer polls only at intervals.
    std::this_thread::sleep_for(milliseconds(250));
    is_ready = Call("GET", this->entries[0] + "/readyz").status == 200;
  }
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK_EQUAL(0, failed.load());
  CHECK(complete.load() > 12);
  // The log is unavailable when the long request finishes, so its result can be
  // written only while the entry flushes held results.
  this->SetOutage(true);
  const auto reply = long_request.get();
  STRCMP_EQUAL(ExpectedAnswer("long", 100).c_str(), TextOf(reply).c_str());
  std::this_thread::sleep_for(milliseconds(500));
  this->SetOutage(false);
  CHECK_EQUAL(0, this->fleet.WaitForExit("entry-1", std::chrono::seconds(10)));
  const auto stored = CallJson(
      "GET", this->entries[1] + "/v1/results/" + reply.value("id", ""));
  STRCMP_EQUAL(ExpectedAnswer("long", 100).c_str(),
               stored.value("text", "").c_str());
}

// Guards against requests that an entry takes late in its shutdown, passes on
// to an engine and cuts off as it ends.
TEST(OnlineRequests_TwoEntriesTwoDaemons, LateRequestOfAShutdownIsRefused) {
  const std::string entry = this->fleet.StartEntry(
      "entry-3", this->log, this->daemons,
      "[shutdown]\nbalancer_delay = 300\nrunning_limit = 2500\n");
  CHECK(WaitUntil(
      [&entry] { return Call("GET", entry + "/readyz").status == 200; }));
  const std::uint16_t port = this->fleet.Port("entry-3", "http");
  // Both are open when the signal comes; the second one has sent a part of its
  // request.
  RawCaller kept(port);
  RawCaller half_sent(port);
  // 6 s, and the caller waits as long as the entry's default allows.
  const std::string kept_body = Body("kept", 300);
  const std::string half_body = Body("half", 300, kNonRepeatable);
  half_sent.Send("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                 std::to_string(half_body.size()) + "\r\n\r\n" +
                 half_body.substr(0, 10));
  auto long_request = std::async(std::launch::async, [&entry] {
    return CallJson("POST", entry + "/v1/requests", Body("long", 100));
  });
  CHECK(WaitUntil([this] { return this->TotalRuns() == 1; }));
  this->fleet.Signal("entry-3", SIGTERM);
  std::this_thread::sleep_for(milliseconds(1000));
  kept.SendRequest(kept_body);
  half_sent.Send(half_body.substr(10));
  for (auto* caller : {&kept, &half_sent}) {
    const std::string received = caller->Receive(std::chrono::seconds(4));
    CHECK(received.starts_with("HTTP/1.1 503 "));
    CHECK(received.find("not_run") != std::string::npos);
    CHECK(received.find("Retry-After: ") != std::string::npos);
  }
  STRCMP_EQUAL(ExpectedAnswer("long", 100).c_str(),
               TextOf(long_request.get()).c_str());
  CHECK_EQUAL(1, this->TotalRuns());
  CHECK_EQUAL(0, this->fleet.WaitForExit("entry-3", std::chrono::seconds(10)));
}

// Guards against bodies that crash the entry, or that reach an engine although
// they are incomplete or invalid.
TEST(OnlineRequests_TwoEntriesTwoDaemons, InvalidBodiesAreRefusedAsNotRun) {
  const std::string url = this->entries[0] + "/v1/requests";
  const std::string valid = Body("cut", 4);
  for (const std::string& body :
       {std::string("{"), std::string("[]"), std::string("\xff\xfe{}"),
        Body("x", 0), Body("x", 4, R"("unknown":1,)"),
        Body("x", 4, R"("repeatable":"no",)"), std::string(100, '[')}) {
    const auto reply = Call("POST", url, body);
    CHECK_EQUAL(400, reply.status);
    CHECK(reply.body.find("not_run") != std::string::npos);
  }
  const auto large = Call("POST", url, std::string(2 << 20, 'x'));
  CHECK_EQUAL(413, large.status);
  {
    RawCaller caller(this->fleet.Port("entry-1", "http"));
    caller.Send("POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                std::to_string(valid.size() + 1) + "\r\n\r\n" + valid);
    std::this_thread::sleep_for(milliseconds(100));
  }
  std::this_thread::sleep_for(milliseconds(100));
  CHECK_EQUAL(0, this->TotalRuns());
  STRCMP_EQUAL(ExpectedAnswer("cut", 4).c_str(),
               TextOf(CallJson("POST", url, valid)).c_str());
}

}  // namespace crocus
