#ifndef LIBASYNCHTTP_HTTP_LISTENER_H_
#define LIBASYNCHTTP_HTTP_LISTENER_H_

#include <limits>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibAsyncHttp/server_session.h"
#include "LibCore/result.h"

namespace crocus {

struct HttpListenerOptions {
  /// Sessions at which the one that was idle for longest is closed for the next
  /// connection; if none can be closed, accepting pauses.
  std::size_t maximum_sessions = std::numeric_limits<std::size_t>::max();
  /// Optional account of what the sessions hold. Without it no session is
  /// closed for another one.
  std::shared_ptr<MemoryBudget> budget;
  /// Fields of a refusal for lack of memory.
  HeaderFields refusal_fields;
  /// See SessionOptions.
  std::function<std::string(std::uint32_t status)> refusal_body;
  std::uint64_t handling_bytes = 0;
  std::chrono::milliseconds linger_time{0};
};

/// Accepts callers' connections and tracks their sessions.
class HttpListener {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerSession>, Request)>;

  HttpListener(boost::asio::io_context& loop,
               std::function<SessionLimits()> limits,
               Handler handler,
               HttpListenerOptions options = {});

  /// Fails with kUnavailable if the listener cannot be opened at the address.
  Result<void> Listen(const boost::asio::ip::tcp::endpoint& address);

  /// Accepts the connections that the kernel has accepted already and closes
  /// the listening socket. Open connections are served on.
  void CloseListeningSocket();
  /// Closes the listening socket and every connection, as if the callers had
  /// disconnected.
  void Disconnect();
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
  /// Sessions that were closed for another connection, and pauses of accepting
  /// because none could be, since the start.
  std::uint64_t closed_for_room() const { return this->closed_count; }
  std::uint64_t accept_pauses() const { return this->pause_count; }

 private:
  void Accept();
  void AcceptLater();
  /// Makes room for another session. Returns false if there is none.
  bool MakeRoom();
  void StartSession(boost::asio::ip::tcp::socket socket);
  std::vector<std::shared_ptr<ServerSession>> LiveSessions() const;

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer retry_timer;
  std::shared_ptr<SessionOptions> session_options;
  std::map<const ServerSession*, std::weak_ptr<ServerSession>> sessions;
  const std::size_t maximum_sessions;
  std::uint64_t closed_count = 0;
  std::uint64_t pause_count = 0;
  bool should_announce_close = false;
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_HTTP_LISTENER_H_
