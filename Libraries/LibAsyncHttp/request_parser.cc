#include "LibAsyncHttp/request_parser.h"

#include <algorithm>

#include <boost/beast/http/error.hpp>

namespace crocus {

namespace {

/// Memory of a header field besides its bytes, with the room that a growing
/// list of fields has in reserve.
constexpr std::uint64_t kFieldBytes = 2 * sizeof(HeaderField);
/// Strings of this size have pages of their own, which are not in memory before
/// they are written to. Smaller ones count with their capacity.
constexpr std::uint64_t kPagedBytes = 128u << 10;
constexpr std::uint64_t kPageBytes = 4u << 10;
/// HTTP/1.1 as Boost.Beast numbers versions.
constexpr int kVersionWithChunks = 11;

}  // namespace

RequestParser::RequestParser(const RequestParserOptions& options)
    : maximum_body_bytes(options.body_bytes) {
  this->eager(true);
  this->header_limit(options.header_bytes);
  this->body_limit(options.body_bytes);
}

std::uint64_t RequestParser::held_bytes() const {
  const std::string& body = this->collected.body;
  return this->head_bytes + (body.capacity() < kPagedBytes
                                 ? body.capacity()
                                 : body.size() + kPageBytes);
}

void RequestParser::on_request_impl(boost::beast::http::verb,
                                    Text method_text,
                                    Text target,
                                    int version,
                                    ErrorCode&) {
  this->collected.head.method = method_text.to_string();
  this->collected.head.target = target.to_string();
  this->collected.head.understands_chunks = version >= kVersionWithChunks;
  this->head_bytes += method_text.size() + target.size();
}

void RequestParser::on_response_impl(int, Text, int, ErrorCode& error) {
  error = boost::beast::http::error::bad_method;
}

void RequestParser::on_field_impl(boost::beast::http::field,
                                  Text name,
                                  Text value,
                                  ErrorCode&) {
  this->collected.head.fields.Add(name.to_string(), value.to_string());
  this->head_bytes += kFieldBytes + name.size() + value.size();
}

void RequestParser::on_header_impl(ErrorCode&) {
  this->collected.head.keep_alive = this->keep_alive();
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>&,
                                      ErrorCode&) {}

std::size_t RequestParser::on_body_impl(Text bytes, ErrorCode&) {
  std::string& body = this->collected.body;
  if (const std::size_t size = body.size() + bytes.size();
      size > body.capacity()) {
    // Doubling must not go beyond the limit of a body.
    body.reserve(std::max<std::size_t>(
        size, std::min<std::uint64_t>(2 * body.capacity(),
                                      this->maximum_body_bytes)));
  }
  body.append(bytes.data(), bytes.size());
  return bytes.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) {}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t,
                                              Text bytes,
                                              ErrorCode& error) {
  return this->on_body_impl(bytes, error);
}

void RequestParser::on_finish_impl(ErrorCode&) {}

}  // namespace crocus
