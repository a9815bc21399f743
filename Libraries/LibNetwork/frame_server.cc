#include "LibNetwork/frame_server.h"

#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace crocus {

Result<std::shared_ptr<FrameServer>> FrameServer::Listen(
    boost::asio::io_context& context,
    const std::string& address,
    std::uint16_t port,
    ConnectionHandlers handlers,
    ConnectionOptions options) {
  using boost::asio::ip::tcp;
  boost::system::error_code error;
  const auto parsed = boost::asio::ip::make_address(address, error);
  if (error) {
    return Failure(ErrorCode::kInvalidArgument,
                   "\"" + address + "\" is not an IP address");
  }
  auto server =
      std::make_shared<FrameServer>(context, std::move(handlers), options);
  const tcp::endpoint endpoint(parsed, port);
  server->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    server->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    server->acceptor.bind(endpoint, error);
  }
  if (!error) {
    server->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                            error);
  }
  if (error) {
    return Failure(
        ErrorCode::kUnavailable,
        address + ":" + std::to_string(port) + ": " + error.message());
  }
  server->Accept();
  return server;
}

FrameServer::FrameServer(boost::asio::io_context& context,
                         ConnectionHandlers handlers,
                         ConnectionOptions options)
    : acceptor(context), handlers(std::move(handlers)), options(options) {}

std::uint16_t FrameServer::port() const {
  return this->acceptor.local_endpoint().port();
}

void FrameServer::Close() {
  boost::asio::post(this->acceptor.get_executor(),
                    [self = this->shared_from_this()] {
                      boost::system::error_code ignored;
                      self->acceptor.close(ignored);
                    });
}

void FrameServer::Accept() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](boost::system::error_code error,
                                        boost::asio::ip::tcp::socket socket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (!error) {
          std::make_shared<Connection>(std::move(socket), self->handlers,
                                       self->options)
              ->Start();
        }
        self->Accept();
      });
}

}  // namespace crocus
