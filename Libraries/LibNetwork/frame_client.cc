#include "LibNetwork/frame_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "LibCore/random.h"
#include "LibCore/time.h"
#include "LibEvents/event_log.h"
#include "LibNetwork/peer_address.h"

namespace crocus {

FrameClient::FrameClient(boost::asio::io_context& context,
                         std::string address,
                         ConnectionHandlers handlers)
    : context(context),
      address(std::move(address)),
      handlers(std::move(handlers)),
      timer(context) {}

void FrameClient::Start() {
  boost::asio::post(this->context,
                    [self = this->shared_from_this()] { self->Connect(); });
}

void FrameClient::Stop() {
  boost::asio::post(this->context, [self = this->shared_from_this()] {
    self->is_stopped = true;
    self->timer.cancel();
    std::lock_guard lock(self->mutex);
    if (self->connection != nullptr) {
      self->connection->Close("client stopped");
    }
  });
}

Result<void> FrameClient::Send(const Frame& frame) {
  std::lock_guard lock(this->mutex);
  if (this->connection == nullptr || this->connection->is_closed()) {
    return Failure(ErrorCode::kUnavailable,
                   "no connection to " + this->address);
  }
  this->connection->Send(frame);
  return {};
}

bool FrameClient::is_connected() const {
  std::lock_guard lock(this->mutex);
  return this->connection != nullptr && !this->connection->is_closed();
}

void FrameClient::Connect() {
  if (this->is_stopped) {
    return;
  }
  const auto endpoint = ParsePeerAddress(this->address);
  if (!endpoint) {
    LogEvent(Event::kConnectionLost,
             {{"peer", this->address}, {"reason", endpoint.error().message}});
    return;
  }
  auto socket = std::make_shared<boost::asio::ip::tcp::socket>(this->context);
  socket->async_connect(
      boost::asio::ip::tcp::endpoint(endpoint->address, endpoint->port),
      [self = this->shared_from_this(),
       socket](boost::system::error_code error) {
        if (error) {
          self->ScheduleReconnect();
          return;
        }
        self->OnConnected(std::move(*socket));
      });
}

void FrameClient::OnConnected(boost::asio::ip::tcp::socket connected) {
  ConnectionHandlers wrapped = this->handlers;
  wrapped.on_closed =
      [weak = this->weak_from_this(), on_closed = this->handlers.on_closed,
       opened_at = MonotonicNow()](const std::shared_ptr<Connection>& closed,
                                   const std::string& reason) {
        if (on_closed) {
          on_closed(closed, reason);
        }
        if (const auto self = weak.lock()) {
          LogEvent(Event::kConnectionLost,
                   {{"peer", self->address}, {"reason", reason}});
          // A peer that accepts connections and closes them at once is retried
          // with increasing delays, like one that refuses connections.
          if (MonotonicNow() - opened_at >= kMaximumRetryDelay) {
            self->retry_delay = kInitialRetryDelay;
          }
          self->ScheduleReconnect();
        }
      };
  auto opened =
      std::make_shared<Connection>(std::move(connected), std::move(wrapped));
  {
    std::lock_guard lock(this->mutex);
    this->connection = opened;
  }
  LogEvent(Event::kConnectionOpened, {{"peer", this->address}});
  opened->Start();
}

void FrameClient::ScheduleReconnect() {
  if (this->is_stopped) {
    return;
  }
  // Jitter keeps many clients of a restarted host from connecting at once.
  const auto jitter =
      std::chrono::milliseconds(SystemRandom() % this->retry_delay.count());
  this->timer.expires_after(this->retry_delay / 2 + jitter);
  this->retry_delay = std::min(this->retry_delay * 2, kMaximumRetryDelay);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error) {
          self->Connect();
        }
      });
}

}  // namespace crocus
