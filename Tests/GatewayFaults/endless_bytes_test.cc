#include <CppUTest/TestHarness.h>

#include <list>

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "LibAsyncHttp/http_serialization.h"
#include "PlatformStandin/endless_server.h"
#include "PlatformStandin/gateway_fleet.h"
#include "platform/names.h"

namespace crocus {

namespace {

/// Memory of the smallest host of the users' platform.
constexpr std::uint64_t kHostBytes = 160u << 20;
constexpr int kConcurrentRequests = 300;
/// The timeout of the routes, and time to notice it.
constexpr Duration kAnswerLimit = std::chrono::milliseconds(3500);

std::string SignedHead(const std::string& fields) {
  return "HTTP/1.1 200 OK\r\n" + std::string(platform::header::kSignature) +
         ": s\r\n" + fields + "\r\n";
}

}  // namespace

/// Gateway before replicas that send bytes until the caller closes.
TEST_GROUP(Gateway_EndlessBytes) {
  GatewayFleet fleet;
  std::list<EndlessServer> servers;

  void Start(const std::string& endpoint, EndlessServerOptions options) {
    this->servers.emplace_back(this->fleet.loop, std::move(options));
    this->fleet.RegisterReplica("i-bad", endpoint, this->servers.back().port(),
                                "ready");
    this->fleet.StartGateway("a");
  }

  /// The status of a request, which must be answered in time; 0 if the
  /// connection was closed without a complete answer.
  std::uint32_t Request(const std::string& kind) {
    const TimePoint start = BootTimeNow();
    const auto reply =
        this->fleet.Send("a", GatewayFleet::MakeRequestHead(kind, kind + "-1"));
    CHECK(BootTimeNow() - start < kAnswerLimit);
    return reply ? reply->head.status : 0;
  }

  /// A chunked stream whose framing after `start` never ends must break off
  /// well before the route's timeout of 3 s.
  void CheckFramingIsGivenUp(const std::string& start,
                             const std::string& repeated) {
    this->Start("model",
                {.start = SignedHead("Content-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n") +
                          start,
                 .repeated = repeated});
    const TimePoint begin = BootTimeNow();
    CHECK_EQUAL(0U, this->Request("stream"));
    CHECK(BootTimeNow() - begin < std::chrono::seconds(1));
    this->CheckClosed();
  }

  /// All of many requests at once must be answered, within the memory of a
  /// host.
  void CheckMemoryOfConcurrentRequests() {
    int answered = 0;
    for (int i = 0; i < kConcurrentRequests; ++i) {
      RequestHead head =
          GatewayFleet::MakeRequestHead("once", "once-" + std::to_string(i));
      Fetch(this->fleet.loop, this->fleet.pool,
            {.pool_key = "a",
             .server = {boost::asio::ip::address_v4::loopback(),
                        this->fleet.CallerPort("a")},
             .head = std::move(head),
             .body = "",
             .timeout = kAnswerLimit},
            [&answered](auto reply) {
              answered += reply && reply->head.status >= 500 ? 1 : 0;
            });
    }
    std::uint64_t peak = 0;
    CHECK(this->fleet.RunUntil(
        [&] {
          peak = std::max(peak, this->fleet.processes.ResidentBytes("a"));
          return answered == kConcurrentRequests;
        },
        kAnswerLimit + std::chrono::seconds(1)));
    CHECK(peak > 0);
    CHECK(peak < kHostBytes);
    this->CheckClosed();
  }

  void CheckClosed() {
    CHECK(this->fleet.RunUntil(
        [this] { return this->servers.back().open_connections() == 0; },
        std::chrono::seconds(1)));
    CHECK(this->servers.back().connections() > 0);
  }
};

// Guards against waiting for the end of a head that never ends.
TEST(Gateway_EndlessBytes, HeadWithoutEndIsGivenUp) {
  this->Start("desk", {.start = "HTTP/1.1 200 OK\r\n",
                       .repeated = "X-Field: 0123456789abcdef\r\n"});
  CHECK_EQUAL(502U, this->Request("once"));
  this->CheckClosed();
}

// Guards against waiting for the end of bytes that do not begin like an answer.
TEST(Gateway_EndlessBytes, BytesThatAreNoAnswerAreGivenUp) {
  this->Start("desk", {.start = "", .repeated = std::string(4096, 'x')});
  CHECK_EQUAL(502U, this->Request("once"));
  this->CheckClosed();
}

// Guards against memory that grows with the heads of many answers at once.
TEST(Gateway_EndlessBytes, HeadsOfAllAnswersStayWithinTheMemoryOfAHost) {
  this->Start("desk", {.start = "HTTP/1.1 200 OK\r\nX-Field: ",
                       .repeated = std::string(1u << 20, 'x')});
  this->CheckMemoryOfConcurrentRequests();
}

// Guards against reading interim responses until the timeout.
TEST(Gateway_EndlessBytes, InterimResponsesWithoutEndAreGivenUp) {
  this->Start("desk", {.start = "", .repeated = "HTTP/1.1 102 Wait\r\n\r\n"});
  CHECK_EQUAL(502U, this->Request("once"));
  this->CheckClosed();
}

// Guards against memory that grows with a line between two chunks that never
// ends: it is no part of a head or a body.
TEST(Gateway_EndlessBytes, ChunkSizeWithoutEndIsGivenUp) {
  this->CheckFramingIsGivenUp("", std::string(4096, '1'));
}

// Guards against memory that grows with the extension of a chunk.
TEST(Gateway_EndlessBytes, ChunkExtensionWithoutEndIsGivenUp) {
  this->CheckFramingIsGivenUp("5\r\n: ok\n\r\n4;e=", std::string(4096, 'x'));
}

// Guards against memory that grows with the fields after the last chunk.
TEST(Gateway_EndlessBytes, TrailerWithoutEndIsGivenUp) {
  this->CheckFramingIsGivenUp("0\r\n", "X-Field: 0123456789abcdef\r\n");
}

// Guards against memory that grows with the framing of many bodies at once.
TEST(Gateway_EndlessBytes, FramingOfAllBodiesStaysWithinTheMemoryOfAHost) {
  this->Start("desk", {.start = SignedHead("Transfer-Encoding: chunked\r\n"),
                       .repeated = std::string(1u << 20, '1')});
  this->CheckMemoryOfConcurrentRequests();
}

// Guards against an item that stays with a replica whose framing never ends.
TEST(Gateway_EndlessBytes, ItemOfAReplicaWithEndlessFramingRunsElsewhere) {
  this->Start("model", {.start = SignedHead("Transfer-Encoding: chunked\r\n"),
                        .repeated = std::string(4096, '1')});
  CHECK_EQUAL(202U, this->fleet.Submit("a", "job", {"item"})->head.status);
  CHECK(this->fleet.RunUntil(
      [this] { return this->servers.back().connections() > 0; }));
  this->fleet.AddReplica("model", {.id = "i-good"});
  CHECK(this->fleet.RunUntil(
      [this] {
        const auto page = this->fleet.ReadResults("a", "job");
        return !page.is_null() && page["results"].size() == 1;
      },
      std::chrono::seconds(3)));
}

// Guards against waiting for the end of a refusal's body, which has no end,
// until the time of the request is over.
TEST(Gateway_EndlessBytes, RefusalWithEndlessBodyIsRetriedElsewhere) {
  this->Start("desk",
              {.start = "HTTP/1.1 503 Full\r\n" +
                        std::string(platform::header::kNotExecuted) +
                        ": 1\r\nTransfer-Encoding: chunked\r\n\r\n",
               .repeated = "4000\r\n" + std::string(0x4000, 'x') + "\r\n"});
  CHECK_EQUAL(503U, this->Request("once"));
  this->CheckClosed();
  this->fleet.AddReplica("desk", {.id = "i-good"});
  this->fleet.RunFor(std::chrono::milliseconds(700));
  for (int i = 0; i < 4; ++i) {
    CHECK_EQUAL(200U, this->Request("once"));
  }
}

// Guards against memory that grows with a body that is collected before it is
// passed on, until the kernel ends the process.
TEST(Gateway_EndlessBytes, CollectedBodiesTogetherStayWithinTheMemoryOfAHost) {
  this->Start("desk",
              {.start = SignedHead("Transfer-Encoding: chunked\r\n"),
               .repeated = "4000\r\n" + std::string(0x4000, 'x') + "\r\n"});
  this->CheckMemoryOfConcurrentRequests();
}

// Guards against memory that grows with an event that never ends.
TEST(Gateway_EndlessBytes, EventWithoutEndBreaksTheStream) {
  this->Start("model",
              {.start = SignedHead("Content-Type: text/event-stream\r\n"),
               .repeated = std::string(4096, 'x')});
  const TimePoint start = BootTimeNow();
  CHECK_EQUAL(0U, this->Request("stream"));
  // The event is too long well before the route's timeout of 3 s.
  CHECK(BootTimeNow() - start < std::chrono::seconds(1));
  this->CheckClosed();
}

// Guards against memory that grows while callers do not read and their replica
// sends on.
TEST(Gateway_EndlessBytes, ReplicasOfCallersThatDoNotReadAreHeldBack) {
  constexpr int kCallers = 100;
  std::string events;
  for (int i = 0; i < 64; ++i) {
    events += "data: " + std::string(1000, 'x') + "\n\n";
  }
  this->Start("model",
              {.start = SignedHead("Content-Type: text/event-stream\r\n"),
               .repeated = events});
  for (int i = 0; i < kCallers; ++i) {
    this->fleet.RegisterReplica("i-" + std::to_string(i), "model",
                                this->servers.back().port(), "ready");
  }
  this->fleet.RunFor(std::chrono::milliseconds(700));
  std::list<boost::asio::ip::tcp::socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    auto& caller = callers.emplace_back(this->fleet.loop);
    caller.connect(
        {boost::asio::ip::address_v4::loopback(), this->fleet.CallerPort("a")});
    boost::asio::write(caller, boost::asio::buffer(SerializeRequest(
                                   GatewayFleet::MakeRequestHead(
                                       "stream", "stream-" + std::to_string(i)),
                                   "")));
  }
  std::uint64_t peak = 0;
  this->fleet.RunUntil(
      [&] {
        peak = std::max(peak, this->fleet.processes.ResidentBytes("a"));
        return false;
      },
      std::chrono::seconds(2));
  CHECK(this->servers.back().connections() == kCallers);
  CHECK(peak < kHostBytes);
}

// Guards against a batch item whose replica stalls but sends a byte now and
// then: it kept its slot for as long as the replica went on.
TEST(Gateway_EndlessBytes, ItemOfAStalledReplicaIsResumedElsewhere) {
  this->Start("model",
              {.start = SignedHead("Content-Type: text/event-stream\r\n"),
               .repeated = ":\n",
               .interval = std::chrono::milliseconds(300)});
  CHECK_EQUAL(202U, this->fleet.Submit("a", "job", {"item"})->head.status);
  CHECK(this->fleet.RunUntil(
      [this] { return this->servers.back().open_connections() > 0; }));
  this->fleet.AddReplica("model", {.id = "i-good"});
  CHECK(this->fleet.RunUntil(
      [this] {
        const auto page = this->fleet.ReadResults("a", "job");
        return !page.is_null() && page["results"].size() == 1;
      },
      std::chrono::seconds(8)));
}

}  // namespace crocus
