#include "LibSimulation/model_engine.h"

#include <algorithm>
#include <cmath>

#include "LibCore/assertions.h"

namespace crocus {

namespace {

Duration Scale(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace

ModelEngine::ModelEngine(const ModelEngineOptions& options,
                         EventQueue& events,
                         Handlers handlers)
    : options(options), events(events), handlers(std::move(handlers)) {}

void ModelEngine::Start(const EngineStream& stream) {
  VERIFY(!this->running.contains(stream.id));
  if (this->running.size() >= this->options.slots) {
    this->waiting.push_back(stream);
    return;
  }
  this->Admit(stream);
}

void ModelEngine::Cancel(const std::string& id) {
  const auto queued = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&id](const EngineStream& stream) { return stream.id == id; });
  if (queued != this->waiting.end()) {
    this->waiting.erase(queued);
    this->events.After(Duration{0},
                       [this, id] { this->handlers.on_end(id, false); });
    return;
  }
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    return;
  }
  this->events.After(
      this->options.cancel_time, [this, id, run = found->second.run] {
        const auto entry = this->running.find(id);
        if (entry != this->running.end() && entry->second.run == run) {
          this->End(id, false);
        }
      });
}

void ModelEngine::Slow(double factor, TimePoint end) {
  this->slow_factor = factor;
  this->slow_end = end;
}

EngineLoad ModelEngine::PublishedLoad() {
  this->SampleLoad();
  const TimePoint horizon = this->events.now() - this->options.report_lag;
  EngineLoad seen;
  for (const auto& [time, load] : this->samples) {
    if (time > horizon) {
      break;
    }
    seen = load;
  }
  return seen;
}

Duration ModelEngine::TokenTime(const ModelEngineOptions& options,
                                std::size_t streams) {
  return Scale(
      options.token_time,
      1 + options.occupancy_cost *
              (static_cast<double>(std::max<std::size_t>(streams, 1)) - 1));
}

void ModelEngine::Admit(const EngineStream& stream) {
  const std::uint32_t context = stream.prompt_tokens + stream.resume_from;
  const std::uint32_t uncached = context - this->UseCache(stream);
  const std::uint64_t run = this->next_run++;
  this->running[stream.id] = {
      .stream = stream, .tokens = stream.resume_from, .run = run};
  this->SampleLoad();
  this->StepLater(stream.id, run, this->options.prompt_token_time * uncached);
}

void ModelEngine::StepLater(const std::string& id,
                            std::uint64_t run,
                            Duration prefill) {
  const Duration step = TokenTime(this->options, this->running.size());
  this->events.After(Scale(prefill + step, this->SlowFactor()),
                     [this, id, run] { this->Step(id, run); });
}

void ModelEngine::Step(const std::string& id, std::uint64_t run) {
  const auto found = this->running.find(id);
  if (found == this->running.end() || found->second.run != run) {
    return;
  }
  Running& stream = found->second;
  ++stream.tokens;
  const std::uint32_t tokens = stream.tokens;
  const bool is_complete = tokens >= stream.stream.answer_tokens;
  this->handlers.on_token(id, tokens);
  if (is_complete) {
    this->End(id, true);
  } else {
    this->StepLater(id, run, Duration{0});
  }
}

void ModelEngine::End(const std::string& id, bool is_complete) {
  const auto found = this->running.find(id);
  const Running ended = found->second;
  this->running.erase(found);
  this->Cache(ended.stream.prefix, ended.stream.prefix_tokens);
  if (!is_complete) {
    this->Cache(id, ended.stream.prompt_tokens + ended.tokens);
  }
  if (!this->waiting.empty()) {
    const EngineStream next = this->waiting.front();
    this->waiting.pop_front();
    this->Admit(next);
  }
  this->SampleLoad();
  this->handlers.on_end(id, is_complete);
}

std::uint32_t ModelEngine::UseCache(const EngineStream& stream) {
  std::uint32_t cached = 0;
  for (const auto& key : {stream.prefix, stream.id}) {
    if (const auto found = this->cache.find(key); found != this->cache.end()) {
      cached = std::max(cached, found->second->second);
      this->cache_order.splice(this->cache_order.end(), this->cache_order,
                               found->second);
    }
  }
  return std::min(cached, stream.prompt_tokens + stream.resume_from);
}

void ModelEngine::Cache(const std::string& key, std::uint32_t tokens) {
  if (const auto found = this->cache.find(key); found != this->cache.end()) {
    this->cached_tokens -= found->second->second;
    this->cache_order.erase(found->second);
    this->cache.erase(found);
  }
  this->cache_order.emplace_back(key, tokens);
  this->cache[key] = std::prev(this->cache_order.end());
  this->cached_tokens += tokens;
  while (this->cached_tokens > this->options.cache_tokens) {
    this->cached_tokens -= this->cache_order.front().second;
    this->cache.erase(this->cache_order.front().first);
    this->cache_order.pop_front();
  }
}

double ModelEngine::SlowFactor() const {
  return this->events.now() < this->slow_end ? this->slow_factor : 1;
}

void ModelEngine::SampleLoad() {
  const TimePoint now = this->events.now();
  // One sample for each report interval is what the engine publishes.
  if (!this->samples.empty() &&
      now < this->samples.back().first + this->options.report_interval) {
    return;
  }
  this->samples.emplace_back(now, this->load());
  while (this->samples.size() > 1 &&
         this->samples[1].first <= now - this->options.report_lag) {
    this->samples.pop_front();
  }
}

}  // namespace crocus
