#ifndef LIBASYNCHTTP_HTTP_LISTENER_H_
#define LIBASYNCHTTP_HTTP_LISTENER_H_

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibAsyncHttp/server_session.h"
#include "LibCore/result.h"

namespace crocus {

/// Accepts callers' connections and tracks their sessions.
class HttpListener {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerSession>, Request)>;

  HttpListener(boost::asio::io_context& loop,
               std::function<SessionLimits()> limits,
               Handler handler);

  /// Fails with kUnavailable if the listener cannot be opened at the address.
  Result<void> Listen(const boost::asio::ip::tcp::endpoint& address);

  /// Makes each further response announce that its connection closes after it.
  void AnnounceClose();
  /// Refuses new connections, and closes each open one as soon as it handles no
  /// request.
  void StopAccepting();

  /// The port on which the listener accepts connections.
  std::uint16_t port() const;

  /// Sessions that receive or handle a request, or whose response is not sent
  /// completely.
  std::size_t busy_sessions() const;
  std::size_t open_sessions() const { return this->sessions.size(); }

 private:
  void Accept();
  void StartSession(boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer retry_timer;
  std::shared_ptr<SessionOptions> session_options;
  std::map<const ServerSession*, std::weak_ptr<ServerSession>> sessions;
  bool should_announce_close = false;
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_HTTP_LISTENER_H_
