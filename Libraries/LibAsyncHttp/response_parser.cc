#include "LibAsyncHttp/response_parser.h"

#include <limits>
#include <string_view>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace crocus {

namespace {

/// Whether an answer to a request may have the status: RFC 9110, section 15. No
/// request asks to switch protocols, so bytes after 101 would be no answer.
constexpr bool IsPossibleStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  constexpr int kSwitchingProtocols = 101;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

/// Whether a line of the head in `input` continues the field before it. The
/// parser would take a field whose name begins with a blank, be it one that
/// frames the body, as a part of the value before. RFC 9112, section 5.2, lets
/// a gateway refuse such a response.
///
/// The parser keeps a line in its input until the byte after it has arrived, so
/// each fold is seen in one input.
bool HasFoldedLine(std::string_view input) {
  constexpr std::string_view kLineEnd = "\r\n";
  if (input.starts_with(kLineEnd)) {
    // The end of the head, whose fields are consumed.
    return false;
  }
  const std::string_view head = input.substr(0, input.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

}  // namespace

ResponseParser::ResponseParser() {
  this->eager(true);
  // Bodies are read piece by piece, so their length is not limited here.
  this->body_limit(std::numeric_limits<std::uint64_t>::max());
}

std::size_t ResponseParser::Put(boost::asio::const_buffer bytes,
                                boost::beast::error_code& error) {
  if (!this->is_header_done() &&
      HasFoldedLine({static_cast<const char*>(bytes.data()), bytes.size()})) {
    error = boost::beast::http::error::bad_field;
    return 0;
  }
  return this->put(bytes, error);
}

std::string ResponseParser::TakeBody() {
  return std::exchange(this->body, std::string());
}

void ResponseParser::on_request_impl(boost::beast::http::verb,
                                     Text,
                                     Text,
                                     int,
                                     ErrorCode& error) {
  error = boost::beast::http::error::bad_status;
}

void ResponseParser::on_response_impl(int status,
                                      Text reason,
                                      int,
                                      ErrorCode& error) {
  if (!IsPossibleStatus(status)) {
    error = boost::beast::http::error::bad_status;
    return;
  }
  this->collected.status = static_cast<std::uint32_t>(status);
  this->collected.reason = reason.to_string();
}

void ResponseParser::on_field_impl(boost::beast::http::field field,
                                   Text name,
                                   Text value,
                                   ErrorCode& error) {
  if (this->is_header_done()) {
    // A field after the last chunk. Whether the receiver would see it with the
    // head depends on how the bytes arrive.
    return;
  }
  // The receiver would get the body still encoded, without the field that says
  // so, since that concerns this connection only.
  if (field == boost::beast::http::field::transfer_encoding &&
      !boost::beast::iequals(value, "chunked")) {
    error = boost::beast::http::error::bad_transfer_encoding;
    return;
  }
  this->collected.fields.Add(name.to_string(), value.to_string());
}

void ResponseParser::on_header_impl(ErrorCode&) {
  this->collected.keep_alive = this->keep_alive();
  if (const auto length = this->content_length()) {
    this->collected.content_length = *length;
  }
  this->collected.framing = this->chunked()    ? BodyFraming::kChunked
                            : this->need_eof() ? BodyFraming::kConnectionClose
                                               : BodyFraming::kLength;
}

void ResponseParser::on_body_init_impl(const boost::optional<std::uint64_t>&,
                                       ErrorCode&) {}

std::size_t ResponseParser::on_body_impl(Text bytes, ErrorCode&) {
  this->body.append(bytes.data(), bytes.size());
  return bytes.size();
}

void ResponseParser::on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) {}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t,
                                               Text bytes,
                                               ErrorCode& error) {
  return this->on_body_impl(bytes, error);
}

void ResponseParser::on_finish_impl(ErrorCode&) {}

}  // namespace crocus
