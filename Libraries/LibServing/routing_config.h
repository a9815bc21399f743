#ifndef LIBSERVING_ROUTING_CONFIG_H_
#define LIBSERVING_ROUTING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// Whether a request may be repeated, and how its response is delivered.
enum class RequestKind { kIdempotent, kNonIdempotent, kStream, kBatch };

std::string_view ToString(RequestKind kind);

/// A share of a route's requests that goes to one endpoint.
struct EndpointShare {
  std::string endpoint;
  std::uint32_t weight = 1;

  bool operator==(const EndpointShare&) const = default;
};

/// One route of the operator's configuration.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Maximum time that a caller is kept waiting; 0 is no limit.
  Duration timeout{};
  /// The operator's target for the time to the response, or to the first event.
  Duration latency_target{};
  /// The operator's target for the time between two events of a stream.
  Duration gap_target{};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Maximum number of attempts per request; those that certainly did not run
  /// do not count. For a batch item, only runs that ended with a server error
  /// count.
  std::uint32_t maximum_attempts = 1;
  /// True if another replica may continue a stream after its last event.
  bool is_resumable = false;
  /// True if the requests generate tokens and share prompt parts.
  bool is_generation = false;
  /// True if callers need no key where the configuration has workspaces.
  bool is_anonymous = false;
  std::vector<EndpointShare> shares;
  /// Time from the submission of a batch job until its results are due.
  Duration completion_target{};
  /// Time from the submission of a batch job until its open items are
  /// abandoned.
  Duration retention{};
  /// Maximum number of tokens of unfinished batch items over all jobs of the
  /// route; 0 is no limit.
  std::uint64_t waiting_token_limit = 0;

  /// True if a request may run more than once.
  bool is_repeatable() const {
    return this->kind == RequestKind::kIdempotent ||
           this->kind == RequestKind::kBatch ||
           (this->kind == RequestKind::kStream && this->is_resumable);
  }

  bool operator==(const Route&) const = default;
};

/// The configuration of an endpoint.
struct EndpointConfig {
  std::string name;
  std::string health_path;
  /// Connections that one replica accepts from all callers together.
  std::uint32_t connection_limit = 0;
  /// Requests that a replica's engine runs at once; 0 for a plain service.
  std::uint32_t engine_slots = 0;
  /// Tokens that fit into the memory of a replica's engine; 0 for a plain
  /// service.
  std::uint64_t engine_tokens = 0;

  bool operator==(const EndpointConfig&) const = default;
};

/// An owner of requests and batch jobs.
struct Workspace {
  std::string name;
  /// Secrets that identify the workspace's callers. They must not appear in
  /// logs, metrics, records or messages.
  std::vector<std::string> keys;
  /// Takes precedence over the route's priority; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  /// Requests per second over all hosts; 0 is no limit.
  double requests_per_second = 0;
  /// Requests that may arrive at once in addition to that rate.
  double burst = 0;

  bool operator==(const Workspace&) const = default;
};

/// Limits on the size of callers' requests and the time to receive them.
struct IngressLimits {
  std::uint32_t header_bytes = 16 << 10;
  std::uint64_t body_bytes = 4 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const IngressLimits&) const = default;
};

/// One version of the operator's configuration.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<EndpointConfig> endpoints;
  IngressLimits limits;
  /// Not set if callers need no keys. If it is empty, no key is known.
  std::optional<std::vector<Workspace>> workspaces;
  /// Position in `workspaces` by key.
  std::map<std::string, std::size_t, std::less<>> workspaces_by_key;

  /// Sets `workspaces` and the index of their keys. If several workspaces have
  /// the same key, it belongs to the first one.
  void SetWorkspaces(std::vector<Workspace> new_workspaces);
  /// True if requests need the key of a workspace, except on anonymous routes.
  bool requires_keys() const { return this->workspaces.has_value(); }
  /// The workspace with that key; null if there is none.
  const Workspace* FindWorkspaceByKey(std::string_view key) const;
  const Workspace* FindWorkspace(std::string_view name) const;

  /// The route of the host with the longest prefix that matches the path.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Route* FindRouteByName(std::string_view name) const;
  const EndpointConfig* FindEndpoint(std::string_view name) const;

  bool operator==(const RoutingConfig&) const = default;
};

/// Chooses an endpoint of the route by weight; `point` is uniform in [0, 1).
/// Empty if the route has none.
std::string PickEndpoint(const Route& route, double point);

}  // namespace crocus

#endif  // LIBSERVING_ROUTING_CONFIG_H_
