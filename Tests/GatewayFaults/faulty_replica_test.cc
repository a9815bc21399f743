#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <nlohmann/json.hpp>

#include "LibAsyncHttp/http_serialization.h"
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

// Guards against a result that is larger than one call to the store may be, and
// that keeps all later results of its gateway from being written.
TEST(Gateway_FaultyReplica, TextAboveACallOfTheStoreIsWritten) {
  const std::string part(100'000, 'x');
  constexpr int kParts = 30;
  this->AddReplica("i-1", "model", [&part](const ScriptedRequest& request) {
    std::string events;
    for (int i = 0; i < (request.id == "large" ? kParts : 1); ++i) {
      events += "id: " + std::to_string(i) + "\ndata: " + part + "\n\n";
    }
    return ScriptedResponse{
        .bytes =
            Head("200 OK", request.id,
                 Field(platform::header::kSignature, "s") +
                     Field("Content-Type", "text/event-stream") +
                     Field("Content-Length", std::to_string(events.size()))) +
            events};
  });
  this->fleet.StartGateway("a");
  CHECK_EQUAL(202U,
              this->fleet.Submit("a", "job", {"large", "small"})->head.status);
  std::map<std::string, std::size_t> sizes;
  CHECK(this->fleet.RunUntil([&, this] {
    const auto page = this->fleet.ReadResults("a", "job", sizes.size());
    for (const auto& result :
         page.is_null() ? nlohmann::json::array() : page["results"]) {
      sizes[result["id"]] = result["text"].get<std::string>().size();
    }
    return sizes.size() == 2;
  }));
  CHECK_EQUAL(part.size(), sizes["small"]);
  CHECK_EQUAL(kParts * (part.size() + 1) - 1, sizes["large"]);
}

namespace {

const std::string kStreamFields = Field(platform::header::kSignature, "s") +
                                  Field("Content-Type", "text/event-stream");

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string StreamEventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) +
         "\n\n";
}

/// The response to a resumed stream, and whether it goes on with the stream.
struct ResumedResponse {
  std::string name;
  std::string head;
  std::string body;
  bool continues = false;
};

std::vector<ResumedResponse> ResumedResponses(const std::string& id) {
  const std::string chunked = Field("Transfer-Encoding", "chunked");
  const std::string signature = Field(platform::header::kSignature, "s");
  const auto length = [](const std::string& body) {
    return Field("Content-Length", std::to_string(body.size()));
  };
  const std::string error = "id: 2\ndata: error text\n\n";
  return {
      {"next events", Head("200 OK", id, kStreamFields + chunked),
       Chunk(StreamEventText(2)) + Chunk(StreamEventText(3)) + "0\r\n\r\n",
       true},
      {"all events", Head("200 OK", id, kStreamFields + chunked),
       Chunk(StreamEventText(0) + StreamEventText(1) + StreamEventText(2) +
             StreamEventText(3)) +
           "0\r\n\r\n",
       true},
      {"500", Head("500 Error", id, signature + length(error)), error},
      {"404", Head("404 Not Found", id, signature + length(error)), error},
      {"204", Head("204 No Content", id, kStreamFields), ""},
      {"206", Head("206 Partial", id, kStreamFields + length(error)), error},
      {"JSON",
       Head("200 OK", id,
            signature + Field("Content-Type", "application/json") +
                length(error)),
       error},
      {"no content type", Head("200 OK", id, signature + length(error)), error},
      {"unsigned",
       Head("200 OK", id,
            Field("Content-Type", "text/event-stream") + length(error)),
       error},
      {"another request",
       Head("200 OK", "another", kStreamFields + length(error)), error},
      {"empty", Head("200 OK", id, kStreamFields + chunked), "0\r\n\r\n"},
      {"empty with a length", Head("200 OK", id, kStreamFields + length("")),
       ""},
      {"a gap", Head("200 OK", id, kStreamFields + chunked),
       Chunk(StreamEventText(3)) + "0\r\n\r\n"},
      {"data without an id", Head("200 OK", id, kStreamFields + chunked),
       Chunk("data: error text\n\n") + "0\r\n\r\n"},
      {"text", Head("200 OK", id, kStreamFields + chunked),
       Chunk("error text\n\n") + "0\r\n\r\n"},
      {"a head in the body", Head("200 OK", id, kStreamFields),
       "HTTP/1.1 500 error text\r\nContent-Length: 0\r\n\r\n"},
      {"a part of the status line", "HTTP/1.1 200", ""},
      {"a status line", "HTTP/1.1 200 OK\r\n", ""},
      {"a head without its end",
       "HTTP/1.1 200 OK\r\n" + Field(platform::header::kAttemptId, id) +
           kStreamFields + length(""),
       ""},
  };
}

}  // namespace

/// Gateway before a replica whose streams break off after two events; what it
/// sends to a resumed stream is scripted.
TEST_GROUP(Gateway_ResumedStream) {
  GatewayFleet fleet;
  std::list<ScriptedServer> servers;
  ResumedResponse resumed;

  void setup() override {
    const auto script = [this](const ScriptedRequest& request) {
      if (request.text.find(platform::header::kLastEventId) !=
          std::string::npos) {
        return ScriptedResponse{
            .bytes = this->resumed.head + this->resumed.body, .closes = true};
      }
      return ScriptedResponse{
          .bytes = Head("200 OK", request.id,
                        kStreamFields + Field("Transfer-Encoding", "chunked")) +
                   Chunk(StreamEventText(0)) + Chunk(StreamEventText(1)),
          .closes = true};
    };
    for (const std::string id : {"i-1", "i-2"}) {
      this->servers.emplace_back(this->fleet.loop, script);
      this->fleet.RegisterReplica(id, "model", this->servers.back().port(),
                                  "ready");
    }
    this->fleet.StartGateway("a");
  }

  /// All bytes that a caller receives until its connection is closed.
  std::string Receive(const std::string& id) {
    boost::asio::ip::tcp::socket caller(this->fleet.loop);
    caller.connect(
        {boost::asio::ip::address_v4::loopback(), this->fleet.CallerPort("a")});
    RequestHead head = GatewayFleet::MakeRequestHead("resumable", id);
    head.fields.Add("Connection", "close");
    boost::asio::write(caller, boost::asio::buffer(SerializeRequest(head, "")));
    std::string received;
    bool has_ended = false;
    boost::asio::async_read(
        caller, boost::asio::dynamic_buffer(received),
        [&has_ended](const auto&, std::size_t) { has_ended = true; });
    CHECK(this->fleet.RunUntil([&has_ended] { return has_ended; }));
    return received;
  }
};

// Guards against the bytes of another response in the middle of a stream, and
// against a broken stream that looks complete.
TEST(Gateway_ResumedStream, TakesOnlyWhatContinuesIt) {
  std::string wrong;
  for (std::size_t i = 0; i < ResumedResponses("").size(); ++i) {
    const std::string id = "resumed-" + std::to_string(i);
    this->resumed = ResumedResponses(id)[i];
    const std::string received = this->Receive(id);
    const auto body = received.substr(received.find("\r\n\r\n") + 4);
    std::string expected =
        Chunk(StreamEventText(0)) + Chunk(StreamEventText(1));
    if (this->resumed.continues) {
      expected +=
          Chunk(StreamEventText(2)) + Chunk(StreamEventText(3)) + "0\r\n\r\n";
    }
    if (body != expected) {
      wrong += this->resumed.name + "; ";
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

// Guards against an item whose text ends where its first run broke off, because
// the response to its resumed run is empty.
TEST(Gateway_ResumedStream, EmptyResponseDoesNotCompleteAnItem) {
  for (const std::size_t i : {10u, 11u}) {
    const std::string id = "item-" + std::to_string(i);
    this->resumed = ResumedResponses(id)[i];
    CHECK(this->resumed.name.starts_with("empty"));
    CHECK_EQUAL(202U, this->fleet.Submit("a", "job" + id, {id})->head.status);
    this->fleet.RunFor(std::chrono::milliseconds(1500));
    CHECK_EQUAL(0U, this->fleet.ReadResults("a", "job" + id)["results"].size());
  }
}

}  // namespace crocus
