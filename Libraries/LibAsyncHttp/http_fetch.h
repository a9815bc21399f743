#ifndef LIBASYNCHTTP_HTTP_FETCH_H_
#define LIBASYNCHTTP_HTTP_FETCH_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "LibAsyncHttp/connection_pool.h"
#include "LibCore/result.h"
#include "LibCore/time.h"

namespace crocus {

struct FetchedResponse {
  ResponseHead head;
  std::string body;
};

struct FetchOptions {
  std::string pool_key;
  boost::asio::ip::tcp::endpoint server;
  RequestHead head;
  std::string body;
  /// Size of the body after which the response counts as broken.
  std::uint64_t maximum_body_bytes = 16u << 20;
  /// Counted from the call to the end of the response.
  Duration timeout = std::chrono::seconds(1);
};

/// Sends a request and collects the complete response. Errors: kUnavailable
/// without a connection (verdict not run), kTimeout and kUnavailable for a
/// response that is not complete (verdict may have run).
void Fetch(boost::asio::io_context& loop,
           ConnectionPool& pool,
           FetchOptions options,
           std::function<void(Result<FetchedResponse>)> on_done);

}  // namespace crocus

#endif  // LIBASYNCHTTP_HTTP_FETCH_H_
