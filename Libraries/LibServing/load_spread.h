#ifndef LIBSERVING_LOAD_SPREAD_H_
#define LIBSERVING_LOAD_SPREAD_H_

#include <cstdint>
#include <vector>

namespace crocus {

/// A replica as a target of new requests.
struct SpreadTarget {
  /// Cost of sending a request to the replica, as a time in seconds.
  double network_cost = 0;
  /// Slots minus recorded requests, without batch runs that can be stopped;
  /// negative if requests are queued.
  std::int64_t spare_slots = 0;
  /// Those of the spare slots that batch runs occupy.
  std::int64_t preemptible_slots = 0;
  /// Seconds until such a slot is free.
  double preemption_wait = 0;
  /// Seconds that each queued request adds to the wait.
  double wait_per_request = 0;

  bool operator==(const SpreadTarget&) const = default;
};

/// How many of `requests` new requests each target should receive, so that none
/// of them would be served sooner by another target. The shares add up to
/// `requests`.
///
/// Hosts receive each other's request counts with a delay. If each host chose
/// the best target, all of them would send their requests to the same one until
/// the next reports. Instead, each host draws its target with these shares as
/// weights (M. Dahlin, Interpreting Stale Load Information, ICDCS 1999).
std::vector<double> SpreadRequests(const std::vector<SpreadTarget>& targets,
                                   double requests);

}  // namespace crocus

#endif  // LIBSERVING_LOAD_SPREAD_H_
