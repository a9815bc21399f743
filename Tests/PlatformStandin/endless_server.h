#ifndef TESTS_PLATFORM_STANDIN_ENDLESS_SERVER_H_
#define TESTS_PLATFORM_STANDIN_ENDLESS_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "LibCore/time.h"

namespace crocus {

struct EndlessServerOptions {
  /// Sent once after a request has begun to arrive.
  std::string start;
  /// Sent again and again until the caller closes the connection.
  std::string repeated;
  /// Pause between two repetitions.
  Duration interval{};
};

/// A server in trouble: it never ends its response. Runs in the test's event
/// loop.
class EndlessServer {
 public:
  EndlessServer(boost::asio::io_context& loop, EndlessServerOptions options);

  std::uint16_t port() const;
  /// Connections that the caller has not closed.
  std::uint32_t open_connections() const { return this->open_count; }
  std::uint32_t connections() const { return this->connection_count; }

 private:
  struct Connection;

  void Accept();
  void Send(const std::shared_ptr<Connection>& connection);
  void End(const std::shared_ptr<Connection>& connection);

  const EndlessServerOptions options;
  boost::asio::ip::tcp::acceptor acceptor;
  std::uint32_t open_count = 0;
  std::uint32_t connection_count = 0;
};

}  // namespace crocus

#endif  // TESTS_PLATFORM_STANDIN_ENDLESS_SERVER_H_
