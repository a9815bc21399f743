#include <CppUTest/TestHarness.h>

#include <signal.h>

#include <algorithm>
#include <array>
#include <list>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "LibAsyncHttp/http_serialization.h"
#include "PlatformStandin/gateway_fleet.h"
#include "PlatformStandin/scripted_server.h"
#include "platform/names.h"

namespace crocus {

namespace {

using std::chrono::milliseconds;

/// What a replica needs for each request.
constexpr Duration kServiceTime = milliseconds(2000);

/// What a connection has carried when the signal comes.
enum class Carried { kNothing, kWholeExchange, kHalfRequest };

/// A caller that sends one request, or the rest of it, some time after the
/// signal.
struct LateCaller {
  explicit LateCaller(boost::asio::io_context& loop)
      : socket(loop), timer(loop) {}

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::array<char, 4096> buffer{};
  std::string id;
  std::string description;
  std::string unsent;
  std::string received;
  /// Bytes received before the late request.
  std::size_t earlier_bytes = 0;
  bool is_sent = false;
  bool has_ended = false;
};

std::string RequestText(const std::string& kind,
                        const std::string& id,
                        const std::string& deadline) {
  RequestHead head = GatewayFleet::MakeRequestHead(kind, id);
  head.fields.Set(std::string(platform::header::kDeadline), deadline);
  return SerializeRequest(head, "body");
}

/// Whether the bytes are one whole response.
bool IsWholeResponse(const std::string& bytes) {
  const auto head = bytes.find("\r\n\r\n");
  if (head == std::string::npos) {
    return false;
  }
  const auto body = bytes.substr(head + 4);
  if (bytes.find("Transfer-Encoding: chunked") < head) {
    return body.ends_with("\r\n0\r\n\r\n");
  }
  const auto length = bytes.find("Content-Length: ");
  return length < head &&
         body.size() == std::stoul(bytes.substr(length + 16, 10));
}

}  // namespace

/// Gateway that has 8 s from SIGTERM on, before replicas that need 2 s for a
/// request.
TEST_GROUP(Gateway_LateRequests) {
  GatewayFleet fleet{GatewayFleetOptions{.timeout_milliseconds = 30000}};
  std::list<ScriptedServer> servers;
  std::list<LateCaller> callers;
  std::set<std::string> run;

  void setup() override {
    for (const std::string endpoint : {"desk", "model"}) {
      this->servers.emplace_back(
          this->fleet.loop, [this](const ScriptedRequest& request) {
            this->run.insert(request.id);
            const std::string body = "id: 0\ndata: d\n\n";
            return ScriptedResponse{
                .bytes = "HTTP/1.1 200 OK\r\n",
                .late_bytes = std::string(platform::header::kAttemptId) + ": " +
                              request.id + "\r\n" +
                              std::string(platform::header::kSignature) +
                              ": s\r\nContent-Type: text/event-stream\r\n"
                              "Content-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body,
                .delay = request.id.starts_with("early") ? Duration::zero()
                                                         : kServiceTime};
          });
      for (int i = 0; i < 12; ++i) {
        this->fleet.RegisterReplica(endpoint + std::to_string(i), endpoint,
                                    this->servers.back().port(), "ready");
      }
    }
    this->fleet.StartGateway("a");
  }

  void Read(LateCaller & caller) {
    caller.socket.async_read_some(
        boost::asio::buffer(caller.buffer),
        [this, &caller](const auto& error, std::size_t bytes) {
          caller.received.append(caller.buffer.data(), bytes);
          caller.has_ended = static_cast<bool>(error);
          if (!error) {
            this->Read(caller);
          }
        });
  }

  void AddCaller(const std::string& kind, Carried carried, Duration delay,
                 const std::string& deadline) {
    auto& caller = this->callers.emplace_back(this->fleet.loop);
    caller.id = "late-" + std::to_string(this->callers.size());
    caller.description = kind +
                         (carried == Carried::kNothing         ? " new"
                          : carried == Carried::kWholeExchange ? " kept"
                                                               : " half-sent") +
                         " after " + std::to_string(delay / milliseconds(1)) +
                         " ms, deadline " + deadline + " (" + caller.id + ")";
    caller.socket.connect(
        {boost::asio::ip::address_v4::loopback(), this->fleet.CallerPort("a")});
    caller.unsent = RequestText(kind, caller.id, deadline);
    this->Read(caller);
    if (carried == Carried::kWholeExchange) {
      boost::asio::write(
          caller.socket,
          boost::asio::buffer(RequestText(kind, "early-" + caller.id, "3000")));
      CHECK(this->fleet.RunUntil(
          [&caller] { return IsWholeResponse(caller.received); }));
      caller.earlier_bytes = caller.received.size();
    } else if (carried == Carried::kHalfRequest) {
      boost::asio::write(caller.socket,
                         boost::asio::buffer(caller.unsent.substr(0, 60)));
      caller.unsent.erase(0, 60);
    }
    caller.timer.expires_after(delay);
  }
};

// Guards against requests that come late in a planned stop, are passed on and
// are cut off without an answer as the process ends.
TEST(Gateway_LateRequests, EachIsAnsweredOrNotPassedOn) {
  for (const std::string kind : {"plain", "once", "stream", "resumable"}) {
    for (const auto carried :
         {Carried::kNothing, Carried::kWholeExchange, Carried::kHalfRequest}) {
      for (const int delay : {100, 1200, 2200, 2500, 4000, 5300, 6500, 7300}) {
        for (const std::string deadline : {"2900", "30000"}) {
          this->AddCaller(kind, carried, milliseconds(delay), deadline);
        }
      }
    }
  }
  for (auto& caller : this->callers) {
    caller.timer.async_wait([&caller](const auto& error) {
      if (error || caller.has_ended) {
        return;
      }
      boost::system::error_code write_error;
      boost::asio::write(caller.socket, boost::asio::buffer(caller.unsent),
                         write_error);
      caller.is_sent = !write_error;
    });
  }
  this->fleet.processes.Signal("a", SIGTERM);
  CHECK(this->fleet.RunUntil(
      [this] {
        return std::all_of(
            this->callers.begin(), this->callers.end(),
            [](const LateCaller& caller) { return caller.has_ended; });
      },
      std::chrono::seconds(12)));
  std::string wrong;
  std::size_t answered = 0;
  for (const auto& caller : this->callers) {
    const std::string late = caller.received.substr(caller.earlier_bytes);
    const bool is_whole = IsWholeResponse(late);
    answered += is_whole ? 1 : 0;
    if (!is_whole && this->run.contains(caller.id)) {
      wrong += caller.description + " was cut off; ";
    } else if (late.starts_with("HTTP/1.1 503") &&
               this->run.contains(caller.id)) {
      wrong += caller.description + " ran and was refused; ";
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
  CHECK(answered > 40);
  CHECK_EQUAL(0,
              this->fleet.processes.WaitForExit("a", std::chrono::seconds(2)));
}

}  // namespace crocus
