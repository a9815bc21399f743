#include <CppUTest/TestHarness.h>

#include <signal.h>

#include "PlatformStandin/gateway_fleet.h"

namespace crocus {

namespace {

constexpr std::uint32_t kOk = 200;

std::uint32_t StatusOf(const Result<FetchedResponse>& reply) {
  return reply ? reply->head.status : 0;
}

}  // namespace

TEST_GROUP(Gateway_TwoReplicas) {
  GatewayFleet fleet;
  ReplicaStandin* first = nullptr;
  ReplicaStandin* second = nullptr;

  void setup() override {
    this->first = &this->fleet.AddReplica("model", {.id = "i-1"});
    this->second = &this->fleet.AddReplica("model", {.id = "i-2"});
    this->fleet.AddReplica("desk", {.id = "d-1"});
    this->fleet.AddReplica("desk", {.id = "d-2"});
    this->fleet.StartGateway("gateway");
  }

  void SetFaults(const ReplicaFaults& faults) {
    for (const auto& replica : this->fleet.replicas) {
      replica->set_faults(faults);
    }
  }

  Result<FetchedResponse> Send(const std::string& kind, const std::string& id) {
    return this->fleet.Send("gateway", GatewayFleet::Head(kind, id));
  }
};

// Guards against streams that lose or change bytes on the way.
TEST(Gateway_TwoReplicas, StreamPassesUnchanged) {
  const auto reply = this->Send("stream", "s1");
  CHECK_EQUAL(kOk, StatusOf(reply));
  STRCMP_EQUAL(ExpectedStream("s1").c_str(), reply->body.c_str());
}

// Guards against a second run of a request that may run once only.
TEST(Gateway_TwoReplicas, LostAnswerOfOnceOnlyRequestIsNotRepeated) {
  this->SetFaults({.lost_answers = 1});
  CHECK_EQUAL(502U, StatusOf(this->Send("once", "plain-once")));
  CHECK_EQUAL(1U, this->fleet.RunsOf("plain-once"));
}

// Guards against answering "not run" for a request that has run.
TEST(Gateway_TwoReplicas, LostAnswersOfIdempotentRequestAreNotCalledRefused) {
  this->SetFaults({.lost_answers = 1});
  CHECK_EQUAL(502U, StatusOf(this->Send("plain", "plain-lost")));
  CHECK_EQUAL(2U, this->fleet.RunsOf("plain-lost"));
}

// Guards against giving up an idempotent request after its first replica.
TEST(Gateway_TwoReplicas, LostAnswerOfIdempotentRequestIsTriedElsewhere) {
  this->fleet.replicas[2]->set_faults({.lost_answers = 1});
  for (int i = 0; i < 8; ++i) {
    const std::string id = "plain-" + std::to_string(i);
    const auto reply = this->Send("plain", id);
    CHECK_EQUAL(kOk, StatusOf(reply));
    STRCMP_EQUAL(StandinAnswer(id).c_str(), reply->body.c_str());
  }
}

// Guards against a broken stream that looks whole.
TEST(Gateway_TwoReplicas, BrokenStreamDoesNotLookWhole) {
  this->SetFaults({.breaks = 1});
  CHECK_FALSE(this->Send("stream", "s2").has_value());
  CHECK_EQUAL(1U, this->fleet.RunsOf("s2"));
}

// Guards against missing or doubled events where a stream goes on elsewhere.
TEST(Gateway_TwoReplicas, BrokenResumableStreamGoesOnWithoutGap) {
  this->first->set_faults({.breaks = 1});
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto reply = this->Send("resumable", id);
    CHECK_EQUAL(kOk, StatusOf(reply));
    STRCMP_EQUAL(ExpectedStream(id).c_str(), reply->body.c_str());
  }
}

// Guards against passing on a success that the replica does not vouch for.
TEST(Gateway_TwoReplicas, UnsealedSuccessIsNotPassedOn) {
  this->SetFaults({.unsealed = 1});
  CHECK_EQUAL(502U, StatusOf(this->Send("plain", "plain-unsealed")));
}

// Guards against giving a caller the second answer of another request.
TEST(Gateway_TwoReplicas, SecondAnswerIsNotGivenToTheNextRequest) {
  this->SetFaults({.repeats = 1});
  for (int i = 0; i < 10; ++i) {
    const std::string id = "plain-repeat-" + std::to_string(i);
    const auto reply = this->Send("plain", id);
    CHECK_EQUAL(kOk, StatusOf(reply));
    STRCMP_EQUAL(StandinAnswer(id).c_str(), reply->body.c_str());
  }
}

// Guards against work that goes on at a replica after its caller has left.
TEST(Gateway_TwoReplicas, RunEndsWhenItsCallerLeaves) {
  this->SetFaults({.is_mute = true});
  CHECK_FALSE(this->fleet
                  .Send("gateway", GatewayFleet::Head("stream", "left"), "",
                        std::chrono::milliseconds(200))
                  .has_value());
  CHECK_TRUE(this->fleet.RunUntil(
      [this] { return this->first->running() + this->second->running() == 0; },
      std::chrono::milliseconds(500)));
}

// Guards against callers that are kept beyond the route's timeout.
TEST(Gateway_TwoReplicas, SilentReplicaEndsInTimeoutThatPromisesNothing) {
  this->SetFaults({.is_mute = true});
  auto head = GatewayFleet::Head("once", "plain-mute");
  CHECK_EQUAL(504U, StatusOf(this->fleet.Send("gateway", head)));
}

// Guards against requests to a replica that is leaving.
TEST(Gateway_TwoReplicas, DrainingReplicaGetsNoRequests) {
  this->fleet.RegisterReplica("i-1", "model", this->first->port(), "draining");
  this->fleet.RunFor(std::chrono::milliseconds(800));
  for (int i = 0; i < 8; ++i) {
    CHECK_EQUAL(kOk, StatusOf(this->Send("stream", "d" + std::to_string(i))));
  }
  CHECK_TRUE(this->first->runs().empty());
}

// Guards against running a request at a successor of a replica that uses its
// address.
TEST(Gateway_TwoReplicas, SuccessorAtTheSameAddressDoesNotRunTheRequest) {
  this->fleet.RegisterReplica("i-old", "model", this->first->port(), "ready");
  this->fleet.UnregisterReplica("i-1");
  this->fleet.RunFor(std::chrono::milliseconds(800));
  for (int i = 0; i < 8; ++i) {
    CHECK_EQUAL(kOk, StatusOf(this->Send("stream", "o" + std::to_string(i))));
  }
  CHECK_TRUE(this->first->runs().empty());
}

// Guards against entries of other writers that name no replica.
TEST(Gateway_TwoReplicas, UnreadableRegistryEntriesAreIgnored) {
  this->fleet.store.Put("keyed.servers", "x-1", "not json");
  this->fleet.store.Put("keyed.servers", "x-2", R"({"service":7})");
  this->fleet.store.Put("keyed.servers", "x-3",
                        R"({"service":"model","address":"127.0.0.1:1",)"
                        R"("zone":"z","slots":4,"state":"sleeping"})");
  this->fleet.RunFor(std::chrono::milliseconds(600));
  for (int i = 0; i < 8; ++i) {
    CHECK_EQUAL(kOk, StatusOf(this->Send("stream", "u" + std::to_string(i))));
  }
}

// Guards against an older configuration coming back into force.
TEST(Gateway_TwoReplicas, OlderConfigurationDoesNotComeBack) {
  this->fleet.PublishConfig(9, "extra");
  CHECK_TRUE(this->fleet.RunUntil(
      [this] { return StatusOf(this->Send("extra", "plain-e1")) == kOk; },
      std::chrono::milliseconds(1500)));
  this->fleet.PublishConfig(8);
  this->fleet.RunFor(std::chrono::milliseconds(500));
  CHECK_EQUAL(kOk, StatusOf(this->Send("extra", "plain-e2")));
}

// Guards against requests that fail because the store is away.
TEST(Gateway_TwoReplicas, OnlineRequestsAreServedWhileTheStoreIsAway) {
  this->fleet.store.set_faults({.refusal = 503});
  this->fleet.RunFor(std::chrono::milliseconds(1500));
  CHECK_EQUAL(kOk, StatusOf(this->Send("stream", "away")));
  CHECK_TRUE(this->fleet.IsReady("gateway"));
}

// Guards against losing replicas whose entries lapsed during an outage of the
// store.
TEST(Gateway_TwoReplicas, LapsedEntriesAreUsedUntilTheyAreBack) {
  this->fleet.store.set_faults({.refusal = 503});
  this->fleet.RunFor(std::chrono::milliseconds(1500));
  this->fleet.UnregisterReplica("i-1");
  this->fleet.UnregisterReplica("i-2");
  this->fleet.store.set_faults({});
  this->fleet.RunFor(std::chrono::milliseconds(1000));
  CHECK_EQUAL(kOk, StatusOf(this->Send("stream", "lapsed")));
  this->fleet.RunFor(std::chrono::milliseconds(2500));
  CHECK_EQUAL(503U, StatusOf(this->Send("stream", "gone")));
}

// Guards against requests that a graceful shutdown cuts off.
TEST(Gateway_TwoReplicas, ShutdownFinishesTheRunningStream) {
  this->fleet.AddReplica(
      "model", {.id = "i-slow", .event_time = std::chrono::milliseconds(60)});
  this->fleet.UnregisterReplica("i-1");
  this->fleet.UnregisterReplica("i-2");
  this->fleet.RunFor(std::chrono::milliseconds(800));
  std::optional<Result<FetchedResponse>> reply;
  Fetch(this->fleet.loop, this->fleet.pool,
        {.pool_key = "slow",
         .server = {boost::asio::ip::make_address("127.0.0.1"),
                    this->fleet.CallerPort("gateway")},
         .head = GatewayFleet::Head("stream", "slow"),
         .time_limit = std::chrono::seconds(5)},
        [&reply](auto fetched) { reply = std::move(fetched); });
  this->fleet.RunFor(std::chrono::milliseconds(100));
  this->fleet.processes.Signal("gateway", SIGTERM);
  this->fleet.RunFor(std::chrono::milliseconds(50));
  CHECK_FALSE(this->fleet.IsReady("gateway"));
  CHECK_TRUE(this->fleet.RunUntil([&reply] { return reply.has_value(); }));
  CHECK_EQUAL(kOk, StatusOf(*reply));
  STRCMP_EQUAL(ExpectedStream("slow").c_str(), (*reply)->body.c_str());
  CHECK_EQUAL(
      0, this->fleet.processes.WaitForExit("gateway", std::chrono::seconds(9)));
}

// Guards against SIGHUP ending the process.
TEST(Gateway_TwoReplicas, HangupSignalLeavesTheProcessServing) {
  this->fleet.processes.Signal("gateway", SIGHUP);
  this->fleet.RunFor(std::chrono::milliseconds(200));
  CHECK_EQUAL(kOk, StatusOf(this->Send("stream", "after-hangup")));
}

}  // namespace crocus
