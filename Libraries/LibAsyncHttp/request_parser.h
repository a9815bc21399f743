#ifndef LIBASYNCHTTP_REQUEST_PARSER_H_
#define LIBASYNCHTTP_REQUEST_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/beast/http/basic_parser.hpp>

#include "LibAsyncHttp/http_head.h"

namespace crocus {

/// Maximum sizes of a request's header and body.
struct RequestParserOptions {
  std::uint32_t header_bytes = 16 << 10;
  std::uint64_t body_bytes = 4 << 20;

  bool operator==(const RequestParserOptions&) const = default;
};

/// Collects one request from the bytes of a connection.
class RequestParser final : public boost::beast::http::basic_parser<true> {
 public:
  explicit RequestParser(const RequestParserOptions& options);

  /// The request; complete once is_done() returns true.
  Request& request() { return this->collected; }

  /// Bytes of memory that the request has taken so far.
  std::uint64_t held_bytes() const;

 private:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb method,
                       Text method_text,
                       Text target,
                       int version,
                       ErrorCode& error) override;
  void on_response_impl(int status,
                        Text reason,
                        int version,
                        ErrorCode& error) override;
  void on_field_impl(boost::beast::http::field field,
                     Text name,
                     Text value,
                     ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         ErrorCode& error) override;
  std::size_t on_body_impl(Text bytes, ErrorCode& error) override;
  void on_chunk_header_impl(std::uint64_t size,
                            Text extensions,
                            ErrorCode& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remaining,
                                 Text bytes,
                                 ErrorCode& error) override;
  void on_finish_impl(ErrorCode& error) override;

  const std::uint64_t maximum_body_bytes;
  std::uint64_t head_bytes = 0;
  Request collected;
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_REQUEST_PARSER_H_
