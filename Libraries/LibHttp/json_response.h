#ifndef LIBHTTP_JSON_RESPONSE_H_
#define LIBHTTP_JSON_RESPONSE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>

#include <nlohmann/json.hpp>

#include "LibHttp/http_message.h"

namespace crocus {

/// Returns a response whose body is the JSON text and a newline.
HttpResponse JsonResponse(int status, const nlohmann::json& body);

/// Parses a body as a JSON object. Returns an empty optional for anything else.
std::optional<nlohmann::json> ParseJsonObject(const std::string& body);

/// Values of a caller's JSON object. Decoded, short values take up to 20 times
/// their bytes; this bounds them to some 600 KB. Requests have at most ten
/// values.
constexpr std::size_t kMaximumCallerValues = 4096;

/// Like ParseJsonObject, for a body from a caller: the result is also empty if
/// there are more than kMaximumCallerValues values.
std::optional<nlohmann::json> ParseCallerObject(const std::string& body);

/// Returns a member of an object, or the fallback if it is absent, has another
/// type or is a number that T cannot hold. Never throws.
template <typename T>
T MemberOr(const nlohmann::json& object, const char* name, T fallback) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return fallback;
  }
  if constexpr (std::is_same_v<T, bool>) {
    return found->is_boolean() ? found->get<T>() : fallback;
  } else if constexpr (std::is_arithmetic_v<T>) {
    return found->is_number_unsigned() &&
                   found->get<std::uint64_t>() <= std::numeric_limits<T>::max()
               ? found->get<T>()
               : fallback;
  } else {
    return found->is_string() ? found->get<T>() : fallback;
  }
}

}  // namespace crocus

#endif  // LIBHTTP_JSON_RESPONSE_H_
