#ifndef LIBSERVING_LOAD_SPREAD_H_
#define LIBSERVING_LOAD_SPREAD_H_

#include <cstdint>
#include <vector>

namespace crocus {

/// A replica as a target of new requests.
struct SpreadTarget {
  /// Cost of the way there, as a time in seconds.
  double network_cost = 0;
  /// Slots minus known requests; negative with a queue.
  std::int64_t spare_slots = 0;
  /// Seconds that each queued request adds to the wait.
  double wait_per_request = 0;

  bool operator==(const SpreadTarget&) const = default;
};

/// How many of `requests` new requests each target should get, so that none of
/// them would be served sooner elsewhere. The shares add up to `requests`.
///
/// Hosts know each other's requests with delay. If each host took the best
/// target, all requests of that time would meet there; so each one draws its
/// target with these shares (M. Dahlin, Interpreting Stale Load Information,
/// ICDCS 1999).
std::vector<double> SpreadRequests(const std::vector<SpreadTarget>& targets,
                                   double requests);

}  // namespace crocus

#endif  // LIBSERVING_LOAD_SPREAD_H_
