#include "LibServing/load_spread.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crocus {

namespace {

/// Costs that differ by less than this count as equal, in seconds. It is below
/// the network cost of another availability zone.
constexpr double kCostTolerance = 0.003;
/// Halvings of the interval that contains the cost level. They narrow 100 s to
/// 0.1 us.
constexpr int kBisectionSteps = 30;

/// Requests that the target can accept before a further one would cost more
/// than `level` seconds.
double RequestsUpTo(const SpreadTarget& target, double level) {
  const double excess = level - target.network_cost;
  if (excess <= 0) {
    return 0;
  }
  const auto reached_fraction = [](double over) {
    return std::clamp(over / kCostTolerance, 0.0, 1.0);
  };
  const auto spare = static_cast<double>(target.spare_slots);
  const auto preemptible = static_cast<double>(target.preemptible_slots);
  const double into_slots =
      std::max(0.0, spare - preemptible) * reached_fraction(excess) +
      preemptible * reached_fraction(excess - target.preemption_wait);
  // The first request beyond the slots waits for one other request to finish,
  // the second for two, and so on.
  const double waiting =
      excess / target.wait_per_request + std::min(0.0, spare);
  if (waiting < 1) {
    return into_slots;
  }
  const double whole_requests = std::floor(waiting);
  return into_slots + whole_requests - 1 +
         reached_fraction((waiting - whole_requests) * target.wait_per_request);
}

}  // namespace

std::vector<double> SpreadRequests(const std::vector<SpreadTarget>& targets,
                                   double requests) {
  const auto requests_up_to = [&targets](double level) {
    double sum = 0;
    for (const auto& target : targets) {
      sum += RequestsUpTo(target, level);
    }
    return sum;
  };
  // At this level, a single target accepts all requests, so it is an upper
  // bound.
  double high = std::numeric_limits<double>::max();
  for (const auto& target : targets) {
    high = std::min(high, target.network_cost + kCostTolerance +
                              target.wait_per_request *
                                  (requests + 1 +
                                   static_cast<double>(std::max<std::int64_t>(
                                       0, -target.spare_slots))));
  }
  double low = 0;
  for (int step = 0; step < kBisectionSteps; ++step) {
    const double middle = (low + high) / 2;
    (requests_up_to(middle) < requests ? low : high) = middle;
  }
  std::vector<double> shares;
  shares.reserve(targets.size());
  for (const auto& target : targets) {
    shares.push_back(RequestsUpTo(target, high));
  }
  return shares;
}

}  // namespace crocus
