#include "LibAsyncHttp/request_parser.h"

#include <boost/beast/http/error.hpp>

namespace crocus {

RequestParser::RequestParser(const RequestParserOptions& options) {
  this->eager(true);
  this->header_limit(options.header_bytes);
  this->body_limit(options.body_bytes);
}

void RequestParser::on_request_impl(boost::beast::http::verb,
                                    Text method_text,
                                    Text target,
                                    int,
                                    ErrorCode&) {
  this->collected.head.method = method_text.to_string();
  this->collected.head.target = target.to_string();
}

void RequestParser::on_response_impl(int, Text, int, ErrorCode& error) {
  error = boost::beast::http::error::bad_method;
}

void RequestParser::on_field_impl(boost::beast::http::field,
                                  Text name,
                                  Text value,
                                  ErrorCode&) {
  this->collected.head.fields.Add(name.to_string(), value.to_string());
}

void RequestParser::on_header_impl(ErrorCode&) {
  this->collected.head.keep_alive = this->keep_alive();
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>&,
                                      ErrorCode&) {}

std::size_t RequestParser::on_body_impl(Text bytes, ErrorCode&) {
  this->collected.body.append(bytes.data(), bytes.size());
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
