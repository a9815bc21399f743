#include "LibHttp/http_client.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "PlatformStandin/endless_server.h"

namespace crocus {

/// A server that sends its response without end, in a thread of its own.
TEST_GROUP(HttpClient_EndlessServer) {
  HttpClientLibrary library;
  boost::asio::io_context loop;
  EndlessServer server{
      this->loop,
      {.start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       .repeated = "4000\r\n" + std::string(0x4000, 'x') + "\r\n"}};
  std::thread thread{[this] { this->loop.run(); }};

  void teardown() override {
    this->loop.stop();
    this->thread.join();
  }
};

// Guards against a body that is collected until the call's time is over, and
// against memory that grows with it.
TEST(HttpClient_EndlessServer, CollectedBodyIsBounded) {
  const auto start = std::chrono::steady_clock::now();
  const auto reply = SendHttp(
      {.url = "http://127.0.0.1:" + std::to_string(this->server.port()) + "/",
       .timeout = std::chrono::seconds(5)});
  CHECK_FALSE(reply.has_value());
  CHECK(reply.error().verdict == Verdict::kMayHaveRun);
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(4));
}

}  // namespace crocus
