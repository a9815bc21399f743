#include "LibAsyncHttp/http_fetch.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "PlatformStandin/scripted_server.h"

namespace crocus {

/// A server that sends bytes which are no answer.
TEST_GROUP(HttpFetch_BrokenAnswer) {
  boost::asio::io_context loop;
  ConnectionPool pool{this->loop};
  ScriptedResponse answer;
  ScriptedServer server{
      this->loop, [this](const ScriptedRequest&) { return this->answer; }};
  std::string wrong;
  /// Each call has a connection of its own, since the server closes them.
  int calls = 0;

  Result<FetchedResponse> Send(const std::string& body) {
    std::optional<Result<FetchedResponse>> result;
    Fetch(this->loop, this->pool,
          {.pool_key = "call-" + std::to_string(this->calls++),
           .server = {boost::asio::ip::address_v4::loopback(),
                      this->server.port()},
           .head = {.method = "POST", .target = "/"},
           .body = body,
           .timeout = std::chrono::seconds(3)},
          [&result](auto fetched) { result = std::move(fetched); });
    while (!result) {
      this->loop.run_one();
    }
    return *result;
  }

  /// Notes in `wrong` if the answer is taken, or if the request counts as not
  /// run.
  void CheckIsNotTaken(const std::string& description,
                       const std::string& body) {
    const auto fetched = this->Send(body);
    if (fetched) {
      this->wrong += description + ": status " +
                     std::to_string(fetched->head.status) + " with " +
                     std::to_string(fetched->body.size()) + " bytes; ";
    } else if (fetched.error().verdict != Verdict::kMayHaveRun) {
      this->wrong += description + ": not run; ";
    }
  }
};

// Guards against refusing whole answers.
TEST(HttpFetch_BrokenAnswer, WholeAnswersAreTaken) {
  for (const std::string start :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 599 \r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nX-!#$%&'*+-.^_`|~09: \ta b\xff\t\r\n"}) {
    for (const std::string rest :
         {"Content-Length: 2\r\n\r\n{}",
          "Transfer-Encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "\r\n{}"}) {
      this->answer = {.bytes = start + rest, .closes = true};
      const auto fetched = this->Send("");
      STRCMP_EQUAL("{}", fetched ? fetched->body.c_str()
                                 : fetched.error().message.c_str());
    }
  }
}

// Guards against taking a status that the protocol does not have.
TEST(HttpFetch_BrokenAnswer, WithImpossibleStatusIsNotTaken) {
  for (const std::string status : {"000", "001", "099", "600", "999", "101"}) {
    for (const std::string rest :
         {"Content-Length: 2\r\n\r\n{}",
          "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "\r\n{}"}) {
      this->answer = {.bytes = "HTTP/1.1 " + status + " OK\r\n" + rest,
                      .closes = true};
      this->CheckIsNotTaken(status, "");
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against a line whose name is no field name, and against a body that
// such a line frames in another way.
TEST(HttpFetch_BrokenAnswer, WithMalformedFieldNameIsNotTaken) {
  for (const std::string name :
       {"X Note", "X-Note ", "X-Note\t", " X-Note", "\tX-Note", "X\x01Note",
        "X\x7fNote", "X\x0bNote", "X\rNote", " Content-Length",
        "Content-Length\x01", " Transfer-Encoding", "Transfer Encoding"}) {
    const bool is_coding = name.find("Encoding") != std::string::npos;
    const std::string line = name + (is_coding ? ": chunked" : ": 2");
    for (const std::string start : {"", "Server:\r\n", "Server: s\r\n"}) {
      for (const std::string end : {"Content-Length: 4\r\n", "A: b\r\n", ""}) {
        this->answer = {.bytes = "HTTP/1.1 200 OK\r\n" + start + line + "\r\n" +
                                 end + "\r\n{\n\n}",
                        .closes = true};
        this->CheckIsNotTaken(start + line + "\r\n" + end, "");
      }
    }
  }
  STRCMP_EQUAL("", this->wrong.c_str());
}

// Guards against refusing a whole answer that does not wait for the request.
TEST(HttpFetch_BrokenAnswer, WholeAnswerDuringAnUploadIsTaken) {
  this->server.set_answers_before_body(true);
  const std::string head = "HTTP/1.1 413 Too Large\r\nServer: s\r\n";
  const ScriptedResponse with_length{
      .bytes = head + "Content-Length: 2\r\n\r\n",
      .late_bytes = "{}",
      .resets = true};
  const ScriptedResponse with_chunks{
      .bytes = head + "Transfer-Encoding: chunked\r\n\r\n",
      .late_bytes = "2\r\n{}\r\n0\r\n\r\n",
      .resets = true};
  // The server closes in order and reads the rest of the request.
  const ScriptedResponse unframed{
      .bytes = head + "\r\n", .late_bytes = "{}", .closes = true};
  for (const auto& response : {with_length, with_chunks, unframed}) {
    this->answer = response;
    const auto fetched = this->Send(std::string(8u << 20, 'b'));
    STRCMP_EQUAL("{}", fetched ? fetched->body.c_str()
                               : fetched.error().message.c_str());
  }
}

}  // namespace crocus
