#include "Gateway/gateway.h"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

#include "Gateway/explanation.h"
#include "Gateway/forwarded_request.h"
#include "LibAsyncHttp/http_status.h"
#include "LibCore/text.h"
#include "LibEvents/event_log.h"
#include "LibNetwork/peer_address.h"
#include "platform/batch_wire.h"
#include "platform/config_decoder.h"
#include "platform/names.h"
#include "platform/replica_decoder.h"
#include "platform/request_headers.h"

namespace crocus {

namespace {

/// Workspaces with limits that have metrics of their own.
constexpr std::size_t kMaximumWorkspaceSeries = 256;
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// Time after which a caller should retry while there is no configuration:
/// reading it takes a few round trips to the store.
constexpr Duration kNoConfigRetryAfter = std::chrono::milliseconds(500);
/// Time after which a caller should repeat a request whose key this host could
/// not judge: another host may know it, or this one after its next read.
constexpr Duration kUnknownKeyRetryAfter = std::chrono::milliseconds(1000);
/// Time for which the previous configuration is kept for requests that began
/// under it. A caller may pause for 15 s while it sends a request.
constexpr Duration kPreviousConfigLife = std::chrono::seconds(30);
/// Minimum interval between the starts of two reads of the replica registry,
/// which delays its changes by up to this time. The platform requires that a
/// draining replica gets no requests after a limit of at least 2500 ms.
constexpr Duration kRegistryReadInterval = std::chrono::milliseconds(300);
/// Time until the platform has taken a host that is not ready out of rotation.
/// It does so after two failed checks, one per second.
constexpr Duration kRotationRemovalTime = std::chrono::milliseconds(2300);
/// Time that is reserved before SIGKILL to record the progress of batch items
/// in the store.
constexpr Duration kProgressRecordTime = std::chrono::milliseconds(1500);
/// Time that is reserved before SIGKILL to write the last log lines and to
/// exit.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(500);

constexpr std::size_t kInternalConnections = 64;
constexpr std::uint64_t kInternalBodyBytes = 1u << 10;
constexpr std::uint64_t kInternalBytes = 4u << 20;

/// Values of the key `[placement] batch_reserve`.
constexpr std::string_view kFixedReserve = "fixed";
constexpr std::string_view kReserveForRises = "rises";

/// Path of the blocked prompt parts on the port for metrics.
constexpr std::string_view kBlockedPartsPath = "/blocked-parts";
/// Path of the explanation of a placement on the same port.
constexpr std::string_view kExplanationPath = "/explain";

Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  TRY_ASSIGN(const auto address, ParsePeerAddress(text));
  return boost::asio::ip::tcp::endpoint(address.address, address.port);
}

/// Like ParseEndpoint, but port 0 is allowed: the kernel chooses a port.
Result<boost::asio::ip::tcp::endpoint> ParseListenEndpoint(
    const std::string& text) {
  constexpr std::string_view kAnyPort = ":0";
  if (text.size() <= kAnyPort.size() ||
      text.substr(text.size() - kAnyPort.size()) != kAnyPort) {
    return ParseEndpoint(text);
  }
  TRY_ASSIGN(auto endpoint,
             ParseEndpoint(text.substr(0, text.size() - 1) + "1"));
  endpoint.port(0);
  return endpoint;
}

/// The host name that the request specifies, without a port.
std::string_view HostOf(const RequestHead& head) {
  const std::string_view host = head.fields.Find("host").value_or("");
  return host.substr(0, host.find(':'));
}

WorkspaceAllotmentsOptions MakeAllotmentOptions(
    const GatewaySettings& settings) {
  return {.own_zone = settings.host.availability_zone,
          .window = settings.limits.allotment_window,
          .excess = settings.limits.allotment_excess,
          .slack = settings.limits.allotment_slack,
          .seed = SystemRandom()};
}

/// A value of a label in the text format of Prometheus.
std::string LabelText(const std::string& value) {
  std::string text;
  for (const char character : value) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character;
  }
  return text;
}

/// Limits of the connections for readiness checks and metrics, whose requests
/// have no body.
SessionLimits InternalLimits() {
  return {.request = {.body_bytes = kInternalBodyBytes}};
}

/// Options of the listeners for readiness checks and metrics.
HttpListenerOptions InternalListenerOptions() {
  return {.maximum_sessions = kInternalConnections,
          .budget = std::make_shared<MemoryBudget>(
              MemoryBudgetOptions{.bytes = kInternalBytes}),
          .refusal_fields = platform::RefusalFields(kNoMemoryRetryAfter)};
}

}  // namespace

PlacementOptions Gateway::MakePlacementOptions(
    const GatewaySettings& settings) {
  PlacementOptions options{.availability_zone = settings.host.availability_zone,
                           .region = settings.host.region};
  for (const auto& pair : settings.host.zone_regions) {
    const auto equals = pair.find('=');
    if (equals != std::string::npos) {
      options.regions[Trim(pair.substr(0, equals))] =
          Trim(pair.substr(equals + 1));
    }
  }
  return options;
}

Gateway::Gateway(boost::asio::io_context& loop, GatewaySettings settings)
    : loop(loop),
      settings(std::move(settings)),
      store(loop,
            {.address = ParseEndpoint(this->settings.store.address)
                            .value_or(boost::asio::ip::tcp::endpoint())}),
      pool(loop),
      crash_watch(loop,
                  this->crash_evidence,
                  this->settings.limits.connect_time),
      allotments(MakeAllotmentOptions(this->settings)),
      placement(MakePlacementOptions(this->settings),
                this->directory,
                this->loads,
                this->failures,
                SystemRandom()),
      random(SystemRandom()),
      context{.loop = loop,
              .pool = this->pool,
              .directory = this->directory,
              .loads = this->loads,
              .failures = this->failures,
              .placement = this->placement,
              .work = this->work,
              .speed = this->speed,
              .estimator = this->estimator,
              .fair_admission = this->fair_admission,
              .allotments = this->allotments,
              .retries = this->retries,
              .metrics = this->metrics,
              .connect_timeout = this->settings.limits.connect_time,
              .on_load_change = [this] { this->peer_exchange.OnLoadChange(); },
              .registry_age =
                  [this] {
                    return BootTimeNow() -
                           this->replica_follower->current_as_of();
                  },
              .crash_evidence = this->crash_evidence,
              .crash_watch = this->crash_watch,
              .running_hosts =
                  [this] { return this->peer_exchange.running_hosts(); },
              .draw = [this] { return this->random.Unit(); }},
      peer_exchange(loop,
                    this->loads,
                    this->peer_items,
                    this->crash_evidence,
                    this->allotments),
      client_limits(DecideClientLimits(
          ReadHostResources(this->settings.limits.memory_megabytes,
                            this->settings.limits.open_files))),
      caller_memory(std::make_shared<MemoryBudget>(
          MemoryBudgetOptions{.bytes = this->client_limits.memory_bytes})),
      caller_listener(
          loop,
          [this] { return this->CallerLimits(); },
          [this](const auto& session, auto request) {
            this->HandleRequest(session, std::move(request));
          },
          {.maximum_sessions = this->client_limits.connections,
           .budget = this->caller_memory,
           .refusal_fields = platform::RefusalFields(kNoMemoryRetryAfter)}),
      readiness_listener(
          loop,
          InternalLimits,
          [this](const auto& session, const auto& request) {
            this->HandleReady(session, request);
          },
          InternalListenerOptions()),
      metrics_listener(
          loop,
          InternalLimits,
          [this](const auto& session, const auto& request) {
            if (request.head.path().starts_with(kBlockedPartsPath)) {
              this->HandleBlockedParts(session, request);
            } else if (request.head.path() == kExplanationPath) {
              this->HandleExplanation(session, request);
            } else {
              this->HandleMetrics(session);
            }
          },
          InternalListenerOptions()),
      tick_timer(loop) {}

Result<void> Gateway::Start() {
  TRY(ParseEndpoint(this->settings.store.address));
  if (!ParsePlacementSetting(this->settings.placement.policy)) {
    return Failure(ErrorCode::kInvalidArgument,
                   "[placement] policy is not count, work or auto: " +
                       this->settings.placement.policy);
  }
  if (const std::string& reserve = this->settings.placement.batch_reserve;
      reserve != kFixedReserve && reserve != kReserveForRises) {
    return Failure(
        ErrorCode::kInvalidArgument,
        "[placement] batch_reserve is not fixed or rises: " + reserve);
  }
  TRY_ASSIGN(const auto caller_address,
             ParseListenEndpoint(this->settings.host.caller_address));
  TRY_ASSIGN(const auto ready_address,
             ParseListenEndpoint(this->settings.host.ready_address));
  TRY(this->caller_listener.Listen(caller_address));
  TRY(this->readiness_listener.Listen(ready_address));
  if (this->settings.host.metrics_port != 0) {
    TRY(this->metrics_listener.Listen(
        {caller_address.address(), this->settings.host.metrics_port}));
  }
  TRY(this->peer_exchange.Open(
      {.address = this->settings.host.address,
       .port = this->settings.host.peer_port,
       .availability_zone = this->settings.host.availability_zone}));
  this->config_follower = std::make_unique<KeyedFollower>(
      this->loop, this->store,
      KeyedFollowerOptions{.topic = std::string(platform::topic::kOperator),
                           .minimum_read_interval = Duration::zero(),
                           .on_snapshot =
                               [this](const auto& records) {
                                 for (const auto& record : records) {
                                   this->OnConfigRecord(record, "snapshot");
                                 }
                                 if (this->config &&
                                     this->config->requires_keys()) {
                                   // The age of a snapshot is not known. The
                                   // follower's next read, which would tell it,
                                   // waits up to 1 s for records.
                                   this->config_follower->CatchUp([](bool) {});
                                 }
                               },
                           .on_record =
                               [this](const auto& record) {
                                 this->OnConfigRecord(record, "log");
                               },
                           .on_unavailable = [] {},
                           .on_recovered = [] {}});
  this->replica_follower = std::make_unique<KeyedFollower>(
      this->loop, this->store,
      KeyedFollowerOptions{
          .topic = std::string(platform::topic::kServers),
          .minimum_read_interval = kRegistryReadInterval,
          .on_snapshot =
              [this](const auto& records) {
                std::vector<std::string> present;
                for (const auto& record : records) {
                  present.push_back(record.key);
                  this->OnReplicaRecord(record);
                }
                this->directory.RetainOnly(present, BootTimeNow());
              },
          .on_record =
              [this](const auto& record) { this->OnReplicaRecord(record); },
          .on_unavailable =
              [this] { this->directory.OnRegistryUnavailable(BootTimeNow()); },
          .on_recovered =
              [this] { this->directory.OnRegistryRecovered(BootTimeNow()); }});
  this->batch_service = std::make_unique<BatchService>(
      this->context, this->store, this->peer_items,
      ConfigSource{
          .current = [this] { return this->config; },
          .as_of = [this] { return this->config_follower->current_as_of(); }},
      BatchServiceOptions{
          .host_name = this->settings.host.name,
          .partitions = this->settings.store.partitions,
          .record_bytes = this->settings.store.record_bytes,
          .call_bytes = this->settings.store.call_bytes,
          .member_lifetime = this->settings.store.member_life,
          .result_retention = this->settings.limits.result_life,
          .maximum_job_table_age = this->settings.limits.quota_window,
          .peer_address = this->peer_exchange.own_address(),
          .availability_zone = this->settings.host.availability_zone,
          .on_peer = [this](const auto& peer, const auto& zone) {
            this->peer_exchange.AddPeer(peer, zone);
          }});
  this->peer_exchange.set_add_items([this](auto& report) {
    report.items = this->batch_service->runner().RunningItemHashes();
    report.next_due_ms =
        this->batch_service->runner().earliest_waiting_due_ms();
  });
  this->peer_exchange.set_on_report(
      [this] { this->batch_service->runner().PreemptRuns(); });
  this->crash_watch.set_on_crash(
      [this] { this->peer_exchange.OnLoadChange(); });
  this->config_follower->Start();
  this->replica_follower->Start();
  this->batch_service->Start();
  this->Tick();
  return {};
}

std::string Gateway::PortsText() const {
  return "http " + std::to_string(this->caller_listener.port()) + "\nready " +
         std::to_string(this->readiness_listener.port()) + "\npeer " +
         this->peer_exchange.own_address().substr(
             this->peer_exchange.own_address().rfind(':') + 1) +
         "\n";
}

void Gateway::OnConfigRecord(const KeyedRecord& record,
                             const std::string& source) {
  if (record.key != platform::topic::kConfigKey || !record.value) {
    return;
  }
  auto decoded = platform::DecodeConfig(*record.value);
  if (!decoded) {
    LogEvent(Event::kConfigurationRejected,
             {{"offset", std::to_string(record.offset)},
              {"reason", decoded.error().message}});
    return;
  }
  const std::uint64_t previous = this->config ? this->config->version : 0;
  if (this->config && decoded->version <= previous) {
    return;
  }
  this->previous_config = std::exchange(
      this->config, std::make_shared<const RoutingConfig>(std::move(*decoded)));
  this->config_since = BootTimeNow();
  const bool had_limits = this->allotments.has_limits();
  this->allotments.Configure(
      this->config->workspaces.value_or(std::vector<Workspace>()),
      BootTimeNow());
  if (had_limits || this->allotments.has_limits()) {
    LogEvent(Event::kWorkspaceLimitsChanged,
             {{"workspaces", std::to_string(this->allotments.size())},
              {"version", std::to_string(this->config->version)}});
    // Reports on workspaces begin at once.
    this->peer_exchange.OnLoadChange();
  }
  LogEvent(Event::kConfigurationInForce,
           {{"version", std::to_string(this->config->version)},
            {"previous", std::to_string(previous)},
            {"routes", std::to_string(this->config->routes.size())},
            {"endpoints", std::to_string(this->config->endpoints.size())},
            {"source", source}});
  this->ApplyPlacementPolicy();
  this->LogReadinessChange();
}

void Gateway::ApplyPlacementPolicy() {
  const std::string& setting = this->settings.placement.policy;
  const PlacementPolicy policy = DecidePlacementPolicy(
      ParsePlacementSetting(setting).value_or(PlacementSetting::kAuto),
      *this->config);
  if (policy != this->placement.policy()) {
    LogEvent(Event::kPlacementPolicyChanged,
             {{"policy", std::string(ToString(policy))},
              {"setting", setting},
              {"config", std::to_string(this->config->version)}});
  }
  if (policy == PlacementPolicy::kCount) {
    this->placement.SetPolicy(std::nullopt);
  } else {
    PlacementByWork by_work{
        .work = this->work,
        .speed = this->speed,
        .variation = this->variation,
        .token_capacity = {},
        .reserves_for_rises =
            this->settings.placement.batch_reserve == kReserveForRises};
    for (const auto& endpoint : this->config->endpoints) {
      if (endpoint.engine_tokens > 0) {
        by_work.token_capacity[endpoint.name] = endpoint.engine_tokens;
      }
    }
    this->placement.SetPolicy(std::move(by_work));
  }
  std::set<std::string> routes;
  for (const auto& route : this->config->routes) {
    routes.insert(route.name);
  }
  this->estimator.RetainRoutes(routes);
}

void Gateway::OnReplicaRecord(const KeyedRecord& record) {
  const TimePoint now = BootTimeNow();
  if (!record.value) {
    if (const auto* existing = this->directory.Find(record.key)) {
      LogEvent(Event::kReplicaChanged, {{"replica", record.key},
                                        {"endpoint", existing->endpoint},
                                        {"address", existing->address},
                                        {"state", "gone"},
                                        {"reason", "registry"}});
    }
    this->directory.Remove(record.key, now);
    this->failures.ResetReplica(record.key);
    this->speed.Forget(record.key);
    this->pool.CloseIdle(record.key);
    return;
  }
  auto decoded = platform::DecodeReplica(record.key, *record.value);
  if (!decoded) {
    LogEvent(Event::kReplicaEntryRejected,
             {{"replica", record.key}, {"reason", decoded.error().message}});
    this->directory.Remove(record.key, now);
    return;
  }
  const auto* existing = this->directory.Find(record.key);
  if (existing == nullptr || existing->is_draining != decoded->is_draining ||
      existing->started_ms != decoded->started_ms) {
    LogEvent(Event::kReplicaChanged,
             {{"replica", record.key},
              {"endpoint", decoded->endpoint},
              {"address", decoded->address},
              {"state", decoded->is_draining ? "draining" : "ready"},
              {"reason", "registry"}});
    this->failures.ResetReplica(record.key);
    this->speed.Forget(record.key);
  }
  this->LogEndedDepartures(
      this->directory.departures().OnRegistered(BootOf(*decoded), now));
  this->directory.Update(*decoded);
}

void Gateway::LogEndedDepartures(
    const std::vector<EndedDeparture>& departures) {
  for (const auto& departure : departures) {
    LogEvent(Event::kReplicaLeaving,
             {{"replica", departure.replica},
              {"state", "ended"},
              {"reason", departure.reason},
              {"age_ms", MillisecondsText(departure.age)}});
  }
}

SessionLimits Gateway::CallerLimits() const {
  SessionLimits limits;
  if (this->config) {
    const IngressLimits& ingress = this->config->limits;
    limits.request.header_bytes = ingress.header_bytes;
    limits.request.body_bytes = ingress.body_bytes;
    limits.header_timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            ingress.header_timeout);
    limits.idle_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        ingress.idle_timeout);
  }
  return limits;
}

void Gateway::HandleRequest(const std::shared_ptr<ServerSession>& session,
                            Request request) {
  if (!this->config) {
    session->Respond(http_status::kUnavailable,
                     platform::RefusalFields(kNoConfigRetryAfter), "");
    return;
  }
  const auto routing_config = this->ConfigFor(*session, request.head);
  if (const auto call = platform::DecodeBatchCall(request.head)) {
    if (const auto caller =
            this->Identify(session, request.head, nullptr, *routing_config)) {
      this->HandleBatchCall(session, request.head, *call, *caller,
                            *routing_config);
    }
    return;
  }
  const std::string_view host = HostOf(request.head);
  if (host.empty()) {
    session->Respond(http_status::kBadRequest, {}, "");
    return;
  }
  const Route* route = routing_config->FindRoute(host, request.head.path());
  if (route == nullptr) {
    session->Respond(http_status::kNotFound, {}, "");
    return;
  }
  const auto caller =
      this->Identify(session, request.head, route, *routing_config);
  if (!caller) {
    return;
  }
  if (route->kind == RequestKind::kBatch) {
    this->batch_service->HandleSubmission(
        session, request, *route,
        routing_config->requires_keys()
            ? std::optional(caller->workspace_name())
            : std::nullopt);
    return;
  }
  std::optional<TimePoint> counted;
  if (caller->workspace != nullptr) {
    counted = BootTimeNow();
    if (!this->AdmitWorkspace(caller->workspace->name, *route, request, session,
                              *counted)) {
      return;
    }
  }
  const std::string endpoint = PickEndpoint(*route, this->random.Unit());
  std::make_shared<ForwardedRequest>(
      this->context, ForwardedRequestOptions{.session = session,
                                             .request = std::move(request),
                                             .config = routing_config,
                                             .route = route,
                                             .workspace = caller->workspace,
                                             .priority = EffectivePriority(
                                                 *route, caller->workspace),
                                             .counted = counted,
                                             .endpoint = endpoint})
      ->Start();
}

void Gateway::HandleBatchCall(const std::shared_ptr<ServerSession>& session,
                              const RequestHead& head,
                              const platform::BatchCall& call,
                              const CallerIdentity& caller,
                              const RoutingConfig& routing_config) {
  // Without a key, a caller can have jobs without a workspace only.
  const bool needs_key =
      routing_config.requires_keys() && caller.workspace == nullptr;
  const bool may_have_new_jobs =
      !needs_key ||
      std::any_of(routing_config.routes.begin(), routing_config.routes.end(),
                  [](const Route& route) {
                    return route.is_anonymous &&
                           route.kind == RequestKind::kBatch;
                  });
  this->batch_service->HandleCall(
      session, call,
      {.workspace = caller.workspace_name(),
       .may_have_new_jobs = may_have_new_jobs,
       .on_unknown_job = [this, session, needs_key, head] {
         if (needs_key) {
           this->RefuseCaller(session, head, nullptr,
                              CallerOutcome::kMissingKey);
         } else {
           session->Respond(http_status::kNotFound, {}, "");
         }
       }});
}

std::shared_ptr<const RoutingConfig> Gateway::ConfigFor(
    const ServerSession& session,
    const RequestHead& head) const {
  if (!this->previous_config || !this->config->requires_keys() ||
      session.request_started() >= this->config_since) {
    return this->config;
  }
  const auto key = platform::CallerKey(head.fields);
  const auto is_known = [&key](const RoutingConfig& routing_config) {
    return IdentifyCaller(key, nullptr, routing_config, Duration::zero())
               .outcome == CallerOutcome::kIdentified;
  };
  return is_known(*this->previous_config) && !is_known(*this->config)
             ? this->previous_config
             : this->config;
}

std::optional<CallerIdentity> Gateway::Identify(
    const std::shared_ptr<ServerSession>& session,
    const RequestHead& head,
    const Route* route,
    const RoutingConfig& routing_config) {
  const CallerIdentity caller =
      IdentifyCaller(platform::CallerKey(head.fields), route, routing_config,
                     BootTimeNow() - this->config_follower->current_as_of());
  if (!caller.is_accepted()) {
    this->RefuseCaller(session, head, route, caller.outcome);
    return std::nullopt;
  }
  return caller;
}

void Gateway::RefuseCaller(const std::shared_ptr<ServerSession>& session,
                           const RequestHead& head,
                           const Route* route,
                           CallerOutcome outcome) {
  ++this->refused_callers[outcome];
  const auto key = platform::CallerKey(head.fields);
  const std::string request_id =
      platform::DecodeRequestMetadata(head.fields).attempt_id;
  const std::string route_name = route == nullptr ? "" : route->name;
  const std::string fingerprint = key ? KeyFingerprint(*key) : "";
  const std::string version = std::to_string(this->config->version);
  const std::string age =
      MillisecondsText(BootTimeNow() - this->config_follower->current_as_of());
  if (outcome == CallerOutcome::kOutdatedConfiguration) {
    LogEvent(Event::kCallerDeferred, {{"request", request_id},
                                      {"route", route_name},
                                      {"key", fingerprint},
                                      {"config", version},
                                      {"config_age_ms", age}});
    session->Respond(http_status::kUnavailable,
                     platform::RefusalFields(kUnknownKeyRetryAfter), "");
    return;
  }
  LogEvent(Event::kCallerRejected, {{"request", request_id},
                                    {"route", route_name},
                                    {"reason", std::string(ToString(outcome))},
                                    {"key", fingerprint},
                                    {"config", version},
                                    {"config_age_ms", age}});
  session->Respond(http_status::kUnauthorized, platform::KeyRefusalFields(),
                   "");
}

bool Gateway::AdmitWorkspace(std::string_view workspace,
                             const Route& route,
                             const Request& request,
                             const std::shared_ptr<ServerSession>& session,
                             TimePoint now) {
  const AllotmentDecision decision = this->allotments.Admit(workspace, now);
  if (decision.is_admitted) {
    return true;
  }
  LogEvent(Event::kWorkspaceRequestRefused,
           {{"workspace", std::string(workspace)},
            {"request",
             std::string(request.head.fields.Find(platform::header::kAttemptId)
                             .value_or(""))},
            {"route", route.name},
            {"retry_after_ms", MillisecondsText(decision.retry_after)},
            {"limit", DecimalText(decision.limit)},
            {"burst", DecimalText(decision.burst)},
            {"left", DecimalText(decision.left)},
            {"share", DecimalText(decision.share)},
            {"rate_here", DecimalText(decision.rate_here)},
            {"rate_elsewhere", DecimalText(decision.rate_elsewhere)},
            {"report_age_ms", MillisecondsText(decision.report_age)}});
  session->Respond(http_status::kTooManyRequests,
                   platform::RefusalFields(decision.retry_after), "");
  return false;
}

void Gateway::LogSilentSources() {
  const std::size_t silent = this->allotments.has_limits()
                                 ? this->allotments.silent_source_count()
                                 : 0;
  if (silent > this->silent_sources) {
    LogEvent(Event::kPeerAllotmentsSilent,
             {{"peers", std::to_string(silent)},
              {"hosts", std::to_string(this->allotments.silent_hosts())},
              {"reserved_share",
               DecimalText(this->allotments.silent_hosts() /
                           std::max(1.0, this->allotments.host_count()))}});
  }
  this->silent_sources = silent;
}

void Gateway::AddAllotmentMetrics(std::string& text) {
  for (const auto& use :
       this->allotments.Uses(kMaximumWorkspaceSeries, BootTimeNow())) {
    const auto add = [&](const char* name, const std::string& value) {
      text += "crocus_workspace_" + std::string(name) + "{workspace=\"" +
              LabelText(use.workspace) + "\"} " + value + "\n";
    };
    const AllotmentDecision& figures = use.figures;
    add("admitted_total", std::to_string(use.admitted));
    add("refused_total", std::to_string(use.refused));
    add("admissions_undone_total", std::to_string(use.undone));
    add("limit_share_here", DecimalText(figures.rate_here / figures.limit));
    add("limit_share_elsewhere",
        DecimalText(figures.rate_elsewhere / figures.limit));
    add("requests_left", DecimalText(figures.left));
    add("report_age_seconds", DecimalText(ToSeconds(figures.report_age)));
  }
}

bool Gateway::is_ready() const {
  return !this->shutdown_started && this->config &&
         this->replica_follower->has_snapshot();
}

void Gateway::LogReadinessChange() {
  const bool ready = this->is_ready();
  if (ready == this->was_ready) {
    return;
  }
  this->was_ready = ready;
  LogEvent(Event::kReadinessChanged,
           {{"ready", ready ? "true" : "false"},
            {"reason", this->shutdown_started ? "shutdown" : "start"}});
}

void Gateway::HandleReady(const std::shared_ptr<ServerSession>& session,
                          const Request& request) {
  if (request.head.path() != platform::call::kReady) {
    session->Respond(http_status::kNotFound, {}, "");
    return;
  }
  session->Respond(
      this->is_ready() ? http_status::kOk : http_status::kUnavailable, {}, "");
}

void Gateway::HandleMetrics(const std::shared_ptr<ServerSession>& session) {
  std::string text = this->metrics.ToPrometheus();
  const auto add = [&text](const std::string& name, std::uint64_t value) {
    text += name + " " + std::to_string(value) + "\n";
  };
  add("crocus_store_calls_total", this->store.calls());
  add("crocus_replica_connections_total", this->pool.connections_opened());
  text += ToPrometheus(this->CallerUsage());
  add("crocus_replicas_known", this->directory.size());
  add("crocus_replicas_leaving", this->directory.departures().size());
  add("crocus_replicas_in_backoff",
      this->failures.replicas_in_backoff(BootTimeNow()));
  add("crocus_failing_works", this->failures.failing_works());
  add("crocus_batch_items_running", this->batch_service->runner().running());
  add("crocus_batch_results_unwritten", this->batch_service->unwritten());
  add("crocus_replica_crashes_total", this->crash_watch.crashes());
  add("crocus_crash_suspects", this->crash_evidence.suspects());
  add("crocus_blocked_prompt_parts", this->crash_evidence.blocked().size());
  if (this->config && this->config->requires_keys()) {
    for (const auto outcome :
         {CallerOutcome::kMissingKey, CallerOutcome::kUnknownKey,
          CallerOutcome::kOutdatedConfiguration}) {
      add("crocus_callers_refused_total{reason=\"" +
              std::string(ToString(outcome)) + "\"}",
          this->refused_callers[outcome]);
    }
  }
  constexpr double kPercent = 100;
  constexpr double kMilliseconds = 1000;
  add("crocus_placement_by_work",
      this->placement.policy() == PlacementPolicy::kWork ? 1 : 0);
  add("crocus_work_left_milliseconds",
      static_cast<std::uint64_t>(kMilliseconds * this->work.Sum().seconds));
  add("crocus_work_left_tokens",
      static_cast<std::uint64_t>(this->work.Sum().tokens));
  add("crocus_work_estimate_error_percent",
      static_cast<std::uint64_t>(kPercent * this->estimator.OverallError()));
  add("crocus_retries_promised_total", this->retries.promised());
  add("crocus_retries_unpromised_total", this->retries.unpromised());
  add("crocus_configuration_version", this->config ? this->config->version : 0);
  this->AddAllotmentMetrics(text);
  session->Respond(http_status::kOk,
                   HeaderFields::WithContentType("text/plain; version=0.0.4"),
                   std::move(text));
}

void Gateway::HandleBlockedParts(const std::shared_ptr<ServerSession>& session,
                                 const Request& request) {
  const TimePoint now = BootTimeNow();
  std::string_view part = request.head.path().substr(kBlockedPartsPath.size());
  if (request.head.method == "DELETE") {
    part.remove_prefix(std::min<std::size_t>(part.size(), 1));
    const bool is_known = this->crash_evidence.Lift(std::string(part), now);
    this->peer_exchange.OnLoadChange();
    session->Respond(is_known ? http_status::kOk : http_status::kNotFound, {},
                     "");
    return;
  }
  std::string text;
  for (const auto& blocked : this->crash_evidence.blocked()) {
    text += PartsText(blocked.parts) +
            " crashes=" + std::to_string(blocked.crashes) +
            " failed_trials=" + std::to_string(blocked.failed_trials) +
            " next_trial_ms=" + MillisecondsText(blocked.next_trial - now) +
            "\n";
  }
  session->Respond(http_status::kOk,
                   HeaderFields::WithContentType("text/plain"),
                   std::move(text));
}

void Gateway::HandleExplanation(const std::shared_ptr<ServerSession>& session,
                                const Request& request) {
  if (!this->config) {
    session->Respond(http_status::kUnavailable, {}, "no configuration yet\n");
    return;
  }
  auto text = Explain(DecodeExplanationQuery(request.head),
                      {.config = *this->config,
                       .context = this->context,
                       .allotments = this->allotments,
                       .batch_service = *this->batch_service,
                       .now = BootTimeNow()});
  if (!text) {
    session->Respond(http_status::kNotFound, {}, "no such route\n");
    return;
  }
  session->Respond(http_status::kOk,
                   HeaderFields::WithContentType("application/json"),
                   std::move(*text));
}

void Gateway::LogBlockChanges() {
  for (const auto& [blocked, is_blocked] : this->crash_evidence.TakeChanges()) {
    if (is_blocked) {
      LogEvent(Event::kPromptPartsBlocked,
               {{"parts", PartsText(blocked.parts)},
                {"crashes", std::to_string(blocked.crashes)},
                {"failed_trials", std::to_string(blocked.failed_trials)},
                {"next_trial_ms",
                 MillisecondsText(blocked.next_trial - BootTimeNow())}});
    } else {
      LogEvent(Event::kPromptPartsUnblocked,
               {{"parts", PartsText(blocked.parts)},
                {"crashes", std::to_string(blocked.crashes)},
                {"failed_trials", std::to_string(blocked.failed_trials)}});
    }
  }
}

ClientUsage Gateway::CallerUsage() const {
  return ReadClientUsage(this->caller_listener, *this->caller_memory,
                         this->client_limits.connections);
}

void Gateway::Tick() {
  this->caller_usage_log.Update(this->CallerUsage(), BootTimeNow());
  if (BootTimeNow() - this->config_since > kPreviousConfigLife) {
    this->previous_config.reset();
  }
  this->crash_evidence.Expire(BootTimeNow());
  this->LogBlockChanges();
  this->loads.DropExpiredReports(BootTimeNow());
  this->failures.Expire(BootTimeNow());
  this->fair_admission.Expire(BootTimeNow());
  this->retries.Expire(BootTimeNow());
  this->speed.Expire(BootTimeNow());
  this->SampleOnlineLoad();
  for (const auto& replica : this->directory.RemoveExpired(BootTimeNow())) {
    LogEvent(Event::kReplicaChanged,
             {{"replica", replica},
              {"state", "gone"},
              {"reason", "not registered again in time"}});
    this->pool.CloseIdle(replica);
  }
  this->LogEndedDepartures(this->directory.departures().Expire(BootTimeNow()));
  this->LogReadinessChange();
  this->LogSilentSources();
  this->CheckShutdown();
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](const auto& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void Gateway::SampleOnlineLoad() {
  if (this->placement.policy() == PlacementPolicy::kCount) {
    return;
  }
  const TimePoint now = BootTimeNow();
  for (const auto& endpoint : this->config->endpoints) {
    std::map<std::string, std::uint32_t> online;
    for (const auto* replica : this->directory.Available(endpoint.name)) {
      online[replica->id] = this->loads.Total(replica->id).online;
    }
    if (!online.empty()) {
      this->variation.Sample(endpoint.name, online, now);
    }
  }
  this->variation.Expire(now);
}

void Gateway::BeginShutdown(const std::string& reason) {
  if (this->shutdown_started) {
    return;
  }
  this->shutdown_started = BootTimeNow();
  LogEvent(Event::kShutdownStep, {{"step", "unready: " + reason}});
  this->LogReadinessChange();
  this->caller_listener.AnnounceClose();
  this->batch_service->Stop();
}

void Gateway::CheckShutdown() {
  if (!this->shutdown_started) {
    return;
  }
  const Duration since = BootTimeNow() - *this->shutdown_started;
  if (since > kRotationRemovalTime && !this->stopped_accepting) {
    this->stopped_accepting = true;
    this->context.process_end = *this->shutdown_started +
                                this->settings.limits.shutdown_time -
                                kShutdownMargin;
    LogEvent(Event::kShutdownStep, {{"step", "closed to new connections"}});
    this->caller_listener.StopAccepting();
  }
  // Batch items continue for most of the time before SIGKILL. Then they are
  // stopped and their progress is recorded, so that another host can resume
  // them.
  if (since > this->settings.limits.shutdown_time - kProgressRecordTime) {
    this->batch_service->runner().StopRuns();
  }
  const bool is_done = this->stopped_accepting &&
                       this->caller_listener.busy_sessions() == 0 &&
                       this->batch_service->runner().running() == 0 &&
                       this->batch_service->unwritten() == 0;
  if (is_done ||
      since > this->settings.limits.shutdown_time - kShutdownMargin) {
    LogEvent(Event::kShutdownStep, {{"step", "end"}});
    this->loop.stop();
  }
}

}  // namespace crocus
