#include "LibHttp/json_response.h"

namespace crocus {

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

}  // namespace crocus
