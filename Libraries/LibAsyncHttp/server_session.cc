#include "LibAsyncHttp/server_session.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "LibAsyncHttp/chunk_framing.h"
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

/// Memory of a connection without any bytes: the session, its timer and the
/// socket in the kernel.
constexpr std::uint64_t kConnectionBytes = 8u << 10;
/// What the kernel holds of a connection that is not read. HttpListener sets
/// the size of the buffer, which the kernel doubles.
constexpr std::uint64_t kKernelBytes = 2 * kReceiveBufferBytes;
/// A request that is handled has its own memory, the text that is sent on, and
/// a copy between them or the decoded items of a job.
constexpr std::uint64_t kHandlingFactor = 3;

bool StatusHasBody(std::uint32_t status) {
  return status >= 200 && status != 204 && status != 304;
}

}  // namespace

ServerSession::ServerSession(boost::asio::ip::tcp::socket socket,
                             std::shared_ptr<const SessionOptions> options)
    : socket(std::move(socket)),
      timer(this->socket.get_executor()),
      options(std::move(options)) {}

ServerSession::~ServerSession() {
  if (this->options->budget) {
    this->options->budget->Remove(this->holder);
  }
}

void ServerSession::Start() {
  if (this->options->budget) {
    this->holder = this->options->budget->Add(
        BootTimeNow(), [weak = this->weak_from_this()] {
          if (const auto self = weak.lock()) {
            self->OnEvicted();
          }
        });
    this->ChargeMemory();
  }
  boost::beast::error_code ignored;
  this->socket.non_blocking(true, ignored);
  this->SetTimer(this->options->limits().idle_timeout);
  this->Read();
}

std::uint64_t ServerSession::held_bytes() const {
  return kConnectionBytes + this->input.capacity() +
         (this->parser ? this->parser->held_bytes() : 0) + this->request_bytes +
         this->response_bytes + this->unsent.capacity() +
         this->in_flight.capacity() + (this->is_read_paused ? kKernelBytes : 0);
}

bool ServerSession::UpdateMemory() {
  return !this->options->budget ||
         this->options->budget->Resize(this->holder, this->held_bytes(),
                                       BootTimeNow());
}

void ServerSession::ChargeMemory() {
  if (this->options->budget) {
    this->options->budget->Charge(this->holder, this->held_bytes());
  }
}

void ServerSession::UpdateHolderState() {
  if (!this->options->budget) {
    return;
  }
  const bool is_sending = this->is_writing || !this->unsent.empty();
  const bool is_receiving =
      this->is_read_paused ||
      (this->state == State::kReading && this->parser != nullptr);
  const HolderState state = this->is_lingering ? HolderState::kIdle
                            : is_sending       ? HolderState::kSending
                            : is_receiving     ? HolderState::kReceiving
                            : this->state == State::kHandling
                                ? HolderState::kWorking
                                : HolderState::kIdle;
  this->options->budget->SetState(this->holder, state, BootTimeNow());
}

bool ServerSession::ReserveResponse(std::uint64_t bytes) {
  const std::uint64_t previous = std::exchange(this->response_bytes, bytes);
  if (!this->UpdateMemory()) {
    this->response_bytes = previous;
    return false;
  }
  return true;
}

void ServerSession::OnEvicted() {
  if (this->state == State::kReading && this->parser && !this->is_writing) {
    this->RefuseForMemory();
  } else {
    this->Close();
  }
}

void ServerSession::RefuseForMemory() {
  if (!this->parser || !this->parser->is_header_done()) {
    this->Close();
    return;
  }
  this->Refuse(http_status::kUnavailable, this->options->refusal_fields);
}

void ServerSession::Read() {
  if (this->is_reading || !this->socket.is_open()) {
    return;
  }
  this->is_read_paused =
      this->state == State::kHandling && this->input.size() >= kReadAheadBytes;
  if (this->is_read_paused) {
    if (!this->UpdateMemory()) {
      this->Close();
    }
    this->UpdateHolderState();
    return;
  }
  this->is_reading = true;
  // A connection that waits has no buffer: thousands of them may be idle.
  this->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                          [self = this->shared_from_this()](const auto& error) {
                            self->is_reading = false;
                            if (error) {
                              self->Close();
                              return;
                            }
                            self->OnReadable();
                          });
}

void ServerSession::OnReadable() {
  if (this->is_lingering) {
    this->ReadDiscarded();
    return;
  }
  boost::beast::error_code error;
  const std::size_t bytes =
      this->socket.read_some(this->input.prepare(kReadBytes), error);
  if (error == boost::asio::error::would_block) {
    this->input.shrink_to_fit();
    this->Read();
    return;
  }
  if (error) {
    this->Close();
    return;
  }
  this->input.commit(bytes);
  if (this->options->budget && this->state == State::kReading) {
    this->options->budget->OnProgress(this->holder, bytes, BootTimeNow());
  }
  this->Parse();
}

void ServerSession::Parse() {
  if (this->state == State::kHandling) {
    this->input.shrink_to_fit();
    if (!this->UpdateMemory()) {
      this->Close();
      return;
    }
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
      this->has_rest = false;
      this->started = BootTimeNow();
      this->sent_continue = false;
      this->SetTimer(limits.header_timeout);
    }
    if (!MayParse(this->parser->is_header_done(), this->has_rest,
                  this->input.size())) {
      this->SetTimer(limits.idle_timeout);
      this->is_parsing = false;
      this->Read();
      return;
    }
    boost::beast::error_code error;
    const std::size_t used = this->parser->put(this->input.data(), error);
    this->input.consume(used);
    this->has_rest = this->input.size() > 0;
    this->input.shrink_to_fit();
    this->UpdateHolderState();
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
    if (!this->UpdateMemory()) {
      this->is_parsing = false;
      this->RefuseForMemory();
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
  this->request_bytes = (kHandlingFactor - 1) * this->parser->held_bytes() +
                        this->options->handling_bytes;
  if (!this->UpdateMemory()) {
    this->request_bytes = 0;
    this->RefuseForMemory();
    return;
  }
  this->request_bytes += this->parser->held_bytes();
  Request request = std::move(this->parser->request());
  this->parser.reset();
  this->timer.cancel();
  this->state = State::kHandling;
  this->has_received_request = true;
  this->awaits_first_request = false;
  this->request_keeps_alive = request.head.keep_alive;
  this->is_head_request = request.head.method == "HEAD";
  this->UpdateHolderState();
  this->Read();
  if (!this->socket.is_open()) {
    return;
  }
  this->options->on_request(this->shared_from_this(), std::move(request));
}

void ServerSession::RejectMalformed(std::uint32_t status) {
  this->Refuse(status, {});
}

void ServerSession::Refuse(std::uint32_t status, HeaderFields fields) {
  this->parser.reset();
  this->input = {};
  this->state = State::kHandling;
  this->request_keeps_alive = false;
  this->lingers_after_write = this->options->linger_time.count() > 0;
  std::string body;
  if (this->options->refusal_body) {
    fields.Set("Content-Type", "application/json");
    body = this->options->refusal_body(status);
  }
  this->Respond(status, std::move(fields), std::move(body));
}

void ServerSession::Linger() {
  this->is_lingering = true;
  this->input = {};
  this->ChargeMemory();
  this->UpdateHolderState();
  this->timer.expires_after(this->options->linger_time);
  this->timer.async_wait([weak = this->weak_from_this()](const auto& error) {
    const auto self = weak.lock();
    if (!error && self) {
      self->Close();
    }
  });
  this->Read();
}

void ServerSession::ReadDiscarded() {
  std::array<char, kReadBytes> discarded;
  boost::beast::error_code error;
  this->socket.read_some(boost::asio::buffer(discarded), error);
  if (error && error != boost::asio::error::would_block) {
    this->Close();
    return;
  }
  this->Read();
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
  this->SendBody(std::move(body));
  this->FinishResponse();
}

void ServerSession::StartResponse(std::uint32_t status,
                                  std::string_view reason,
                                  HeaderFields fields,
                                  std::optional<std::uint64_t> content_length) {
  this->has_body = StatusHasBody(status) && !this->is_head_request;
  if (content_length) {
    this->response_bytes = 0;
  }
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

void ServerSession::SendBody(std::string bytes) {
  if (bytes.empty() || !this->has_body) {
    return;
  }
  this->Write(this->is_chunked ? SerializeChunk(bytes) : std::move(bytes));
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
  return this->unsent.size() + this->in_flight.size() -
             this->in_flight_written >
         kCongestedBytes;
}

void ServerSession::FinishExchange() {
  this->on_disconnect = nullptr;
  this->on_drained = nullptr;
  this->request_bytes = 0;
  this->response_bytes = 0;
  this->ChargeMemory();
  // A response that began before CloseWhenIdle did not announce the close. A
  // request that crosses the close is not read, so its caller may repeat it.
  if (!this->request_keeps_alive ||
      (this->closes_when_idle && !this->has_next_request())) {
    this->closes_after_write = true;
    this->WriteNext();
    return;
  }
  this->state = State::kReading;
  this->UpdateHolderState();
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
  if (!this->socket.is_open() || this->is_response_dropped) {
    return;
  }
  if (this->unsent.empty()) {
    this->unsent = std::move(bytes);
  } else {
    this->unsent += bytes;
  }
  if (this->unsent.size() < kDrainedBytes) {
    this->ChargeMemory();
  } else if (!this->UpdateMemory()) {
    // The producer of the response is on the stack, so it learns of the close
    // later.
    this->is_response_dropped = true;
    this->unsent = std::string();
    boost::asio::post(this->socket.get_executor(),
                      [self = this->shared_from_this()] { self->Close(); });
    return;
  }
  this->WriteNext();
  this->UpdateHolderState();
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
      if (this->lingers_after_write) {
        this->Linger();
      } else {
        this->Close();
      }
    }
    return;
  }
  this->is_writing = true;
  this->in_flight = std::exchange(this->unsent, std::string());
  this->in_flight_written = 0;
  this->WriteInFlight();
}

void ServerSession::WriteInFlight() {
  this->socket.async_write_some(
      boost::asio::buffer(this->in_flight) + this->in_flight_written,
      [self = this->shared_from_this()](const auto& error, std::size_t bytes) {
        if (!error && self->options->budget) {
          self->options->budget->OnProgress(self->holder, bytes, BootTimeNow());
        }
        self->in_flight_written += bytes;
        if (!error && self->in_flight_written < self->in_flight.size()) {
          self->WriteInFlight();
          return;
        }
        self->is_writing = false;
        self->in_flight = std::string();
        self->in_flight_written = 0;
        if (error) {
          self->Close();
          return;
        }
        self->ChargeMemory();
        self->WriteNext();
        self->UpdateHolderState();
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
  this->parser.reset();
  this->input = {};
  this->unsent = std::string();
  this->is_read_paused = false;
  // A request that is handled holds its memory until its handler has ended and
  // the session is destroyed.
  this->ChargeMemory();
  this->options->on_closed(this);
  if (const auto callback = std::exchange(this->on_disconnect, nullptr)) {
    callback();
  }
}

}  // namespace crocus
