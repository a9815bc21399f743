#include "LibAsyncHttp/http_head.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "LibAsyncHttp/http_serialization.h"
#include "LibAsyncHttp/request_parser.h"
#include "LibAsyncHttp/response_parser.h"

namespace crocus {

namespace {

BodyFraming FramingOf(const std::string& fields) {
  const std::string text = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
  ResponseParser parser;
  boost::beast::error_code error;
  parser.Put(boost::asio::buffer(text), error);
  CHECK_TRUE(parser.is_header_done());
  return parser.head().framing;
}

/// The body of a response; nothing if the response is malformed.
std::optional<std::string> ParseFragments(
    const std::vector<std::string>& fragments) {
  ResponseParser parser;
  std::string pending;
  for (const auto& fragment : fragments) {
    pending += fragment;
    boost::beast::error_code error;
    pending.erase(0, parser.Put(boost::asio::buffer(pending), error));
    if (error && error != boost::beast::http::error::need_more) {
      return std::nullopt;
    }
  }
  return parser.is_header_done() ? std::optional(parser.TakeBody())
                                 : std::nullopt;
}

/// The text cut in two at each place, and into its bytes.
std::vector<std::vector<std::string>> FragmentsOf(const std::string& text) {
  std::vector<std::vector<std::string>> all;
  std::vector<std::string> bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    bytes.push_back(text.substr(i, 1));
    all.push_back({text.substr(0, i), text.substr(i)});
  }
  all.push_back(std::move(bytes));
  return all;
}

}  // namespace

TEST_GROUP(RequestHead_WithQuery){};

// Guards against including the query in the path that routes are matched by.
TEST(RequestHead_WithQuery, PathAndQueryAreSeparated) {
  const RequestHead head{.method = "GET", .target = "/a/b?x=1&after=12"};
  CHECK_TRUE(head.path() == "/a/b");
  CHECK_TRUE(head.QueryValue("after") == "12");
  CHECK_TRUE(head.QueryValue("none").empty());
}

TEST_GROUP(HeaderFields_WithConnectionFields){};

// Guards against forwarding fields that concern one connection only.
TEST(HeaderFields_WithConnectionFields, EndToEndOmitsThem) {
  HeaderFields fields;
  fields.Add("Connection", "close, X-Named");
  fields.Add("X-Named", "1");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("Content-Length", "5");
  fields.Add("X-Kept", "1");
  CHECK_EQUAL(1U, fields.EndToEnd().all().size());
  CHECK_TRUE(fields.HasToken("connection", "CLOSE"));
}

TEST_GROUP(HttpParsers_OneMessage){};

// Guards against parsers that depend on how a message is split into reads.
TEST(HttpParsers_OneMessage, ChunkedRequestIsCollected) {
  const std::string text =
      "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
      SerializeChunk("hello ") + SerializeChunk("world") +
      std::string(kLastChunk);
  RequestParser parser({});
  std::string pending;
  for (const char byte : text) {
    pending.push_back(byte);
    boost::beast::error_code error;
    const std::size_t used = parser.put(boost::asio::buffer(pending), error);
    pending.erase(0, used);
    CHECK_TRUE(!error || error == boost::beast::http::error::need_more);
  }
  CHECK_TRUE(parser.is_done());
  STRCMP_EQUAL("hello world", parser.request().body.c_str());
}

// Guards against accepting a body of unknown length as complete before its
// connection is closed.
TEST(HttpParsers_OneMessage, ResponseWithoutLengthNeedsTheEndOfItsConnection) {
  const std::string text = "HTTP/1.1 200 OK\r\n\r\nabc";
  ResponseParser parser;
  boost::beast::error_code error;
  parser.Put(boost::asio::buffer(text), error);
  CHECK_TRUE(parser.need_eof());
  CHECK_FALSE(parser.is_done());
  STRCMP_EQUAL("abc", parser.TakeBody().c_str());
}

// Guards against accepting requests above the operator's limits.
TEST(HttpParsers_OneMessage, BodyAboveTheLimitIsAnError) {
  const std::string text =
      "POST /p HTTP/1.1\r\nContent-Length: 11\r\n\r\nhello world";
  RequestParser parser({.body_bytes = 10});
  boost::beast::error_code error;
  parser.put(boost::asio::buffer(text), error);
  CHECK_TRUE(error == boost::beast::http::error::body_limit);
}

TEST_GROUP(ResponseParser_AnyFraming){};

// Guards against a log that calls a body complete by its length although only
// the end of its connection ended it.
TEST(ResponseParser_AnyFraming, HeadTellsHowItsBodyEnds) {
  CHECK_TRUE(FramingOf("") == BodyFraming::kConnectionClose);
  CHECK_TRUE(FramingOf("Content-Length: 5\r\n") == BodyFraming::kLength);
  CHECK_TRUE(FramingOf("Transfer-Encoding: chunked\r\n") ==
             BodyFraming::kChunked);
}

/// A response that arrives in two fragments, or byte by byte.
TEST_GROUP(ResponseParser_Fragments){};

// Guards against a folded line that is not seen since it arrives in parts.
TEST(ResponseParser_Fragments, FoldedLineIsAlwaysMalformed) {
  for (const std::string fields :
       {" A: b\r\n", "A: b\r\n C: d\r\n", "A: b\r\n\tC: d\r\nE: f\r\n",
        "A:\r\n C: d\r\n", "A: b\r\n \r\n"}) {
    for (const auto& fragments :
         FragmentsOf("HTTP/1.1 200 OK\r\n" + fields + "\r\nbody")) {
      CHECK_FALSE(ParseFragments(fragments).has_value());
    }
  }
}

// Guards against taking lines of a body for lines of the head.
TEST(ResponseParser_Fragments, BodyMayHaveLinesThatBeginWithBlanks) {
  const std::string body = "\r\n a\r\n\tb\r\n\r\n c";
  for (const std::string fields : {"", "A: b\r\n", "A: b\r\nC:\r\n"}) {
    for (const auto& fragments :
         FragmentsOf("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body)) {
      STRCMP_EQUAL(body.c_str(),
                   ParseFragments(fragments).value_or("none").c_str());
    }
  }
}

}  // namespace crocus
