#include "LibHttp/http_exchange.h"

#include <algorithm>
#include <cctype>
#include <ctime>
#include <exception>
#include <utility>

#include <boost/asio/post.hpp>

#include "LibAsyncHttp/http_serialization.h"
#include "LibAsyncHttp/http_status.h"
#include "LibEvents/event_log.h"
#include "LibHttp/error_response.h"

namespace crocus {

namespace {

/// Bytes of a streamed body that wait for the event loop. The session holds up
/// to four times as many for a caller that reads slowly.
constexpr std::size_t kMaximumQueuedBytes = 64 << 10;

/// Responses of this size need room in the memory for callers. The session
/// sends smaller ones in any case.
constexpr std::size_t kLargeResponseBytes = 64 << 10;

/// The current time in the format of the Date field (RFC 9110, 5.6.7).
std::string DateText() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[32];
  const std::size_t size =
      std::strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  return std::string(text, size);
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char character) {
                   return static_cast<char>(std::tolower(character));
                 });
  return text;
}

}  // namespace

HttpExchange::HttpExchange(boost::asio::io_context& loop,
                           std::shared_ptr<ServerSession> session,
                           Request request,
                           RouteTable::Match route)
    : loop(loop),
      session(std::move(session)),
      request(std::move(request)),
      route(std::move(route)),
      understands_chunks(this->request.head.understands_chunks),
      keep_alive(this->request.head.keep_alive),
      expiry_timer(loop) {}

void HttpExchange::Start() {
  this->session->set_on_disconnect(
      [self = this->shared_from_this()] { self->OnDisconnect(); });
}

void HttpExchange::ExpireAfter(std::chrono::seconds limit,
                               std::function<void(HttpExchange&)> on_expired) {
  this->is_dropped_on_disconnect = true;
  if (limit.count() == 0) {
    return;
  }
  this->expiry_timer.expires_after(limit);
  this->expiry_timer.async_wait(
      [weak = this->weak_from_this(),
       on_expired = std::move(on_expired)](const auto& error) {
        const auto self = weak.lock();
        if (!error && self && self->Withdraw()) {
          on_expired(*self);
        }
      });
}

bool HttpExchange::Withdraw() {
  Stage expected = Stage::kWaiting;
  if (!this->stage.compare_exchange_strong(expected, Stage::kWithdrawn)) {
    return false;
  }
  this->request = {};
  return true;
}

void HttpExchange::OnDisconnect() {
  *this->is_disconnected = true;
  {
    // A thread that is about to wait must not miss the notification.
    std::lock_guard lock(this->mutex);
  }
  this->writable.notify_all();
  if (this->is_dropped_on_disconnect && this->Withdraw()) {
    this->Release();
  }
}

HttpRequest HttpExchange::MakeRequest() const {
  const RequestHead& head = this->request.head;
  HttpRequest made{.method = head.method,
                   .path = std::string(head.path()),
                   .parameters = ParseQuery(head.target),
                   .headers = {},
                   .body = {},
                   .is_caller_disconnected = [flag = this->is_disconnected] {
                     return flag->load();
                   }};
  for (const auto& [name, value] : this->route.parameters) {
    AddJoined(made.parameters, name, value);
  }
  for (const auto& field : head.fields.all()) {
    AddJoined(made.headers, ToLower(field.name), field.value);
  }
  return made;
}

HttpResponse HttpExchange::CallHandler() {
  HttpRequest made = this->MakeRequest();
  made.body = std::move(this->request.body);
  this->request = {};
  // An exception must not leave the thread; it would terminate the process for
  // all callers.
  try {
    return (*this->route.handler)(made);
  } catch (const std::exception& exception) {
    LogEvent(Event::kHandlerFailed,
             {{"path", made.path}, {"reason", exception.what()}});
    return ErrorResponse(http_status::kServerError, "internal_error",
                         "the request could not be handled",
                         Verdict::kMayHaveRun);
  }
}

void HttpExchange::Run() {
  Stage expected = Stage::kWaiting;
  if (!this->stage.compare_exchange_strong(expected, Stage::kRunning)) {
    return;
  }
  HttpResponse response = this->CallHandler();
  auto self = this->shared_from_this();
  if (!response.stream) {
    boost::asio::post(this->loop,
                      [self, response = std::move(response)]() mutable {
                        self->Respond(std::move(response));
                      });
    return;
  }
  const BodyStream stream = std::move(*response.stream);
  boost::asio::post(this->loop, [self, status = response.status,
                                 headers = std::move(response.headers)] {
    self->SendHead(status, headers);
  });
  const bool is_complete = this->SendStream(stream);
  boost::asio::post(this->loop, [self = std::move(self), is_complete] {
    self->FinishStream(is_complete);
  });
}

bool HttpExchange::SendStream(const BodyStream& stream) {
  bool is_complete = true;
  try {
    while (is_complete) {
      const auto part = stream.next();
      if (!part) {
        break;
      }
      is_complete = this->Append(*part);
    }
  } catch (const std::exception& exception) {
    LogEvent(Event::kHandlerFailed,
             {{"path", "streamed body"}, {"reason", exception.what()}});
    is_complete = false;
  }
  if (stream.finish) {
    stream.finish();
  }
  return is_complete;
}

bool HttpExchange::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    std::unique_lock lock(this->mutex);
    this->writable.wait(lock, [this] {
      return *this->is_disconnected ||
             (!this->is_congested && this->queued.size() < kMaximumQueuedBytes);
    });
    if (*this->is_disconnected) {
      return false;
    }
    const std::size_t size =
        std::min(bytes.size(), kMaximumQueuedBytes - this->queued.size());
    this->queued.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    if (!std::exchange(this->is_flush_posted, true)) {
      boost::asio::post(this->loop,
                        [self = this->shared_from_this()] { self->Flush(); });
    }
  }
  return !*this->is_disconnected;
}

HeaderFields HttpExchange::MakeFields(
    const std::map<std::string, std::string>& headers) const {
  HeaderFields fields;
  fields.Add("Date", DateText());
  for (const auto& [name, value] : headers) {
    fields.Add(name, value);
  }
  if (!this->understands_chunks && this->keep_alive) {
    fields.Add("Connection", "keep-alive");
  }
  return fields;
}

void HttpExchange::SendHead(int status,
                            const std::map<std::string, std::string>& headers) {
  if (!this->session->is_open()) {
    return;
  }
  if (!this->understands_chunks) {
    this->session->EndBodyWithConnection();
  }
  const auto code = static_cast<std::uint32_t>(status);
  this->session->StartResponse(code, ReasonPhrase(code),
                               this->MakeFields(headers), std::nullopt);
}

void HttpExchange::Flush() {
  std::string bytes;
  {
    std::lock_guard lock(this->mutex);
    bytes.swap(this->queued);
    this->is_flush_posted = false;
  }
  if (this->session->is_open()) {
    this->session->SendBody(std::move(bytes));
  }
  if (this->session->is_open() && this->session->is_congested()) {
    {
      std::lock_guard lock(this->mutex);
      this->is_congested = true;
    }
    this->session->set_on_drained([self = this->shared_from_this()] {
      {
        std::lock_guard lock(self->mutex);
        self->is_congested = false;
      }
      self->writable.notify_all();
    });
    return;
  }
  this->writable.notify_all();
}

void HttpExchange::Respond(HttpResponse response) {
  if (this->session->is_open()) {
    if (response.body.size() >= kLargeResponseBytes &&
        !this->session->ReserveResponse(response.body.size())) {
      // The handler has run, so 503 would be wrong.
      response = ErrorResponse(http_status::kServerError, "no_memory",
                               "there is no memory for the response",
                               Verdict::kMayHaveRun);
    }
    this->session->Respond(static_cast<std::uint32_t>(response.status),
                           this->MakeFields(response.headers),
                           std::move(response.body));
  }
  this->Release();
}

void HttpExchange::FinishStream(bool is_complete) {
  if (this->session->is_open()) {
    if (is_complete) {
      this->session->FinishResponse();
    } else {
      this->session->Abort();
    }
  }
  this->Release();
}

void HttpExchange::Release() {
  this->expiry_timer.cancel();
  this->session.reset();
}

}  // namespace crocus
