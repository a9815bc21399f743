#ifndef STANDIN_PLAIN_SERVICE_H_
#define STANDIN_PLAIN_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "LibHttp/http_server.h"

namespace crocus {

/// Stand-in of a service that is not a model engine and whose calls must not be
/// repeated. It counts the runs of each request so that a test can detect a
/// repeated one.
class PlainService {
 public:
  explicit PlainService(std::chrono::milliseconds call_time)
      : call_time(call_time) {}

  void AddRoutes(HttpServer& server);

 private:
  const std::chrono::milliseconds call_time;
  std::mutex mutex;
  std::map<std::string, std::uint32_t> run_counts;
};

}  // namespace crocus

#endif  // STANDIN_PLAIN_SERVICE_H_
