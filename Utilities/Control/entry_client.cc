#include "Control/entry_client.h"

#include "LibHttp/json_response.h"

namespace crocus {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kFirstServerStatus = 500;

ErrorCode CodeOf(int status) {
  if (status == kNotFoundStatus) {
    return ErrorCode::kNotFound;
  }
  if (status == kConflictStatus) {
    return ErrorCode::kConflict;
  }
  return status >= kFirstServerStatus ? ErrorCode::kUnavailable
                                      : ErrorCode::kInvalidArgument;
}

Result<nlohmann::json> ParseAnswer(const HttpReply& reply) {
  if (reply.status >= kFirstErrorStatus) {
    return tl::unexpected(RefusalError(reply));
  }
  auto json = ParseJsonObject(reply.body);
  if (!json) {
    return Failure(ErrorCode::kCorrupt, "the answer is not a JSON object");
  }
  return std::move(*json);
}

}  // namespace

Result<HttpReply> CallEntry(const CommandLine& line, const HttpCall& call) {
  const auto entries = line.Entries();
  if (entries.empty()) {
    return Failure(ErrorCode::kInvalidArgument,
                   "name an entry with --entry URL or in $CROCUS_ENTRY");
  }
  std::string reasons;
  for (const auto& entry : entries) {
    HttpCall one = call;
    one.url = entry + call.url;
    auto reply = SendHttp(one);
    if (reply || reply.error().verdict != Verdict::kNotRun) {
      return reply;
    }
    reasons +=
        (reasons.empty() ? "" : "; ") + entry + ": " + reply.error().message;
  }
  return Failure(ErrorCode::kUnavailable, reasons);
}

Result<nlohmann::json> ReadEntry(const std::string& entry,
                                 const std::string& path) {
  TRY_ASSIGN(const HttpReply reply, SendHttp({.url = entry + path}));
  return ParseAnswer(reply);
}

Result<nlohmann::json> CallEntryJson(const CommandLine& line,
                                     const HttpCall& call) {
  TRY_ASSIGN(const HttpReply reply, CallEntry(line, call));
  return ParseAnswer(reply);
}

Error RefusalError(const HttpReply& reply) {
  const auto json = ParseJsonObject(reply.body);
  std::string message = "answered " + std::to_string(reply.status);
  if (json && json->contains("error") && (*json)["error"].is_object()) {
    const auto& error = (*json)["error"];
    message = error.value("code", "") + ": " + error.value("message", "");
  }
  Verdict verdict = Verdict::kMayHaveRun;
  if (json && json->contains("verdict")) {
    const auto& word = (*json)["verdict"];
    for (const auto known : {Verdict::kNotRun, Verdict::kRan}) {
      verdict = word == ToString(known) ? known : verdict;
    }
    message += " (verdict: " + std::string(ToString(verdict)) + ")";
  }
  return {.code = CodeOf(reply.status), .message = message, .verdict = verdict};
}

ControlExit FailWith(const Error& error) {
  switch (error.code) {
    case ErrorCode::kConflict:
      return Fail(ControlExit::kConflict, error.message);
    case ErrorCode::kUnavailable:
    case ErrorCode::kTimeout:
    case ErrorCode::kRateLimited:
      return Fail(ControlExit::kUnavailable, error.message);
    default:
      return Fail(ControlExit::kFailed, error.message);
  }
}

}  // namespace crocus
