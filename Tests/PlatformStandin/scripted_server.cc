#include "PlatformStandin/scripted_server.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "platform/names.h"

namespace crocus {

namespace {

/// The value of a header field of a request; empty if it has none.
std::string FieldOf(std::string_view head, std::string_view name) {
  const std::string start = "\r\n" + std::string(name) + ": ";
  const auto found = head.find(start);
  if (found == std::string_view::npos) {
    return {};
  }
  const auto value = head.substr(found + start.size());
  return std::string(value.substr(0, value.find("\r\n")));
}

}  // namespace

struct ScriptedServer::Connection {
  explicit Connection(boost::asio::ip::tcp::socket socket)
      : socket(std::move(socket)), timer(this->socket.get_executor()) {}

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string input;
  int requests = 0;
};

ScriptedServer::ScriptedServer(boost::asio::io_context& loop, Script script)
    : script(std::move(script)),
      acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}) {
  this->Accept();
}

std::uint16_t ScriptedServer::port() const {
  return this->acceptor.local_endpoint().port();
}

void ScriptedServer::Accept() {
  this->acceptor.async_accept([this](const auto& error, auto socket) {
    if (error) {
      return;
    }
    this->ReadHead(std::make_shared<Connection>(std::move(socket)));
    this->Accept();
  });
}

void ScriptedServer::ReadHead(const std::shared_ptr<Connection>& connection) {
  boost::asio::async_read_until(
      connection->socket, boost::asio::dynamic_buffer(connection->input),
      "\r\n\r\n", [this, connection](const auto& error, std::size_t head) {
        if (error) {
          return;
        }
        if (this->answers_before_body) {
          this->Respond(connection, head);
          return;
        }
        const std::string length =
            FieldOf(connection->input.substr(0, head), "Content-Length");
        this->ReadBody(connection,
                       head + std::strtoul(length.c_str(), nullptr, 10));
      });
}

void ScriptedServer::ReadBody(const std::shared_ptr<Connection>& connection,
                              std::size_t request_bytes) {
  const std::size_t present = connection->input.size();
  boost::asio::async_read(
      connection->socket, boost::asio::dynamic_buffer(connection->input),
      boost::asio::transfer_exactly(request_bytes -
                                    std::min(request_bytes, present)),
      [this, connection, request_bytes](const auto& error, std::size_t) {
        if (!error) {
          this->Respond(connection, request_bytes);
        }
      });
}

void ScriptedServer::Respond(const std::shared_ptr<Connection>& connection,
                             std::size_t request_bytes) {
  const std::string text = connection->input.substr(0, request_bytes);
  connection->input.erase(0, request_bytes);
  this->Send(connection,
             std::make_shared<ScriptedResponse>(this->script(
                 {.text = text,
                  .id = FieldOf(text, platform::header::kAttemptId),
                  .earlier_on_connection = connection->requests++})));
}

void ScriptedServer::Send(const std::shared_ptr<Connection>& connection,
                          const std::shared_ptr<ScriptedResponse>& response) {
  boost::asio::async_write(
      connection->socket, boost::asio::buffer(response->bytes),
      [this, connection, response](const auto& error, std::size_t) {
        if (error) {
          return;
        }
        if (!response->late_bytes.empty()) {
          this->SendLate(connection, response);
          return;
        }
        if (response->closes || response->resets) {
          this->End(connection, response->resets);
          return;
        }
        this->ReadHead(connection);
      });
}

void ScriptedServer::End(const std::shared_ptr<Connection>& connection,
                         bool resets) {
  boost::system::error_code ignored;
  if (resets) {
    connection->socket.set_option(boost::asio::socket_base::linger(true, 0),
                                  ignored);
    connection->socket.close(ignored);
    return;
  }
  // A close with unread bytes would be a reset.
  connection->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                              ignored);
  boost::asio::async_read(connection->socket,
                          boost::asio::dynamic_buffer(connection->input),
                          [connection](const auto&, std::size_t) {});
}

void ScriptedServer::SendLate(
    const std::shared_ptr<Connection>& connection,
    const std::shared_ptr<ScriptedResponse>& response) {
  connection->timer.expires_after(response->delay);
  connection->timer.async_wait([this, connection, response](const auto& error) {
    if (error) {
      return;
    }
    response->bytes = std::exchange(response->late_bytes, std::string());
    this->Send(connection, response);
  });
}

}  // namespace crocus
