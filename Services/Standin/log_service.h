#ifndef STANDIN_LOG_SERVICE_H_
#define STANDIN_LOG_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "LibHttp/http_server.h"
#include "LibLedger/log_client.h"

namespace crocus {

struct LogServiceOptions {
  /// Rate limit over all streams; appends above it are answered with 429.
  double appends_per_second = 400;
  /// Records older than this are removed.
  std::chrono::milliseconds retention{24 * 3600 * 1000};
};

/// Stand-in of the platform's append-only log with fault injection.
class LogService {
 public:
  explicit LogService(LogServiceOptions options) : options(options) {}

  void AddRoutes(HttpServer& server);

 private:
  struct StoredRecord {
    LogRecord record;
    std::chrono::steady_clock::time_point appended_at;
  };
  struct Stream {
    std::uint64_t next_offset = 1;
    std::deque<StoredRecord> records;
  };
  struct Faults {
    bool is_unavailable = false;
    /// Number of following appends that are stored but answered with an error.
    std::uint32_t lost_replies = 0;
    std::chrono::milliseconds delay{0};
  };

  /// Waits for the injected delay with `lock` released. Returns the error
  /// response during an injected outage.
  std::optional<HttpResponse> ApplyFaults(std::unique_lock<std::mutex>& lock);
  HttpResponse Append(const HttpRequest& request);
  HttpResponse Read(const HttpRequest& request);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse Trim(const HttpRequest& request);
  bool TryConsumeAppendToken();
  void RemoveExpired(Stream& stream);

  const LogServiceOptions options;
  std::mutex mutex;
  std::map<std::string, Stream> streams;
  Faults faults;
  double append_tokens = 0;
  std::chrono::steady_clock::time_point last_refill =
      std::chrono::steady_clock::now();
  std::uint64_t append_count = 0;
};

}  // namespace crocus

#endif  // STANDIN_LOG_SERVICE_H_
