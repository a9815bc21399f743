#ifndef GATEWAY_FORWARDING_CONTEXT_H_
#define GATEWAY_FORWARDING_CONTEXT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Gateway/crash_watch.h"
#include "LibAsyncHttp/connection_pool.h"
#include "LibMetrics/request_metrics.h"
#include "LibServing/crash_evidence.h"
#include "LibServing/fair_admission.h"
#include "LibServing/placement.h"
#include "LibServing/replica_directory.h"
#include "LibServing/replica_loads.h"
#include "LibServing/replica_speed.h"
#include "LibServing/replica_work.h"
#include "LibServing/request_metadata.h"
#include "LibServing/retry_schedule.h"
#include "LibServing/work_estimate.h"
#include "LibServing/workspace_allotments.h"

namespace crocus {

/// State that online requests and batch runs share. It is used in the event
/// loop's thread only.
struct ForwardingContext {
  boost::asio::io_context& loop;
  ConnectionPool& pool;
  ReplicaDirectory& directory;
  ReplicaLoads& loads;
  FailureAttribution& failures;
  Placement& placement;
  ReplicaWork& work;
  ReplicaSpeed& speed;
  WorkEstimator& estimator;
  /// Divides the room of endpoints between workspaces. Used only where the
  /// configuration has workspaces.
  FairAdmission& fair_admission;
  /// Knows the demand of workspaces at other hosts.
  WorkspaceAllotments& allotments;
  /// When refused callers should retry. Used only under PlacementPolicy::kWork.
  RetrySchedule& retries;
  RequestMetrics& metrics;
  /// Timeout for opening a connection to a replica.
  Duration connect_timeout;
  /// Called when a request is sent to a replica, and when it has ended.
  std::function<void()> on_load_change;
  /// Age of this host's copy of the replica registry.
  std::function<Duration()> registry_age;
  CrashEvidence& crash_evidence;
  CrashWatch& crash_watch;
  /// Number of running gateways that this host knows of, itself included.
  std::function<std::size_t()> running_hosts;
  /// A number from 0 to 1, drawn at random.
  std::function<double()> draw;
  /// When the process ends at the latest, set late in its shutdown. A request
  /// that may last longer is not accepted any more.
  std::optional<TimePoint> process_end = std::nullopt;
  /// Bytes of all responses that are collected before they are passed on.
  std::size_t collected_bytes = 0;
};

/// What placement knows of a request's size.
RequestSize SizeOf(const std::string& route, const RequestMetadata& metadata);

/// How long the caller of a request waits, from its arrival on.
Duration CallerTimeout(const Route& route, const RequestMetadata& metadata);

/// Milliseconds as text, for logs.
std::string MillisecondsText(Duration duration);

/// A number with two decimals, for logs and metrics.
std::string DecimalText(double value);

/// Ids of parts of a prompt, separated by commas, for logs. Callers choose the
/// ids, so a long list is cut.
std::string PartsText(const std::vector<std::string>& parts);

/// Load of the chosen replica as "online+batch/slots", for logs.
std::string LoadText(const PlacementChoice& choice);

}  // namespace crocus

#endif  // GATEWAY_FORWARDING_CONTEXT_H_
