#ifndef STANDIN_WEIGHT_STORE_SERVICE_H_
#define STANDIN_WEIGHT_STORE_SERVICE_H_

#include <chrono>
#include <mutex>

#include "LibHttp/http_server.h"

namespace crocus {

/// Stand-in of the rate-limited weight store: at most one download starts per
/// interval; other requests are answered with 429.
class WeightStoreService {
 public:
  explicit WeightStoreService(std::chrono::milliseconds interval)
      : interval(interval) {}

  void AddRoutes(HttpServer& server);

 private:
  const std::chrono::milliseconds interval;
  std::mutex mutex;
  std::chrono::steady_clock::time_point next_download_at{};
};

}  // namespace crocus

#endif  // STANDIN_WEIGHT_STORE_SERVICE_H_
