#ifndef LIBNETWORK_HEARTBEAT_SOCKET_H_
#define LIBNETWORK_HEARTBEAT_SOCKET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "LibCore/result.h"
#include "LibMessages/messages.h"

namespace crocus {

/// Sends and receives heartbeats over UDP. Datagrams that cannot be decoded
/// are dropped.
class HeartbeatSocket : public std::enable_shared_from_this<HeartbeatSocket> {
 public:
  using Handler = std::function<void(const messages::Heartbeat&,
                                     const std::string& from_address)>;

  static Result<std::shared_ptr<HeartbeatSocket>> Open(
      boost::asio::io_context& context,
      const std::string& address,
      std::uint16_t port,
      Handler handler);

  HeartbeatSocket(boost::asio::io_context& context, Handler handler);

  /// Sends to `peer`, which is IP:port. Invalid addresses and lost datagrams
  /// are not reported. Thread-safe.
  void Send(const std::string& peer, const messages::Heartbeat& heartbeat);
  void Close();

 private:
  static constexpr std::size_t kMaximumDatagramBytes = 65507;

  void Receive();

  boost::asio::ip::udp::socket socket;
  Handler handler;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, kMaximumDatagramBytes> buffer{};
};

}  // namespace crocus

#endif  // LIBNETWORK_HEARTBEAT_SOCKET_H_
