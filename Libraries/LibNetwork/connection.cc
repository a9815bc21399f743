#include "LibNetwork/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "LibEvents/event_log.h"

namespace crocus {

namespace {

std::atomic<std::uint64_t> next_connection_id{1};

std::string DescribePeer(const boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error) {
    return "unknown";
  }
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Makes the kernel end the connection about 15 s after the peer's host has
/// become unreachable, also while sent bytes are unacknowledged.
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& socket) {
  constexpr int kIdleSeconds = 6;
  constexpr int kProbeIntervalSeconds = 3;
  constexpr int kProbes = 3;
  constexpr int kUnacknowledgedMilliseconds = 15000;
  const auto set = [&socket](int level, int name, int value) {
    setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMilliseconds);
}

}  // namespace

Connection::Connection(boost::asio::ip::tcp::socket socket,
                       ConnectionHandlers handlers,
                       ConnectionOptions options)
    : socket(std::move(socket)),
      handlers(std::move(handlers)),
      options(options),
      peer_address(DescribePeer(this->socket)),
      connection_id(next_connection_id++) {}

void Connection::Start() {
  boost::system::error_code ignored;
  // Token chunks are small; waiting to merge them would add latency.
  this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(this->socket);
  if (this->handlers.on_open) {
    this->handlers.on_open(this->shared_from_this());
  }
  this->ReadHeader();
}

void Connection::Send(const Frame& frame) {
  boost::asio::post(
      this->socket.get_executor(),
      [self = this->shared_from_this(), bytes = EncodeFrame(frame)]() mutable {
        if (self->closed) {
          return;
        }
        self->queued_bytes += bytes.size();
        if (self->queued_bytes > kMaximumQueuedBytes) {
          self->CloseNow("peer reads too slowly");
          return;
        }
        self->outgoing.push_back(std::move(bytes));
        if (self->outgoing.size() == 1) {
          self->Write();
        }
      });
}

void Connection::Close(const std::string& reason) {
  boost::asio::post(
      this->socket.get_executor(),
      [self = this->shared_from_this(), reason] { self->CloseNow(reason); });
}

void Connection::ReadHeader() {
  boost::asio::async_read(
      this->socket, boost::asio::buffer(this->header_bytes),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t) {
        if (error) {
          self->CloseNow(error.message());
          return;
        }
        const auto header = DecodeFrameHeader(
            {self->header_bytes.data(), self->header_bytes.size()});
        if (!header) {
          LogEvent(Event::kFrameRejected, {{"peer", self->peer_address},
                                           {"reason", header.error().message}});
          self->CloseNow(header.error().message);
          return;
        }
        self->incoming = {.type = header->type,
                          .correlation = header->correlation,
                          .body = {}};
        self->ReadBody(header->body_bytes);
      });
}

void Connection::ReadBody(std::size_t body_bytes) {
  const std::size_t received = this->incoming.body.size();
  const std::size_t read_bytes =
      std::min(body_bytes - received, kMaximumBodyReadBytes);
  this->incoming.body.resize(received + read_bytes);
  boost::asio::async_read(
      this->socket,
      boost::asio::buffer(this->incoming.body.data() + received, read_bytes),
      [self = this->shared_from_this(), body_bytes](
          boost::system::error_code error, std::size_t) {
        if (error) {
          self->CloseNow(error.message());
          return;
        }
        if (self->incoming.body.size() < body_bytes) {
          self->ReadBody(body_bytes);
          return;
        }
        if (self->handlers.on_frame) {
          self->handlers.on_frame(self, std::exchange(self->incoming, {}));
        }
        if (!self->closed) {
          self->ReadNext();
        }
      });
}

void Connection::ReadNext() {
  const std::size_t limit = this->options.maximum_unread_reply_bytes;
  if (limit > 0 && this->queued_bytes > limit) {
    this->is_reading_paused = true;
    return;
  }
  this->is_reading_paused = false;
  this->ReadHeader();
}

void Connection::Write() {
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->outgoing.front()),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t) {
        if (error) {
          self->CloseNow(error.message());
          return;
        }
        if (self->closed) {
          return;
        }
        self->queued_bytes -= self->outgoing.front().size();
        self->outgoing.pop_front();
        if (!self->outgoing.empty()) {
          self->Write();
        }
        if (self->is_reading_paused) {
          self->ReadNext();
        }
      });
}

void Connection::CloseNow(const std::string& reason) {
  if (this->closed.exchange(true)) {
    return;
  }
  boost::system::error_code ignored;
  this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
  if (this->handlers.on_closed) {
    this->handlers.on_closed(this->shared_from_this(), reason);
  }
}

}  // namespace crocus
