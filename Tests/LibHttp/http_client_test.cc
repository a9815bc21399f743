#include "LibHttp/http_client.h"

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "PlatformStandin/endless_server.h"
#include "PlatformStandin/scripted_server.h"

namespace crocus {

namespace {

/// Starts a new measurement of the peak that PeakResidentBytes returns.
void ResetPeakResidentBytes() {
  std::ofstream("/proc/self/clear_refs") << "5";
}

/// The largest memory of this process since the last reset.
std::uint64_t PeakResidentBytes() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (constexpr std::string_view kName = "VmHWM:"; line.starts_with(kName)) {
      return std::stoull(line.substr(kName.size())) << 10;
    }
  }
  return 0;
}

/// A call to a server whose bytes never end must fail before its timeout, with
/// little memory.
void CheckIsGivenUp(EndlessServerOptions options) {
  constexpr std::uint64_t kMaximumGrowth = 64u << 20;
  boost::asio::io_context loop;
  EndlessServer server(loop, std::move(options));
  std::thread thread([&loop] { loop.run(); });
  ResetPeakResidentBytes();
  const std::uint64_t before = PeakResidentBytes();
  const auto start = std::chrono::steady_clock::now();
  const auto reply = SendHttpStreaming(
      {.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/",
       .timeout = std::chrono::seconds(5)},
      [](std::string_view) { return true; });
  const auto time = std::chrono::steady_clock::now() - start;
  loop.stop();
  thread.join();
  CHECK_FALSE(reply.has_value());
  CHECK(reply.error().verdict == Verdict::kMayHaveRun);
  CHECK(time < std::chrono::seconds(4));
  CHECK(before > 0);
  CHECK(PeakResidentBytes() - before < kMaximumGrowth);
}

}  // namespace

/// A server that sends its response without end, in a thread of its own.
TEST_GROUP(HttpClient_EndlessServer) {
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

/// A server that sends bytes which are no answer, in a thread of its own.
TEST_GROUP(HttpClient_BrokenAnswer) {
  boost::asio::io_context loop;
  ScriptedResponse answer;
  ScriptedServer server{
      this->loop, [this](const ScriptedRequest&) { return this->answer; }};
  std::thread thread;
  std::string wrong;

  void teardown() override {
    this->loop.stop();
    this->thread.join();
  }

  void Start() {
    this->thread = std::thread([this] { this->loop.run(); });
  }

  /// Notes in `wrong` if the answer is taken, or if the request counts as not
  /// run.
  void CheckIsNotTaken(const std::string& description,
                       const std::string& body) {
    const auto reply = SendHttp(
        {.method = "POST",
         .url = "http://127.0.0.1:" + std::to_string(this->server.port()) + "/",
         .body = body,
         .timeout = std::chrono::seconds(5)});
    if (reply) {
      this->wrong += description + ": status " + std::to_string(reply->status) +
                     " with " + std::to_string(reply->body.size()) + " bytes; ";
    } else if (reply.error().verdict != Verdict::kMayHaveRun) {
      this->wrong += description + ": not run; ";
    }
  }
};

// Guards against taking a status that the protocol does not have.
TEST(HttpClient_BrokenAnswer, WithImpossibleStatusIsNotTaken) {
  this->Start();
  for (const std::string line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 OK",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK"}) {
    for (const std::string rest :
         {"Content-Length: 2\r\n\r\n{}",
          "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "\r\n{}"}) {
      this->answer = {.bytes = line + "\r\n" + rest, .closes = true};
      this->CheckIsNotTaken(line + "\r\n" + rest, "");
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against a line whose name is no field name, and against a body that
// such a line frames in another way.
TEST(HttpClient_BrokenAnswer, WithMalformedFieldNameIsNotTaken) {
  this->Start();
  for (const std::string name :
       {"X Note", "X-Note ", "X-Note\t", " X-Note", "\tX-Note", "X\x01Note",
        "X\x7fNote", "X\x0bNote", "X\rNote", "Content-Length ",
        " Content-Length", "Content-Length\x01", "Transfer-Encoding ",
        " Transfer-Encoding", "Transfer-Encoding\x01", "Transfer Encoding"}) {
    const bool is_coding = name.find("Encoding") != std::string::npos;
    const std::string line = name + (is_coding ? ": chunked" : ": 2");
    for (const bool has_length : {false, true}) {
      this->answer = {
          .bytes = "HTTP/1.1 200 OK\r\nServer: s\r\n" + line + "\r\n" +
                   (has_length ? "Content-Length: 4\r\n\r\n" : "\r\n") +
                   "{\n\n}",
          .closes = true};
      this->CheckIsNotTaken(line + (has_length ? " with a length" : ""), "");
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against a part of a body without a length that counts as whole because
// the connection was reset while the request was being written.
TEST(HttpClient_BrokenAnswer, ResetDuringAnUploadIsNoEndOfABody) {
  constexpr int kRepetitions = 20;
  this->server.set_answers_before_body(true);
  this->Start();
  for (const int delay_milliseconds : {0, 1, 5}) {
    for (int i = 0; i < kRepetitions; ++i) {
      this->answer = {.bytes = "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n",
                      .late_bytes = "{}",
                      .delay = std::chrono::milliseconds(delay_milliseconds),
                      .resets = true};
      this->CheckIsNotTaken("after " + std::to_string(delay_milliseconds),
                            std::string(3u << 20, 'b'));
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

/// Calls to servers whose bytes never end.
TEST_GROUP(HttpClient_EndlessBytes){};

// Guards against keeping the fields of a head that never ends.
TEST(HttpClient_EndlessBytes, HeadIsGivenUp) {
  std::string fields;
  for (int i = 0; i < 1000; ++i) {
    fields +=
        "X-Field-" + std::to_string(i) + ": " + std::string(90, 'x') + "\r\n";
  }
  CheckIsGivenUp({.start = "HTTP/1.1 200 OK\r\n", .repeated = fields});
}

// Guards against keeping a field that never ends.
TEST(HttpClient_EndlessBytes, FieldIsGivenUp) {
  CheckIsGivenUp({.start = "HTTP/1.1 200 OK\r\nX-Field: ",
                  .repeated = std::string(4096, 'x')});
}

// Guards against bytes that do not begin like an answer.
TEST(HttpClient_EndlessBytes, BytesThatAreNoAnswerAreGivenUp) {
  CheckIsGivenUp({.start = "", .repeated = std::string(4096, 'x')});
}

// Guards against reading interim responses until the timeout.
TEST(HttpClient_EndlessBytes, InterimResponsesAreGivenUp) {
  CheckIsGivenUp(
      {.start = "", .repeated = "HTTP/1.1 102 Wait\r\nX-Field: x\r\n\r\n"});
}

// Guards against keeping the extension of a chunk.
TEST(HttpClient_EndlessBytes, ChunkExtensionIsGivenUp) {
  CheckIsGivenUp(
      {.start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;e=",
       .repeated = std::string(4096, 'x')});
}

// Guards against keeping the fields after the last chunk.
TEST(HttpClient_EndlessBytes, TrailerIsGivenUp) {
  CheckIsGivenUp(
      {.start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       .repeated = "X-Field: 0123456789abcdef\r\n"});
}

// Guards against dropping the body of a failure until the timeout.
TEST(HttpClient_EndlessBytes, BodyOfAFailureIsGivenUp) {
  CheckIsGivenUp(
      {.start = "HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n",
       .repeated = "4000\r\n" + std::string(0x4000, 'x') + "\r\n"});
}

}  // namespace crocus
