#include "Entry/entry.h"

#include <utility>

#include "Entry/refusal.h"
#include "LibCore/random.h"
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
                 },
             .on_lost =
                 [this](const std::string& daemon) {
                   this->orders.OnLost(daemon);
                 },
             .on_frame =
                 [this](const std::string& daemon, const Frame& frame) {
                   this->orders.OnFrame(daemon, frame);
                 }}),
      orders(this->settings, this->fleet),
      batches(this->settings, this->incarnation, this->fleet),
      requests(this->settings, this->fleet),
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
  this->orders.Start();
  return this->server.Start();
}

void Entry::Stop() {
  this->is_leaving = true;
  this->server.Stop();
  this->batches.Stop();
  this->orders.Stop();
  this->fleet.Stop();
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
  add("POST", "/v1/orders", [this](const HttpRequest& request) {
    return this->orders.Issue(request);
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

}  // namespace crocus
