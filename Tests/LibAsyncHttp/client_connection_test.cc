#include "LibAsyncHttp/client_connection.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>

#include "LibAsyncHttp/http_serialization.h"
#include "PlatformStandin/scripted_server.h"

namespace crocus {

/// A server that answers a long upload at once with a body that ends with its
/// connection, and resets the connection while the upload is being written.
TEST_GROUP(ClientConnection_ResetDuringAnUpload) {
  boost::asio::io_context loop;
  ScriptedServer server{this->loop, [](const ScriptedRequest&) {
                          return ScriptedResponse{
                              .bytes = "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n",
                              .late_bytes = "a part",
                              .delay = std::chrono::milliseconds(5),
                              .resets = true};
                        }};

  void setup() override {
    this->server.set_answers_before_body(true);
  }
};

// Guards against taking the end of the connection for the end of the body.
// While reading is paused, the write of the request gets the connection's
// error, and the read after it only an end of file.
TEST(ClientConnection_ResetDuringAnUpload, BodyOfAPausedReaderIsBroken) {
  const auto connection = std::make_shared<ClientConnection>(
      this->loop,
      boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                     this->server.port()),
      [](const auto&) {});
  std::optional<ExchangeEnd> end;
  connection->Start(SerializeRequest({.method = "POST", .target = "/"},
                                     std::string(32u << 20, 'b')),
                    {.on_head =
                         [&connection](const auto&) {
                           connection->set_paused(true);
                           return HeadDecision::kAccept;
                         },
                     .on_body = [](auto) {},
                     .on_end = [&end](auto exchange_end,
                                      const auto&) { end = exchange_end; }},
                    {});
  boost::asio::steady_timer timer(this->loop, std::chrono::milliseconds(200));
  timer.async_wait(
      [&connection](const auto&) { connection->set_paused(false); });
  while (!end) {
    this->loop.run_one();
  }
  CHECK(*end == ExchangeEnd::kBrokenInBody);
}

}  // namespace crocus
