#include "LibPlatform/engine_client.h"

#include <nlohmann/json.hpp>

#include "LibHttp/http_client.h"
#include "LibHttp/json_response.h"
#include "LibPlatform/token_reader.h"

namespace crocus {

namespace {

constexpr int kOk = 200;
constexpr int kConflictStatus = 409;
constexpr int kUnprocessable = 422;

HttpCall JsonCall(const std::string& url,
                  const nlohmann::json& body,
                  std::chrono::seconds timeout) {
  return {.method = "POST",
          .url = url,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace),
          .timeout = timeout};
}

constexpr std::chrono::seconds kControlTimeout{5};

}  // namespace

Result<EngineOutcome> EngineClient::Complete(
    const EngineCall& call,
    const TokenHandler& on_token) const {
  TokenReader reader(on_token, {.tokens = call.max_tokens});
  const auto reply = SendHttpStreaming(
      JsonCall(this->base_url + "/v1/completions",
               {{"request_id", call.request_id},
                {"model", call.model},
                {"prompt", call.prompt},
                {"max_tokens", call.max_tokens},
                {"resume_from", call.resume_from},
                {"stream", true}},
               call.timeout),
      [&reader](std::string_view part) { return reader.Add(part); });
  if (reader.is_cancelled()) {
    return EngineOutcome::kCancelled;
  }
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  if (reply->status == kUnprocessable) {
    return Failure(ErrorCode::kInvalidArgument, "engine rejected the prompt",
                   Verdict::kRan);
  }
  if (reply->status != kOk) {
    return Failure(ErrorCode::kUnavailable,
                   "engine returned status " + std::to_string(reply->status),
                   Verdict::kMayHaveRun);
  }
  if (!reader.is_complete()) {
    return Failure(ErrorCode::kUnavailable,
                   "the engine's stream ended before it was complete",
                   Verdict::kMayHaveRun);
  }
  return EngineOutcome::kComplete;
}

Result<std::string> EngineClient::CallService(const EngineCall& call) const {
  TRY_ASSIGN(const HttpReply reply,
             SendHttp(JsonCall(
                 this->base_url + "/v1/calls",
                 {{"request_id", call.request_id}, {"prompt", call.prompt}},
                 call.timeout)));
  const auto json = ParseJsonObject(reply.body);
  if (reply.status != kOk || !json || !json->contains("text") ||
      !(*json)["text"].is_string()) {
    return Failure(ErrorCode::kUnavailable,
                   "expected status 200 and a JSON object with a text, but the "
                   "service returned status " +
                       std::to_string(reply.status),
                   Verdict::kMayHaveRun);
  }
  return (*json)["text"].get<std::string>();
}

Result<bool> EngineClient::Cancel(const std::string& request_id) const {
  TRY_ASSIGN(const HttpReply reply,
             SendHttp(JsonCall(this->base_url + "/v1/cancel",
                               {{"request_id", request_id}}, kControlTimeout)));
  if (reply.status != kOk) {
    return Failure(ErrorCode::kUnavailable,
                   "engine returned status " + std::to_string(reply.status));
  }
  const auto json = ParseJsonObject(reply.body);
  if (!json || !json->contains("cancelled") ||
      !(*json)["cancelled"].is_boolean()) {
    return Failure(ErrorCode::kCorrupt,
                   "the engine's response to a cancel is malformed",
                   Verdict::kMayHaveRun);
  }
  return (*json)["cancelled"].get<bool>();
}

Result<void> EngineClient::SendCommand(const EngineCommandCall& call) const {
  TRY_ASSIGN(const HttpReply reply,
             SendHttp(JsonCall(this->base_url + "/v1/orders",
                               {{"action", call.action},
                                {"argument", call.argument},
                                {"fencing", call.fencing}},
                               kControlTimeout)));
  if (reply.status == kConflictStatus) {
    return Failure(ErrorCode::kConflict, "engine refused the fencing number");
  }
  if (reply.status != kOk) {
    return Failure(ErrorCode::kUnavailable,
                   "engine returned status " + std::to_string(reply.status),
                   Verdict::kMayHaveRun);
  }
  return {};
}

}  // namespace crocus
