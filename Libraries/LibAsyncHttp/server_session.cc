#include "LibAsyncHttp/server_session.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "LibAsyncHttp/http_serialization.h"
#include "LibAsyncHttp/http_status.h"

namespace crocus {

namespace {

constexpr std::size_t kReadBytes = 16 << 10;
/// Reading pauses at this number of unparsed bytes while a request is handled.
constexpr std::size_t kReadAheadBytes = 64 << 10;
constexpr std::uint32_t kContinue = 100;
/// Time that a caller has to send its request on a connection that was accepted
/// just before the process stopped accepting.
constexpr std::chrono::milliseconds kFirstRequestTime{500};
/// Unsent bytes above which a response should pause, and below which it should
/// continue. Callers may read slowly or not at all.
constexpr std::size_t kCongestedBytes = 256u << 10;
constexpr std::size_t kDrainedBytes = 64u << 10;

bool StatusHasBody(std::uint32_t status) {
  return status >= 200 && status != 204 && status != 304;
}

}  // namespace

ServerSession::ServerSession(boost::asio::ip::tcp::socket socket,
                             std::shared_ptr<const SessionOptions> options)
    : socket(std::move(socket)),
      timer(this->socket.get_executor()),
      options(std::move(options)) {}

void ServerSession::Start() {
  this->SetTimer(this->options->limits().idle_timeout);
  this->Read();
}

void ServerSession::Read() {
  if (this->is_reading || !this->socket.is_open() ||
      (this->state == State::kHandling &&
       this->input.size() >= kReadAheadBytes)) {
    return;
  }
  this->is_reading = true;
  this->socket.async_read_some(
      this->input.prepare(kReadBytes),
      [self = this->shared_from_this()](const auto& error, std::size_t bytes) {
        self->is_reading = false;
        if (error) {
          self->Close();
          return;
        }
        self->input.commit(bytes);
        self->Parse();
      });
}

void ServerSession::Parse() {
  if (this->state == State::kHandling) {
    this->Read();
    return;
  }
  if (this->is_parsing) {
    return;
  }
  this->is_parsing = true;
  if (this->input.size() > 0) {
    const auto limits = this->options->limits();
    if (!this->parser) {
      this->parser = std::make_unique<RequestParser>(limits.request);
      this->started = BootTimeNow();
      this->sent_continue = false;
      this->SetTimer(limits.header_timeout);
    }
    boost::beast::error_code error;
    const std::size_t used = this->parser->put(this->input.data(), error);
    this->input.consume(used);
    namespace http = boost::beast::http;
    if (error && error != http::error::need_more) {
      this->is_parsing = false;
      this->RejectMalformed(
          error == http::error::body_limit     ? http_status::kPayloadTooLarge
          : error == http::error::header_limit ? http_status::kHeaderTooLarge
                                               : http_status::kBadRequest);
      return;
    }
    if (this->parser->is_done()) {
      this->is_parsing = false;
      this->StartHandling();
      return;
    }
    // Body bytes are consumed as they arrive, so the rest is an incomplete head
    // or framing: a chunk size, its extension or the trailer. The parser itself
    // limits only the head.
    if (this->input.size() > limits.request.header_bytes) {
      this->is_parsing = false;
      this->RejectMalformed(http_status::kHeaderTooLarge);
      return;
    }
    if (this->parser->is_header_done()) {
      this->SetTimer(limits.idle_timeout);
      if (!this->sent_continue && this->parser->request().head.fields.HasToken(
                                      "expect", "100-continue")) {
        this->sent_continue = true;
        this->Write(
            SerializeResponseHead(kContinue, ReasonPhrase(kContinue), {}));
      }
    }
  }
  this->is_parsing = false;
  this->Read();
}

void ServerSession::StartHandling() {
  Request request = std::move(this->parser->request());
  this->parser.reset();
  this->timer.cancel();
  this->state = State::kHandling;
  this->has_received_request = true;
  this->awaits_first_request = false;
  this->request_keeps_alive = request.head.keep_alive;
  this->is_head_request = request.head.method == "HEAD";
  this->Read();
  this->options->on_request(this->shared_from_this(), std::move(request));
}

void ServerSession::RejectMalformed(std::uint32_t status) {
  this->state = State::kHandling;
  this->request_keeps_alive = false;
  this->Respond(status, {}, "");
}

void ServerSession::SetTimer(std::chrono::milliseconds timeout) {
  this->timer.expires_after(timeout);
  this->timer.async_wait([weak = this->weak_from_this()](const auto& error) {
    const auto self = weak.lock();
    if (!error && self && self->state == State::kReading) {
      self->Close();
    }
  });
}

void ServerSession::Respond(std::uint32_t status,
                            HeaderFields fields,
                            std::string body) {
  this->StartResponse(status, ReasonPhrase(status), std::move(fields),
                      body.size());
  this->SendBody(body);
  this->FinishResponse();
}

void ServerSession::StartResponse(std::uint32_t status,
                                  std::string_view reason,
                                  HeaderFields fields,
                                  std::optional<std::uint64_t> content_length) {
  this->has_body = StatusHasBody(status) && !this->is_head_request;
  this->is_chunked = StatusHasBody(status) && !content_length &&
                     !this->ends_body_with_connection;
  if (content_length && StatusHasBody(status)) {
    fields.Set("Content-Length", std::to_string(*content_length));
  } else if (this->is_chunked) {
    fields.Set("Transfer-Encoding", "chunked");
  }
  if (this->closes_after_response || this->closes_when_idle ||
      this->ends_body_with_connection || !this->request_keeps_alive) {
    this->request_keeps_alive = false;
    fields.Set("Connection", "close");
  }
  this->Write(SerializeResponseHead(status, reason, fields));
}

void ServerSession::SendBody(std::string_view bytes) {
  if (bytes.empty() || !this->has_body) {
    return;
  }
  this->Write(this->is_chunked ? SerializeChunk(bytes) : std::string(bytes));
}

void ServerSession::FinishResponse() {
  if (this->is_chunked && this->has_body) {
    this->Write(std::string(kLastChunk));
  }
  this->FinishExchange();
}

bool ServerSession::has_next_request() const {
  boost::beast::error_code error;
  return this->input.size() > 0 || this->socket.available(error) > 0;
}

bool ServerSession::is_congested() const {
  return this->unsent.size() + this->in_flight.size() > kCongestedBytes;
}

void ServerSession::FinishExchange() {
  this->on_disconnect = nullptr;
  this->on_drained = nullptr;
  // A response that began before CloseWhenIdle did not announce the close. A
  // request that crosses the close is not read, so its caller may repeat it.
  if (!this->request_keeps_alive ||
      (this->closes_when_idle && !this->has_next_request())) {
    this->closes_after_write = true;
    this->WriteNext();
    return;
  }
  this->state = State::kReading;
  this->SetTimer(this->options->limits().idle_timeout);
  // The next request may be in the buffer already. It is parsed from the event
  // loop so that pipelined requests do not deepen the stack.
  boost::asio::post(this->socket.get_executor(),
                    [self = this->shared_from_this()] { self->Parse(); });
}

void ServerSession::Abort() {
  this->on_disconnect = nullptr;
  this->on_drained = nullptr;
  this->Close();
}

void ServerSession::CloseWhenIdle() {
  this->closes_when_idle = true;
  if (this->state != State::kReading || this->parser ||
      this->has_next_request()) {
    return;
  }
  if (!this->has_received_request) {
    this->awaits_first_request = true;
    this->SetTimer(kFirstRequestTime);
    return;
  }
  this->closes_after_write = true;
  this->WriteNext();
}

void ServerSession::Write(std::string bytes) {
  if (!this->socket.is_open()) {
    return;
  }
  this->unsent += bytes;
  this->WriteNext();
}

void ServerSession::WriteNext() {
  if (this->is_writing) {
    return;
  }
  if (this->unsent.empty()) {
    if (this->closes_after_write) {
      boost::beast::error_code ignored;
      this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                            ignored);
      this->Close();
    }
    return;
  }
  this->is_writing = true;
  this->in_flight = std::exchange(this->unsent, std::string());
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->in_flight),
      [self = this->shared_from_this()](const auto& error, std::size_t) {
        self->is_writing = false;
        self->in_flight.clear();
        if (error) {
          self->Close();
          return;
        }
        self->WriteNext();
        if (self->on_drained &&
            self->unsent.size() + self->in_flight.size() < kDrainedBytes) {
          const auto callback = std::exchange(self->on_drained, nullptr);
          callback();
        }
      });
}

void ServerSession::Close() {
  if (!this->socket.is_open()) {
    return;
  }
  boost::beast::error_code ignored;
  this->socket.close(ignored);
  this->timer.cancel();
  this->options->on_closed(this);
  if (const auto callback = std::exchange(this->on_disconnect, nullptr)) {
    callback();
  }
}

}  // namespace crocus
