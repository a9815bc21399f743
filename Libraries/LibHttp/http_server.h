#ifndef LIBHTTP_HTTP_SERVER_H_
#define LIBHTTP_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibCore/result.h"
#include "LibHttp/http_message.h"

namespace crocus {

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  /// 0 lets the kernel choose.
  std::uint16_t port = 0;
  std::uint32_t connection_limit = 4096;
  std::size_t thread_stack_bytes = 256 << 10;
  /// Requests with a larger body are answered with 413.
  std::size_t maximum_body_bytes = 1 << 20;
  /// Idle connections are closed after this many seconds; 0 keeps them.
  unsigned idle_timeout_seconds = 75;
};

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/// HTTP server over ulfius with one thread a connection, so a handler may
/// block. Routes are added before Start.
class HttpServer {
 public:
  explicit HttpServer(HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// `pattern` may contain parameters, such as "/v1/batches/:id".
  void AddRoute(const std::string& method,
                const std::string& pattern,
                HttpHandler handler);

  /// Fails with kUnavailable if the port cannot be opened.
  Result<void> Start();

  /// Closes each connection after the reply to its current or next request.
  void CloseConnectionsAfterResponses();

  /// Closes the listening socket; open connections are still served.
  void StopAccepting();

  /// Waits until no reply is being made or sent, and until all connections
  /// are closed or have been quiet for a moment. False after `limit`.
  bool WaitUntilIdle(std::chrono::microseconds limit);

  /// Closes the listening socket and waits for running handlers. Replies that
  /// are being sent are cut off.
  void Stop();

  std::uint16_t port() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace crocus

#endif  // LIBHTTP_HTTP_SERVER_H_
