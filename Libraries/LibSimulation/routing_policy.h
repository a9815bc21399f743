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

/// A replica as observed by one entry.
struct ReplicaView {
  std::size_t index = 0;
  std::string zone;
  std::string region;
  std::uint32_t slots = 0;
  /// Attempts of this entry that have not ended.
  std::uint32_t outstanding = 0;
  /// Load that the engine published, which is
  /// SimulatedEngineOptions::report_lag old or older.
  std::uint32_t reported_running = 0;
  std::uint32_t reported_waiting = 0;
  /// Online requests of all entries, running and waiting, in the daemon's last
  /// report.
  std::uint32_t reported_online = 0;
  /// `outstanding` when that report arrived.
  std::uint32_t outstanding_at_report = 0;
  TimePoint reported{};
};

/// Properties of a request that its entry uses to route it.
struct RoutingRequest {
  std::string workspace;
  std::string prefix;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t token_limit = 0;
  /// Location of the entry.
  std::string zone;
  std::string region;
};

/// Properties of the entry that uses a policy.
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
  /// Returns the position of the chosen replica in `replicas`; nothing if none
  /// is suitable.
  {
    policy.Choose(request, replicas, now)
    } -> std::same_as<std::optional<std::size_t>>;
  /// Returns the time without a first token after which a second attempt may be
  /// sent; nothing if there must be no second attempt.
  { policy.HedgeDelay() } -> std::same_as<std::optional<Duration>>;
  /// Returns whether the second attempt is sent now.
  { policy.TryHedge(now) } -> std::same_as<bool>;
  policy.ObserveSent(replica, now);
  /// An attempt has been waiting this long for its first token.
  policy.ObserveWaiting(replica, wait, now);
  /// The first token arrived this long after the attempt was sent.
  policy.ObserveFirstToken(replica, wait, now);
  /// A further token arrived this long after the previous one.
  policy.ObserveToken(replica, wait, now);
  /// The attempt ended this long after it was sent.
  policy.ObserveEnd(replica, wait, is_complete, now);
};

/// Base class of the baselines: ignores all observations and never hedges.
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

/// Baseline: chooses the replicas of the entry's region in turn, or those of
/// all regions if that region has none.
class RoundRobinRouting : public RoutingWithoutFeedback {
 public:
  explicit RoundRobinRouting(const RoutingContext&) {}

  std::optional<std::size_t> Choose(const RoutingRequest& request,
                                    const std::vector<ReplicaView>& replicas,
                                    TimePoint now);

 private:
  std::size_t next = 0;
};

/// Baseline: chooses the replica with the fewest open attempts of this entry,
/// the first one of those that have equally many. Considers the replicas of the
/// entry's region, or those of all regions if that region has none.
class LeastOutstandingRouting : public RoutingWithoutFeedback {
 public:
  explicit LeastOutstandingRouting(const RoutingContext&) {}

  std::optional<std::size_t> Choose(const RoutingRequest& request,
                                    const std::vector<ReplicaView>& replicas,
                                    TimePoint now);
};

}  // namespace crocus

#endif  // LIBSIMULATION_ROUTING_POLICY_H_
