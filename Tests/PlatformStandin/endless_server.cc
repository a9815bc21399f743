#include "PlatformStandin/endless_server.h"

#include <array>
#include <utility>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace crocus {

struct EndlessServer::Connection {
  explicit Connection(boost::asio::ip::tcp::socket socket)
      : socket(std::move(socket)), timer(this->socket.get_executor()) {}

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::array<char, 4096> input{};
  bool is_open = true;
  bool has_started = false;
};

EndlessServer::EndlessServer(boost::asio::io_context& loop,
                             EndlessServerOptions options)
    : options(std::move(options)),
      acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
  this->Accept();
}

std::uint16_t EndlessServer::port() const {
  return this->acceptor.local_endpoint().port();
}

void EndlessServer::Accept() {
  this->acceptor.async_accept([this](const auto& error, auto socket) {
    if (error) {
      return;
    }
    const auto connection = std::make_shared<Connection>(std::move(socket));
    ++this->open_count;
    ++this->connection_count;
    connection->socket.async_read_some(
        boost::asio::buffer(connection->input),
        [this, connection](const auto& read_error, std::size_t) {
          if (read_error) {
            this->End(connection);
          } else {
            this->Send(connection);
          }
        });
    this->Accept();
  });
}

void EndlessServer::Send(const std::shared_ptr<Connection>& connection) {
  const std::string& bytes = std::exchange(connection->has_started, true) ||
                                     this->options.start.empty()
                                 ? this->options.repeated
                                 : this->options.start;
  boost::asio::async_write(
      connection->socket, boost::asio::buffer(bytes),
      [this, connection](const auto& error, std::size_t) {
        if (error) {
          this->End(connection);
          return;
        }
        connection->timer.expires_after(this->options.interval);
        connection->timer.async_wait([this, connection](const auto& failed) {
          if (!failed) {
            this->Send(connection);
          }
        });
      });
}

void EndlessServer::End(const std::shared_ptr<Connection>& connection) {
  if (std::exchange(connection->is_open, false)) {
    --this->open_count;
  }
}

}  // namespace crocus
