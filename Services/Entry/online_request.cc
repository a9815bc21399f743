#include "Entry/online_request.h"

#include <charconv>
#include <map>

#include "LibCore/hashing.h"
#include "LibCore/random.h"
#include "LibHttp/json_response.h"

namespace crocus {

namespace {

constexpr std::uint32_t kDefaultTokenLimit = 16;
constexpr std::uint32_t kMaximumTokenLimit = 1u << 20;

tl::unexpected<Error> FieldError(const std::string& field,
                                 const std::string& reason) {
  return Failure(ErrorCode::kInvalidArgument,
                 "field \"" + field + "\" " + reason);
}

Result<void> CheckFields(const nlohmann::json& json) {
  static const std::map<std::string, nlohmann::json::value_t> kFieldTypes = {
      {"model", nlohmann::json::value_t::string},
      {"prompt", nlohmann::json::value_t::string},
      {"max_tokens", nlohmann::json::value_t::number_unsigned},
      {"stream", nlohmann::json::value_t::boolean},
      {"workspace", nlohmann::json::value_t::string},
      {"class", nlohmann::json::value_t::string},
      {"repeatable", nlohmann::json::value_t::boolean}};
  for (const auto& [name, value] : json.items()) {
    const auto expected_type = kFieldTypes.find(name);
    if (expected_type == kFieldTypes.end()) {
      return FieldError(name, "is not known");
    }
    if (value.type() != expected_type->second) {
      return FieldError(name, "has the wrong type");
    }
  }
  // Checked before the conversion to 32 bits, which would truncate the number.
  if (json.contains("max_tokens") &&
      json["max_tokens"].get<std::uint64_t>() > kMaximumTokenLimit) {
    return FieldError("max_tokens", "is out of range");
  }
  for (const char* name : {"model", "prompt", "workspace"}) {
    if (!json.contains(name) || json[name].get<std::string>().empty()) {
      return FieldError(name, "is required");
    }
  }
  return {};
}

}  // namespace

std::uint64_t OnlineRequest::Digest() const {
  return HashBytes(
      nlohmann::json::array(
          {this->model, this->prompt, this->max_tokens, this->is_repeatable})
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

Result<OnlineRequest> ParseOnlineRequest(const HttpRequest& request) {
  const auto json = ParseCallerObject(request.body);
  if (!json) {
    return Failure(ErrorCode::kInvalidArgument,
                   "the body is not a JSON object");
  }
  TRY(CheckFields(*json));
  OnlineRequest parsed{
      .id = {},
      .workspace = json->value("workspace", ""),
      .request_class = json->value("class", "default"),
      .model = json->value("model", ""),
      .prompt = json->value("prompt", ""),
      .max_tokens = json->value("max_tokens", kDefaultTokenLimit),
      .is_stream = json->value("stream", false),
      .is_repeatable = json->value("repeatable", true),
      .idempotency_key = request.Header("idempotency-key")};
  if (parsed.max_tokens == 0 || parsed.max_tokens > kMaximumTokenLimit) {
    return FieldError("max_tokens", "is out of range");
  }
  if (const std::string text = request.Header("x-patience-ms"); !text.empty()) {
    std::uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || value == 0) {
      return Failure(
          ErrorCode::kInvalidArgument,
          "header X-Patience-Ms must be a positive number of milliseconds");
    }
    parsed.timeout = std::chrono::milliseconds(value);
  }
  parsed.id =
      parsed.idempotency_key.empty()
          ? MakeIdentifier("r")
          : "k-" + DigestOf(parsed.workspace + "\n" + parsed.idempotency_key);
  return parsed;
}

}  // namespace crocus
