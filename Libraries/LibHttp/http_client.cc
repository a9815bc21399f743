#include "LibHttp/http_client.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "LibAsyncHttp/client_connection.h"
#include "LibAsyncHttp/http_serialization.h"
#include "LibAsyncHttp/http_status.h"
#include "LibHttp/http_url.h"

namespace crocus {

namespace {

using Endpoint = boost::asio::ip::tcp::endpoint;
using SteadyTime = std::chrono::steady_clock::time_point;

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char character) {
                   return static_cast<char>(std::tolower(character));
                 });
  return text;
}

std::string SerializeCall(const HttpCall& call, const HttpUrl& url) {
  RequestHead head{.method = call.method, .target = url.target};
  head.fields.Add("Host", url.authority);
  for (const auto& [name, value] : call.headers) {
    head.fields.Set(name, value);
  }
  return SerializeRequest(head, call.body);
}

Result<std::vector<Endpoint>> Resolve(boost::asio::io_context& loop,
                                      const HttpUrl& url) {
  boost::asio::ip::tcp::resolver resolver(loop);
  boost::system::error_code error;
  std::vector<Endpoint> endpoints;
  for (const auto& entry : resolver.resolve(url.host, url.port, error)) {
    endpoints.push_back(entry.endpoint());
  }
  if (error || endpoints.empty()) {
    return Failure(ErrorCode::kUnavailable,
                   url.authority + ": " + error.message(),
                   Verdict::kMayHaveRun);
  }
  return endpoints;
}

/// Receives a part of the body of an answer with that status. Returning false
/// aborts the call.
using PartOfStatusHandler =
    std::function<bool(int status, std::string_view part)>;

/// How an exchange with one server ended.
struct Outcome {
  /// None if the time was over or the receiver aborted it.
  std::optional<ExchangeEnd> end;
  std::string reason;
  HttpReply reply;
};

Outcome RunExchange(boost::asio::io_context& loop,
                    const Endpoint& server,
                    std::string request_text,
                    const ExchangeOptions& options,
                    SteadyTime deadline,
                    const PartOfStatusHandler& on_part) {
  Outcome outcome{.reason = "no complete response in time"};
  bool is_aborted = false;
  const auto connection =
      std::make_shared<ClientConnection>(loop, server, [](const auto&) {});
  connection->Start(
      std::move(request_text),
      {.on_head =
           [&outcome](const ResponseHead& head) {
             outcome.reply.status = static_cast<int>(head.status);
             for (const auto& field : head.fields.all()) {
               outcome.reply.headers[ToLower(field.name)] = field.value;
             }
             return HeadDecision::kAccept;
           },
       .on_body =
           [&outcome, &is_aborted, &connection,
            &on_part](std::string_view bytes) {
             if (!on_part(outcome.reply.status, bytes)) {
               is_aborted = true;
               connection->Cancel();
             }
           },
       .on_end =
           [&outcome](ExchangeEnd end, const std::string& reason) {
             outcome.end = end;
             outcome.reason = reason;
           }},
      options);
  while (!outcome.end && !is_aborted && loop.run_one_until(deadline) > 0) {
  }
  if (is_aborted) {
    outcome.reason = "the response was aborted by the client";
  }
  connection->Cancel();
  return outcome;
}

Result<HttpReply> SendCall(const HttpCall& call,
                           const PartOfStatusHandler& on_part) {
  TRY_ASSIGN(const HttpUrl url, ParseHttpUrl(call.url));
  boost::asio::io_context loop(1);
  TRY_ASSIGN(const auto servers, Resolve(loop, url));
  const SteadyTime deadline = std::chrono::steady_clock::now() + call.timeout;
  const ExchangeOptions options{.connect_timeout = call.timeout,
                                .is_head_request = call.method == "HEAD"};
  Outcome outcome;
  for (const auto& server : servers) {
    loop.restart();
    outcome = RunExchange(loop, server, SerializeCall(call, url), options,
                          deadline, on_part);
    if (outcome.end != ExchangeEnd::kNotConnected) {
      break;
    }
  }
  if (outcome.end != ExchangeEnd::kComplete) {
    return Failure(ErrorCode::kUnavailable, call.url + ": " + outcome.reason,
                   Verdict::kMayHaveRun);
  }
  return std::move(outcome.reply);
}

}  // namespace

Result<HttpReply> SendHttp(const HttpCall& call) {
  std::string body;
  TRY_ASSIGN(HttpReply reply,
             SendCall(call, [&call, &body](int, std::string_view part) {
               if (body.size() + part.size() > call.maximum_body_bytes) {
                 return false;
               }
               body += part;
               return true;
             }));
  reply.body = std::move(body);
  return reply;
}

Result<HttpReply> SendHttpStreaming(const HttpCall& call,
                                    const BodyPartHandler& on_part) {
  std::size_t dropped_bytes = 0;
  return SendCall(call, [&](int status, std::string_view part) {
    if (http_status::IsSuccess(static_cast<std::uint32_t>(status))) {
      return on_part(part);
    }
    dropped_bytes += part.size();
    return dropped_bytes <= call.maximum_body_bytes;
  });
}

}  // namespace crocus
