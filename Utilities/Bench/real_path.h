#ifndef BENCH_REAL_PATH_H_
#define BENCH_REAL_PATH_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "LibCore/result.h"
#include "LibSimulation/latency_histogram.h"

namespace crocus {

/// Options of the experiment `real-path`, which measures running processes
/// instead of a simulation.
struct RealPathOptions {
  /// Base URL of a running entry.
  std::string entry_url;
  /// Base URL of the engine that the entry's daemon uses. Direct calls to it
  /// are the baseline.
  std::string engine_url;
  std::string model = "proof";
  /// Process id of the entry on this host. Its memory is not measured if this
  /// is 0.
  int entry_pid = 0;
  /// Number of measured requests to the idle entry, and to the engine.
  std::uint32_t idle_requests = 300;
  /// Number of concurrent requests during the measurement of the memory.
  std::uint32_t open_requests = 100;
  /// The highest rate is one at which the p99 to first token is at most this.
  std::chrono::milliseconds p99_limit{50};
  /// Duration of each measurement of a request rate.
  std::chrono::milliseconds step_duration{2000};
};

/// Measurement of the request rate with a fixed number of callers, each of
/// which sends its next request when the previous one has ended.
struct RateStep {
  std::uint32_t callers = 0;
  double requests_per_second = 0;
  double first_token_p99_ms = 0;
  std::uint64_t failures = 0;
};

struct RealPathResult {
  /// Times to first token of direct calls to the idle engine, and of requests
  /// to the idle entry.
  LatencyHistogram direct;
  LatencyHistogram through_entry;
  std::uint64_t failures = 0;
  std::vector<RateStep> steps;
  /// Highest request rate of a step without failures whose p99 is within the
  /// limit.
  double highest_rate = 0;
  /// Growth of the entry's resident memory for each open request; 0 if it was
  /// not measured.
  double bytes_per_open_request = 0;

  /// Difference between the p50 to first token through the entry and that of
  /// direct calls: the latency that entry and daemon add.
  double added_p50_ms() const;
};

/// Measures the latency of an idle fleet, then the memory of one entry with
/// open requests, then its highest request rate. The processes must be running.
/// Fails if the entry or the engine does not respond to the requests to the
/// idle fleet, or if the entry's process does not exist.
Result<RealPathResult> MeasureRealPath(const RealPathOptions& options);

nlohmann::json RealPathToJson(const RealPathResult& result);

}  // namespace crocus

#endif  // BENCH_REAL_PATH_H_
