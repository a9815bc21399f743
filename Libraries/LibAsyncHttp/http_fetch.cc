#include "LibAsyncHttp/http_fetch.h"

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "LibAsyncHttp/http_serialization.h"

namespace crocus {

namespace {

struct FetchState {
  explicit FetchState(boost::asio::io_context& loop) : timer(loop) {}

  boost::asio::steady_timer timer;
  std::shared_ptr<ClientConnection> connection;
  FetchedResponse response;
  std::function<void(Result<FetchedResponse>)> on_done;
};

void Finish(const std::shared_ptr<FetchState>& state,
            Result<FetchedResponse> result) {
  state->timer.cancel();
  state->connection.reset();
  const auto on_done = std::exchange(state->on_done, nullptr);
  if (on_done) {
    on_done(std::move(result));
  }
}

}  // namespace

void Fetch(boost::asio::io_context& loop,
           ConnectionPool& pool,
           FetchOptions options,
           std::function<void(Result<FetchedResponse>)> on_done) {
  const auto state = std::make_shared<FetchState>(loop);
  state->on_done = std::move(on_done);
  ExchangeEvents events{
      .on_head =
          [state](const ResponseHead& head) {
            state->response.head = head;
            return HeadDecision::kAccept;
          },
      .on_body = [state](auto bytes) { state->response.body += bytes; },
      .on_end =
          [state](ExchangeEnd end, const std::string& reason) {
            if (end == ExchangeEnd::kComplete) {
              Finish(state, std::move(state->response));
            } else {
              Finish(state, Failure(ErrorCode::kUnavailable, reason,
                                    end == ExchangeEnd::kNotConnected
                                        ? Verdict::kNotRun
                                        : Verdict::kMayHaveRun));
            }
          }};
  state->timer.expires_after(options.timeout);
  state->timer.async_wait([state](const auto& error) {
    if (error || !state->on_done) {
      return;
    }
    if (state->connection) {
      state->connection->Cancel();
    }
    Finish(state, Failure(ErrorCode::kTimeout, "no response in time",
                          Verdict::kMayHaveRun));
  });
  auto connection = pool.Start(
      options.pool_key, options.server,
      SerializeRequest(options.head, options.body), std::move(events),
      {.connect_timeout = options.timeout,
       .maximum_body_bytes = options.maximum_body_bytes});
  if (state->on_done) {
    state->connection = std::move(connection);
  }
}

}  // namespace crocus
