#ifndef LIBSERVING_WORK_ESTIMATE_H_
#define LIBSERVING_WORK_ESTIMATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "LibCore/time.h"
#include "LibServing/moving_regression.h"

namespace crocus {

/// What is known of a request before it runs.
struct RequestSize {
  std::string route;
  /// Zero if the caller does not state it.
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_token_limit = 0;
  /// The caller's estimate of the output tokens.
  std::optional<std::uint64_t> output_token_estimate;

  bool operator==(const RequestSize&) const = default;
};

/// Expected cost of a request on an ordinary replica of its endpoint.
struct WorkEstimate {
  /// Events of the response; 0 for a response that is not a stream.
  double events = 0;
  double seconds_per_event = 0;
  /// Seconds until the first event, without waiting for a slot.
  double prompt_seconds = 0;
  /// Tokens that the request takes up in the replica's memory at its end.
  double tokens = 0;

  /// Seconds for which the request holds a slot.
  double seconds() const {
    return this->prompt_seconds + this->events * this->seconds_per_event;
  }
  /// The part of that time which is left after so many events. A request that
  /// has outrun its estimate is expected to go on for a while.
  double SecondsLeft(std::uint64_t received_events) const;

  bool operator==(const WorkEstimate&) const = default;
};

/// A request that has its complete response.
struct CompletedRequest {
  RequestSize size;
  WorkEstimate estimate;
  std::uint64_t events = 0;
  /// From the start of the attempt.
  Duration first_event{};
  Duration total{};
};

/// Estimates the cost of requests from those that have completed. It answers
/// loads in which similar requests cost replicas very different amounts of
/// work. Not thread-safe.
class WorkEstimator {
 public:
  WorkEstimate Estimate(const RequestSize& size) const;
  void OnCompleted(const CompletedRequest& request);

  /// Drops what was learned of other routes.
  void RetainRoutes(const std::set<std::string>& routes);

  /// Mean of |estimated - actual| seconds of the route's recent requests, in
  /// proportion to their mean seconds; none before the first.
  std::optional<double> MeanError(const std::string& route) const;
  /// Mean cost of the route's requests in seconds; 0 if none has completed.
  double MeanSeconds(const std::string& route) const;

  /// As MeanError, over the requests of all routes; 0 before the first.
  double OverallError() const;

  std::size_t size() const { return this->routes.size(); }

 private:
  struct Learned {
    Learned();

    /// Events by the caller's estimate, and of all requests.
    MovingRegression events_by_estimate;
    double mean_events = 0;
    double seconds_per_event = 0;
    /// Seconds to the first event by prompt tokens. The intercept contains the
    /// wait for a slot, so only the slope is used.
    MovingRegression first_by_prompt;
    /// Total seconds.
    double mean_seconds = 0;
    /// Without waits for a slot, and the error of its estimate.
    double mean_actual = 0;
    double mean_error = 0;
    std::uint64_t samples = 0;
  };

  double EventsOf(const RequestSize& size, const Learned* learned) const;

  std::map<std::string, Learned> routes;
  /// Averages over all routes.
  double overall_actual = 0;
  double overall_error = 0;
  std::uint64_t overall_samples = 0;
};

}  // namespace crocus

#endif  // LIBSERVING_WORK_ESTIMATE_H_
