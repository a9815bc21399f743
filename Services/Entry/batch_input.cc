#include "Entry/batch_input.h"

#include <cstdint>
#include <limits>
#include <sstream>
#include <string>
#include <utility>

#include "LibCore/hashing.h"
#include "LibCore/time.h"
#include "LibHttp/json_response.h"
#include "LibLedger/job.h"

namespace crocus {

namespace {

/// Largest number of items in one job.
constexpr std::size_t kMaximumJobItems = Job::kMaximumItems;

constexpr std::uint32_t kDefaultTokenLimit = 16;
constexpr std::uint32_t kMaximumTokenLimit = 1u << 20;
constexpr std::int64_t kDefaultDueMilliseconds = 24 * 3600 * 1000;
constexpr std::int64_t kMaximumDueMilliseconds = 30 * kDefaultDueMilliseconds;

tl::unexpected<Error> FieldError(std::size_t line,
                                 const std::string& field,
                                 const std::string& reason) {
  return Failure(
      ErrorCode::kInvalidArgument,
      "line " + std::to_string(line) + ": field \"" + field + "\" " + reason);
}

/// Reads a string. `fallback`, if given, is returned for an absent field.
Result<std::string> ReadText(const nlohmann::json& object,
                             std::size_t line,
                             const char* field,
                             const char* fallback = nullptr) {
  if (!object.contains(field) && fallback != nullptr) {
    return std::string(fallback);
  }
  if (!object.contains(field)) {
    return FieldError(line, field, "is required");
  }
  if (!object[field].is_string()) {
    return FieldError(line, field, "must be a string");
  }
  return object[field].get<std::string>();
}

/// Reads an integer from `minimum` to `maximum`; `fallback` is returned for an
/// absent field.
Result<std::int64_t> ReadNumber(const nlohmann::json& object,
                                std::size_t line,
                                const char* field,
                                std::int64_t fallback,
                                std::int64_t minimum,
                                std::int64_t maximum) {
  if (!object.contains(field)) {
    return fallback;
  }
  const auto& value = object[field];
  const bool is_too_large =
      value.is_number_unsigned() &&
      value.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (!value.is_number_integer() || is_too_large ||
      value.get<std::int64_t>() < minimum ||
      value.get<std::int64_t>() > maximum) {
    return FieldError(line, field,
                      "must be an integer from " + std::to_string(minimum) +
                          " to " + std::to_string(maximum));
  }
  return value.get<std::int64_t>();
}

Result<BatchInput> ParseHeader(const std::string& text) {
  const auto header = ParseCallerObject(text);
  if (!header) {
    return Failure(ErrorCode::kInvalidArgument, "line 1: not a JSON object");
  }
  BatchInput input;
  TRY_ASSIGN(input.model, ReadText(*header, 1, "model"));
  TRY_ASSIGN(input.workspace, ReadText(*header, 1, "workspace"));
  TRY_ASSIGN(input.request_class, ReadText(*header, 1, "class", "batch"));
  TRY_ASSIGN(const std::int64_t due,
             ReadNumber(*header, 1, "due_in_ms", kDefaultDueMilliseconds, 0,
                        kMaximumDueMilliseconds));
  input.due_ms = UnixMilliseconds() + due;
  if (input.model.empty() || input.workspace.empty()) {
    return FieldError(1, input.model.empty() ? "model" : "workspace",
                      "must not be empty");
  }
  return input;
}

Result<BatchItemInput> ParseItem(const std::string& text, std::size_t line) {
  const auto object = ParseCallerObject(text);
  if (!object) {
    return Failure(ErrorCode::kInvalidArgument,
                   "line " + std::to_string(line) + ": not a JSON object");
  }
  BatchItemInput item;
  TRY_ASSIGN(item.prompt, ReadText(*object, line, "prompt"));
  TRY_ASSIGN(const std::int64_t tokens,
             ReadNumber(*object, line, "max_tokens", kDefaultTokenLimit, 1,
                        kMaximumTokenLimit));
  item.max_tokens = static_cast<std::uint32_t>(tokens);
  return item;
}

}  // namespace

Result<BatchInput> ParseBatch(const HttpRequest& request) {
  std::istringstream lines(request.body);
  std::string text;
  std::getline(lines, text);
  TRY_ASSIGN(BatchInput input, ParseHeader(text));
  for (std::size_t line = 2; std::getline(lines, text); ++line) {
    if (text.empty()) {
      continue;
    }
    if (input.items.size() == kMaximumJobItems) {
      return Failure(ErrorCode::kInvalidArgument,
                     "the job has more than 410000 items");
    }
    TRY_ASSIGN(BatchItemInput item, ParseItem(text, line));
    input.items.push_back(std::move(item));
  }
  const std::string key = request.Header("idempotency-key");
  input.job =
      "j-" + DigestOf(input.workspace + "\n" +
                      (key.empty() ? "digest " + request.body : "key " + key));
  return input;
}

}  // namespace crocus
