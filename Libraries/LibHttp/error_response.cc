#include "LibHttp/error_response.h"

#include "LibHttp/json_response.h"

namespace crocus {

std::string ErrorBody(const std::string& code,
                      const std::string& message,
                      Verdict verdict) {
  return ErrorResponse(0, code, message, verdict).body;
}

HttpResponse ErrorResponse(std::uint32_t status,
                           const std::string& code,
                           const std::string& message,
                           Verdict verdict) {
  return JsonResponse(static_cast<int>(status),
                      {{"error", {{"code", code}, {"message", message}}},
                       {"verdict", ToString(verdict)}});
}

}  // namespace crocus
