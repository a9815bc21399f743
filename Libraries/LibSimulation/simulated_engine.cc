#include "LibSimulation/simulated_engine.h"

#include <algorithm>
#include <cmath>

#include "LibCore/assertions.h"

namespace crocus {

namespace {

Duration Scale(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace

SimulatedEngine::SimulatedEngine(const SimulatedEngineOptions& options,
                                 EventQueue& events,
                                 Handlers handlers)
    : options(options), events(events), handlers(std::move(handlers)) {}

void SimulatedEngine::Start(const EngineStream& stream) {
  VERIFY(!this->running.contains(stream.id));
  if (this->running.size() >= this->options.slots) {
    this->waiting.push_back(stream);
    return;
  }
  this->Admit(stream);
}

void SimulatedEngine::Cancel(const std::string& id) {
  const auto queued = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [&id](const EngineStream& stream) { return stream.id == id; });
  if (queued != this->waiting.end()) {
    this->waiting.erase(queued);
    this->events.ScheduleAfter(
        Duration{0}, [this, id] { this->handlers.on_end(id, false); });
    return;
  }
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    return;
  }
  this->events.ScheduleAfter(this->options.cancel_time,
                             [this, id, run_number = found->second.run_number] {
                               const auto current = this->running.find(id);
                               if (current != this->running.end() &&
                                   current->second.run_number == run_number) {
                                 this->End(id, false);
                               }
                             });
}

void SimulatedEngine::SlowDown(double factor, TimePoint end) {
  this->slow_factor = factor;
  this->slow_until = end;
}

EngineLoad SimulatedEngine::PublishedLoad() {
  this->SampleLoad();
  const TimePoint published_until =
      this->events.now() - this->options.report_lag;
  EngineLoad published;
  for (const auto& [time, load] : this->samples) {
    if (time > published_until) {
      break;
    }
    published = load;
  }
  return published;
}

Duration SimulatedEngine::TokenTime(const SimulatedEngineOptions& options,
                                    std::size_t streams) {
  return Scale(
      options.token_time,
      1 + options.occupancy_cost *
              (static_cast<double>(std::max<std::size_t>(streams, 1)) - 1));
}

void SimulatedEngine::Admit(const EngineStream& stream) {
  const std::uint32_t context = stream.prompt_tokens + stream.resume_from;
  const std::uint32_t uncached = context - this->LookUpCache(stream);
  const std::uint64_t run_number = this->next_run_number++;
  this->running[stream.id] = {
      .stream = stream, .tokens = stream.resume_from, .run_number = run_number};
  this->SampleLoad();
  this->ScheduleStep(stream.id, run_number,
                     this->options.prompt_token_time * uncached);
}

void SimulatedEngine::ScheduleStep(const std::string& id,
                                   std::uint64_t run_number,
                                   Duration prefill) {
  const Duration step = TokenTime(this->options, this->running.size());
  this->events.ScheduleAfter(
      Scale(prefill + step, this->SlowFactor()),
      [this, id, run_number] { this->CompleteStep(id, run_number); });
}

void SimulatedEngine::CompleteStep(const std::string& id,
                                   std::uint64_t run_number) {
  const auto found = this->running.find(id);
  if (found == this->running.end() || found->second.run_number != run_number) {
    return;
  }
  RunningStream& stream = found->second;
  ++stream.tokens;
  const std::uint32_t tokens = stream.tokens;
  const bool is_complete = tokens >= stream.stream.answer_tokens;
  this->handlers.on_token(id, tokens);
  if (is_complete) {
    this->End(id, true);
  } else {
    this->ScheduleStep(id, run_number, Duration{0});
  }
}

void SimulatedEngine::End(const std::string& id, bool is_complete) {
  const auto found = this->running.find(id);
  const RunningStream ended = found->second;
  this->running.erase(found);
  this->StoreInCache(ended.stream.prefix, ended.stream.prefix_tokens);
  if (!is_complete) {
    this->StoreInCache(id, ended.stream.prompt_tokens + ended.tokens);
  }
  if (!this->waiting.empty()) {
    const EngineStream next = this->waiting.front();
    this->waiting.pop_front();
    this->Admit(next);
  }
  this->SampleLoad();
  this->handlers.on_end(id, is_complete);
}

std::uint32_t SimulatedEngine::LookUpCache(const EngineStream& stream) {
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

void SimulatedEngine::StoreInCache(const std::string& key,
                                   std::uint32_t tokens) {
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

double SimulatedEngine::SlowFactor() const {
  return this->events.now() < this->slow_until ? this->slow_factor : 1;
}

void SimulatedEngine::SampleLoad() {
  const TimePoint now = this->events.now();
  // The engine publishes at most one sample per report interval.
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
