#include "LibServing/routing_config.h"

#include <algorithm>

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
