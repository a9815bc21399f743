#ifndef STANDIN_ENGINE_SERVICE_H_
#define STANDIN_ENGINE_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "LibHttp/http_server.h"
#include "LibHttp/json_response.h"

namespace crocus {

struct EngineServiceOptions {
  std::uint32_t slots = 8;
  /// Time to generate one token while a single stream runs.
  std::chrono::microseconds token_time{2000};
  /// Increase of the token time for each further running stream, as a fraction.
  double occupancy_cost = 0.03;
  /// Added to the time to the first token for each prompt byte that is not
  /// cached.
  std::chrono::nanoseconds prompt_byte_time{1000};
  /// Capacity of the prefix cache.
  std::uint32_t cached_prefixes = 64;
  /// Age of the load that /v1/load reports.
  std::chrono::milliseconds report_lag{1500};
  /// Delay between the effect of a cancellation and its response.
  std::chrono::milliseconds cancel_time{0};
  /// Whether commands with a stale fencing number are refused.
  bool checks_fencing = true;
};

/// Returns the token that the stand-in generates for `prompt` at `index`.
std::string StandinToken(const std::string& prompt, std::uint32_t index);

/// Stand-in of a model engine with continuous batching. Every request whose
/// prompt contains "[impossible]" fails.
class EngineService {
 public:
  explicit EngineService(EngineServiceOptions options) : options(options) {}

  void AddRoutes(HttpServer& server);

 private:
  struct Stream {
    std::string id;
    std::string prompt;
    /// Index of the next token.
    std::uint32_t next = 0;
    /// Index after the last token.
    std::uint32_t end = 0;
    bool is_cancelled = false;
    /// Set when the stream leaves the waiting queue because it acquires a slot
    /// or is cancelled.
    bool is_dequeued = false;
  };
  struct LoadSample {
    std::chrono::steady_clock::time_point time;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
  };

  HttpResponse Complete(const HttpRequest& request);
  HttpResponse Cancel(const HttpRequest& request);
  /// Returns whether a running or waiting stream has this id.
  bool CancelStream(const std::string& id);
  HttpResponse GetLoad();
  HttpResponse HandleCommand(const HttpRequest& request);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse GetState();
  std::optional<std::string> NextToken(const std::shared_ptr<Stream>& stream);
  void Finish(const std::shared_ptr<Stream>& stream);
  /// Waits for a slot; returns false if the stream is cancelled.
  bool AcquireSlot(const std::shared_ptr<Stream>& stream);
  std::chrono::microseconds TokenTime() const;
  std::chrono::nanoseconds PromptTime(const std::string& prompt);
  void SampleLoad();

  const EngineServiceOptions options;
  std::mutex mutex;
  std::condition_variable state_changed;
  std::deque<std::shared_ptr<Stream>> waiting;
  std::map<std::string, std::shared_ptr<Stream>> running;
  std::map<std::string, std::uint32_t> run_counts;
  std::deque<std::int64_t> cancel_times_us;
  std::deque<std::string> prefix_cache;
  std::deque<LoadSample> samples;
  double slow_factor = 1;
  std::chrono::steady_clock::time_point slow_until{};
  std::uint64_t highest_fencing_number = 0;
  std::uint64_t stale_commands = 0;
  nlohmann::json commands = nlohmann::json::array();
};

}  // namespace crocus

#endif  // STANDIN_ENGINE_SERVICE_H_
