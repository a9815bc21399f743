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

/// A replica that may receive a request, as observed by this entry.
struct RouteCandidate {
  std::string daemon;
  std::string replica;
  std::string availability_zone;
  std::string region;
  std::uint32_t slots = 0;
  /// Attempts of this entry that have not ended.
  std::uint32_t outstanding = 0;
  /// Online requests of all entries, running and waiting, in the last load
  /// report.
  std::uint32_t reported_online = 0;
  /// `outstanding` when that report arrived.
  std::uint32_t outstanding_at_report = 0;
  /// When that report arrived.
  TimePoint reported{};

  bool operator==(const RouteCandidate&) const = default;
};

struct RouterOptions {
  std::string availability_zone;
  std::string region;
  /// Round-trip times to another availability zone of the region and to another
  /// region, from the latencies that the platform specifies.
  Duration zone_round_trip = std::chrono::milliseconds(2);
  Duration region_round_trip = std::chrono::milliseconds(12);
  /// Assumed for a replica without recent times while no other replica has any.
  Duration initial_first_token = std::chrono::milliseconds(50);
  Duration initial_service = std::chrono::milliseconds(500);
  /// The load of other entries in a report decays to zero within this time.
  Duration report_lifetime = std::chrono::seconds(5);
  Duration observation_lifetime = std::chrono::seconds(10);
  /// A replica that refused without a retry time is avoided for this long.
  Duration refusal_backoff = std::chrono::milliseconds(500);
  /// Prompts shorter than this gain nothing from a cached prefix.
  std::size_t minimum_prefix_bytes = 128;
  /// Prompts with the same first bytes, up to this many, share a prefix.
  std::size_t prefix_bytes = 256;
  /// The replica that has a prefix cached is used up to this multiple of the
  /// mean load.
  double affinity_load_bound = 1.25;
  /// Time constant over which the gain of another region is smoothed. Bursts
  /// last a few seconds; with 2 s, the overflow began only when they were over.
  Duration overflow_smoothing = std::chrono::milliseconds(500);
  /// Time after which a region that refused has its complete share again.
  Duration overflow_recovery = std::chrono::seconds(10);
  std::size_t maximum_cache_hints = 4096;

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

  /// Returns the index of the chosen candidate; nothing if there is none in
  /// this entry's region and the rules allow no other region or its share is
  /// used up.
  std::optional<std::size_t> Choose(
      const std::vector<RouteCandidate>& candidates,
      const RouteRequest& request,
      const RuleSet& rules,
      TimePoint now);

  /// An attempt was sent. The replica is not suspected before its next token is
  /// overdue.
  void OnSent(const std::string& replica, TimePoint now);
  /// An attempt ended, whatever the outcome.
  void OnEnded(const std::string& replica, TimePoint now);
  /// An attempt has been waiting this long for its first token.
  void OnWaiting(const std::string& replica, Duration waited, TimePoint now);
  void OnFirstToken(const std::string& replica, Duration time, TimePoint now);
  void OnToken(const std::string& replica, Duration time, TimePoint now);
  /// Time from dispatch to the end of an attempt.
  void OnFinished(const std::string& replica, Duration time, TimePoint now);
  /// The replica refused an attempt as not run. A `retry_after` of 0 means that
  /// it specified no time.
  void OnRefused(const RouteCandidate& candidate,
                 Duration retry_after,
                 TimePoint now);
  /// The replica probably has this prefix cached. Such hints arrive late and
  /// are incomplete.
  void OnCacheHint(std::uint64_t prefix, const std::string& replica);
  std::uint64_t PrefixOf(std::string_view prompt) const;

  /// Whether the replica appears to be slow now: the tokens of all its streams
  /// are overdue, or its time between tokens is well above the baseline.
  bool IsSuspected(const std::string& replica, TimePoint now) const;

  /// Expected time to the first token, without network time.
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
    /// Attempts that have not ended, and when the next token of any of them is
    /// overdue.
    std::uint32_t open_attempts = 0;
    TimePoint next_token_due{};
  };
  /// State of the overflow to one region.
  struct OverflowState {
    double smoothed_gain = 0;
    TimePoint updated{};
    /// Requests that may be sent there now; grows by the share with each
    /// request.
    double credit = 1;
    /// Probability that a request within the share is sent there; halved by a
    /// refusal, restored over time.
    double send_probability = 1;
  };
  using Indices = std::vector<std::size_t>;

  void Add(const std::string& replica,
           std::optional<Mean> Observation::*mean,
           Duration time,
           TimePoint now);
  void Update(std::optional<Mean>& mean, Duration time, TimePoint now) const;
  void UpdateBaseline(std::optional<Mean>& mean,
                      Duration time,
                      TimePoint now) const;
  double Seconds(const Observation* observation,
                 std::optional<Mean> Observation::*mean,
                 Duration fallback,
                 TimePoint now) const;
  /// Requests at the candidate: those of this entry, and those of other entries
  /// from the last load report, which count less the older the report is.
  double LoadOf(const RouteCandidate& candidate, TimePoint now) const;
  /// Time after which the next token is overdue, counted from an event at
  /// `now`.
  TimePoint DueAfter(std::optional<Mean> Observation::*mean,
                     Duration fallback,
                     TimePoint now) const;
  bool HasFreeSlot(const RouteCandidate& candidate, TimePoint now) const;
  /// Cost of sending the request to the candidate, as a time in seconds.
  double CostOf(const RouteCandidate& candidate,
                const RouteRequest& request,
                TimePoint now) const;
  /// Draws two of the candidates in `indices` and returns the index of the one
  /// with the lower cost.
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
  std::optional<std::size_t> ChooseOverflow(
      const std::vector<RouteCandidate>& candidates,
      std::optional<std::size_t> local,
      const RouteRequest& request,
      const RuleSet& rules,
      TimePoint now);
  bool TryOverflow(OverflowState& overflow,
                   const OverflowRule& rule,
                   std::optional<double> gain,
                   bool gains_free_slot,
                   TimePoint now);

  const RouterOptions options;
  Random random;
  std::map<std::string, Observation> observations;
  /// Means over all replicas, assumed for a replica without recent times. A
  /// fixed value below or above the real times would flood or starve such a
  /// replica.
  Observation overall;
  /// Means over all replicas that adapt slowly, so that a few slowed replicas
  /// hardly change them.
  Observation baseline;
  std::map<std::string, OverflowState> overflow_by_region;
  std::map<std::uint64_t, std::string> cache_hints;
};

}  // namespace crocus

#endif  // LIBPOLICY_ROUTER_H_
