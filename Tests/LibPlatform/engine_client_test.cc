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

/// An engine or plain service whose answers a test writes, in a thread of its
/// own.
TEST_GROUP(EngineClient_BrokenAnswer) {
  boost::asio::io_context loop;
  ScriptedResponse answer;
  ScriptedServer server{
      this->loop, [this](const ScriptedRequest&) { return this->answer; }};
  std::thread thread{[this] { this->loop.run(); }};
  EngineClient engine{"http://127.0.0.1:" +
                      std::to_string(this->server.port())};
  std::uint32_t max_tokens = 4;
  std::string tokens;

  void teardown() override {
    this->loop.stop();
    this->thread.join();
  }

  void SetAnswer(const std::string& status, const std::string& body) {
    this->answer = {.bytes = "HTTP/1.1 " + status + "\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body,
                    .closes = true};
  }

  Result<EngineOutcome> Complete() {
    return this->engine.Complete(
        {.request_id = "r",
         .max_tokens = this->max_tokens,
         .timeout = std::chrono::seconds(5)},
        [this](std::uint32_t, const std::string& text) {
          this->tokens += text;
          return true;
        });
  }
};

// Guards against tokens of an answer that says that the request has failed.
TEST(EngineClient_BrokenAnswer, BodyOfAFailureHasNoTokens) {
  for (const std::string status : {"500 Error", "422 Invalid", "404 None"}) {
    for (const std::string end : {"[DONE]", "{\"cancelled\": true}"}) {
      this->SetAnswer(
          status,
          "data: {\"index\": 0, \"text\": \"a\"}\n\ndata: " + end + "\n\n");
      CHECK_FALSE(this->Complete().has_value());
    }
  }
  STRCMP_EQUAL("", this->tokens.c_str());
}

// Guards against tokens that come after the end of an answer.
TEST(EngineClient_BrokenAnswer, NothingFollowsTheEndOfAStream) {
  const std::string whole =
      "data: {\"index\": 0, \"text\": \"a\"}\n\ndata: [DONE]\n\n";
  this->SetAnswer("200 OK", whole + ": a comment\n\n");
  CHECK_TRUE(this->Complete() == EngineOutcome::kComplete);
  for (const std::string rest :
       {"data: {\"index\": 1, \"text\": \"b\"}\n\n", "data: [DONE]\n\n",
        "data: {\"cancelled\": true}\n\n"}) {
    this->tokens.clear();
    this->SetAnswer("200 OK", whole + rest);
    CHECK_FALSE(this->Complete().has_value());
    STRCMP_EQUAL("a", this->tokens.c_str());
  }
}

// Guards against an empty text for an answer that has none.
TEST(EngineClient_BrokenAnswer, AnswerOfAServiceHasAText) {
  this->SetAnswer("200 OK", R"({"text": ""})");
  STRCMP_EQUAL("", this->engine.CallService({}).value_or("none").c_str());
  for (const std::string body :
       {"{}", R"({"text": 1})", R"({"text": null})", R"({"error": "full"})"}) {
    this->SetAnswer("200 OK", body);
    const auto text = this->engine.CallService({});
    CHECK_FALSE(text.has_value());
    CHECK(text.error().verdict == Verdict::kMayHaveRun);
  }
}

// Guards against a cancel that counts as carried out although the engine has
// not said so: it would not be sent again.
TEST(EngineClient_BrokenAnswer, AnswerToACancelTellsItsOutcome) {
  this->SetAnswer("200 OK", R"({"cancelled": true})");
  CHECK_TRUE(this->engine.Cancel("r") == true);
  this->SetAnswer("200 OK", R"({"cancelled": false})");
  CHECK_TRUE(this->engine.Cancel("r") == false);
  for (const std::string body : {"", "{}", "[]", R"({"cancelled": "no"})"}) {
    this->SetAnswer("200 OK", body);
    CHECK_FALSE(this->engine.Cancel("r").has_value());
  }
}

// Guards against memory that grows with the tokens of an engine that does not
// stop.
TEST(EngineClient_BrokenAnswer, TokensBeyondTheLimitEndTheStream) {
  std::string body;
  for (int i = 0; i < 1000; ++i) {
    body += "data: {\"index\": " + std::to_string(i) + ", \"text\": \"a\"}\n\n";
  }
  this->SetAnswer("200 OK", body + "data: [DONE]\n\n");
  const auto outcome = this->Complete();
  CHECK_FALSE(outcome.has_value());
  CHECK(outcome.error().verdict == Verdict::kMayHaveRun);
  STRCMP_EQUAL("aaaa", this->tokens.c_str());
}

// Guards against memory that grows with the text of few tokens.
TEST(EngineClient_BrokenAnswer, TextBeyondTheLimitEndsTheStream) {
  constexpr std::size_t kTextLimit = 16u << 20;
  this->max_tokens = 1u << 20;
  std::string body;
  for (int i = 0; i < 400; ++i) {
    body += "data: {\"index\": " + std::to_string(i) + ", \"text\": \"" +
            std::string(100'000, 'a') + "\"}\n\n";
  }
  this->SetAnswer("200 OK", body + "data: [DONE]\n\n");
  CHECK_FALSE(this->Complete().has_value());
  CHECK(this->tokens.size() <= kTextLimit);
}

}  // namespace crocus
