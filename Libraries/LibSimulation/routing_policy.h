#ifndef LIBSIMULATION_ROUTING_POLICY_H_
#define LIBSIMULATION_ROUTING_POLICY_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// A replica as one entry sees it.
struct ReplicaView {
  std::size_t index = 0;
  std::string zone;
  std::string region;
  std::uint32_t slots = 0;
  /// Attempts of this entry that have not ended.
  std::uint32_t outstanding = 0;
  /// The engine's own report, late.
  std::uint32_t reported_running = 0;
  std::uint32_t reported_waiting = 0;
  /// Online requests of all entries in the daemon's last report, and
  /// `outstanding` when it came.
  std::uint32_t reported_online = 0;
  std::uint32_t outstanding_at_report = 0;
  TimePoint reported{};
};

/// What an entry knows of a request that it routes.
struct RoutingRequest {
  std::string workspace;
  std::string prefix;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t token_limit = 0;
  /// Place of the entry.
  std::string zone;
  std::string region;
};

/// The entry that a policy works for.
struct RoutingContext {
  std::string zone;
  std::string region;
  std::vector<std::string> regions;
  Duration zone_round_trip{};
  Duration region_round_trip{};
  std::uint64_t seed = 0;
};

/// Chooses replicas for the requests of one entry.
template <typename T>
concept RoutingPolicy = std::constructible_from<T, const RoutingContext&> &&
    requires(T policy,
             const RoutingRequest& request,
             const std::vector<ReplicaView>& replicas,
             std::size_t replica,
             Duration wait,
             bool is_complete,
             TimePoint now) {
  /// Position in `replicas`; nothing if none is fit.
  {
    policy.Choose(request, replicas, now)
    } -> std::same_as<std::optional<std::size_t>>;
  /// Time without a first token after which a second attempt may be sent;
  /// nothing if there must be none.
  { policy.HedgeDelay() } -> std::same_as<std::optional<Duration>>;
  /// Whether the second attempt is sent now.
  { policy.TryHedge(now) } -> std::same_as<bool>;
  policy.ObserveSent(replica, now);
  /// The attempt has waited this long and still waits for its first token.
  policy.ObserveWaiting(replica, wait, now);
  policy.ObserveFirstToken(replica, wait, now);
  policy.ObserveToken(replica, wait, now);
  policy.ObserveEnd(replica, wait, is_complete, now);
};

/// Part of a baseline that observes nothing and never hedges.
class RoutingWithoutFeedback {
 public:
  std::optional<Duration> HedgeDelay() { return std::nullopt; }
  bool TryHedge(TimePoint) { return false; }
  void ObserveSent(std::size_t, TimePoint) {}
  void ObserveWaiting(std::size_t, Duration, TimePoint) {}
  void ObserveFirstToken(std::size_t, Duration, TimePoint) {}
  void ObserveToken(std::size_t, Duration, TimePoint) {}
  void ObserveEnd(std::size_t, Duration, bool, TimePoint) {}
};

/// Baseline: the replicas of the entry's region in turn.
class RoundRobinRouting : public RoutingWithoutFeedback {
 public:
  explicit RoundRobinRouting(const RoutingContext&) {}

  std::optional<std::size_t> Choose(const RoutingRequest& request,
                                    const std::vector<ReplicaView>& replicas,
                                    TimePoint now);

 private:
  std::size_t next = 0;
};

/// Baseline: the replica of the entry's region with the fewest attempts of
/// this entry; the first of equal ones.
class LeastOutstandingRouting : public RoutingWithoutFeedback {
 public:
  explicit LeastOutstandingRouting(const RoutingContext&) {}

  std::optional<std::size_t> Choose(const RoutingRequest& request,
                                    const std::vector<ReplicaView>& replicas,
                                    TimePoint now);
};

}  // namespace crocus

#endif  // LIBSIMULATION_ROUTING_POLICY_H_
