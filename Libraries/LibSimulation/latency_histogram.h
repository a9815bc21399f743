#ifndef LIBSIMULATION_LATENCY_HISTOGRAM_H_
#define LIBSIMULATION_LATENCY_HISTOGRAM_H_

#include <cstddef>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

#include "LibCore/time.h"

namespace crocus {

/// CumulativeDistribution of durations in bins whose width is 0.2% of their
/// value, from 10 microseconds to 20 minutes.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(Duration duration);

  /// Smallest bin bound, in seconds, below which the share of the durations
  /// lies; 0 if there are none.
  double Quantile(double share) const;

  std::size_t count() const { return this->total; }

  /// Seconds and the share of the durations up to there, for at most `points`
  /// equal steps of the share.
  std::vector<std::pair<double, double>> CumulativeDistribution(
      std::size_t points) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> histogram;
  std::size_t total = 0;
};

}  // namespace crocus

#endif  // LIBSIMULATION_LATENCY_HISTOGRAM_H_
