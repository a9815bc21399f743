#ifndef LIBASYNCHTTP_CLIENT_USAGE_H_
#define LIBASYNCHTTP_CLIENT_USAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "LibAsyncHttp/client_limits.h"
#include "LibAsyncHttp/http_listener.h"
#include "LibAsyncHttp/memory_budget.h"

namespace crocus {

/// What the callers of a listener use of their limits. The counters are since
/// the start.
struct ClientUsage {
  std::size_t connections = 0;
  std::size_t connection_limit = 0;
  std::uint64_t closed_for_room = 0;
  std::uint64_t accept_pauses = 0;
  std::uint64_t memory_bytes = 0;
  std::uint64_t memory_limit = 0;
  std::uint64_t memory_refused = 0;
  std::uint64_t memory_evicted = 0;

  bool operator==(const ClientUsage&) const = default;
};

/// Reads the figures of a listener with `connection_limit` connections.
ClientUsage ReadClientUsage(const HttpListener& listener,
                            const MemoryBudget& budget,
                            std::size_t connection_limit);

/// Returns the series of callers in the text format of Prometheus.
std::string ToPrometheus(const ClientUsage& usage);

/// Writes lines 746 and 747 when callers have reached a limit.
class ClientUsageLog {
 public:
  /// Compares the figures with those of the last lines. To be called several
  /// times a second.
  void Update(const ClientUsage& usage, TimePoint now);

 private:
  ClientUsage logged;
  TimePoint logged_at{};
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_CLIENT_USAGE_H_
