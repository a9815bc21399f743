#include "LibAsyncHttp/client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "LibAsyncHttp/chunk_framing.h"
#include "LibAsyncHttp/socket_options.h"
#include "LibCore/assertions.h"
#include "LibCore/text.h"

namespace crocus {

namespace {

constexpr std::size_t kReadBytes = 16 << 10;
/// Interim (1xx) and mismatched responses before the awaited one. A server that
/// sends them without end is given up.
constexpr std::uint32_t kMaximumSkippedHeads = 16;
/// Limit of a head, and of the framing of a body: chunk sizes, their
/// extensions and the trailer.
constexpr std::size_t kMaximumHeadBytes = 64 << 10;
/// Idle timeout of a server that does not declare one; most servers keep
/// connections for several seconds.
constexpr Duration kDefaultKeepAliveTimeout = std::chrono::seconds(4);
/// An idle connection is not reused this shortly before the server's idle
/// timeout: the server could close it while the request is in flight.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(500);

/// The idle timeout that a `Keep-Alive: timeout=N` field declares.
Duration KeepAliveTimeoutOf(const HeaderFields& fields) {
  const auto field = fields.Find("keep-alive");
  if (!field) {
    return kDefaultKeepAliveTimeout;
  }
  for (const auto& part : Split(*field, ',')) {
    const std::string text = Trim(part);
    constexpr std::string_view kTimeout = "timeout=";
    if (text.rfind(kTimeout, 0) != 0) {
      continue;
    }
    int seconds = 0;
    const auto [end, error] = std::from_chars(
        text.data() + kTimeout.size(), text.data() + text.size(), seconds);
    if (error == std::errc()) {
      return std::chrono::seconds(std::max(seconds, 0));
    }
  }
  return kDefaultKeepAliveTimeout;
}

bool IsInterim(std::uint32_t status) {
  return status >= 100 && status < 200;
}

}  // namespace

ClientConnection::ClientConnection(boost::asio::io_context& loop,
                                   boost::asio::ip::tcp::endpoint server,
                                   StateCallback on_state)
    : socket(loop),
      connect_timer(loop),
      address(std::move(server)),
      on_state(std::move(on_state)) {}

void ClientConnection::Start(std::string request_text,
                             ExchangeEvents events,
                             const ExchangeOptions& options) {
  VERIFY(!this->is_busy);
  this->is_busy = true;
  this->request_text = std::move(request_text);
  this->events = std::make_shared<const ExchangeEvents>(std::move(events));
  this->is_head_request = options.is_head_request;
  this->body_bytes_left = options.maximum_body_bytes;
  this->skipped_heads = 0;
  ++this->exchanges;
  this->is_request_sent = false;
  this->has_write_failed = false;
  this->is_end_undecided = false;
  this->head_delivered = false;
  this->skipped_response = false;
  this->is_paused = false;
  this->has_rest = false;
  this->parser = std::make_unique<ResponseParser>();
  this->parser->skip(this->is_head_request);
  if (this->is_connected) {
    this->SendRequest();
  } else {
    this->Connect(options);
  }
}

void ClientConnection::Connect(const ExchangeOptions& options) {
  this->connect_timer.expires_after(options.connect_timeout);
  this->connect_timer.async_wait(
      [weak = this->weak_from_this()](const auto& error) {
        const auto self = weak.lock();
        if (!error && self && !self->is_connected && self->is_busy) {
          self->End(ExchangeEnd::kNotConnected, "connect timed out");
        }
      });
  this->socket.async_connect(
      this->address, [self = this->shared_from_this()](const auto& error) {
        if (!self->is_busy) {
          return;
        }
        self->connect_timer.cancel();
        if (error) {
          self->End(ExchangeEnd::kNotConnected, error.message());
          return;
        }
        self->is_connected = true;
        SetSocketOptions(self->socket);
        self->SendRequest();
      });
}

void ClientConnection::SendRequest() {
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->request_text),
      [self = this->shared_from_this()](const auto& error, std::size_t) {
        // A failed write is not reported here: the read reports the end of the
        // connection, after any response that the server sent before it.
        self->is_request_sent = !error;
        self->has_write_failed = static_cast<bool>(error);
        // A connection is kept for long after its exchange.
        self->request_text = std::string();
        if (self->is_busy && self->is_end_undecided) {
          self->EndUnframedBody();
        }
      });
  this->Read();
}

void ClientConnection::Read() {
  if (this->is_reading || this->is_paused || !this->socket.is_open()) {
    return;
  }
  this->is_reading = true;
  this->socket.async_read_some(
      this->input.prepare(kReadBytes),
      [self = this->shared_from_this()](const auto& error, std::size_t bytes) {
        self->is_reading = false;
        if (!self->socket.is_open()) {
          return;
        }
        self->input.commit(bytes);
        if (error) {
          self->OnReadError(error);
          return;
        }
        self->OnBytes();
      });
}

void ClientConnection::OnBytes() {
  if (!this->is_busy) {
    // Bytes that follow a complete response belong to no request.
    this->Close();
    return;
  }
  const auto self = this->shared_from_this();
  while (this->is_busy && this->input.size() > 0) {
    if (!MayParse(this->parser->is_header_done(), this->has_rest,
                  this->input.size())) {
      break;
    }
    boost::beast::error_code error;
    const std::size_t used = this->parser->Put(this->input.data(), error);
    this->input.consume(used);
    this->has_rest = this->input.size() > 0 && error;
    if (!this->DeliverParsed()) {
      return;
    }
    if (error == boost::beast::http::error::need_more) {
      // Body bytes are consumed as they arrive, so the rest is an incomplete
      // head or framing.
      if (this->input.size() > kMaximumHeadBytes) {
        if (this->head_delivered) {
          this->End(ExchangeEnd::kBrokenInBody, "body framing too large");
        } else {
          this->End(ExchangeEnd::kBrokenBeforeHead, "response head too large");
        }
        return;
      }
      break;
    }
    if (error) {
      this->End(this->head_delivered ? ExchangeEnd::kBrokenInBody
                                     : ExchangeEnd::kBrokenBeforeHead,
                "malformed response: " + error.message());
      return;
    }
    if (this->parser->is_done()) {
      this->FinishComplete();
      return;
    }
  }
  this->Read();
}

bool ClientConnection::DeliverParsed() {
  const auto receiver = this->events;
  if (!this->parser->is_header_done()) {
    return true;
  }
  const ResponseHead& head = this->parser->head();
  if (!this->head_delivered) {
    const bool is_interim = IsInterim(head.status);
    const HeadDecision decision =
        is_interim ? HeadDecision::kSkip : receiver->on_head(head);
    if (!this->is_busy) {
      return false;
    }
    if (decision == HeadDecision::kReject) {
      this->End(ExchangeEnd::kBrokenBeforeHead,
                "response on a kept connection without the request's id");
      return false;
    }
    if (decision == HeadDecision::kSkip) {
      if (++this->skipped_heads > kMaximumSkippedHeads) {
        this->End(ExchangeEnd::kBrokenBeforeHead,
                  "too many interim or mismatched responses");
        return false;
      }
      if (!this->parser->is_done()) {
        // The rest of a mismatched body cannot be distinguished from the
        // awaited response.
        this->End(ExchangeEnd::kBrokenBeforeHead, "mismatched response");
        return false;
      }
      this->skipped_response = this->skipped_response || !is_interim;
      this->parser = std::make_unique<ResponseParser>();
      this->parser->skip(this->is_head_request);
      return true;
    }
    this->head_delivered = true;
  }
  if (const std::string body = this->parser->TakeBody(); !body.empty()) {
    if (body.size() > this->body_bytes_left) {
      this->End(ExchangeEnd::kBrokenInBody, "response body too large");
      return false;
    }
    this->body_bytes_left -= body.size();
    receiver->on_body(body);
  }
  return this->is_busy;
}

void ClientConnection::OnReadError(const boost::system::error_code& error) {
  if (!this->is_busy) {
    this->Close();
    return;
  }
  const auto self = this->shared_from_this();
  if (error == boost::asio::error::eof && this->head_delivered &&
      this->parser->need_eof()) {
    this->EndUnframedBody();
    return;
  }
  this->End(this->head_delivered ? ExchangeEnd::kBrokenInBody
                                 : ExchangeEnd::kBrokenBeforeHead,
            "connection ended: " + error.message());
}

void ClientConnection::EndUnframedBody() {
  // The kernel reports a reset once. If the write of the request gets the
  // error, the read ends as after a close, and its handler may run before that
  // of the write.
  this->is_end_undecided = !this->is_request_sent && !this->has_write_failed;
  if (this->is_end_undecided) {
    return;
  }
  if (this->has_write_failed) {
    this->End(ExchangeEnd::kBrokenInBody,
              "connection failed while the request was being written");
    return;
  }
  boost::beast::error_code ignored;
  this->parser->put_eof(ignored);
  this->FinishComplete();
}

void ClientConnection::FinishComplete() {
  const ResponseHead head = this->parser->head();
  const bool is_reusable = head.keep_alive && this->is_request_sent &&
                           !this->skipped_response &&
                           !this->parser->need_eof() && this->input.size() == 0;
  const auto receiver = std::exchange(this->events, nullptr);
  this->is_busy = false;
  if (is_reusable) {
    this->idle_deadline =
        BootTimeNow() + KeepAliveTimeoutOf(head.fields) - kKeepAliveMargin;
    this->Read();
    this->on_state(this->shared_from_this());
  } else {
    this->Close();
  }
  receiver->on_end(ExchangeEnd::kComplete, "");
}

void ClientConnection::End(ExchangeEnd end, const std::string& reason) {
  const auto receiver = std::exchange(this->events, nullptr);
  this->is_busy = false;
  this->Close();
  receiver->on_end(end, reason);
}

void ClientConnection::Cancel() {
  this->is_busy = false;
  this->events = nullptr;
  this->Close();
}

void ClientConnection::set_paused(bool paused) {
  this->is_paused = paused;
  this->Read();
}

void ClientConnection::Close() {
  this->connect_timer.cancel();
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->is_connected = false;
  this->on_state(this->shared_from_this());
}

}  // namespace crocus
