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

struct RealPathOptions {
  /// Base URLs of running processes.
  std::string entry_url;
  /// The engine that the entry's daemon uses; called directly as a baseline.
  std::string engine_url;
  std::string model = "proof";
  /// Process id of the entry on this host, for its memory; 0 leaves that out.
  int entry_pid = 0;
  std::uint32_t idle_requests = 300;
  std::uint32_t open_requests = 100;
  /// Limit of the p99 to first token for the highest rate.
  std::chrono::milliseconds p99_limit{50};
  std::chrono::milliseconds step_duration{2000};
};

/// Requests that a fixed number of callers completed.
struct RateStep {
  std::uint32_t callers = 0;
  double requests_per_second = 0;
  double first_token_p99_ms = 0;
  std::uint64_t failures = 0;
};

struct RealPathResult {
  LatencyHistogram direct;
  LatencyHistogram through_entry;
  std::uint64_t failures = 0;
  std::vector<RateStep> steps;
  /// Largest rate whose p99 is within the limit and that had no failure.
  double highest_rate = 0;
  /// Growth of the entry's resident memory; 0 if it was not measured.
  double bytes_per_open_request = 0;

  /// Latency that entry and daemon add to the first token at p50.
  double added_p50_ms() const;
};

/// Measures an idle fleet, then the memory of one entry with open requests,
/// then its highest request rate. The processes run already. Fails if entry or
/// engine does not answer.
Result<RealPathResult> MeasureRealPath(const RealPathOptions& options);

nlohmann::json RealPathToJson(const RealPathResult& result);

}  // namespace crocus

#endif  // BENCH_REAL_PATH_H_
