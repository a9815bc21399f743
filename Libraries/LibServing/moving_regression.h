#ifndef LIBSERVING_MOVING_REGRESSION_H_
#define LIBSERVING_MOVING_REGRESSION_H_

#include <cstdint>

namespace crocus {

struct MovingRegressionOptions {
  /// Weight of the newest sample once there are many.
  double smoothing = 0.02;
  /// Slope before the first sample, and how much it counts, as a variance of x:
  /// samples that vary by less hardly change the slope.
  double prior_slope = 0;
  double prior_variance = 1;
};

/// A line through recent samples of (x, y). If x says nothing about y, the
/// slope goes to zero, so that a prediction becomes the mean of y.
class MovingRegression {
 public:
  explicit MovingRegression(MovingRegressionOptions options)
      : options(options) {}

  void Add(double x, double y);

  double slope() const;
  double mean_y() const { return this->mean_of_y; }
  std::uint64_t samples() const { return this->sample_count; }
  /// The expected y for that x.
  double Predict(double x) const;

 private:
  MovingRegressionOptions options;
  std::uint64_t sample_count = 0;
  double mean_of_x = 0;
  double mean_of_y = 0;
  double variance = 0;
  double covariance = 0;
};

}  // namespace crocus

#endif  // LIBSERVING_MOVING_REGRESSION_H_
