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
  /// Streams that run at once; further ones wait in order of arrival.
  std::uint32_t slots = 8;
  /// Time for one token of a stream that runs alone.
  Duration token_time = std::chrono::milliseconds(40);
  /// Added to the token time for each further stream, as a share.
  double occupancy_cost = 0.03;
  /// Time for each prompt token that is not in the prefix cache.
  Duration prompt_token_time = std::chrono::microseconds(200);
  /// Tokens that the prefix cache holds.
  std::uint32_t cache_tokens = 32768;
  /// Time from a cancel request to the free slot.
  Duration cancel_time = std::chrono::milliseconds(2);
  /// Interval at which the load is published, and its delay.
  Duration report_interval = std::chrono::seconds(1);
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
  /// Tokens that an earlier run of the stream delivered.
  std::uint32_t resume_from = 0;
};

struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;

  bool operator==(const EngineLoad&) const = default;
};

/// Model engine with continuous batching in virtual time. It has no notion of
/// priority. A prompt is computed without slowing the tokens of other streams.
class SimulatedEngine {
 public:
  struct Handlers {
    /// `tokens` counts from the start of the answer.
    std::function<void(const std::string& id, std::uint32_t tokens)> on_token;
    std::function<void(const std::string& id, bool is_complete)> on_end;
  };

  SimulatedEngine(const SimulatedEngineOptions& options,
                  EventQueue& events,
                  Handlers handlers);

  void Start(const EngineStream& stream);
  /// Ends the stream after the cancel time unless it completes before.
  void Cancel(const std::string& id);
  /// Multiplies all times by `factor` until `end`.
  void SlowDown(double factor, TimePoint end);

  /// The load as published, late.
  EngineLoad PublishedLoad();
  EngineLoad load() const {
    return {.running = static_cast<std::uint32_t>(this->running.size()),
            .waiting = static_cast<std::uint32_t>(this->waiting.size())};
  }
  /// Time for one token with `streams` streams on a healthy engine.
  static Duration TokenTime(const SimulatedEngineOptions& options,
                            std::size_t streams);

 private:
  struct RunningStream {
    EngineStream stream;
    std::uint32_t tokens = 0;
    std::uint64_t run_number = 0;
  };

  void Admit(const EngineStream& stream);
  void ScheduleStep(const std::string& id,
                    std::uint64_t run_number,
                    Duration prefill);
  void CompleteStep(const std::string& id, std::uint64_t run_number);
  void End(const std::string& id, bool is_complete);
  /// Tokens of the context that are cached; the entries become the newest.
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

  /// StoreInCache entries, oldest first.
  std::list<std::pair<std::string, std::uint32_t>> cache_order;
  std::map<std::string, decltype(cache_order)::iterator> cache;
  std::uint64_t cached_tokens = 0;

  double slow_factor = 1;
  TimePoint slow_until{};
  std::deque<std::pair<TimePoint, EngineLoad>> samples;
};

}  // namespace crocus

#endif  // LIBSIMULATION_SIMULATED_ENGINE_H_
