#include "LibHttp/json_response.h"

#include <exception>
#include <utility>

namespace crocus {

namespace {

/// Ends the decoding of a body with too many values.
class TooManyValues : public std::exception {};

}  // namespace

HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  // Invalid UTF-8 from a caller is replaced; by default, dump would throw.
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace) +
                  "\n",
          .stream = std::nullopt};
}

std::optional<nlohmann::json> ParseJsonObject(const std::string& body) {
  auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  return json;
}

std::optional<nlohmann::json> ParseCallerObject(const std::string& body) {
  // A value takes two bytes at least.
  constexpr std::size_t kUncheckedBytes = 2 * kMaximumCallerValues;
  if (body.size() <= kUncheckedBytes) {
    return ParseJsonObject(body);
  }
  std::size_t values = 0;
  const auto count_value = [&values](int, nlohmann::json::parse_event_t event,
                                     const nlohmann::json&) {
    using ParseEvent = nlohmann::json::parse_event_t;
    values += event == ParseEvent::value || event == ParseEvent::array_start ||
                      event == ParseEvent::object_start
                  ? 1
                  : 0;
    if (values > kMaximumCallerValues) {
      throw TooManyValues();
    }
    return true;
  };
  try {
    auto json = nlohmann::json::parse(body, count_value, false);
    return json.is_object() ? std::optional(std::move(json)) : std::nullopt;
  } catch (const TooManyValues&) {
    return std::nullopt;
  }
}

}  // namespace crocus
