#include <CppUTest/TestHarness.h>

#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "PlatformStandin/gateway_fleet.h"
#include "PlatformStandin/scripted_server.h"
#include "platform/names.h"

namespace crocus {

namespace {

using std::chrono::milliseconds;

/// How long a replica needs for an item.
constexpr Duration kRunTime = milliseconds(300);
constexpr std::uint32_t kSlots = 8;
constexpr int kReplicas = 3;

std::string Field(std::string_view name, const std::string& value) {
  return std::string(name) + ": " + value + "\r\n";
}

std::string Head(const std::string& status,
                 const std::string& id,
                 bool is_signed,
                 const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\n" +
         Field(platform::header::kAttemptId, id) +
         (is_signed ? Field(platform::header::kSignature, "s") : "") +
         Field("Content-Type", "text/event-stream") + fields + "\r\n";
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

/// Ways in which a run fails.
const std::vector<std::string> kFailures = {
    "cut in the head",  "cut after an event",  "status 500",
    "no answer",        "unsigned answer",     "malformed events",
    "too large a text", "answer of another id"};

/// A whole answer with `events`, all after `kRunTime` but the head.
ScriptedResponse Answer(const std::string& head, const std::string& body) {
  return {.bytes = head, .late_bytes = body, .delay = kRunTime};
}

ScriptedResponse SoundAnswer(const std::string& id) {
  const std::string body = "id: 0\ndata: d0\n\nid: 1\ndata: d1\n\n";
  return Answer(Head("200 OK", id, true,
                     Field("Content-Length", std::to_string(body.size()))),
                body);
}

ScriptedResponse FailedAnswer(const std::string& failure,
                              const ScriptedRequest& request) {
  const std::string& id = request.id;
  const std::string chunked = Field("Transfer-Encoding", "chunked");
  const std::string event = "id: 0\ndata: d0\n\n";
  const std::string length =
      Field("Content-Length", std::to_string(event.size()));
  if (failure == "cut in the head") {
    return {.bytes = "HTTP/1.1 200 OK\r\nX-", .closes = true};
  }
  if (failure == "cut after an event") {
    const bool is_resumed =
        request.text.find(platform::header::kLastEventId) != std::string::npos;
    return {.bytes = Head("200 OK", id, true, chunked) +
                     (is_resumed ? "" : Chunk(event)),
            .closes = true};
  }
  if (failure == "status 500") {
    return {.bytes = Head("500 Error", id, true, length) + event};
  }
  if (failure == "unsigned answer") {
    return {.bytes = Head("200 OK", id, false, length) + event};
  }
  if (failure == "malformed events") {
    const std::string body = "data: without an id\n\n";
    return {.bytes =
                Head("200 OK", id, true,
                     Field("Content-Length", std::to_string(body.size()))) +
                body};
  }
  if (failure == "too large a text") {
    std::string events;
    for (int i = 0; i < 5; ++i) {
      events += "id: " + std::to_string(i) +
                "\ndata: " + std::string(1'000'000, 'x') + "\n\n";
    }
    return {.bytes = Head("200 OK", id, true, chunked) + Chunk(events),
            .closes = true};
  }
  if (failure == "answer of another id") {
    return {.bytes = Head("200 OK", "another", true, length) + event,
            .closes = true};
  }
  // No answer.
  return {.bytes = "HTTP/1.1 200 OK\r\n",
          .late_bytes = "X",
          .delay = std::chrono::minutes(1)};
}

}  // namespace

/// Two gateways before three replicas. Items whose id begins with "bad" fail at
/// each run, those whose id begins with "once" at their first run.
TEST_GROUP(Gateway_FailingItems) {
  GatewayFleet fleet{GatewayFleetOptions{.batch_retention_seconds = 600}};
  std::list<ScriptedServer> servers;
  /// How each failing item fails.
  std::map<std::string, std::string> failures;
  std::map<std::string, int> runs;
  std::map<std::string, TimePoint> done;
  /// Results of each job that were read.
  std::map<std::string, std::uint64_t> positions;

  void setup() override {
    for (int i = 0; i < kReplicas; ++i) {
      this->servers.emplace_back(
          this->fleet.loop, [this](const ScriptedRequest& request) {
            const bool fails =
                request.id.starts_with("bad") ||
                (request.id.starts_with("once") && this->runs[request.id] == 0);
            ++this->runs[request.id];
            return fails ? FailedAnswer(this->failures.at(request.id), request)
                         : SoundAnswer(request.id);
          });
      this->fleet.RegisterReplica("i-" + std::to_string(i), "model",
                                  this->servers.back().port(), "ready", 1,
                                  kSlots);
    }
    this->fleet.StartGateway("a");
    this->fleet.StartGateway("b");
  }

  /// `count` items, a share of which fails in that way at each run. The ids of
  /// the others begin with `others`.
  std::vector<std::string> MakeItems(const std::string& name, int count,
                                     double share, const std::string& failure,
                                     const std::string& others = "good") {
    std::vector<std::string> items;
    for (int i = 0; i < count; ++i) {
      const bool is_bad =
          static_cast<int>((i + 1) * share) > static_cast<int>(i * share);
      const std::string id =
          (is_bad ? "bad" : others) + name + "-" + std::to_string(i);
      this->failures[id] = failure;
      items.push_back(id);
    }
    return items;
  }

  std::size_t SoundDone(const std::vector<std::string>& items) {
    return std::count_if(items.begin(), items.end(), [this](const auto& id) {
      return !id.starts_with("bad") && this->done.contains(id);
    });
  }

  /// Submits the items; returns the time until all sound ones are listed, none
  /// if that takes longer than `limit`.
  std::optional<double> TimeUntilSoundAreListed(
      const std::string& job, const std::vector<std::string>& items,
      std::chrono::seconds limit) {
    const TimePoint start = BootTimeNow();
    const auto reply = this->fleet.Submit("a", job, items);
    CHECK_EQUAL(202U, reply ? reply->head.status : 0U);
    return this->WaitForSound(job, items, limit)
               ? std::optional(ToSeconds(BootTimeNow() - start))
               : std::nullopt;
  }

  bool WaitForSound(const std::string& job,
                    const std::vector<std::string>& items,
                    std::chrono::seconds limit) {
    const std::size_t sound =
        std::count_if(items.begin(), items.end(),
                      [](const auto& id) { return !id.starts_with("bad"); });
    return this->fleet.RunUntil(
        [&, this] {
          for (const auto& result :
               this->fleet.ReadAllResults("b", job, this->positions[job])) {
            ++this->positions[job];
            if (result["state"] == "completed") {
              STRCMP_EQUAL("d0\nd1", result["text"].get<std::string>().c_str());
              this->done.emplace(result["id"], BootTimeNow());
            }
          }
          return this->SoundDone(items) == sound;
        },
        limit);
  }

  int RunsOfFailing() const {
    int sum = 0;
    for (const auto& [id, count] : this->runs) {
      sum += id.starts_with("bad") ? count : 0;
    }
    return sum;
  }

  void EndJob(const std::string& job) {
    RequestHead head{.method = "DELETE",
                     .target = std::string(platform::call::kJobPrefix) + job};
    head.fields.Add("Host", "shop.example");
    this->fleet.Send("a", std::move(head));
    this->fleet.RunFor(milliseconds(500));
  }
};

// Guards against items that are never listed because a few others fail at each
// run and put all replicas in backoff.
TEST(Gateway_FailingItems, SoundItemsEndAlthoughAQuarterFails) {
  const auto items =
      this->MakeItems("cut", 28, 0.25, "cut in the head", "once");
  const auto time =
      this->TimeUntilSoundAreListed("job", items, std::chrono::seconds(10));
  CHECK_EQUAL(21U, this->SoundDone(items));
  CHECK(time.has_value());
}

// Guards against the same for each way to fail, with half of the items failing.
// The bound is 1.5 times the time without them and 6 s: the 4 s of one run
// without an answer, a pause and the polling.
TEST(Gateway_FailingItems, SoundItemsEndInTimeForEachKindOfFailure) {
  constexpr int kCount = 60;
  const auto undisturbed = this->TimeUntilSoundAreListed(
      "none", this->MakeItems("none", kCount, 0, ""), std::chrono::seconds(20));
  CHECK(undisturbed.has_value());
  std::string wrong;
  for (std::size_t i = 0; i < kFailures.size(); ++i) {
    const std::string name = "kind" + std::to_string(i);
    const auto items = this->MakeItems(name, kCount, 0.5, kFailures[i]);
    const auto time =
        this->TimeUntilSoundAreListed(name, items, std::chrono::seconds(15));
    if (!time || *time > 1.5 * *undisturbed + 6) {
      wrong += kFailures[i] + ": " + std::to_string(time ? *time : -1.0) +
               " s, " + std::to_string(this->SoundDone(items)) + " listed; ";
    }
    this->EndJob(name);
  }
  STRCMP_EQUAL("", wrong.c_str());
}

// Guards against sound items that wait for a growing share of failing ones.
// Prints the times and the runs of failing items.
TEST(Gateway_FailingItems, SoundItemsEndInTimeForEachShareOfFailing) {
  constexpr int kCount = 100;
  constexpr std::chrono::seconds kLimit{40};
  double undisturbed = 0;
  for (const double share : {0.0, 0.05, 0.25, 0.5}) {
    const std::string name =
        "share" + std::to_string(static_cast<int>(share * 100));
    const int runs_before = this->RunsOfFailing();
    const auto items = this->MakeItems(name, kCount, share, "cut in the head");
    const auto time = this->TimeUntilSoundAreListed(name, items, kLimit);
    char text[128];
    std::snprintf(text, sizeof(text),
                  "%2.0f %% failing: %zu of %d sound items after %.1f s, %d "
                  "runs of failing ones\n",
                  100 * share, this->SoundDone(items),
                  kCount - static_cast<int>(kCount * share),
                  time.value_or(ToSeconds(kLimit)),
                  this->RunsOfFailing() - runs_before);
    UT_PRINT(text);
    undisturbed = share == 0 ? time.value_or(0) : undisturbed;
    CHECK(time.has_value());
    CHECK(*time <= 1.5 * undisturbed + 2);
    this->EndJob(name);
  }
}

// Guards against a host that takes over failing items and begins from nothing:
// the sound items of its other jobs would wait for them again.
TEST(Gateway_FailingItems, NewOwnerLearnsWhatFails) {
  for (int i = 0; i < 4; ++i) {
    const std::string name = "stuck" + std::to_string(i);
    const auto items = this->MakeItems(name, 8, 1, "cut in the head");
    CHECK_EQUAL(202U, this->fleet.Submit("b", name, items)->head.status);
  }
  this->fleet.RunFor(std::chrono::seconds(3));
  this->fleet.processes.Signal("a", SIGKILL);
  this->runs.clear();
  CHECK(this->fleet.RunUntil([this] { return this->runs.size() == 32; },
                             std::chrono::seconds(20)));
  this->runs.clear();
  const auto items = this->MakeItems("sound", 24, 0, "");
  CHECK_EQUAL(202U, this->fleet.Submit("b", "sound", items)->head.status);
  CHECK(this->WaitForSound("sound", items, std::chrono::seconds(5)));
  // Two runs to learn that an item fails, and then one after each pause.
  for (const auto& [id, count] : this->runs) {
    CHECK(!id.starts_with("bad") || count <= 6);
  }
}

// Guards against online requests that fail for their own sake and keep batch
// items, and other callers' requests, from running.
TEST(Gateway_FailingItems, FailingOnlineRequestsHoldBackNothing) {
  for (int i = 0; i < 330; ++i) {
    const std::string id = "bad-online" + std::to_string(i);
    this->failures[id] = "cut in the head";
    const auto reply =
        this->fleet.Send("a", GatewayFleet::MakeRequestHead("stream", id));
    CHECK_FALSE(reply && reply->head.status == 200);
  }
  const auto items =
      this->MakeItems("cut", 28, 0.25, "cut in the head", "once");
  CHECK(this->TimeUntilSoundAreListed("job", items, std::chrono::seconds(10))
            .has_value());
}

}  // namespace crocus
