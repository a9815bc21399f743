#include "Standin/weight_store_service.h"

#include "LibHttp/json_response.h"

namespace crocus {

void WeightStoreService::AddRoutes(HttpServer& server) {
  server.AddRoute("GET", "/weights/:name", [this](const HttpRequest& request) {
    std::lock_guard lock(this->mutex);
    const auto now = std::chrono::steady_clock::now();
    if (now < this->next_download_at) {
      const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
          this->next_download_at - now);
      auto response = JsonResponse(429, {{"error", "rate exceeded"}});
      response.headers["Retry-After-Ms"] = std::to_string(wait.count());
      return response;
    }
    this->next_download_at = now + this->interval;
    return JsonResponse(200, {{"name", request.Parameter("name")}});
  });
}

}  // namespace crocus
