#ifndef LIBNETWORK_FRAME_SERVER_H_
#define LIBNETWORK_FRAME_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "LibCore/result.h"
#include "LibNetwork/connection.h"

namespace crocus {

/// Accepts TCP connections and registers the same handlers for each of them.
class FrameServer : public std::enable_shared_from_this<FrameServer> {
 public:
  /// Listens on `address`:`port`; port 0 lets the kernel choose one.
  static Result<std::shared_ptr<FrameServer>> Listen(
      boost::asio::io_context& context,
      const std::string& address,
      std::uint16_t port,
      ConnectionHandlers handlers,
      ConnectionOptions options = {});

  FrameServer(boost::asio::io_context& context,
              ConnectionHandlers handlers,
              ConnectionOptions options);

  std::uint16_t port() const;
  void Close();

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  ConnectionHandlers handlers;
  const ConnectionOptions options;
};

}  // namespace crocus

#endif  // LIBNETWORK_FRAME_SERVER_H_
