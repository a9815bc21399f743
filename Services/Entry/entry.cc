#include "Entry/entry.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "Entry/refusal.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibHttp/json_response.h"

namespace crocus {

Entry::Entry(EntrySettings settings)
    : settings(std::move(settings)),
      incarnation(SystemRandom()),
      fleet(this->io.context(),
            {.role = messages::Role::kEntry,
             .name = this->settings.host.name,
             .availability_zone = this->settings.host.availability_zone,
             .region = this->settings.host.region,
             .incarnation = this->incarnation},
            this->settings.fleet.daemons,
            {.on_load = [this] { this->batches.Wake(); },
             .on_offer =
                 [this](const std::string& daemon, const auto& offer) {
                   this->batches.OnOffer(daemon, offer);
                   this->requests.OnOffer(daemon, offer);
                 },
             .on_lost = [](const std::string&) {}}),
      batches(this->settings, this->incarnation, this->fleet),
      requests(this->settings,
               this->incarnation,
               this->io.context(),
               this->fleet),
      batch_interface(this->batches),
      server({.address = this->settings.host.address,
              .port = this->settings.host.http_port,
              .connection_limit = this->settings.limits.connections,
              .maximum_body_bytes = this->settings.limits.body_bytes}) {}

Entry::~Entry() {
  this->io.Stop();
}

Result<void> Entry::Start() {
  this->AddRoutes();
  this->fleet.Start();
  this->batches.Start();
  this->requests.Start();
  return this->server.Start();
}

void Entry::Stop() {
  const auto& limits = this->settings.shutdown;
  const auto step = [](const char* name) {
    LogEvent(Event::kShutdownStep, {{"step", name}});
  };
  step("not_ready");
  this->is_leaving = true;
  this->server.CloseConnectionsAfterReplies();
  std::this_thread::sleep_for(limits.balancer_delay);
  step("finish_requests");
  this->server.StopAccepting();
  const TimePoint end = MonotonicNow() + limits.running_limit;
  const bool is_idle =
      this->server.WaitUntilIdle(limits.running_limit) &&
      this->requests.WaitUntilIdle(std::max(Duration(0), end - MonotonicNow()));
  step(is_idle ? "flush_results" : "flush_results_with_running_requests");
  this->server.Stop();
  this->batches.Stop();
  this->requests.Stop(limits.flush_limit);
  this->fleet.Stop();
  // Callbacks of the fleet refer to members that are destroyed before it.
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
    const bool is_ready =
        !this->is_leaving && !this->fleet.AllReplicas().empty();
    return JsonResponse(is_ready ? 200 : 503, {{"ready", is_ready}});
  });
  add("POST", "/v1/requests", [this](const HttpRequest& request) {
    return this->requests.Handle(request);
  });
  add("GET", "/v1/results/:id", [this](const HttpRequest& request) {
    return this->requests.Result(request);
  });
  add("GET", "/metrics",
      [this](const HttpRequest&) { return this->requests.Metrics(); });
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

}  // namespace crocus
