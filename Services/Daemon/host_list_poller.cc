#include "Daemon/host_list_poller.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "LibEvents/event_log.h"
#include "LibHttp/http_client.h"
#include "LibHttp/json_response.h"

namespace crocus {

namespace {

constexpr int kOk = 200;
constexpr std::chrono::seconds kPollTimeout{5};

}  // namespace

Result<bool> IsHostLeaving(const std::string& text, const std::string& host) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("hosts") ||
      !json["hosts"].is_array()) {
    return Failure(ErrorCode::kCorrupt, "the response is not a host list");
  }
  for (const auto& item : json["hosts"]) {
    if (item.is_object() && MemberOr(item, "name", std::string()) == host) {
      return MemberOr(item, "state", std::string()) == "leaving";
    }
  }
  return false;
}

HostListPoller::HostListPoller(HostListPollerOptions options,
                               std::function<void(bool)> on_state)
    : options(std::move(options)), on_state(std::move(on_state)) {
  if (!this->options.url.empty()) {
    this->thread = std::thread([this] { this->Run(); });
  }
}

HostListPoller::~HostListPoller() {
  {
    std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->wake.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void HostListPoller::Run() {
  for (;;) {
    this->Poll();
    std::unique_lock lock(this->mutex);
    if (this->wake.wait_for(lock, this->options.interval,
                            [this] { return this->is_stopping; })) {
      return;
    }
  }
}

void HostListPoller::Poll() {
  const auto reply =
      SendHttp({.url = this->options.url + "/hosts", .timeout = kPollTimeout});
  if (!reply || reply->status != kOk) {
    LogEvent(Event::kHostsUnavailable,
             {{"reason", reply ? "the host list's server returned status " +
                                     std::to_string(reply->status)
                               : reply.error().message}});
    return;
  }
  if (const auto is_leaving = IsHostLeaving(reply->body, this->options.host)) {
    this->on_state(*is_leaving);
  } else {
    LogEvent(Event::kHostsUnavailable,
             {{"reason", is_leaving.error().message}});
  }
}

}  // namespace crocus
