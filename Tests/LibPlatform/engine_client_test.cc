#include "LibPlatform/engine_client.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "PlatformStandin/scripted_server.h"

namespace crocus {

/// An engine that writes a part of its answer's head and closes, in a thread of
/// its own.
TEST_GROUP(EngineClient_TruncatedHead) {
  boost::asio::io_context loop;
  ScriptedServer server{this->loop, [](const ScriptedRequest&) {
                          return ScriptedResponse{
                              .bytes = "HTTP/1.1 200 OK\r\nServer: e\r\n",
                              .closes = true};
                        }};
  std::thread thread{[this] { this->loop.run(); }};

  void teardown() override {
    this->loop.stop();
    this->thread.join();
  }
};

// Guards against a command that counts as done although the engine's answer has
// not arrived: an operator would believe that it was.
TEST(EngineClient_TruncatedHead, CommandIsNotReportedAsDone) {
  const EngineClient engine("http://127.0.0.1:" +
                            std::to_string(this->server.port()));
  const auto result =
      engine.SendCommand({.action = "drain", .argument = "", .fencing = 1});
  CHECK_FALSE(result.has_value());
  CHECK(result.error().verdict == Verdict::kMayHaveRun);
}

}  // namespace crocus
