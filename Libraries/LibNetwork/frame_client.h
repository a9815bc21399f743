#ifndef LIBNETWORK_FRAME_CLIENT_H_
#define LIBNETWORK_FRAME_CLIENT_H_

#include <memory>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibCore/result.h"
#include "LibNetwork/connection.h"

namespace crocus {

/// Keeps one connection to a peer and reconnects with backoff and jitter.
class FrameClient : public std::enable_shared_from_this<FrameClient> {
 public:
  /// `address` is IP:port.
  FrameClient(boost::asio::io_context& context,
              std::string address,
              ConnectionHandlers handlers);

  void Start();
  void Stop();

  /// Sends on the open connection. If there is none, sends nothing and fails
  /// with kUnavailable and the verdict kNotRun.
  Result<void> Send(const Frame& frame);

  bool is_connected() const;
  const std::string& peer_address() const { return this->address; }

 private:
  static constexpr std::chrono::milliseconds kInitialRetryDelay{50};
  static constexpr std::chrono::milliseconds kMaximumRetryDelay{2000};

  void Connect();
  void ScheduleReconnect();
  void OnConnected(boost::asio::ip::tcp::socket connected);

  boost::asio::io_context& context;
  std::string address;
  ConnectionHandlers handlers;
  boost::asio::steady_timer timer;
  std::chrono::milliseconds retry_delay = kInitialRetryDelay;
  bool is_stopped = false;

  /// Guards `connection`. No other lock is acquired while it is held.
  mutable std::mutex mutex;
  std::shared_ptr<Connection> connection;
};

}  // namespace crocus

#endif  // LIBNETWORK_FRAME_CLIENT_H_
