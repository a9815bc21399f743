#include "LibNetwork/heartbeat_socket.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "LibMessages/codec.h"
#include "LibNetwork/peer_address.h"

namespace crocus {

Result<std::shared_ptr<HeartbeatSocket>> HeartbeatSocket::Open(
    boost::asio::io_context& context,
    const std::string& address,
    std::uint16_t port,
    Handler handler) {
  boost::system::error_code error;
  const auto parsed = boost::asio::ip::make_address(address, error);
  if (error) {
    return Failure(ErrorCode::kInvalidArgument,
                   "\"" + address + "\" is not an IP address");
  }
  auto opened = std::make_shared<HeartbeatSocket>(context, std::move(handler));
  const boost::asio::ip::udp::endpoint endpoint(parsed, port);
  opened->socket.open(endpoint.protocol(), error);
  if (!error) {
    opened->socket.bind(endpoint, error);
  }
  if (error) {
    return Failure(ErrorCode::kUnavailable, error.message());
  }
  opened->Receive();
  return opened;
}

HeartbeatSocket::HeartbeatSocket(boost::asio::io_context& context,
                                 Handler handler)
    : socket(context), handler(std::move(handler)) {}

void HeartbeatSocket::Send(const std::string& peer,
                           const messages::Heartbeat& heartbeat) {
  const auto endpoint = ParsePeerAddress(peer);
  if (!endpoint) {
    return;
  }
  boost::asio::post(this->socket.get_executor(),
                    [self = this->shared_from_this(), endpoint = *endpoint,
                     bytes = Encode(heartbeat)] {
                      boost::system::error_code ignored;
                      self->socket.send_to(boost::asio::buffer(bytes),
                                           {endpoint.address, endpoint.port}, 0,
                                           ignored);
                    });
}

void HeartbeatSocket::Close() {
  boost::asio::post(this->socket.get_executor(),
                    [self = this->shared_from_this()] {
                      boost::system::error_code ignored;
                      self->socket.close(ignored);
                    });
}

void HeartbeatSocket::Receive() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t bytes) {
        if (!self->socket.is_open()) {
          return;
        }
        if (!error) {
          const auto heartbeat =
              Decode<messages::Heartbeat>({self->buffer.data(), bytes});
          if (heartbeat) {
            self->handler(*heartbeat, self->sender.address().to_string());
          }
        }
        self->Receive();
      });
}

}  // namespace crocus
