#include "Standin/log_service.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

#include "LibHttp/json_response.h"

namespace crocus {

namespace {

/// A page ends with the record that reaches this size; the reader requests the
/// next page from the following offset.
constexpr std::size_t kMaximumPageBytes = 8u << 20;

std::uint64_t ParseUnsigned(const std::string& text, std::uint64_t fallback) {
  return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

void LogService::AddRoutes(HttpServer& server) {
  server.AddRoute(
      "POST", "/streams/:stream/records",
      [this](const HttpRequest& request) { return this->Append(request); });
  server.AddRoute(
      "GET", "/streams/:stream/records",
      [this](const HttpRequest& request) { return this->Read(request); });
  server.AddRoute("POST", "/admin/faults", [this](const HttpRequest& request) {
    return this->SetFaults(request);
  });
  server.AddRoute("POST", "/admin/trim", [this](const HttpRequest& request) {
    return this->Trim(request);
  });
  server.AddRoute("GET", "/admin/state", [this](const HttpRequest&) {
    std::lock_guard lock(this->mutex);
    nlohmann::json streams = nlohmann::json::object();
    for (const auto& [name, stream] : this->streams) {
      streams[name] = stream.next_offset - 1;
    }
    return JsonResponse(
        200, {{"appends", this->append_count}, {"streams", streams}});
  });
}

std::optional<HttpResponse> LogService::ApplyFaults(
    std::unique_lock<std::mutex>& lock) {
  const auto delay = this->faults.delay;
  if (delay.count() > 0) {
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
  }
  if (this->faults.is_unavailable) {
    return JsonResponse(503, {{"error", "log is unavailable"}});
  }
  return std::nullopt;
}

HttpResponse LogService::Append(const HttpRequest& request) {
  std::unique_lock lock(this->mutex);
  if (auto refused = this->ApplyFaults(lock)) {
    return *refused;
  }
  if (!this->TryConsumeAppendToken()) {
    return JsonResponse(429, {{"error", "append rate exceeded"}});
  }
  Stream& stream = this->streams[request.Parameter("stream")];
  const std::uint64_t offset = stream.next_offset++;
  stream.records.push_back({.record = {.offset = offset, .data = request.body},
                            .appended_at = std::chrono::steady_clock::now()});
  ++this->append_count;
  if (this->faults.lost_replies > 0) {
    --this->faults.lost_replies;
    return JsonResponse(504, {{"error", "reply lost"}});
  }
  return JsonResponse(201, {{"offset", offset}});
}

HttpResponse LogService::Read(const HttpRequest& request) {
  std::unique_lock lock(this->mutex);
  if (auto refused = this->ApplyFaults(lock)) {
    return *refused;
  }
  Stream& stream = this->streams[request.Parameter("stream")];
  this->RemoveExpired(stream);
  const std::uint64_t first = stream.records.empty()
                                  ? stream.next_offset
                                  : stream.records.front().record.offset;
  const std::uint64_t from =
      std::max(ParseUnsigned(request.Parameter("from"), first), first);
  const std::uint64_t limit = ParseUnsigned(request.Parameter("limit"), 100);
  nlohmann::json records = nlohmann::json::array();
  std::size_t bytes = 0;
  for (std::uint64_t offset = from;
       offset < stream.next_offset && records.size() < limit &&
       bytes < kMaximumPageBytes;
       ++offset) {
    const auto& data = stream.records[offset - first].record.data;
    bytes += data.size();
    records.push_back(
        {{"offset", offset},
         {"data", nlohmann::json::binary({data.begin(), data.end()})}});
  }
  const auto page = nlohmann::json::to_msgpack(
      {{"first", first}, {"next", stream.next_offset}, {"records", records}});
  return {.status = 200,
          .headers = {{"Content-Type", "application/msgpack"}},
          .body = std::string(page.begin(), page.end()),
          .stream = std::nullopt};
}

HttpResponse LogService::SetFaults(const HttpRequest& request) {
  const auto json = ParseJsonObject(request.body);
  if (!json) {
    return JsonResponse(400, {{"error", "the body is not a JSON object"}});
  }
  std::lock_guard lock(this->mutex);
  this->faults.is_unavailable =
      json->value("outage", this->faults.is_unavailable);
  this->faults.lost_replies =
      json->value("lost_replies", this->faults.lost_replies);
  this->faults.delay = std::chrono::milliseconds(
      json->value("delay_ms", this->faults.delay.count()));
  return JsonResponse(200, {{"ok", true}});
}

HttpResponse LogService::Trim(const HttpRequest& request) {
  const auto json = ParseJsonObject(request.body);
  if (!json) {
    return JsonResponse(400, {{"error", "the body is not a JSON object"}});
  }
  std::lock_guard lock(this->mutex);
  Stream& stream = this->streams[json->value("stream", "")];
  const auto before = json->value("before", std::uint64_t{0});
  while (!stream.records.empty() &&
         stream.records.front().record.offset < before) {
    stream.records.pop_front();
  }
  return JsonResponse(200, {{"ok", true}});
}

bool LogService::TryConsumeAppendToken() {
  const auto now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> elapsed = now - this->last_refill;
  this->last_refill = now;
  this->append_tokens = std::min(
      this->options.appends_per_second,
      this->append_tokens + elapsed.count() * this->options.appends_per_second);
  if (this->append_tokens < 1) {
    return false;
  }
  this->append_tokens -= 1;
  return true;
}

void LogService::RemoveExpired(Stream& stream) {
  const auto oldest_retained_time =
      std::chrono::steady_clock::now() - this->options.retention;
  while (!stream.records.empty() &&
         stream.records.front().appended_at < oldest_retained_time) {
    stream.records.pop_front();
  }
}

}  // namespace crocus
