#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "LibAsyncHttp/http_serialization.h"
#include "PlatformStandin/gateway_fleet.h"
#include "PlatformStandin/scripted_server.h"
#include "platform/names.h"

namespace crocus {

/// Gateway before a replica whose streams have 600 KB.
TEST_GROUP(Gateway_SlowCaller) {
  GatewayFleet fleet{GatewayFleetOptions{.timeout_milliseconds = 20000}};
  std::string events;
  ScriptedServer server{
      this->fleet.loop, [this](const ScriptedRequest& request) {
        return ScriptedResponse{.bytes =
                                    "HTTP/1.1 200 OK\r\n" +
                                    std::string(platform::header::kAttemptId) +
                                    ": " + request.id + "\r\n" +
                                    std::string(platform::header::kSignature) +
                                    ": s\r\nContent-Type: text/event-stream\r\n"
                                    "Content-Length: " +
                                    std::to_string(this->events.size()) +
                                    "\r\n\r\n" + this->events};
      }};

  void setup() override {
    for (int i = 0; i < 60; ++i) {
      this->events += "id: " + std::to_string(i) +
                      "\ndata: " + std::string(10'000, 'x') + "\n\n";
    }
    this->fleet.RegisterReplica("i-1", "model", this->server.port(), "ready");
    this->fleet.StartGateway("a");
  }
};

// Guards against a stream whose end is lost because its caller, which has a
// small receive buffer, read nothing for some seconds.
TEST(Gateway_SlowCaller, StreamIsWholeAfterAPauseOfItsReader) {
  boost::asio::ip::tcp::socket caller(this->fleet.loop);
  caller.open(boost::asio::ip::tcp::v4());
  constexpr int kReceiveBytes = 2048;
  caller.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBytes));
  caller.connect(
      {boost::asio::ip::address_v4::loopback(), this->fleet.CallerPort("a")});
  RequestHead head = GatewayFleet::MakeRequestHead("stream", "slow");
  head.fields.Set(std::string(platform::header::kDeadline), "20000");
  head.fields.Add("Connection", "close");
  boost::asio::write(caller, boost::asio::buffer(SerializeRequest(head, "")));
  this->fleet.RunFor(std::chrono::seconds(5));
  std::string received;
  std::array<char, 65536> buffer{};
  boost::system::error_code error;
  caller.non_blocking(true);
  this->fleet.RunUntil([&] {
    while (!error || error == boost::asio::error::would_block) {
      const std::size_t bytes =
          caller.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer.data(), bytes);
      if (error == boost::asio::error::would_block) {
        return false;
      }
    }
    return true;
  });
  CHECK(error == boost::asio::error::eof);
  CHECK(received.ends_with("\r\n0\r\n\r\n"));
  CHECK(received.size() > this->events.size());
}

}  // namespace crocus
