#ifndef GATEWAY_GATEWAY_H_
#define GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Gateway/batch_service.h"
#include "Gateway/forwarding_context.h"
#include "Gateway/keyed_follower.h"
#include "Gateway/peer_exchange.h"
#include "LibAsyncHttp/client_limits.h"
#include "LibAsyncHttp/client_usage.h"
#include "LibAsyncHttp/http_listener.h"
#include "LibCore/random.h"
#include "LibCore/result.h"
#include "LibServing/caller_identity.h"
#include "LibServing/fair_admission.h"
#include "LibSettings/settings.h"
#include "platform/store_client.h"

namespace crocus {

/// The gateway process on an entry host of the users' platform. It runs in a
/// single thread, that of the event loop: a host has only half a core, and no
/// table needs a lock.
class Gateway {
 public:
  Gateway(boost::asio::io_context& loop, GatewaySettings settings);

  Result<void> Start();

  /// The ports in use, one "kind number" per line.
  std::string PortsText() const;

  /// Shuts down in steps: reports that it is not ready, then refuses new
  /// connections, and stops the event loop when all requests have ended or the
  /// shutdown time is over.
  void BeginShutdown(const std::string& reason);

 private:
  static PlacementOptions MakePlacementOptions(const GatewaySettings& settings);

  void OnConfigRecord(const KeyedRecord& record, const std::string& source);
  /// Chooses the policy of placement that the configuration asks for.
  void ApplyPlacementPolicy();
  /// Notes the online load of each replica, for the reserve that batch work
  /// leaves free.
  void SampleOnlineLoad();
  void OnReplicaRecord(const KeyedRecord& record);
  void HandleRequest(const std::shared_ptr<ServerSession>& session,
                     Request request);
  /// The configuration by which a request is served: the one in force, or the
  /// one before if the request began under it and its key was removed since.
  std::shared_ptr<const RoutingConfig> ConfigFor(const ServerSession& session,
                                                 const RequestHead& head) const;
  /// Identifies the sender of a request. Responds and returns none if it must
  /// not be served.
  std::optional<CallerIdentity> Identify(
      const std::shared_ptr<ServerSession>& session,
      const RequestHead& head,
      const Route* route,
      const RoutingConfig& routing_config);
  void HandleBatchCall(const std::shared_ptr<ServerSession>& session,
                       const RequestHead& head,
                       const platform::BatchCall& call,
                       const CallerIdentity& caller,
                       const RoutingConfig& routing_config);
  /// Refuses a caller, and logs and counts it.
  void RefuseCaller(const std::shared_ptr<ServerSession>& session,
                    const RequestHead& head,
                    const Route* route,
                    CallerOutcome outcome);
  /// Decides by the limit of the workspace whether its request is admitted. If
  /// not, responds with 429 and returns false.
  bool AdmitWorkspace(std::string_view workspace,
                      const Route& route,
                      const Request& request,
                      const std::shared_ptr<ServerSession>& session,
                      TimePoint now);
  /// Logs when hosts that report on workspaces are not heard of any more.
  void LogSilentSources();
  void AddAllotmentMetrics(std::string& text);
  void HandleReady(const std::shared_ptr<ServerSession>& session,
                   const Request& request);
  void HandleMetrics(const std::shared_ptr<ServerSession>& session);
  /// Lists the blocked parts (GET), or lifts the blocks with one (DELETE).
  void HandleBlockedParts(const std::shared_ptr<ServerSession>& session,
                          const Request& request);
  /// Tells where a request would be placed now, and why.
  void HandleExplanation(const std::shared_ptr<ServerSession>& session,
                         const Request& request);
  void LogBlockChanges();
  static void LogEndedDepartures(const std::vector<EndedDeparture>& departures);
  SessionLimits CallerLimits() const;
  ClientUsage CallerUsage() const;
  bool is_ready() const;
  /// Logs the readiness if it has changed.
  void LogReadinessChange();
  void Tick();
  void CheckShutdown();

  boost::asio::io_context& loop;
  const GatewaySettings settings;
  platform::StoreClient store;
  ConnectionPool pool;
  ReplicaDirectory directory;
  ReplicaLoads loads;
  FailureAttribution failures;
  CrashEvidence crash_evidence;
  CrashWatch crash_watch;
  PeerItems peer_items;
  WorkspaceAllotments allotments;
  ReplicaWork work;
  ReplicaSpeed speed;
  OnlineVariation variation;
  WorkEstimator estimator;
  FairAdmission fair_admission;
  RetrySchedule retries;
  Placement placement;
  RequestMetrics metrics;
  Random random;
  ForwardingContext context;
  std::shared_ptr<const RoutingConfig> config;
  /// Since when `config` is in force, and the one before it, which is kept for
  /// the requests that began under it.
  TimePoint config_since{};
  std::shared_ptr<const RoutingConfig> previous_config;
  std::unique_ptr<KeyedFollower> config_follower;
  std::unique_ptr<KeyedFollower> replica_follower;
  PeerExchange peer_exchange;
  std::unique_ptr<BatchService> batch_service;
  const ClientLimits client_limits;
  const std::shared_ptr<MemoryBudget> caller_memory;
  HttpListener caller_listener;
  HttpListener readiness_listener;
  HttpListener metrics_listener;
  boost::asio::steady_timer tick_timer;
  std::optional<TimePoint> shutdown_started;
  /// Callers that were refused for want of a known key, by reason.
  std::map<CallerOutcome, std::uint64_t> refused_callers;
  bool stopped_accepting = false;
  bool was_ready = false;
  ClientUsageLog caller_usage_log;
  std::size_t silent_sources = 0;
};

}  // namespace crocus

#endif  // GATEWAY_GATEWAY_H_
