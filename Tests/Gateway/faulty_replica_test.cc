#include <CppUTest/TestHarness.h>

#include <list>
#include <set>

#include <nlohmann/json.hpp>

#include "PlatformStandin/gateway_fleet.h"
#include "PlatformStandin/scripted_server.h"
#include "platform/names.h"

namespace crocus {

namespace {

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kUnavailable = 503;

std::string Field(std::string_view name, const std::string& value) {
  return std::string(name) + ": " + value + "\r\n";
}

/// The head of a response that states the id of its request, unless that is
/// empty.
std::string Head(const std::string& status,
                 const std::string& id,
                 const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\n" +
         (id.empty() ? "" : Field(platform::header::kAttemptId, id)) + fields +
         "\r\n";
}

std::string Refusal(const std::string& id) {
  return Head("503 Full", id,
              Field(platform::header::kNotExecuted, "1") +
                  Field("Content-Length", "0"));
}

/// A signed, complete response.
std::string Success(const std::string& id, const std::string& body) {
  return Head("200 OK", id,
              Field(platform::header::kSignature, "s") +
                  Field("Content-Length", std::to_string(body.size()))) +
         body;
}

}  // namespace

/// Gateway before scripted replicas.
TEST_GROUP(Gateway_FaultyReplica) {
  GatewayFleet fleet;
  std::list<ScriptedServer> servers;
  /// Ids of the requests that scripted replicas have run, by replica.
  std::map<std::string, std::multiset<std::string>> runs;

  void AddReplica(const std::string& id, const std::string& endpoint,
                  ScriptedServer::Script script) {
    this->servers.emplace_back(this->fleet.loop, std::move(script));
    this->fleet.RegisterReplica(id, endpoint, this->servers.back().port(),
                                "ready");
  }

  std::uint32_t StatusOf(const std::string& kind, const std::string& id) {
    const auto reply =
        this->fleet.Send("a", GatewayFleet::MakeRequestHead(kind, id));
    return reply ? reply->head.status : 0;
  }

  /// Starts a gateway before a replica that refuses its first request, runs the
  /// others and writes the refusal, without an id, before their responses.
  void StartWithRepeatedRefusal(const std::string& endpoint) {
    this->AddReplica("i-bad", endpoint, [this](const ScriptedRequest& request) {
      if (request.earlier_on_connection == 0) {
        return ScriptedResponse{.bytes = Refusal("")};
      }
      this->runs["i-bad"].insert(request.id);
      return ScriptedResponse{.bytes = Refusal(""),
                              .late_bytes = Success(request.id, "x"),
                              .delay = std::chrono::milliseconds(100)};
    });
    this->fleet.StartGateway("a");
  }
};

// Guards against a refusal of an earlier request, repeated on a kept
// connection, that is taken for the refusal of a request which the replica
// runs.
TEST(Gateway_FaultyReplica, RepeatedRefusalIsNotTakenForTheNextRequest) {
  this->StartWithRepeatedRefusal("desk");
  CHECK_EQUAL(kUnavailable, this->StatusOf("once", "refused"));
  const std::uint32_t status = this->StatusOf("once", "run");
  CHECK_EQUAL(kBadGateway, status);
  CHECK_EQUAL(1U, this->runs["i-bad"].count("run"));
}

// Guards against a second run of such a request at another replica.
TEST(Gateway_FaultyReplica, RepeatedRefusalCausesNoSecondRun) {
  this->StartWithRepeatedRefusal("desk");
  CHECK_EQUAL(kUnavailable, this->StatusOf("once", "refused"));
  this->AddReplica("i-good", "desk", [this](const ScriptedRequest& request) {
    this->runs["i-good"].insert(request.id);
    return ScriptedResponse{.bytes = Success(request.id, "x")};
  });
  this->fleet.RunFor(std::chrono::milliseconds(700));
  for (int i = 0; i < 10; ++i) {
    const std::string id = "once-" + std::to_string(i);
    this->StatusOf("once", id);
    CHECK(this->runs["i-bad"].count(id) + this->runs["i-good"].count(id) <= 1);
  }
}

// Guards against a response without an id on a kept connection that is given to
// the next request: it may be a copy of an earlier one.
TEST(Gateway_FaultyReplica, ResponseWithoutIdOnAKeptConnectionIsNotUsed) {
  this->AddReplica("i-bad", "desk", [](const ScriptedRequest& request) {
    return ScriptedResponse{
        .bytes =
            Success(request.earlier_on_connection == 0 ? request.id : "", "x")};
  });
  this->fleet.StartGateway("a");
  CHECK_EQUAL(kOk, this->StatusOf("once", "first"));
  const std::uint32_t status = this->StatusOf("once", "second");
  CHECK_EQUAL(kBadGateway, status);
}

// Guards against losing the refusal of a replica that states no id on a new
// connection: no earlier request can have caused it.
TEST(Gateway_FaultyReplica, RefusalWithoutIdOnANewConnectionIsPassedOn) {
  this->AddReplica("i-bad", "desk", [](const ScriptedRequest&) {
    return ScriptedResponse{.bytes = Refusal(""), .closes = true};
  });
  this->fleet.StartGateway("a");
  CHECK_EQUAL(kUnavailable, this->StatusOf("once", "first"));
  CHECK_EQUAL(kUnavailable, this->StatusOf("once", "second"));
}

// Guards against passing on a status that promises that the request has not
// run, which its replica has not declared.
TEST(Gateway_FaultyReplica, UndeclaredRefusalIsReportedAsAFailure) {
  for (const std::string status : {"408", "429", "503"}) {
    const std::string id = "i-" + status;
    this->AddReplica(id, "desk", [status](const ScriptedRequest& request) {
      return ScriptedResponse{
          .bytes = Head(status + " Busy", request.id,
                        Field(platform::header::kSignature, "s") +
                            Field("Content-Length", "0"))};
    });
    if (status == "408") {
      this->fleet.StartGateway("a");
    }
    this->fleet.RunFor(std::chrono::milliseconds(700));
    const auto reply =
        this->fleet.Send("a", GatewayFleet::MakeRequestHead("once", id));
    CHECK_EQUAL(kBadGateway, reply->head.status);
    CHECK_FALSE(
        reply->head.fields.Find(platform::header::kSignature).has_value());
    this->fleet.UnregisterReplica(id);
  }
}

// Guards against an item whose refusal the replica repeats when the item comes
// again: it must not run at two replicas at the same time.
TEST(Gateway_FaultyReplica, RepeatedRefusalOfAnItemIsNotTakenForItsNextRun) {
  int requests = 0;
  bool is_running = false;
  this->AddReplica("i-bad", "model", [&](const ScriptedRequest& request) {
    if (++requests == 1) {
      return ScriptedResponse{.bytes = Refusal(request.id)};
    }
    if (request.earlier_on_connection > 0) {
      is_running = true;
      return ScriptedResponse{.bytes = Refusal(request.id)};
    }
    return ScriptedResponse{
        .bytes = Head("200 OK", request.id,
                      Field(platform::header::kSignature, "s") +
                          Field("Transfer-Encoding", "chunked")) +
                 "11\r\nid: 0\ndata: all\n\n\r\n0\r\n\r\n"};
  });
  this->fleet.StartGateway("a");
  CHECK_EQUAL(202U, this->fleet.Submit("a", "job", {"item"})->head.status);
  CHECK(this->fleet.RunUntil([this] {
    const auto page = this->fleet.ReadResults("a", "job");
    return !page.is_null() && page["results"].size() == 1;
  }));
  CHECK_FALSE(is_running);
}

}  // namespace crocus
