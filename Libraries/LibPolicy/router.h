#ifndef LIBPOLICY_ROUTER_H_
#define LIBPOLICY_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/random.h"
#include "LibCore/time.h"
#include "LibRules/rule_set.h"

namespace crocus {

/// A replica that may take a request, as the entry sees it.
struct RouteCandidate {
  std::string daemon;
  std::string replica;
  std::string availability_zone;
  std::string region;
  std::uint32_t slots = 0;
  /// Attempts of this entry that have not ended.
  std::uint32_t outstanding = 0;
  /// Online requests of all entries, running and waiting, in the last report.
  std::uint32_t reported_online = 0;
  /// `outstanding` when the report came.
  std::uint32_t outstanding_at_report = 0;
  TimePoint reported{};

  bool operator==(const RouteCandidate&) const = default;
};

struct RouterOptions {
  std::string availability_zone;
  std::string region;
  /// Round trips to another availability zone of the region and to another
  /// region, from the latencies that the platform states.
  Duration zone_round_trip = std::chrono::milliseconds(2);
  Duration region_round_trip = std::chrono::milliseconds(12);
  /// Assumed for a replica with no recent times while no other has any.
  Duration initial_first_token = std::chrono::milliseconds(50);
  Duration initial_service = std::chrono::milliseconds(500);
  /// The share of other entries' load that a report still says decays to zero
  /// within this time.
  Duration report_memory = std::chrono::seconds(5);
  Duration observation_memory = std::chrono::seconds(10);
  /// A replica that refused is avoided for this long, if it named no time.
  Duration refusal_memory = std::chrono::milliseconds(500);
  /// Prompts shorter than this gain nothing from a cached prefix.
  std::size_t shortest_prefix_bytes = 128;
  std::size_t prefix_bytes = 256;
  /// A prefix's replica is used up to this multiple of the mean load.
  double affinity_load_bound = 1.25;
  /// Time constant over which the gain of another region is smoothed. Bursts
  /// last a few seconds; with 2 s the spill-over came when they were over.
  Duration spill_smoothing = std::chrono::milliseconds(500);
  /// Time in which a region that refused gets its whole share back.
  Duration spill_recovery = std::chrono::seconds(10);
  std::size_t cache_hints = 4096;

  bool operator==(const RouterOptions&) const = default;
};

struct RouteRequest {
  std::string_view prompt;
  std::uint32_t max_tokens = 0;
};

/// Chooses the replica of an online request. Not thread-safe.
class Router {
 public:
  Router(RouterOptions options, std::uint64_t seed)
      : options(std::move(options)), random(seed) {}

  /// Index of the chosen candidate; nothing if there is none in the region
  /// and the rules allow no other region, or its share is used up.
  std::optional<std::size_t> Choose(
      const std::vector<RouteCandidate>& candidates,
      const RouteRequest& request,
      const RuleSet& rules,
      TimePoint now);

  /// An attempt was sent; until the next event of the replica is due, it is
  /// not suspected.
  void OnSent(const std::string& replica, TimePoint now);
  /// An attempt ended, whatever the outcome.
  void OnEnded(const std::string& replica, TimePoint now);
  /// An attempt has waited this long for its first token and still waits.
  void OnWaiting(const std::string& replica, Duration waited, TimePoint now);
  void OnFirstToken(const std::string& replica, Duration time, TimePoint now);
  void OnToken(const std::string& replica, Duration time, TimePoint now);
  /// Time from dispatch to the end of an attempt.
  void OnFinished(const std::string& replica, Duration time, TimePoint now);
  /// The replica refused as not run. `retry_after` of 0 names no time.
  void OnRefused(const RouteCandidate& candidate,
                 Duration retry_after,
                 TimePoint now);
  /// A late and incomplete hint that the replica has this prefix cached.
  void OnCacheHint(std::uint64_t prefix, const std::string& replica);
  std::uint64_t PrefixOf(std::string_view prompt) const;

  /// Whether the replica seems to be slow now: the tokens of all its streams
  /// are overdue, or its time between tokens exceeds that of the others.
  bool IsSuspected(const std::string& replica, TimePoint now) const;

  /// Expected time to the first token, without the network.
  Duration ExpectedWait(const RouteCandidate& candidate, TimePoint now) const;

 private:
  struct Mean {
    double seconds = 0;
    TimePoint updated{};
  };
  struct Observation {
    std::optional<Mean> first_token;
    std::optional<Mean> token;
    std::optional<Mean> service;
    TimePoint avoided_until{};
    /// Attempts that have not ended, and when the next token of any of them
    /// is overdue.
    std::uint32_t open = 0;
    TimePoint due{};
  };
  /// Spill-over to one region.
  struct Spill {
    double smoothed_gain = 0;
    TimePoint updated{};
    /// Requests that may go there now; grows by the share of each request.
    double credit = 1;
    /// Share of the declared share that is in use; halved by a refusal.
    double openness = 1;
  };
  using Indices = std::vector<std::size_t>;

  void Add(const std::string& replica,
           std::optional<Mean> Observation::*mean,
           Duration time,
           TimePoint now);
  void Update(std::optional<Mean>& mean, Duration time, TimePoint now) const;
  void UpdateUsual(std::optional<Mean>& mean,
                   Duration time,
                   TimePoint now) const;
  double Seconds(const Observation* observation,
                 std::optional<Mean> Observation::*mean,
                 Duration fallback,
                 TimePoint now) const;
  double LoadOf(const RouteCandidate& candidate, TimePoint now) const;
  /// When the next token is overdue after an event at `now`.
  TimePoint DueAfter(std::optional<Mean> Observation::*mean,
                     Duration fallback,
                     TimePoint now) const;
  bool HasFreeSlot(const RouteCandidate& candidate, TimePoint now) const;
  double CostOf(const RouteCandidate& candidate,
                const RouteRequest& request,
                TimePoint now) const;
  std::optional<std::size_t> ChooseOfTwo(
      const std::vector<RouteCandidate>& candidates,
      const Indices& indices,
      const RouteRequest& request,
      TimePoint now);
  std::optional<std::size_t> ChooseLocal(
      const std::vector<RouteCandidate>& candidates,
      const RouteRequest& request,
      TimePoint now);
  std::optional<std::size_t> ChooseByPrefix(
      const std::vector<RouteCandidate>& candidates,
      const Indices& local,
      const RouteRequest& request,
      TimePoint now) const;
  std::optional<std::size_t> ChooseSpill(
      const std::vector<RouteCandidate>& candidates,
      std::optional<std::size_t> local,
      const RouteRequest& request,
      const RuleSet& rules,
      TimePoint now);
  bool TakeSpill(Spill& spill,
                 const OverflowRule& rule,
                 std::optional<double> gain,
                 bool is_free,
                 TimePoint now);

  const RouterOptions options;
  Random random;
  std::map<std::string, Observation> observations;
  /// Over all replicas; assumed for one with no recent times. A fixed value
  /// below or above the real times would flood or starve such a replica.
  Observation typical;
  /// Slow means that a few slowed replicas hardly change.
  Observation usual;
  std::map<std::string, Spill> overflows;
  std::map<std::uint64_t, std::string> hints;
};

}  // namespace crocus

#endif  // LIBPOLICY_ROUTER_H_
