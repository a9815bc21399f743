#include "Control/entry_client.h"

#include "LibHttp/json_response.h"

namespace crocus {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kFirstServerErrorStatus = 500;

ErrorCode ErrorCodeFromStatus(int status) {
  if (status == kNotFoundStatus) {
    return ErrorCode::kNotFound;
  }
  if (status == kConflictStatus) {
    return ErrorCode::kConflict;
  }
  return status >= kFirstServerErrorStatus ? ErrorCode::kUnavailable
                                           : ErrorCode::kInvalidArgument;
}

Result<nlohmann::json> ParseResponse(const HttpReply& reply) {
  if (reply.status >= kFirstErrorStatus) {
    return tl::unexpected(ErrorFromResponse(reply));
  }
  auto json = ParseJsonObject(reply.body);
  if (!json) {
    return Failure(ErrorCode::kCorrupt,
                   "the entry's response is not a JSON object");
  }
  return std::move(*json);
}

}  // namespace

Result<HttpReply> CallEntry(const CommandLine& line, const HttpCall& call) {
  const auto entries = line.Entries();
  if (entries.empty()) {
    return Failure(ErrorCode::kInvalidArgument,
                   "no entry is specified; set --entry URL or $CROCUS_ENTRY");
  }
  std::string reasons;
  for (const auto& entry : entries) {
    HttpCall entry_call = call;
    entry_call.url = entry + call.url;
    auto reply = SendHttp(entry_call);
    if (reply || reply.error().verdict != Verdict::kNotRun) {
      return reply;
    }
    reasons +=
        (reasons.empty() ? "" : "; ") + entry + ": " + reply.error().message;
  }
  return Failure(ErrorCode::kUnavailable, reasons);
}

Result<nlohmann::json> GetJsonFromEntry(const std::string& entry,
                                        const std::string& path) {
  TRY_ASSIGN(const HttpReply reply, SendHttp({.url = entry + path}));
  return ParseResponse(reply);
}

Result<nlohmann::json> CallEntryJson(const CommandLine& line,
                                     const HttpCall& call) {
  TRY_ASSIGN(const HttpReply reply, CallEntry(line, call));
  return ParseResponse(reply);
}

Error ErrorFromResponse(const HttpReply& reply) {
  const auto json = ParseJsonObject(reply.body);
  std::string message =
      "the entry returned status " + std::to_string(reply.status);
  if (json && json->contains("error") && (*json)["error"].is_object()) {
    const auto& error = (*json)["error"];
    message = error.value("code", "") + ": " + error.value("message", "");
  }
  Verdict verdict = Verdict::kMayHaveRun;
  if (json && json->contains("verdict")) {
    const auto& verdict_text = (*json)["verdict"];
    for (const auto candidate : {Verdict::kNotRun, Verdict::kRan}) {
      verdict = verdict_text == ToString(candidate) ? candidate : verdict;
    }
    message += " (verdict: " + std::string(ToString(verdict)) + ")";
  }
  return {.code = ErrorCodeFromStatus(reply.status),
          .message = message,
          .verdict = verdict};
}

ControlExitCode FailWith(const Error& error) {
  switch (error.code) {
    case ErrorCode::kConflict:
      return Fail(ControlExitCode::kConflict, error.message);
    case ErrorCode::kUnavailable:
    case ErrorCode::kTimeout:
    case ErrorCode::kRateLimited:
      return Fail(ControlExitCode::kUnavailable, error.message);
    default:
      return Fail(ControlExitCode::kFailed, error.message);
  }
}

}  // namespace crocus
