#include "Standin/engine_service.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "LibCore/hashing.h"

namespace crocus {

namespace {

/// Length of the part of a prompt that is the key in the prefix cache.
constexpr std::size_t kPrefixBytes = 256;

std::string ServerSentEvent(const std::string& data) {
  return "data: " + data + "\n\n";
}

}  // namespace

std::string StandinToken(const std::string& prompt, std::uint32_t index) {
  return "t" + std::to_string(HashBytes(prompt, index) % 10000) + " ";
}

void EngineService::AddRoutes(HttpServer& server) {
  server.AddRoute(
      "POST", "/v1/completions",
      [this](const HttpRequest& request) { return this->Complete(request); });
  server.AddRoute("POST", "/v1/cancel", [this](const HttpRequest& request) {
    return this->Cancel(request);
  });
  server.AddRoute("GET", "/v1/load",
                  [this](const HttpRequest&) { return this->GetLoad(); });
  server.AddRoute("POST", "/v1/orders", [this](const HttpRequest& request) {
    return this->HandleCommand(request);
  });
  server.AddRoute("POST", "/admin/faults", [this](const HttpRequest& request) {
    return this->SetFaults(request);
  });
  server.AddRoute("GET", "/admin/state",
                  [this](const HttpRequest&) { return this->GetState(); });
}

HttpResponse EngineService::Complete(const HttpRequest& request) {
  const auto json = ParseJsonObject(request.body);
  if (!json || !json->contains("prompt") || !json->contains("request_id")) {
    return JsonResponse(400, {{"error", "request_id and prompt are required"}});
  }
  auto stream =
      std::make_shared<Stream>(Stream{.id = json->value("request_id", ""),
                                      .prompt = json->value("prompt", ""),
                                      .next = json->value("resume_from", 0u),
                                      .end = json->value("max_tokens", 16u)});
  if (stream->prompt.find("[impossible]") != std::string::npos) {
    std::lock_guard lock(this->mutex);
    ++this->run_counts[stream->id];
    return JsonResponse(422, {{"error", "the prompt cannot be processed"}});
  }
  {
    std::lock_guard lock(this->mutex);
    this->waiting.push_back(stream);
    this->SampleLoad();
  }
  return {.status = 200,
          .headers = {{"Content-Type", "text/event-stream"}},
          .body = {},
          .stream = BodyStream{
              .next = [this, stream] { return this->NextToken(stream); },
              .finish = [this, stream] { this->Finish(stream); }}};
}

bool EngineService::AcquireSlot(const std::shared_ptr<Stream>& stream) {
  std::unique_lock lock(this->mutex);
  this->state_changed.wait(lock, [this, &stream] {
    return stream->is_cancelled ||
           (this->running.size() < this->options.slots &&
            !this->waiting.empty() && this->waiting.front() == stream);
  });
  std::erase(this->waiting, stream);
  this->state_changed.notify_all();
  if (stream->is_cancelled) {
    return false;
  }
  this->running[stream->id] = stream;
  stream->is_dequeued = true;
  ++this->run_counts[stream->id];
  this->SampleLoad();
  return true;
}

std::optional<std::string> EngineService::NextToken(
    const std::shared_ptr<Stream>& stream) {
  if (!stream->is_dequeued) {
    if (!this->AcquireSlot(stream)) {
      stream->is_dequeued = true;
      stream->next = stream->end + 1;
      return ServerSentEvent("{\"cancelled\":true}");
    }
    std::unique_lock lock(this->mutex);
    const auto prompt_time = this->PromptTime(stream->prompt);
    lock.unlock();
    std::this_thread::sleep_for(prompt_time);
  }
  if (stream->next > stream->end) {
    return std::nullopt;
  }
  if (stream->next == stream->end) {
    ++stream->next;
    return ServerSentEvent("[DONE]");
  }
  std::unique_lock lock(this->mutex);
  this->state_changed.wait_for(lock, this->TokenTime(),
                               [&stream] { return stream->is_cancelled; });
  if (stream->is_cancelled) {
    stream->next = stream->end + 1;
    return ServerSentEvent("{\"cancelled\":true}");
  }
  lock.unlock();
  const nlohmann::json token = {
      {"index", stream->next},
      {"text", StandinToken(stream->prompt, stream->next)}};
  ++stream->next;
  return ServerSentEvent(token.dump());
}

void EngineService::Finish(const std::shared_ptr<Stream>& stream) {
  std::lock_guard lock(this->mutex);
  std::erase(this->waiting, stream);
  if (const auto found = this->running.find(stream->id);
      found != this->running.end() && found->second == stream) {
    this->running.erase(found);
  }
  this->SampleLoad();
  this->state_changed.notify_all();
}

HttpResponse EngineService::Cancel(const HttpRequest& request) {
  const auto json = ParseJsonObject(request.body);
  if (!json) {
    return JsonResponse(400, {{"error", "the body is not a JSON object"}});
  }
  const bool found = this->CancelStream(json->value("request_id", ""));
  std::this_thread::sleep_for(this->options.cancel_time);
  return JsonResponse(200, {{"cancelled", found}});
}

bool EngineService::CancelStream(const std::string& id) {
  std::lock_guard lock(this->mutex);
  bool found = false;
  if (const auto entry = this->running.find(id); entry != this->running.end()) {
    entry->second->is_cancelled = true;
    found = true;
  }
  for (const auto& stream : this->waiting) {
    if (stream->id == id) {
      stream->is_cancelled = true;
      found = true;
    }
  }
  this->state_changed.notify_all();
  if (found) {
    // The monotonic clock is shared by the processes of a host, so a test can
    // compare these times with its own.
    this->cancel_times_us.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now().time_since_epoch())
            .count());
  }
  return found;
}

HttpResponse EngineService::GetLoad() {
  std::lock_guard lock(this->mutex);
  const auto visible_until =
      std::chrono::steady_clock::now() - this->options.report_lag;
  LoadSample visible_sample;
  for (const auto& sample : this->samples) {
    if (sample.time > visible_until) {
      break;
    }
    visible_sample = sample;
  }
  return JsonResponse(200, {{"running", visible_sample.running},
                            {"waiting", visible_sample.waiting},
                            {"slots", this->options.slots}});
}

HttpResponse EngineService::HandleCommand(const HttpRequest& request) {
  const auto json = ParseJsonObject(request.body);
  if (!json || !json->contains("action")) {
    return JsonResponse(400, {{"error", "action is required"}});
  }
  const auto fencing_number = json->value("fencing", std::uint64_t{0});
  std::lock_guard lock(this->mutex);
  if (fencing_number < this->highest_fencing_number) {
    ++this->stale_commands;
    if (this->options.checks_fencing) {
      return JsonResponse(409, {{"error", "the fencing number is stale"}});
    }
  }
  this->highest_fencing_number =
      std::max(this->highest_fencing_number, fencing_number);
  this->commands.push_back(*json);
  return JsonResponse(200, {{"ok", true}});
}

HttpResponse EngineService::SetFaults(const HttpRequest& request) {
  const auto json = ParseJsonObject(request.body);
  if (!json) {
    return JsonResponse(400, {{"error", "the body is not a JSON object"}});
  }
  std::lock_guard lock(this->mutex);
  this->slow_factor = json->value("slow_factor", 1.0);
  this->slow_until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(json->value("slow_ms", 10000));
  return JsonResponse(200, {{"ok", true}});
}

HttpResponse EngineService::GetState() {
  std::lock_guard lock(this->mutex);
  return JsonResponse(200, {{"running", this->running.size()},
                            {"waiting", this->waiting.size()},
                            {"runs", this->run_counts},
                            {"cancel_times_us", this->cancel_times_us},
                            {"orders", this->commands},
                            {"stale_orders", this->stale_commands}});
}

std::chrono::microseconds EngineService::TokenTime() const {
  const double occupancy =
      1 + this->options.occupancy_cost *
              static_cast<double>(
                  std::max<std::size_t>(this->running.size(), 1) - 1);
  const double slowdown = std::chrono::steady_clock::now() < this->slow_until
                              ? this->slow_factor
                              : 1;
  return std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(this->options.token_time.count()) * occupancy *
      slowdown));
}

std::chrono::nanoseconds EngineService::PromptTime(const std::string& prompt) {
  const std::string prefix = prompt.substr(0, kPrefixBytes);
  std::size_t uncached_bytes = prompt.size();
  const auto found =
      std::find(this->prefix_cache.begin(), this->prefix_cache.end(), prefix);
  if (found != this->prefix_cache.end()) {
    uncached_bytes -= prefix.size();
    this->prefix_cache.erase(found);
  }
  this->prefix_cache.push_back(prefix);
  if (this->prefix_cache.size() > this->options.cached_prefixes) {
    this->prefix_cache.pop_front();
  }
  return this->options.prompt_byte_time * uncached_bytes;
}

void EngineService::SampleLoad() {
  const auto now = std::chrono::steady_clock::now();
  this->samples.push_back(
      {.time = now,
       .running = static_cast<std::uint32_t>(this->running.size()),
       .waiting = static_cast<std::uint32_t>(this->waiting.size())});
  while (this->samples.size() > 2 &&
         this->samples[1].time < now - this->options.report_lag) {
    this->samples.pop_front();
  }
}

}  // namespace crocus
