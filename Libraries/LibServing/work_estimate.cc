#include "LibServing/work_estimate.h"

#include <algorithm>
#include <cmath>

namespace crocus {

namespace {

/// Assumed of a route before its first completed request.
constexpr double kPriorEvents = 20;
constexpr double kPriorSecondsPerEvent = 0.02;
constexpr double kPriorSecondsPerToken = 1 / 50'000.0;
/// Weight of the newest request in the averages.
constexpr double kSmoothing = 0.02;
/// Variances up to which the samples count less than the priors: of the events
/// estimated by callers, and of prompt tokens.
constexpr double kEventVariance = 25;
constexpr double kTokenVariance = 1e4;
/// Part of the estimated events that a request which has outrun its estimate is
/// expected to have left.
constexpr double kOutrunShare = 0.25;

void Average(double& mean, double value, std::uint64_t samples) {
  const double weight = std::max(1 / static_cast<double>(samples), kSmoothing);
  mean += weight * (value - mean);
}

}  // namespace

double WorkEstimate::SecondsLeft(std::uint64_t received_events) const {
  if (received_events == 0) {
    return this->seconds();
  }
  const double left =
      std::max(this->events - static_cast<double>(received_events),
               kOutrunShare * this->events);
  return left * this->seconds_per_event;
}

WorkEstimator::Learned::Learned()
    : events_by_estimate({.smoothing = kSmoothing,
                          .prior_slope = 1,
                          .prior_variance = kEventVariance}),
      first_by_prompt({.smoothing = kSmoothing,
                       .prior_slope = kPriorSecondsPerToken,
                       .prior_variance = kTokenVariance}) {}

double WorkEstimator::EventsOf(const RequestSize& size,
                               const Learned* learned) const {
  double events = 0;
  if (size.output_token_estimate && learned != nullptr) {
    events = learned->events_by_estimate.Predict(
        static_cast<double>(*size.output_token_estimate));
  } else if (size.output_token_estimate) {
    events = static_cast<double>(*size.output_token_estimate);
  } else {
    events = learned != nullptr ? learned->mean_events : kPriorEvents;
  }
  if (size.output_token_limit > 0) {
    events = std::min(events, static_cast<double>(size.output_token_limit));
  }
  return std::max(events, 1.0);
}

WorkEstimate WorkEstimator::Estimate(const RequestSize& size) const {
  const auto found = this->routes.find(size.route);
  const Learned* learned =
      found == this->routes.end() ? nullptr : &found->second;
  if (learned != nullptr && learned->mean_events == 0) {
    return {.prompt_seconds = learned->mean_seconds};
  }
  const double events = this->EventsOf(size, learned);
  const auto prompt_tokens = static_cast<double>(size.prompt_tokens);
  return {
      .events = events,
      .seconds_per_event = learned != nullptr ? learned->seconds_per_event
                                              : kPriorSecondsPerEvent,
      .prompt_seconds =
          prompt_tokens * (learned != nullptr
                               ? std::max(0.0, learned->first_by_prompt.slope())
                               : kPriorSecondsPerToken),
      .tokens = prompt_tokens + events};
}

void WorkEstimator::OnCompleted(const CompletedRequest& request) {
  Learned& learned = this->routes[request.size.route];
  ++learned.samples;
  const auto events = static_cast<double>(request.events);
  const double total = ToSeconds(request.total);
  const double first = ToSeconds(request.first_event);
  Average(learned.mean_seconds, total, learned.samples);
  Average(learned.mean_events, events, learned.samples);
  if (request.events > 0 && request.size.output_token_estimate) {
    learned.events_by_estimate.Add(
        static_cast<double>(*request.size.output_token_estimate), events);
  }
  double actual = total;
  if (request.events > 0) {
    if (request.size.prompt_tokens > 0) {
      learned.first_by_prompt.Add(
          static_cast<double>(request.size.prompt_tokens), first);
    }
    if (learned.seconds_per_event == 0) {
      learned.seconds_per_event = kPriorSecondsPerEvent;
    }
    if (request.events > 1) {
      const double per_event = (total - first) / (events - 1);
      Average(learned.seconds_per_event, per_event, learned.samples);
    }
    // The wait for a slot is no cost of the request.
    actual = request.estimate.prompt_seconds + total - first +
             learned.seconds_per_event;
  }
  Average(learned.mean_actual, actual, learned.samples);
  const double error = std::abs(request.estimate.seconds() - actual);
  Average(learned.mean_error, error, learned.samples);
  ++this->overall_samples;
  Average(this->overall_actual, actual, this->overall_samples);
  Average(this->overall_error, error, this->overall_samples);
}

void WorkEstimator::RetainRoutes(const std::set<std::string>& names) {
  std::erase_if(this->routes, [&names](const auto& entry) {
    return !names.contains(entry.first);
  });
}

std::optional<double> WorkEstimator::MeanError(const std::string& route) const {
  const auto found = this->routes.find(route);
  if (found == this->routes.end() || found->second.mean_actual <= 0) {
    return std::nullopt;
  }
  return found->second.mean_error / found->second.mean_actual;
}

double WorkEstimator::OverallError() const {
  return this->overall_actual > 0 ? this->overall_error / this->overall_actual
                                  : 0;
}

double WorkEstimator::MeanSeconds(const std::string& route) const {
  const auto found = this->routes.find(route);
  return found == this->routes.end() ? 0 : found->second.mean_seconds;
}

}  // namespace crocus
