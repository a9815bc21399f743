#ifndef LIBNETWORK_CONNECTION_H_
#define LIBNETWORK_CONNECTION_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "LibMessages/frame.h"

namespace crocus {

class Connection;

/// Callbacks of a connection; they run on the IoThread.
struct ConnectionHandlers {
  std::function<void(const std::shared_ptr<Connection>&)> on_open;
  std::function<void(const std::shared_ptr<Connection>&, Frame)> on_frame;
  std::function<void(const std::shared_ptr<Connection>&, const std::string&)>
      on_closed;
};

struct ConnectionOptions {
  /// No further frames are read while more bytes than this are queued for the
  /// peer, so that a peer that sends requests without reading the replies does
  /// not make this process hold them. 0 is no limit. Only one of two peers may
  /// set it: if both stopped reading, neither could go on.
  std::size_t maximum_unread_reply_bytes = 0;

  bool operator==(const ConnectionOptions&) const = default;
};

/// TCP connection that carries frames. Send and Close are thread-safe.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket,
             ConnectionHandlers handlers,
             ConnectionOptions options = {});

  /// Starts reading. Called once, on the IoThread.
  void Start();

  /// Queues a frame. Frames from one thread keep their order. If more than
  /// kMaximumQueuedBytes are queued because the peer reads too slowly, the
  /// connection is closed.
  void Send(const Frame& frame);

  /// Closes the connection; on_closed receives the reason.
  void Close(const std::string& reason);

  const std::string& peer() const { return this->peer_address; }
  std::uint64_t id() const { return this->connection_id; }
  bool is_closed() const { return this->closed; }

 private:
  static constexpr std::size_t kMaximumQueuedBytes = 64u << 20;

  /// Largest part of a body that is allocated and read at once, so that a peer
  /// that announces a large frame without sending it does not reserve memory
  /// for all of it.
  static constexpr std::size_t kMaximumBodyReadBytes = 256u << 10;

  /// Reads the next frame, or waits until the peer has read replies.
  void ReadNext();
  void ReadHeader();
  void ReadBody(std::size_t body_bytes);
  void Write();
  void CloseNow(const std::string& reason);

  boost::asio::ip::tcp::socket socket;
  ConnectionHandlers handlers;
  const ConnectionOptions options;
  std::string peer_address;
  std::uint64_t connection_id;
  std::array<char, kFrameHeaderBytes> header_bytes{};
  Frame incoming;
  std::deque<std::string> outgoing;
  std::size_t queued_bytes = 0;
  bool is_reading_paused = false;
  std::atomic<bool> closed = false;
};

}  // namespace crocus

#endif  // LIBNETWORK_CONNECTION_H_
