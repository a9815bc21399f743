#ifndef LIBSIMULATION_LATENCY_HISTOGRAM_H_
#define LIBSIMULATION_LATENCY_HISTOGRAM_H_

#include <cstddef>
#include <utility>
#include <vector>

#include <boost/histogram.hpp>

#include "LibCore/time.h"

namespace crocus {

/// Histogram of durations from 10 microseconds to 20 minutes. The width of each
/// bin is 0.2% of its value. Shorter and longer durations are clamped.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(Duration duration);

  /// Returns the upper bound, in seconds, of the bin that contains the quantile
  /// `share` of the durations; 0 if there are none.
  double Quantile(double share) const;

  std::size_t count() const { return this->total; }

  /// Returns pairs of a time in seconds and the share of the durations up to
  /// that time, for `points` equal steps of the share; nothing if there are no
  /// durations.
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
