#include "LibPlatform/http_log_client.h"

#include <nlohmann/json.hpp>

#include "LibHttp/http_client.h"
#include "LibPlatform/log_page.h"

namespace crocus {

namespace {

constexpr int kCreated = 201;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

Result<std::uint64_t> HttpLogClient::Append(const std::string& stream,
                                            const std::string& data) {
  TRY_ASSIGN(
      const HttpReply reply,
      SendHttp({.method = "POST",
                .url = this->base_url + "/streams/" + stream + "/records",
                .headers = {{"Content-Type", "application/octet-stream"}},
                .body = data,
                .timeout = this->timeout}));
  if (reply.status == kTooManyRequests) {
    return Failure(ErrorCode::kRateLimited, "log: append rate exceeded");
  }
  if (reply.status == kServiceUnavailable) {
    return Failure(ErrorCode::kUnavailable, "log: unavailable");
  }
  if (reply.status != kCreated) {
    return Failure(
        ErrorCode::kInternal,
        "log: append returned status " + std::to_string(reply.status),
        Verdict::kMayHaveRun);
  }
  const auto json = nlohmann::json::parse(reply.body, nullptr, false);
  if (!json.is_object() || !json.contains("offset") ||
      !json["offset"].is_number_unsigned()) {
    return Failure(ErrorCode::kCorrupt,
                   "log: the response to an append is malformed",
                   Verdict::kRan);
  }
  return json["offset"].get<std::uint64_t>();
}

Result<LogPage> HttpLogClient::Read(const std::string& stream,
                                    std::uint64_t from,
                                    std::uint32_t limit) {
  TRY_ASSIGN(const HttpReply reply,
             SendHttp({.method = "GET",
                       .url = this->base_url + "/streams/" + stream +
                              "/records?from=" + std::to_string(from) +
                              "&limit=" + std::to_string(limit),
                       .headers = {},
                       .body = {},
                       .timeout = this->timeout}));
  if (reply.status != kOk) {
    return Failure(ErrorCode::kUnavailable,
                   "log: read returned status " + std::to_string(reply.status));
  }
  return ParseLogPage(reply.body);
}

}  // namespace crocus
