#ifndef LIBHTTP_HTTP_EXCHANGE_H_
#define LIBHTTP_HTTP_EXCHANGE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibAsyncHttp/server_session.h"
#include "LibHttp/http_message.h"
#include "LibHttp/route_table.h"

namespace crocus {

/// One request and its response, which a handler produces on a thread of its
/// own and the event loop sends. The session is used in the event loop only.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(boost::asio::io_context& loop,
               std::shared_ptr<ServerSession> session,
               Request request,
               RouteTable::Match route);

  /// Watches for a disconnect of the caller. Called in the event loop.
  void Start();

  /// Sends a response that needs no handler, or that of the handler. Called in
  /// the event loop.
  void Respond(HttpResponse response);

  /// Calls the handler and passes its response to the event loop. Called on the
  /// thread of the handler.
  void Run();

  /// Calls `on_expired`, which must respond, if the handler has not started
  /// within `limit` (0: no limit), and drops the request if its caller
  /// disconnects before. Called in the event loop.
  void ExpireAfter(std::chrono::seconds limit,
                   std::function<void(HttpExchange&)> on_expired);

 private:
  /// Whether the handler has the request. One thread takes it from the other
  /// by a change from kWaiting.
  enum class Stage { kWaiting, kRunning, kWithdrawn };

  HttpRequest MakeRequest() const;
  HttpResponse CallHandler();
  /// Passes the parts of a body to the event loop. Returns false if it ended
  /// early.
  bool SendStream(const BodyStream& stream);
  /// Blocks until there is room. Returns false if the caller has disconnected.
  bool Append(std::string_view bytes);

  // The following are called in the event loop.
  void OnDisconnect();
  /// Takes the request from the handler if that has not started.
  bool Withdraw();
  void SendHead(int status, const std::map<std::string, std::string>& headers);
  void Flush();
  void FinishStream(bool is_complete);
  /// Ends the use of the session.
  void Release();
  HeaderFields MakeFields(
      const std::map<std::string, std::string>& headers) const;

  boost::asio::io_context& loop;
  std::shared_ptr<ServerSession> session;
  Request request;
  const RouteTable::Match route;
  const bool understands_chunks;
  const bool keep_alive;
  boost::asio::steady_timer expiry_timer;
  bool is_dropped_on_disconnect = false;
  std::atomic<Stage> stage = Stage::kWaiting;
  const std::shared_ptr<std::atomic<bool>> is_disconnected =
      std::make_shared<std::atomic<bool>>(false);

  std::mutex mutex;
  std::condition_variable writable;
  /// Bytes of a streamed body that are not yet passed to the session.
  std::string queued;
  bool is_flush_posted = false;
  bool is_congested = false;
};

}  // namespace crocus

#endif  // LIBHTTP_HTTP_EXCHANGE_H_
