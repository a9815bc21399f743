#include "Bench/real_path.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "LibCore/random.h"
#include "LibCore/time.h"
#include "LibHttp/http_client.h"

namespace crocus {

namespace {

constexpr int kHttpOk = 200;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kAddedLatencyLimitMilliseconds = 1;
constexpr std::uint32_t kMaximumCallers = 64;

/// Token limit of the open requests, which must not end before the memory is
/// measured.
constexpr std::uint32_t kOpenRequestTokens = 100000;
constexpr std::chrono::seconds kCallTimeout{30};
/// Time from the start of the open requests until the memory is measured.
constexpr std::chrono::seconds kOpenRequestWait{2};

HttpCall MakeCall(const RealPathOptions& options,
                  bool is_direct,
                  std::uint32_t tokens) {
  nlohmann::json body = {{"model", options.model},
                         {"prompt", MakeIdentifier("bench")},
                         {"max_tokens", tokens},
                         {"stream", true}};
  if (is_direct) {
    body["request_id"] = MakeIdentifier("direct");
  } else {
    body["workspace"] = "bench";
  }
  return {.method = "POST",
          .url = is_direct ? options.engine_url + "/v1/completions"
                           : options.entry_url + "/v1/requests",
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(),
          .timeout = kCallTimeout};
}

/// Returns the time to the first part of the answer. Fails if there is none.
Result<Duration> MeasureFirstToken(const HttpCall& call) {
  const TimePoint start = MonotonicNow();
  std::optional<Duration> first;
  const auto reply = SendHttpStreaming(call, [&](std::string_view) {
    if (!first) {
      first = MonotonicNow() - start;
    }
    return true;
  });
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  if (reply->status != kHttpOk || !first) {
    return Failure(ErrorCode::kUnavailable, call.url + " returned status " +
                                                std::to_string(reply->status));
  }
  return *first;
}

Result<void> MeasureIdle(const RealPathOptions& options,
                         RealPathResult& result) {
  // The first requests are not measured, since they open connections and fill
  // caches.
  constexpr std::uint32_t kWarmUpRequests = 20;
  for (std::uint32_t request = 0;
       request < options.idle_requests + kWarmUpRequests; ++request) {
    for (const bool is_direct : {true, false}) {
      TRY_ASSIGN(const Duration time,
                 MeasureFirstToken(MakeCall(options, is_direct, 1)));
      if (request >= kWarmUpRequests) {
        (is_direct ? result.direct : result.through_entry).Add(time);
      }
    }
  }
  return {};
}

RateStep MeasureRate(const RealPathOptions& options, std::uint32_t callers) {
  // Protects `times`. No other mutex is locked while it is held.
  std::mutex mutex;
  LatencyHistogram times;
  std::atomic<std::uint64_t> failures = 0;
  const TimePoint start = MonotonicNow();
  {
    std::vector<std::jthread> threads;
    for (std::uint32_t caller = 0; caller < callers; ++caller) {
      threads.emplace_back([&] {
        while (MonotonicNow() < start + options.step_duration) {
          const auto time = MeasureFirstToken(MakeCall(options, false, 1));
          if (!time) {
            ++failures;
            continue;
          }
          std::lock_guard lock(mutex);
          times.Add(*time);
        }
      });
    }
  }
  return {.callers = callers,
          .requests_per_second = static_cast<double>(times.count()) /
                                 ToSeconds(MonotonicNow() - start),
          .first_token_p99_ms = times.Quantile(0.99) * kMillisecondsPerSecond,
          .failures = failures};
}

/// Returns the resident memory of a process in bytes; 0 if it does not exist.
double ResidentBytes(int pid) {
  std::ifstream stream("/proc/" + std::to_string(pid) + "/status");
  const std::string name = "VmRSS:";
  for (std::string line; std::getline(stream, line);) {
    if (line.rfind(name, 0) == 0) {
      constexpr double kBytesPerKilobyte = 1024;
      return std::stod(line.substr(name.size())) * kBytesPerKilobyte;
    }
  }
  return 0;
}

Result<double> MeasureMemory(const RealPathOptions& options) {
  const double before = ResidentBytes(options.entry_pid);
  if (before == 0) {
    return Failure(
        ErrorCode::kNotFound,
        "process " + std::to_string(options.entry_pid) + " does not exist");
  }
  std::atomic<bool> is_stopping = false;
  double after = 0;
  {
    std::vector<std::jthread> threads;
    for (std::uint32_t request = 0; request < options.open_requests;
         ++request) {
      threads.emplace_back([&] {
        // Requests that wait for a slot receive no part of an answer, so the
        // handler does not run for them and they end at the timeout.
        HttpCall call = MakeCall(options, false, kOpenRequestTokens);
        call.timeout = kOpenRequestWait * 2;
        (void)SendHttpStreaming(call,
                                [&](std::string_view) { return !is_stopping; });
      });
    }
    std::this_thread::sleep_for(kOpenRequestWait);
    after = ResidentBytes(options.entry_pid);
    is_stopping = true;
  }
  return std::max(0.0, after - before) / options.open_requests;
}

}  // namespace

double RealPathResult::added_p50_ms() const {
  return (this->through_entry.Quantile(0.5) - this->direct.Quantile(0.5)) *
         kMillisecondsPerSecond;
}

Result<RealPathResult> MeasureRealPath(const RealPathOptions& options) {
  RealPathResult result;
  TRY(MeasureIdle(options, result));
  // Measured before the request rates: open requests would reuse memory that
  // the entry allocated and freed at high rates, and would seem to need none.
  if (options.entry_pid != 0) {
    TRY_ASSIGN(result.bytes_per_open_request, MeasureMemory(options));
  }
  for (std::uint32_t callers = 1; callers <= kMaximumCallers; callers *= 2) {
    const RateStep step = MeasureRate(options, callers);
    result.steps.push_back(step);
    if (step.failures == 0 &&
        step.first_token_p99_ms <=
            static_cast<double>(options.p99_limit.count())) {
      result.highest_rate =
          std::max(result.highest_rate, step.requests_per_second);
    }
  }
  return result;
}

nlohmann::json RealPathToJson(const RealPathResult& result) {
  const auto quantiles = [](const LatencyHistogram& histogram) {
    return nlohmann::json{
        {"p50_ms", histogram.Quantile(0.5) * kMillisecondsPerSecond},
        {"p95_ms", histogram.Quantile(0.95) * kMillisecondsPerSecond},
        {"p99_ms", histogram.Quantile(0.99) * kMillisecondsPerSecond}};
  };
  nlohmann::json json = {
      {"experiment", "real-path"},
      {"direct_first_token", quantiles(result.direct)},
      {"entry_first_token", quantiles(result.through_entry)},
      {"highest_requests_per_second", result.highest_rate},
      {"bytes_per_open_request", result.bytes_per_open_request},
      {"rates", nlohmann::json::array()},
      {"targets",
       {{{"name", "latency added by entry and daemon at p50, milliseconds"},
         {"measured", result.added_p50_ms()},
         {"limit", kAddedLatencyLimitMilliseconds},
         {"is_met", result.added_p50_ms() < kAddedLatencyLimitMilliseconds}}}}};
  for (const auto& step : result.steps) {
    json["rates"].push_back({{"callers", step.callers},
                             {"requests_per_second", step.requests_per_second},
                             {"first_token_p99_ms", step.first_token_p99_ms},
                             {"failures", step.failures}});
  }
  return json;
}

}  // namespace crocus
