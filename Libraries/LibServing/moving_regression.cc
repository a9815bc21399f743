#include "LibServing/moving_regression.h"

#include <algorithm>

namespace crocus {

void MovingRegression::Add(double x, double y) {
  ++this->sample_count;
  const double weight = std::max(1 / static_cast<double>(this->sample_count),
                                 this->options.smoothing);
  const double dx = x - this->mean_of_x;
  const double dy = y - this->mean_of_y;
  this->mean_of_x += weight * dx;
  this->mean_of_y += weight * dy;
  this->variance = (1 - weight) * (this->variance + weight * dx * dx);
  this->covariance = (1 - weight) * (this->covariance + weight * dx * dy);
}

double MovingRegression::slope() const {
  return (this->covariance +
          this->options.prior_variance * this->options.prior_slope) /
         (this->variance + this->options.prior_variance);
}

double MovingRegression::Predict(double x) const {
  if (this->sample_count == 0) {
    return this->options.prior_slope * x;
  }
  return this->mean_of_y + this->slope() * (x - this->mean_of_x);
}

}  // namespace crocus
