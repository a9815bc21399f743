#ifndef LIBSIMULATION_FLEET_RESULT_H_
#define LIBSIMULATION_FLEET_RESULT_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "LibCore/time.h"
#include "LibSimulation/latency_histogram.h"

namespace crocus {

/// Number of streams at the engines of the whole fleet at one time. A stream
/// that waits in its engine counts too.
struct SlotSample {
  TimePoint time{};
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  bool operator==(const SlotSample&) const = default;
};

/// Measurements of one run of FleetSimulation. They exclude the warm-up, except
/// for first_token_by_arrival, suspensions, jobs_finished, jobs_late and
/// slot_use. The time to first token of an expired request is its timeout.
struct FleetResult {
  LatencyHistogram first_token;
  LatencyHistogram first_token_short;
  LatencyHistogram first_token_long;
  /// Short requests: time from the client's request to the complete answer.
  LatencyHistogram total_time_short;
  LatencyHistogram token_gap;
  /// Requests that arrive during a slow period.
  LatencyHistogram first_token_in_slow_period;
  /// Time of arrival and time to first token of each request, in seconds.
  std::vector<std::pair<double, double>> first_token_by_arrival;

  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t expired = 0;
  std::uint64_t hedges = 0;

  std::uint64_t batch_items = 0;
  std::uint64_t batch_tokens = 0;
  std::uint64_t suspensions = 0;
  std::uint64_t jobs_finished = 0;
  std::uint64_t jobs_late = 0;
  /// Slot seconds that a full engine needs for the delivered batch tokens and
  /// their prompts, if all prefixes are cached.
  double batch_slot_seconds = 0;
  /// Slot seconds of the whole fleet minus those that full engines need for the
  /// online work.
  double idle_slot_seconds = 0;
  /// Duration of the measurement.
  double measured_seconds = 0;

  std::vector<SlotSample> slot_use;

  /// Share of the idle slot seconds that batch work used. Both count slot
  /// seconds of full engines, and an engine delivers the most tokens per second
  /// when it is full, so no policy exceeds 1.
  double BatchShare() const {
    return this->idle_slot_seconds > 0
               ? this->batch_slot_seconds / this->idle_slot_seconds
               : 0;
  }
};

}  // namespace crocus

#endif  // LIBSIMULATION_FLEET_RESULT_H_
