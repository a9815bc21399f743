#include "Entry/refusal.h"

#include "LibHttp/json_response.h"

namespace crocus {

HttpResponse RefusalResponse(const Refusal& refusal) {
  nlohmann::json error = {{"code", refusal.code}, {"message", refusal.message}};
  if (refusal.retry_after.count() > 0) {
    error["retry_after_ms"] = refusal.retry_after.count();
  }
  auto response =
      JsonResponse(refusal.status,
                   {{"error", error}, {"verdict", ToString(refusal.verdict)}});
  if (refusal.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
    response.headers["Retry-After"] = std::to_string(seconds.count());
  }
  return response;
}

}  // namespace crocus
