#include "LibHttp/http_client.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "PlatformStandin/endless_server.h"
#include "PlatformStandin/scripted_server.h"

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

/// A server that sends the bytes of a test and ends the connection, in a thread
/// of its own.
TEST_GROUP(HttpClient_TruncatedHead) {
  HttpClientLibrary library;
  boost::asio::io_context loop;
  std::string answer;
  bool resets = false;
  ScriptedServer server{this->loop, [this](const ScriptedRequest&) {
                          return ScriptedResponse{.bytes = this->answer,
                                                  .closes = !this->resets,
                                                  .resets = this->resets};
                        }};
  std::thread thread{[this] { this->loop.run(); }};

  void teardown() override {
    this->loop.stop();
    this->thread.join();
  }

  Result<HttpReply> Send() {
    return SendHttp(
        {.url = "http://127.0.0.1:" + std::to_string(this->server.port()) + "/",
         .timeout = std::chrono::seconds(5)});
  }
};

// Guards against a status without a body that counts as an answer although the
// server has not written its head to the end.
TEST(HttpClient_TruncatedHead, IsNoAnswerWhereverItIsCut) {
  std::string wrong;
  for (const std::string status : {"200 OK", "201 Created", "422 Invalid"}) {
    for (const std::string framing :
         {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
      const std::string head = "HTTP/1.1 " + status + "\r\nServer: s\r\n" +
                               framing + "Content-Type: text/plain\r\n\r\n";
      for (const bool is_reset : {false, true}) {
        this->resets = is_reset;
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
          this->answer = head.substr(0, cut);
          const auto reply = this->Send();
          if (reply || reply.error().verdict != Verdict::kMayHaveRun) {
            wrong += status + " with " + framing + " after " +
                     std::to_string(cut) + "; ";
          }
        }
      }
    }
  }
  STRCMP_EQUAL("", wrong.c_str());
}

// Guards against refusing whole answers, whatever their framing is.
TEST(HttpClient_TruncatedHead, WholeAnswersOfAllFramingsAreTaken) {
  for (const std::string& whole :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\n{}\r\n0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nServer: s\r\n\r\n{}"),
        std::string("HTTP/1.1 204 No Content\r\n\r\n")}) {
    this->answer = whole;
    CHECK_TRUE(this->Send().has_value());
  }
}

}  // namespace crocus
