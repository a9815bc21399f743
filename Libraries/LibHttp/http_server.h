#ifndef LIBHTTP_HTTP_SERVER_H_
#define LIBHTTP_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "LibAsyncHttp/client_usage.h"
#include "LibCore/result.h"
#include "LibHttp/http_message.h"
#include "LibHttp/route_table.h"

namespace crocus {

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  /// 0 lets the kernel choose a port.
  std::uint16_t port = 0;
  /// Connections at which the one that was idle for longest is closed for the
  /// next one; without `memory_bytes` accepting pauses instead. It is also the
  /// largest number of handlers that run at once and that wait.
  std::uint32_t connection_limit = 4096;
  /// Memory that callers' connections may hold; 0 for no limit. A request that
  /// does not fit is answered with 503.
  std::uint64_t memory_bytes = 0;
  std::size_t thread_stack_bytes = 256 << 10;
  /// Requests with a larger body are answered with 413.
  std::size_t maximum_body_bytes = 1 << 20;
  /// Idle connections, and requests for which no thread becomes free, end after
  /// this many seconds; 0 disables this.
  unsigned idle_timeout_seconds = 75;
};

/// HTTP server. One event-loop thread reads requests and writes responses; each
/// handler runs on another thread and may block. A streamed response blocks its
/// handler while the caller reads more slowly than it is produced. All routes
/// must be added before Start.
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

  /// Fails with kInvalidArgument if the address is not one of IPv4, and with
  /// kUnavailable if the port cannot be opened.
  Result<void> Start();

  /// Closes each connection after the response to its current or next request.
  void CloseConnectionsAfterResponses();

  /// Closes the listening socket; open connections are still served.
  void StopAccepting();

  /// Waits until no request is being received or handled and no response sent,
  /// and until all connections are closed or a short time has passed without a
  /// request. Returns false if this takes longer than `limit`.
  bool WaitUntilIdle(std::chrono::microseconds limit);

  /// Closes the listening socket and waits for running handlers. Responses that
  /// are being sent are truncated.
  void Stop();

  std::uint16_t port() const;

  /// What callers use of their limits; zeros before Start and after Stop. Not
  /// to be called in the event loop.
  ClientUsage usage() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace crocus

#endif  // LIBHTTP_HTTP_SERVER_H_
