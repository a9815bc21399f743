#include "LibAsyncHttp/http_listener.h"

#include <utility>
#include <vector>

#include "LibAsyncHttp/socket_options.h"
#include "LibEvents/event_log.h"

namespace crocus {

namespace {

/// Delay after a failed accept, or if no session can be closed for another one.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr int kBacklog = 1024;
/// How long a caller may read nothing. Slow readers with small buffers pause
/// for longer than an unreachable peer takes to be noticed.
constexpr Duration kSlowCallerLimit = std::chrono::seconds(10);

/// Part of the sessions that may be open beyond the maximum while they close.
constexpr std::size_t kClosingShare = 8;

}  // namespace

HttpListener::HttpListener(boost::asio::io_context& loop,
                           std::function<SessionLimits()> limits,
                           Handler handler,
                           HttpListenerOptions options)
    : acceptor(loop),
      retry_timer(loop),
      session_options(std::make_shared<SessionOptions>()),
      maximum_sessions(options.maximum_sessions) {
  this->session_options->budget = std::move(options.budget);
  this->session_options->refusal_fields = std::move(options.refusal_fields);
  this->session_options->refusal_body = std::move(options.refusal_body);
  this->session_options->handling_bytes = options.handling_bytes;
  this->session_options->linger_time = options.linger_time;
  this->session_options->limits = std::move(limits);
  this->session_options->on_request = std::move(handler);
  this->session_options->on_closed = [this](const ServerSession* session) {
    this->sessions.erase(session);
  };
}

Result<void> HttpListener::Listen(
    const boost::asio::ip::tcp::endpoint& address) {
  boost::system::error_code error;
  this->acceptor.open(address.protocol(), error);
  if (!error) {
    this->acceptor.set_option(
        boost::asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error && this->session_options->budget) {
    // Accepted sockets inherit it.
    this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size(
                                  static_cast<int>(kReceiveBufferBytes)),
                              error);
  }
  if (!error) {
    this->acceptor.bind(address, error);
  }
  if (!error) {
    this->acceptor.listen(kBacklog, error);
  }
  if (error) {
    return Failure(ErrorCode::kUnavailable,
                   "cannot listen on " + address.address().to_string() + ":" +
                       std::to_string(address.port()) + ": " + error.message());
  }
  this->Accept();
  return {};
}

bool HttpListener::MakeRoom() {
  if (this->sessions.size() < this->maximum_sessions) {
    return true;
  }
  if (!this->session_options->budget ||
      !this->session_options->budget->EvictForConnection(BootTimeNow())) {
    return false;
  }
  ++this->closed_count;
  // A session that refuses its request is open until the refusal is sent.
  return this->sessions.size() <
         this->maximum_sessions + this->maximum_sessions / kClosingShare;
}

void HttpListener::AcceptLater() {
  this->retry_timer.expires_after(kAcceptRetryDelay);
  this->retry_timer.async_wait([this](const auto& cancelled) {
    if (!cancelled) {
      this->Accept();
    }
  });
}

void HttpListener::Accept() {
  if (!this->MakeRoom()) {
    ++this->pause_count;
    this->AcceptLater();
    return;
  }
  this->acceptor.async_accept([this](const auto& error, auto socket) {
    if (!this->acceptor.is_open()) {
      return;
    }
    if (error) {
      LogEvent(Event::kAcceptFailed, {{"reason", error.message()}});
      this->AcceptLater();
      return;
    }
    this->StartSession(std::move(socket));
    this->Accept();
  });
}

void HttpListener::StartSession(boost::asio::ip::tcp::socket socket) {
  SetSocketOptions(socket, {.unacknowledged_limit = kSlowCallerLimit});
  const auto session =
      std::make_shared<ServerSession>(std::move(socket), this->session_options);
  this->sessions[session.get()] = session;
  if (this->should_announce_close) {
    session->AnnounceClose();
  }
  session->Start();
}

void HttpListener::AnnounceClose() {
  this->should_announce_close = true;
  for (const auto& [key, weak] : this->sessions) {
    if (const auto session = weak.lock()) {
      session->AnnounceClose();
    }
  }
}

std::vector<std::shared_ptr<ServerSession>> HttpListener::LiveSessions() const {
  std::vector<std::shared_ptr<ServerSession>> live;
  for (const auto& [key, weak] : this->sessions) {
    if (auto session = weak.lock()) {
      live.push_back(std::move(session));
    }
  }
  return live;
}

void HttpListener::CloseListeningSocket() {
  boost::system::error_code error;
  // Connections that the kernel has accepted would be reset, and with them
  // requests that their callers have sent already.
  this->acceptor.non_blocking(true, error);
  while (!error && this->sessions.size() < this->maximum_sessions) {
    auto socket = this->acceptor.accept(error);
    if (!error) {
      this->StartSession(std::move(socket));
    }
  }
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->retry_timer.cancel();
}

void HttpListener::StopAccepting() {
  this->CloseListeningSocket();
  for (const auto& session : this->LiveSessions()) {
    session->CloseWhenIdle();
  }
}

void HttpListener::Disconnect() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->retry_timer.cancel();
  for (const auto& session : this->LiveSessions()) {
    session->Disconnect();
  }
}

std::uint16_t HttpListener::port() const {
  return this->acceptor.local_endpoint().port();
}

std::size_t HttpListener::busy_sessions() const {
  std::size_t count = 0;
  for (const auto& [key, weak] : this->sessions) {
    const auto session = weak.lock();
    count += session && session->is_busy() ? 1 : 0;
  }
  return count;
}

}  // namespace crocus
