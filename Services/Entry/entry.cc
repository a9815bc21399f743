#include "Entry/entry.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "Entry/refusal.h"
#include "LibAsyncHttp/client_limits.h"
#include "LibAsyncHttp/client_usage.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibHttp/json_response.h"

namespace crocus {

namespace {

HttpServerOptions MakeServerOptions(const EntrySettings& settings) {
  const ClientLimits limits = DecideClientLimits(ReadHostResources(
      settings.limits.memory_megabytes, settings.limits.open_files));
  return {
      .address = settings.host.address,
      .port = settings.host.http_port,
      .connection_limit = static_cast<std::uint32_t>(std::min<std::uint64_t>(
          settings.limits.connections, limits.connections)),
      .memory_bytes = limits.memory_bytes,
      .maximum_body_bytes = settings.limits.body_bytes};
}

}  // namespace

Entry::Entry(EntrySettings settings)
    : settings(std::move(settings)),
      incarnation(SystemRandom()),
      daemon_connections(
          this->io.context(),
          this->MakeHello(),
          this->settings.fleet.daemons,
          {.on_load = [this] { this->batches.OnCapacityReported(); },
           .on_offer =
               [this](const std::string& daemon, const auto& offer) {
                 this->batches.OnOffer(daemon, offer);
                 this->requests.OnOffer(daemon, offer);
               },
           .on_disconnected =
               [this](const std::string& daemon) {
                 this->command_follower.OnDisconnected(daemon);
               },
           .on_rules =
               [this](const std::string& daemon, const auto& push) {
                 this->rules.OnPeerRules(daemon, push);
               },
           .on_frame =
               [this](const std::string& daemon, const Frame& frame) {
                 this->command_follower.OnFrame(daemon, frame);
               }}),
      command_follower(this->settings, this->daemon_connections),
      rules(this->settings,
            [this](const messages::RulesPush& push) {
              this->daemon_connections.PushRules(push);
              this->requests.SetRules(this->rules.Current());
              this->batches.SetRules(this->rules.Current());
            }),
      rules_peers(this->io.context(),
                  this->settings.fleet.entries,
                  this->settings.platform.rules_poll,
                  this->MakeHello(),
                  this->rules),
      internal_server(this->io.context(),
                      [this] {
                        auto hello = this->MakeHello();
                        hello.rules_version = this->rules.version();
                        return hello;
                      }),
      peers(this->io, this->settings, this->incarnation),
      batches(this->settings,
              this->incarnation,
              this->daemon_connections,
              this->peers),
      requests(this->settings,
               this->incarnation,
               this->io.context(),
               this->daemon_connections),
      batch_interface(this->settings, this->batches, this->peers),
      operator_interface(this->daemon_connections,
                         this->rules,
                         this->rules_peers,
                         [this] { return this->DescribeEntry(); }),
      server(MakeServerOptions(this->settings)) {}

Entry::~Entry() {
  this->io.Stop();
}

Result<void> Entry::Start() {
  this->AddRoutes();
  this->AddOperatorRoutes();
  this->AddInternalHandlers();
  TRY(this->peers.Start(
      this->internal_server,
      [this] {
        return messages::Heartbeat{
            .http_port = this->server.port(),
            .partitions = this->batches.OwnedPartitions()};
      },
      [this](const messages::PartitionQuery& query) {
        return this->batch_interface.OnQuery(query);
      }));
  this->daemon_connections.Start();
  this->rules.Start();
  this->rules_peers.Start();
  this->batches.Start();
  this->command_follower.Start();
  this->requests.Start();
  return this->server.Start();
}

void Entry::Stop() {
  const auto& limits = this->settings.shutdown;
  const auto step = [](const char* name) {
    LogEvent(Event::kShutdownStep, {{"step", name}});
  };
  step("not_ready");
  this->is_shutting_down = true;
  this->server.CloseConnectionsAfterResponses();
  std::this_thread::sleep_for(limits.balancer_delay);
  step("finish_requests");
  this->server.StopAccepting();
  const TimePoint end = MonotonicNow() + limits.running_limit;
  this->requests.SetProcessEnd(end);
  const bool is_idle =
      this->server.WaitUntilIdle(limits.running_limit) &&
      this->requests.WaitUntilIdle(std::max(Duration(0), end - MonotonicNow()));
  // A request that arrives from now on could not be answered.
  this->requests.SetProcessEnd(MonotonicNow());
  step(is_idle ? "flush_results" : "flush_results_with_running_requests");
  this->server.Stop();
  this->batches.Stop();
  this->requests.Stop(limits.flush_limit);
  this->peers.Stop();
  this->rules.Stop();
  this->rules_peers.Stop();
  this->internal_server.Stop();
  this->command_follower.Stop();
  this->daemon_connections.Stop();
  // Callbacks of `daemon_connections` refer to members that are destroyed
  // before it.
  this->io.Stop();
}

void Entry::AddRoutes() {
  const auto add = [this](const char* method, const char* pattern,
                          HttpHandler handler) {
    this->server.AddRoute(method, pattern, std::move(handler));
  };
  add("GET", "/healthz", [](const HttpRequest&) {
    return JsonResponse(200, {{"ok", true}});
  });
  add("GET", "/readyz", [this](const HttpRequest&) {
    const bool is_ready = !this->is_shutting_down &&
                          !this->daemon_connections.AllReplicas().empty() &&
                          this->rules.is_ready();
    return JsonResponse(is_ready ? 200 : 503, {{"ready", is_ready}});
  });
  add("POST", "/v1/requests", [this](const HttpRequest& request) {
    return this->requests.Handle(request);
  });
  add("GET", "/v1/results/:id", [this](const HttpRequest& request) {
    return this->requests.GetResult(request);
  });
  add("POST", "/v1/orders", [this](const HttpRequest& request) {
    return this->command_follower.Issue(request);
  });
  add("GET", "/metrics", [this](const HttpRequest&) {
    HttpResponse response = this->requests.Metrics();
    response.body += ToPrometheus(this->server.usage());
    return response;
  });
  add("POST", "/v1/batches", [this](const HttpRequest& request) {
    return this->batch_interface.Submit(request);
  });
  add("GET", "/v1/batches/:id", [this](const HttpRequest& request) {
    return this->batch_interface.Status(request);
  });
  add("POST", "/v1/batches/:id/cancel", [this](const HttpRequest& request) {
    return this->batch_interface.Cancel(request);
  });
  add("GET", "/v1/batches/:id/results", [this](const HttpRequest& request) {
    return this->batch_interface.Results(request);
  });
}

void Entry::AddOperatorRoutes() {
  this->server.AddRoute("GET", "/v1/rules", [this](const HttpRequest& request) {
    return this->operator_interface.Rules(request);
  });
  this->server.AddRoute("GET", "/v1/status",
                        [this](const HttpRequest& request) {
                          return this->operator_interface.Status(request);
                        });
  this->server.AddRoute("POST", "/v1/drain",
                        [this](const HttpRequest& request) {
                          return this->operator_interface.Drain(request);
                        });
}

void Entry::AddInternalHandlers() {
  this->internal_server.AddHandler<messages::RulesQuery>(
      [this](const auto& connection, const auto& query, auto correlation) {
        auto reply = this->rules.CurrentRulesPush();
        if (query.known_version >= reply.version) {
          reply.text.clear();
        }
        connection->Send(MakeFrame(reply, correlation));
      });
}

messages::Hello Entry::MakeHello() const {
  return {.role = messages::Role::kEntry,
          .name = this->settings.host.name,
          .availability_zone = this->settings.host.availability_zone,
          .region = this->settings.host.region,
          .incarnation = this->incarnation};
}

nlohmann::json Entry::DescribeEntry() const {
  return {{"name", this->settings.host.name},
          {"availability_zone", this->settings.host.availability_zone},
          {"region", this->settings.host.region},
          {"http_port", this->http_port()},
          {"internal_port", this->internal_port()},
          {"log_url", this->settings.platform.log_url},
          {"batch_log_reads", this->batches.log_reads()},
          {"batch_log_read_bytes", this->batches.log_read_bytes()},
          {"leaving", this->is_shutting_down.load()}};
}

}  // namespace crocus
