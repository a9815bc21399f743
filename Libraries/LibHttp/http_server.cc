#include "LibHttp/http_server.h"

#include <atomic>
#include <future>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "LibAsyncHttp/event_loop.h"
#include "LibAsyncHttp/http_listener.h"
#include "LibAsyncHttp/http_status.h"
#include "LibEvents/event_log.h"
#include "LibHttp/error_response.h"
#include "LibHttp/handler_threads.h"
#include "LibHttp/http_exchange.h"

namespace crocus {

namespace {

/// How long open connections without a request delay a shutdown: a request may
/// be in flight when the last response is sent.
constexpr std::chrono::milliseconds kIdleGracePeriod{500};

constexpr std::chrono::milliseconds kIdlePollInterval{10};
constexpr std::chrono::milliseconds kTickInterval{100};
constexpr Duration kExpiryLogInterval = std::chrono::seconds(1);

constexpr std::uint32_t kMaximumHeaderBytes = 32 << 10;

/// Time for which the rest of a refused request is read.
constexpr std::chrono::milliseconds kLingerTime{2000};

/// Memory of a thread with a handler besides the bytes of its request: the used
/// pages of its stack and what the allocator keeps for it.
constexpr std::uint64_t kHandlerBytes = 40 << 10;

/// Retry-After has whole seconds here. Half a second suffices after a refusal
/// for lack of memory.
constexpr char kRetryAfter[] = "1";

std::string RefusalBody(std::uint32_t status) {
  switch (status) {
    case http_status::kPayloadTooLarge:
      return ErrorBody("body_too_large", "the body exceeds the limit",
                       Verdict::kNotRun);
    case http_status::kHeaderTooLarge:
      return ErrorBody("header_too_large", "the header exceeds the limit",
                       Verdict::kNotRun);
    case http_status::kUnavailable:
      return ErrorBody("no_memory", "there is no memory for the request",
                       Verdict::kNotRun);
    default:
      return ErrorBody("malformed_request", "the request is not valid HTTP",
                       Verdict::kNotRun);
  }
}

HttpResponse OverloadResponse() {
  HttpResponse response =
      ErrorResponse(http_status::kUnavailable, "no_thread",
                    "no thread has become free", Verdict::kNotRun);
  response.headers["Retry-After"] = kRetryAfter;
  return response;
}

}  // namespace

struct HttpServer::State {
  explicit State(HttpServerOptions given)
      : options(std::move(given)),
        budget(std::make_shared<MemoryBudget>(
            MemoryBudgetOptions{.bytes = this->options.memory_bytes})),
        listener(
            this->loop,
            [this] { return this->Limits(); },
            [this](auto session, auto request) {
              this->OnRequest(std::move(session), std::move(request));
            },
            {.maximum_sessions = this->options.connection_limit,
             .budget = this->options.memory_bytes == 0 ? nullptr : this->budget,
             .refusal_fields = HeaderFields(std::vector<HeaderField>{
                 {.name = "Retry-After", .value = kRetryAfter}}),
             .refusal_body = RefusalBody,
             .handling_bytes = kHandlerBytes,
             .linger_time = kLingerTime}),
        threads({.maximum_threads = this->options.connection_limit,
                 .stack_bytes = this->options.thread_stack_bytes}),
        tick_timer(this->loop) {}

  SessionLimits Limits() const {
    const std::chrono::seconds idle =
        this->options.idle_timeout_seconds == 0
            ? std::chrono::seconds(std::chrono::hours(24 * 365))
            : std::chrono::seconds(this->options.idle_timeout_seconds);
    return {.request = {.header_bytes = kMaximumHeaderBytes,
                        .body_bytes = this->options.maximum_body_bytes},
            .header_timeout = idle,
            .idle_timeout = idle};
  }

  void OnRequest(std::shared_ptr<ServerSession> session, Request request) {
    auto route = this->routes.Find(request.head.method, request.head.path());
    const bool is_known = route.handler != nullptr;
    const auto exchange = std::make_shared<HttpExchange>(
        this->loop, std::move(session), std::move(request), std::move(route));
    if (!is_known) {
      exchange->Respond({.status = http_status::kNotFound,
                         .headers = {},
                         .body = "Resource not found",
                         .stream = std::nullopt});
      return;
    }
    exchange->Start();
    const Submission submission =
        this->threads.Submit([exchange] { exchange->Run(); });
    if (submission == Submission::kRefused) {
      ++this->expired;
      exchange->Respond(OverloadResponse());
    } else if (submission == Submission::kWaits) {
      exchange->ExpireAfter(
          std::chrono::seconds(this->options.idle_timeout_seconds),
          [this](HttpExchange& late) {
            ++this->expired;
            late.Respond(OverloadResponse());
          });
    }
  }

  ClientUsage Usage() const {
    return ReadClientUsage(this->listener, *this->budget,
                           this->options.connection_limit);
  }

  void LogExpired(TimePoint now) {
    if (this->expired == 0 || now - this->expiry_logged < kExpiryLogInterval) {
      return;
    }
    LogEvent(Event::kRequestsExpired,
             {{"requests", std::to_string(this->expired)},
              {"threads", std::to_string(this->options.connection_limit)}});
    this->expired = 0;
    this->expiry_logged = now;
  }

  void Tick() {
    const TimePoint now = BootTimeNow();
    this->usage_log.Update(this->Usage(), now);
    this->LogExpired(now);
    this->tick_timer.expires_after(kTickInterval);
    this->tick_timer.async_wait([this](const auto& error) {
      if (!error) {
        this->Tick();
      }
    });
  }

  /// Calls `function` in the event loop and returns its result.
  template <typename Function>
  auto InLoop(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    boost::asio::post(this->loop, std::move(task));
    return result.get();
  }

  const HttpServerOptions options;
  boost::asio::io_context loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard{boost::asio::make_work_guard(this->loop)};
  RouteTable routes;
  const std::shared_ptr<MemoryBudget> budget;
  HttpListener listener;
  HandlerThreads threads;
  boost::asio::steady_timer tick_timer;
  ClientUsageLog usage_log;
  /// Requests that found no thread since the last line about them.
  std::uint64_t expired = 0;
  TimePoint expiry_logged{};
  std::thread loop_thread;
  std::uint16_t port = 0;
  std::atomic<bool> is_running = false;
};

HttpServer::HttpServer(HttpServerOptions options)
    : state(std::make_unique<State>(std::move(options))) {}

HttpServer::~HttpServer() {
  this->Stop();
}

void HttpServer::AddRoute(const std::string& method,
                          const std::string& pattern,
                          HttpHandler handler) {
  this->state->routes.Add(method, pattern, std::move(handler));
}

Result<void> HttpServer::Start() {
  const auto& options = this->state->options;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(options.address, error);
  if (error) {
    return Failure(ErrorCode::kInvalidArgument,
                   "\"" + options.address + "\" is not an IPv4 address");
  }
  TRY(this->state->listener.Listen({address, options.port}));
  this->state->port = this->state->listener.port();
  this->state->Tick();
  this->state->loop_thread =
      std::thread([this] { RunEventLoop(this->state->loop); });
  this->state->is_running = true;
  return {};
}

void HttpServer::CloseConnectionsAfterResponses() {
  if (this->state->is_running) {
    this->state->InLoop([this] { this->state->listener.AnnounceClose(); });
  }
}

void HttpServer::StopAccepting() {
  if (this->state->is_running) {
    this->state->InLoop(
        [this] { this->state->listener.CloseListeningSocket(); });
  }
}

bool HttpServer::WaitUntilIdle(std::chrono::microseconds limit) {
  if (!this->state->is_running) {
    return true;
  }
  using std::chrono::steady_clock;
  const auto end = steady_clock::now() + limit;
  auto idle_since = steady_clock::now();
  while (true) {
    const auto now = steady_clock::now();
    const auto [busy, open] = this->state->InLoop([this] {
      const auto& listener = this->state->listener;
      return std::pair(listener.busy_sessions(), listener.open_sessions());
    });
    // The handler of a caller that has disconnected still runs.
    if (busy + this->state->threads.unfinished_tasks() > 0) {
      idle_since = now;
    } else if (open == 0 || now - idle_since >= kIdleGracePeriod) {
      return true;
    }
    if (now >= end) {
      return false;
    }
    std::this_thread::sleep_for(kIdlePollInterval);
  }
}

void HttpServer::Stop() {
  if (!this->state->is_running) {
    return;
  }
  this->state->InLoop([this] { this->state->listener.Disconnect(); });
  // Handlers whose callers are gone end soon. They pass their responses to the
  // event loop, so that runs until they have ended.
  this->state->threads.Stop();
  this->state->is_running = false;
  boost::asio::post(this->state->loop, [this] { this->state->loop.stop(); });
  this->state->loop_thread.join();
}

std::uint16_t HttpServer::port() const {
  return this->state->port;
}

ClientUsage HttpServer::usage() const {
  if (!this->state->is_running) {
    return {};
  }
  return this->state->InLoop([this] { return this->state->Usage(); });
}

}  // namespace crocus
