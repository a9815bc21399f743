#ifndef STANDIN_HOST_LIST_SERVICE_H_
#define STANDIN_HOST_LIST_SERVICE_H_

#include <chrono>
#include <deque>
#include <mutex>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "LibHttp/http_server.h"

namespace crocus {

/// Stand-in of the platform's list of live and leaving hosts. A change becomes
/// visible after `lag`.
class HostListService {
 public:
  explicit HostListService(std::chrono::milliseconds lag) : lag(lag) {}

  void AddRoutes(HttpServer& server);

 private:
  using Change =
      std::pair<std::chrono::steady_clock::time_point, nlohmann::json>;

  const std::chrono::milliseconds lag;
  std::mutex mutex;
  std::deque<Change> pending_changes;
  nlohmann::json visible_hosts = nlohmann::json::array();
};

}  // namespace crocus

#endif  // STANDIN_HOST_LIST_SERVICE_H_
