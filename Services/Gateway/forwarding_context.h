#ifndef GATEWAY_FORWARDING_CONTEXT_H_
#define GATEWAY_FORWARDING_CONTEXT_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "LibAsyncHttp/connection_pool.h"
#include "LibMetrics/request_metrics.h"
#include "LibServing/placement.h"
#include "LibServing/replica_directory.h"
#include "LibServing/replica_loads.h"

namespace crocus {

/// What requests on their way to replicas share. All of it belongs to the
/// event loop's thread.
struct ForwardingContext {
  boost::asio::io_context& loop;
  ConnectionPool& pool;
  ReplicaDirectory& directory;
  ReplicaLoads& loads;
  Placement& placement;
  RequestMetrics& metrics;
  /// Longest time for a connection to a replica to open.
  Duration connect_timeout;
  /// Called after requests were sent or have ended.
  std::function<void()> on_load_change;
  /// Age of the newest knowledge of the replica registry.
  std::function<Duration()> registry_age;
};

/// Milliseconds as text, for logs.
std::string MillisecondsText(Duration duration);

/// Running requests over slots as text, for logs.
std::string LoadText(const PlacementChoice& choice);

}  // namespace crocus

#endif  // GATEWAY_FORWARDING_CONTEXT_H_
