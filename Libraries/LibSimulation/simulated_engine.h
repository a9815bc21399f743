#ifndef LIBSIMULATION_SIMULATED_ENGINE_H_
#define LIBSIMULATION_SIMULATED_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>

#include "LibCore/time.h"
#include "LibSimulation/event_queue.h"

namespace crocus {

struct SimulatedEngineOptions {
  /// Number of streams that run at once. Further streams wait in order of
  /// arrival.
  std::uint32_t slots = 8;
  /// Time per token while only one stream runs.
  Duration token_time = std::chrono::milliseconds(40);
  /// Increase of the token time for each further stream, as a share of
  /// `token_time`.
  double occupancy_cost = 0.03;
  /// Time for each prompt token that is not in the prefix cache.
  Duration prompt_token_time = std::chrono::microseconds(200);
  /// Capacity of the prefix cache in tokens.
  std::uint32_t cache_tokens = 32768;
  /// Time from the cancellation of a running stream until its slot is free.
  Duration cancel_time = std::chrono::milliseconds(2);
  /// Minimum time between samples of the published load.
  Duration report_interval = std::chrono::seconds(1);
  /// Age at which a sample is published.
  Duration report_lag = std::chrono::milliseconds(1500);

  bool operator==(const SimulatedEngineOptions&) const = default;
};

struct EngineStream {
  std::string id;
  /// Prompts with the same prefix share cache entries.
  std::string prefix;
  std::uint32_t prefix_tokens = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  /// Number of tokens that earlier runs of the stream delivered.
  std::uint32_t resume_from = 0;
};

struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;

  bool operator==(const EngineLoad&) const = default;
};

/// Simulates an inference engine with continuous batching in virtual time. It
/// supports no priorities. Prompt processing does not slow down the token
/// generation of other streams.
class SimulatedEngine {
 public:
  struct Handlers {
    /// `tokens` is the number of tokens since the start of the answer,
    /// including those of earlier runs.
    std::function<void(const std::string& id, std::uint32_t tokens)> on_token;
    std::function<void(const std::string& id, bool is_complete)> on_end;
  };

  SimulatedEngine(const SimulatedEngineOptions& options,
                  EventQueue& events,
                  Handlers handlers);

  void Start(const EngineStream& stream);
  /// Ends a running stream after the cancel time, unless it completes before.
  /// A waiting stream ends at once.
  void Cancel(const std::string& id);
  /// Multiplies all times by `factor` until `end`.
  void SlowDown(double factor, TimePoint end);

  /// Returns the newest load sample that is at least `report_lag` old.
  EngineLoad PublishedLoad();
  EngineLoad load() const {
    return {.running = static_cast<std::uint32_t>(this->running.size()),
            .waiting = static_cast<std::uint32_t>(this->waiting.size())};
  }
  /// Returns the time per token while `streams` streams run on an engine that
  /// is not slowed down.
  static Duration TokenTime(const SimulatedEngineOptions& options,
                            std::size_t streams);

 private:
  struct RunningStream {
    EngineStream stream;
    std::uint32_t tokens = 0;
    /// Identifies this run of the stream; scheduled steps of an earlier run
    /// have no effect.
    std::uint64_t run_number = 0;
  };

  void Admit(const EngineStream& stream);
  void ScheduleStep(const std::string& id,
                    std::uint64_t run_number,
                    Duration prefill);
  void CompleteStep(const std::string& id, std::uint64_t run_number);
  void End(const std::string& id, bool is_complete);
  /// Returns how many tokens of the stream's context are cached, and marks the
  /// cache entries as the most recently used.
  std::uint32_t LookUpCache(const EngineStream& stream);
  void StoreInCache(const std::string& key, std::uint32_t tokens);
  double SlowFactor() const;
  void SampleLoad();

  const SimulatedEngineOptions options;
  EventQueue& events;
  const Handlers handlers;
  std::map<std::string, RunningStream> running;
  std::deque<EngineStream> waiting;
  std::uint64_t next_run_number = 0;

  /// Keys of the cache entries (prefixes and stream ids) with their numbers of
  /// tokens, least recently used first.
  std::list<std::pair<std::string, std::uint32_t>> cache_order;
  std::map<std::string, decltype(cache_order)::iterator> cache;
  std::uint64_t cached_tokens = 0;

  double slow_factor = 1;
  TimePoint slow_until{};
  std::deque<std::pair<TimePoint, EngineLoad>> samples;
};

}  // namespace crocus

#endif  // LIBSIMULATION_SIMULATED_ENGINE_H_
