#ifndef LIBPLATFORM_HTTP_LOG_CLIENT_H_
#define LIBPLATFORM_HTTP_LOG_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "LibCore/result.h"
#include "LibLedger/log_client.h"

namespace crocus {

/// Client of the platform's log over HTTP. docs/platform.md describes the
/// protocol. Thread-safe.
class HttpLogClient {
 public:
  explicit HttpLogClient(std::string base_url,
                         std::chrono::seconds timeout = std::chrono::seconds(5))
      : base_url(std::move(base_url)), timeout(timeout) {}

  Result<std::uint64_t> Append(const std::string& stream,
                               const std::string& data);
  Result<LogPage> Read(const std::string& stream,
                       std::uint64_t from,
                       std::uint32_t limit);

 private:
  std::string base_url;
  std::chrono::seconds timeout;
};

static_assert(LogClient<HttpLogClient>);

}  // namespace crocus

#endif  // LIBPLATFORM_HTTP_LOG_CLIENT_H_
