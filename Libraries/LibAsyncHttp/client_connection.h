#ifndef LIBASYNCHTTP_CLIENT_CONNECTION_H_
#define LIBASYNCHTTP_CLIENT_CONNECTION_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "LibAsyncHttp/exchange.h"
#include "LibAsyncHttp/response_parser.h"
#include "LibCore/time.h"

namespace crocus {

/// One connection to a server, with one exchange at a time. Reading continues
/// between exchanges, so that a close or an unexpected response is detected.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  /// Called when the connection is ready for another exchange, or is closed.
  using StateCallback =
      std::function<void(const std::shared_ptr<ClientConnection>&)>;

  ClientConnection(boost::asio::io_context& loop,
                   boost::asio::ip::tcp::endpoint server,
                   StateCallback on_state);

  /// Sends the request, after connecting if necessary.
  void Start(std::string request_text,
             ExchangeEvents events,
             const ExchangeOptions& options);

  /// Closes the connection; the current exchange has no further events.
  void Cancel();

  /// Stops and resumes reading, for a receiver that is slower than the server.
  void set_paused(bool paused);

  bool is_open() const { return this->socket.is_open(); }
  /// True if the connection had an exchange before the current one, to which a
  /// response may still arrive.
  bool is_reused() const { return this->exchanges > 1; }
  bool is_idle() const { return this->is_connected && !this->is_busy; }
  /// Until when an idle connection may be reused; derived from the server's
  /// idle timeout.
  TimePoint usable_until() const { return this->idle_deadline; }
  const boost::asio::ip::tcp::endpoint& server() const { return this->address; }

 private:
  void Connect(const ExchangeOptions& options);
  void SendRequest();
  void Read();
  void OnBytes();
  /// Passes what was parsed to the callbacks. False if the exchange has ended.
  bool DeliverParsed();
  void OnReadError(const boost::system::error_code& error);
  /// Ends the exchange at the end of a connection that ends a body without a
  /// length and without chunks. The body is incomplete after a reset.
  void EndUnframedBody();
  void FinishComplete();
  void End(ExchangeEnd end, const std::string& reason);
  void Close();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer connect_timer;
  const boost::asio::ip::tcp::endpoint address;
  const StateCallback on_state;
  /// Shared, since a callback may cancel the exchange that calls it.
  std::shared_ptr<const ExchangeEvents> events;
  boost::beast::flat_buffer input;
  std::unique_ptr<ResponseParser> parser;
  std::string request_text;
  bool is_connected = false;
  bool is_busy = false;
  bool is_reading = false;
  bool is_paused = false;
  /// True if the parser has left bytes at its last call.
  bool has_rest = false;
  bool is_request_sent = false;
  /// The connection failed while the request was being written.
  bool has_write_failed = false;
  /// An unframed body has ended while the request was being written. The end of
  /// the write tells whether the connection was closed or reset.
  bool is_end_undecided = false;
  bool is_head_request = false;
  bool head_delivered = false;
  /// A mismatched response was skipped, so the connection is not reused.
  bool skipped_response = false;
  std::uint64_t body_bytes_left = 0;
  std::uint32_t skipped_heads = 0;
  std::uint32_t exchanges = 0;
  TimePoint idle_deadline{};
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_CLIENT_CONNECTION_H_
