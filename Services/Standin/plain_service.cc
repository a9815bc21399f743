#include "Standin/plain_service.h"

#include <thread>

#include "LibHttp/json_response.h"

namespace crocus {

void PlainService::AddRoutes(HttpServer& server) {
  server.AddRoute("POST", "/v1/calls", [this](const HttpRequest& request) {
    const auto json = ParseJsonObject(request.body);
    if (!json || !json->contains("request_id")) {
      return JsonResponse(400, {{"error", "request_id is required"}});
    }
    {
      std::lock_guard lock(this->mutex);
      ++this->run_counts[json->value("request_id", "")];
    }
    std::this_thread::sleep_for(this->call_time);
    return JsonResponse(200, {{"text", "done: " + json->value("prompt", "")}});
  });
  server.AddRoute("GET", "/admin/state", [this](const HttpRequest&) {
    std::lock_guard lock(this->mutex);
    return JsonResponse(200, {{"runs", this->run_counts}});
  });
}

}  // namespace crocus
