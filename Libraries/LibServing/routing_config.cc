#include "LibServing/routing_config.h"

#include <algorithm>
#include <utility>

namespace crocus {

std::string_view ToString(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non_idempotent";
    case RequestKind::kStream:
      return "stream";
    case RequestKind::kBatch:
      return "batch";
  }
  return "non_idempotent";
}

void RoutingConfig::SetWorkspaces(std::vector<Workspace> new_workspaces) {
  this->workspaces_by_key.clear();
  for (std::size_t i = 0; i < new_workspaces.size(); ++i) {
    for (const auto& key : new_workspaces[i].keys) {
      this->workspaces_by_key.emplace(key, i);
    }
  }
  this->workspaces = std::move(new_workspaces);
}

const Workspace* RoutingConfig::FindWorkspaceByKey(std::string_view key) const {
  const auto found = this->workspaces_by_key.find(key);
  return found == this->workspaces_by_key.end()
             ? nullptr
             : &this->workspaces->at(found->second);
}

const Workspace* RoutingConfig::FindWorkspace(std::string_view name) const {
  if (!this->workspaces) {
    return nullptr;
  }
  const auto found = std::find_if(
      this->workspaces->begin(), this->workspaces->end(),
      [name](const Workspace& workspace) { return workspace.name == name; });
  return found == this->workspaces->end() ? nullptr : &*found;
}

const Route* RoutingConfig::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const Route* best = nullptr;
  for (const auto& route : this->routes) {
    if (route.host == host &&
        path.substr(0, route.prefix.size()) == route.prefix &&
        (best == nullptr || route.prefix.size() > best->prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Route* RoutingConfig::FindRouteByName(std::string_view name) const {
  const auto found =
      std::find_if(this->routes.begin(), this->routes.end(),
                   [name](const Route& route) { return route.name == name; });
  return found == this->routes.end() ? nullptr : &*found;
}

const EndpointConfig* RoutingConfig::FindEndpoint(std::string_view name) const {
  const auto found = std::find_if(
      this->endpoints.begin(), this->endpoints.end(),
      [name](const EndpointConfig& endpoint) { return endpoint.name == name; });
  return found == this->endpoints.end() ? nullptr : &*found;
}

std::string PickEndpoint(const Route& route, double point) {
  double total = 0;
  for (const auto& share : route.shares) {
    total += share.weight;
  }
  double remaining = point * total;
  for (const auto& share : route.shares) {
    remaining -= share.weight;
    if (remaining < 0) {
      return share.endpoint;
    }
  }
  return route.shares.empty() ? std::string() : route.shares.back().endpoint;
}

}  // namespace crocus
