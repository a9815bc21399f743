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
  /// Time for one token of one stream.
  std::chrono::microseconds token_time{2000};
  /// Added to the token time for each further stream, as a share.
  double occupancy_cost = 0.03;
  /// Time before the first token for each prompt byte that is not cached.
  std::chrono::nanoseconds prompt_byte_time{1000};
  std::uint32_t cached_prefixes = 64;
  /// Delay of the load report.
  std::chrono::milliseconds report_lag{1500};
  /// From a cancel's effect to its answer.
  std::chrono::milliseconds cancel_time{0};
  bool checks_fencing = true;
};

/// Returns the stand-in's token at `index` of the answer to `prompt`.
std::string StandinToken(const std::string& prompt, std::uint32_t index);

/// Stand-in of a model engine that batches continuously. A prompt that
/// contains "[impossible]" fails every time.
class EngineService {
 public:
  explicit EngineService(EngineServiceOptions options) : options(options) {}

  void AddRoutes(HttpServer& server);

 private:
  struct Stream {
    std::string id;
    std::string prompt;
    std::uint32_t next = 0;
    std::uint32_t end = 0;
    bool is_cancelled = false;
    bool is_dequeued = false;
  };
  struct LoadSample {
    std::chrono::steady_clock::time_point time;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
  };

  HttpResponse Complete(const HttpRequest& request);
  HttpResponse Cancel(const HttpRequest& request);
  /// Whether the stream was there.
  bool CancelStream(const std::string& id);
  HttpResponse GetLoad();
  HttpResponse HandleCommand(const HttpRequest& request);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse GetState();
  std::optional<std::string> NextToken(const std::shared_ptr<Stream>& stream);
  void Finish(const std::shared_ptr<Stream>& stream);
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
