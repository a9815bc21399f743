#include "LibSimulation/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace crocus {

namespace {

constexpr double kMinimumSeconds = 1e-5;
constexpr double kMaximumSeconds = 1200;
/// ln(1200 / 1e-5) / 0.002, for bins of 0.2%.
constexpr unsigned kBins = 9300;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram(boost::histogram::make_histogram(
          Axis(kBins, kMinimumSeconds, kMaximumSeconds))) {}

void LatencyHistogram::Add(Duration duration) {
  this->histogram(std::clamp(ToSeconds(duration), kMinimumSeconds,
                             kMaximumSeconds * 0.999));
  ++this->total;
}

double LatencyHistogram::Quantile(double share) const {
  if (this->total == 0) {
    return 0;
  }
  const double target_count = share * static_cast<double>(this->total);
  double cumulative_count = 0;
  for (const auto& bin : boost::histogram::indexed(this->histogram)) {
    cumulative_count += static_cast<double>(*bin);
    if (cumulative_count >= target_count && *bin > 0) {
      return bin.bin().upper();
    }
  }
  return kMaximumSeconds;
}

std::vector<std::pair<double, double>> LatencyHistogram::CumulativeDistribution(
    std::size_t points) const {
  std::vector<std::pair<double, double>> result;
  for (std::size_t point = 1; point <= points && this->total > 0; ++point) {
    const double share =
        static_cast<double>(point) / static_cast<double>(points);
    result.emplace_back(this->Quantile(share), share);
  }
  return result;
}

}  // namespace crocus
