#ifndef LIBASYNCHTTP_RESPONSE_PARSER_H_
#define LIBASYNCHTTP_RESPONSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include "LibAsyncHttp/http_head.h"

namespace crocus {

/// Parses one response. Its body can be read piece by piece.
class ResponseParser final : public boost::beast::http::basic_parser<false> {
 public:
  ResponseParser();

  /// Parses bytes and returns how many it has consumed. Errors are those of
  /// Boost.Beast, `need_more` among them.
  std::size_t Put(boost::asio::const_buffer bytes,
                  boost::beast::error_code& error);

  const ResponseHead& head() const { return this->collected; }

  /// Moves out the body bytes that arrived since the last call.
  std::string TakeBody();

 private:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;
  /// Callers use Put, which refuses what Boost.Beast tolerates.
  using boost::beast::http::basic_parser<false>::put;

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

  ResponseHead collected;
  std::string body;
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_RESPONSE_PARSER_H_
