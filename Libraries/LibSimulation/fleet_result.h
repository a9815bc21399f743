#ifndef LIBSIMULATION_FLEET_RESULT_H_
#define LIBSIMULATION_FLEET_RESULT_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "LibCore/time.h"
#include "LibSimulation/latency_histogram.h"

namespace crocus {

/// Slots in use of the whole fleet.
struct SlotSample {
  TimePoint time{};
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  bool operator==(const SlotSample&) const = default;
};

/// What one run of FleetSimulation observed after its warm-up. A request that
/// expires counts with its patience as the time to first token.
struct FleetResult {
  LatencyHistogram first_token;
  LatencyHistogram first_token_short;
  LatencyHistogram first_token_long;
  /// Short requests, from the client's request to the complete answer.
  LatencyHistogram total_time_short;
  LatencyHistogram token_gap;
  /// Requests that arrive within a slow spell.
  LatencyHistogram first_token_in_slow_period;
  /// Time of arrival and time to first token in seconds, within the warm-up
  /// too.
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
  /// Slot seconds of a full engine that the delivered batch tokens and prompts
  /// are worth, with prefixes always cached.
  double batch_slot_seconds = 0;
  /// Slot seconds of full engines that the online work leaves.
  double idle_slot_seconds = 0;
  /// Duration of the measurement.
  double measured_seconds = 0;

  std::vector<SlotSample> slot_use;

  /// Share of the idle slot seconds that batch work used. Tokens per second
  /// grow with the occupancy, so no policy exceeds 1.
  double BatchShare() const {
    return this->idle_slot_seconds > 0
               ? this->batch_slot_seconds / this->idle_slot_seconds
               : 0;
  }
};

}  // namespace crocus

#endif  // LIBSIMULATION_FLEET_RESULT_H_
