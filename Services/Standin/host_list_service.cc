#include "Standin/host_list_service.h"

#include "LibHttp/json_response.h"

namespace crocus {

void HostListService::AddRoutes(HttpServer& server) {
  server.AddRoute("PUT", "/hosts", [this](const HttpRequest& request) {
    auto list = nlohmann::json::parse(request.body, nullptr, false);
    if (!list.is_array()) {
      return JsonResponse(400, {{"error", "the body is not a JSON array"}});
    }
    std::lock_guard lock(this->mutex);
    this->pending_changes.emplace_back(
        std::chrono::steady_clock::now() + this->lag, std::move(list));
    return JsonResponse(200, {{"ok", true}});
  });
  server.AddRoute("GET", "/hosts", [this](const HttpRequest&) {
    std::lock_guard lock(this->mutex);
    const auto now = std::chrono::steady_clock::now();
    while (!this->pending_changes.empty() &&
           this->pending_changes.front().first <= now) {
      this->visible_hosts = std::move(this->pending_changes.front().second);
      this->pending_changes.pop_front();
    }
    return JsonResponse(200, {{"hosts", this->visible_hosts}});
  });
}

}  // namespace crocus
