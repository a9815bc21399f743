#ifndef LIBSERVING_RETRY_SCHEDULE_H_
#define LIBSERVING_RETRY_SCHEDULE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "LibCore/time.h"

namespace crocus {

struct RetryScheduleOptions {
  /// Latest time at which a caller is asked to retry.
  Duration horizon = std::chrono::seconds(5);
  /// An endpoint without answers for this long has no rate.
  Duration silence = std::chrono::seconds(2);
  /// Time over which the mean of arrivals is taken: several periods of demand
  /// that alternates within seconds. A mean over one period takes a burst for
  /// the usual demand.
  Duration arrival_time = std::chrono::seconds(20);
  /// Time over which the present arrivals are counted, and the time constant
  /// with which they are expected to return to the mean. With 2 s, the peak of
  /// an alternating demand is over before it is seen.
  Duration present_time = std::chrono::milliseconds(600);
  /// Time for which the capacity seen during an overload is remembered.
  Duration capacity_time = std::chrono::seconds(30);

  bool operator==(const RetryScheduleOptions&) const = default;
};

/// A request that is refused for lack of capacity.
struct RefusedCall {
  std::string endpoint;
  /// Wait until the queue is back within the target.
  Duration queue_wait{};
  /// What is left of the caller's time budget.
  Duration time_left{};

  bool operator==(const RefusedCall&) const = default;
};

/// The time to retry, with the figures behind it. Rates are in requests per
/// second at this host.
struct RetryTime {
  Duration retry_after{};
  /// False if no capacity is expected within the bounds: `retry_after` is then
  /// the wait until the queue is back within the target.
  bool is_promised = false;
  double capacity = 0;
  /// Mean and present arrivals that are not retries.
  double arrivals = 0;
  double present_arrivals = 0;
  /// Refused requests that are expected to return within the horizon, this one
  /// included.
  double returning = 0;

  bool operator==(const RetryTime&) const = default;
};

/// Tells refused callers when to retry, so that they do not all come back at
/// once while the endpoint still has no capacity. It answers demand that
/// alternates within a few seconds, and short bursts.
///
/// A caller gets the earliest time at which more requests can be answered than
/// are expected to arrive, and which has not been promised to another caller.
/// Where several hosts serve an endpoint, each plans with what it has answered
/// itself. Callers do not mark retries: the refused callers that were expected
/// at a time are taken for the retries that arrived then. Not thread-safe.
class RetrySchedule {
 public:
  explicit RetrySchedule(RetryScheduleOptions options = {})
      : options(options) {}

  /// A request for the endpoint has arrived, whether or not it is a retry.
  void OnArrival(const std::string& endpoint, TimePoint now);
  /// The endpoint has answered a request.
  void OnAnswered(const std::string& endpoint, TimePoint now);
  /// Decides when a refused caller should retry, and promises the capacity.
  RetryTime Promise(const RefusedCall& call, TimePoint now);
  /// What Promise would decide, without a promise.
  RetryTime Preview(const RefusedCall& call, TimePoint now) const;

  /// Drops endpoints without arrivals. To be called regularly.
  void Expire(TimePoint now);

  std::size_t size() const { return this->endpoints.size(); }
  /// Numbers of callers that were promised capacity, and for whom none was
  /// expected in time.
  std::uint64_t promised() const { return this->promised_count; }
  std::uint64_t unpromised() const { return this->unpromised_count; }

 private:
  /// What happened, or is expected to, within `kInterval`.
  struct Interval {
    std::int64_t number = -1;
    float arrivals = 0;
    float answered = 0;
    /// Refused requests that were asked to retry then.
    float returning = 0;
    /// Requests were refused then or shortly before.
    bool is_overloaded = false;
  };
  static constexpr Duration kInterval = std::chrono::milliseconds(100);
  /// Covers the capacity time, the horizon and the present.
  static constexpr std::size_t kIntervals = 384;
  struct Endpoint {
    std::array<Interval, kIntervals> intervals;
    TimePoint first_arrival{};
    TimePoint last_arrival{};
    TimePoint last_answer{};
    /// When the present overload began, and its last refusal.
    TimePoint overloaded_since{};
    TimePoint last_refusal{};
  };
  /// Requests per second.
  struct Rates {
    double capacity = 0;
    double arrivals = 0;
    double present = 0;
  };

  static std::int64_t NumberOf(TimePoint time);
  /// The interval with that number, empty if it is new.
  static Interval& At(Endpoint& endpoint, std::int64_t number);
  static const Interval* Find(const Endpoint& endpoint, std::int64_t number);
  /// Arrivals per second that are not retries, over that time.
  static double FirstArrivals(const Endpoint& endpoint,
                              Duration time,
                              TimePoint now);
  Rates RatesOf(const Endpoint& endpoint, TimePoint now) const;

  const RetryScheduleOptions options;
  std::map<std::string, Endpoint> endpoints;
  std::uint64_t promised_count = 0;
  std::uint64_t unpromised_count = 0;
};

}  // namespace crocus

#endif  // LIBSERVING_RETRY_SCHEDULE_H_
