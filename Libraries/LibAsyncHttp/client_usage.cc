#include "LibAsyncHttp/client_usage.h"

#include "LibEvents/event_log.h"

namespace crocus {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

ClientUsage ReadClientUsage(const HttpListener& listener,
                            const MemoryBudget& budget,
                            std::size_t connection_limit) {
  return {.connections = listener.open_sessions(),
          .connection_limit = connection_limit,
          .closed_for_room = listener.closed_for_room(),
          .accept_pauses = listener.accept_pauses(),
          .memory_bytes = budget.held(),
          .memory_limit = budget.limit(),
          .memory_refused = budget.refused(),
          .memory_evicted = budget.evicted()};
}

std::string ToPrometheus(const ClientUsage& usage) {
  std::string text;
  const auto add = [&text](const char* name, std::uint64_t value) {
    text += "crocus_caller_" + std::string(name) + " " + std::to_string(value) +
            "\n";
  };
  add("connections", usage.connections);
  add("memory_bytes", usage.memory_bytes);
  add("memory_limit_bytes", usage.memory_limit);
  add("memory_refused_total", usage.memory_refused);
  add("memory_evicted_total", usage.memory_evicted);
  add("connections_limit", usage.connection_limit);
  add("connections_closed_for_room_total", usage.closed_for_room);
  add("accept_pauses_total", usage.accept_pauses);
  return text;
}

void ClientUsageLog::Update(const ClientUsage& usage, TimePoint now) {
  if (now - this->logged_at < kLogInterval) {
    return;
  }
  const std::string connections = std::to_string(usage.connections);
  const bool has_refused =
      usage.memory_refused != this->logged.memory_refused ||
      usage.memory_evicted != this->logged.memory_evicted;
  const bool has_closed =
      usage.closed_for_room != this->logged.closed_for_room ||
      usage.accept_pauses != this->logged.accept_pauses;
  if (has_refused) {
    LogEvent(
        Event::kClientMemoryRefused,
        {{"refused",
          std::to_string(usage.memory_refused - this->logged.memory_refused)},
         {"evicted",
          std::to_string(usage.memory_evicted - this->logged.memory_evicted)},
         {"held", std::to_string(usage.memory_bytes)},
         {"limit", std::to_string(usage.memory_limit)},
         {"connections", connections}});
  }
  if (has_closed) {
    LogEvent(
        Event::kClientConnectionsClosed,
        {{"closed",
          std::to_string(usage.closed_for_room - this->logged.closed_for_room)},
         {"pauses",
          std::to_string(usage.accept_pauses - this->logged.accept_pauses)},
         {"connections", connections},
         {"limit", std::to_string(usage.connection_limit)}});
  }
  if (has_refused || has_closed) {
    this->logged = usage;
    this->logged_at = now;
  }
}

}  // namespace crocus
