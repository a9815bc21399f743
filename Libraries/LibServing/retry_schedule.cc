#include "LibServing/retry_schedule.h"

#include <algorithm>
#include <cmath>

namespace crocus {

namespace {

/// A refusal counts as overload for this long.
constexpr Duration kOverloadTime = std::chrono::milliseconds(300);
/// What is answered at the beginning of an overload arrived before it.
constexpr Duration kOverloadDelay = std::chrono::milliseconds(600);
/// Overloaded intervals from which on their answers tell the capacity. Before,
/// the answers within the last second do.
constexpr int kMinimumOverloadedIntervals = 5;
/// Time for which capacity that is not used stays available, as callers are
/// admitted until the queue is about that long.
constexpr double kCarriedSeconds = 0.3;
constexpr Duration kEndpointLifetime = std::chrono::seconds(30);

}  // namespace

std::int64_t RetrySchedule::NumberOf(TimePoint time) {
  return time.time_since_epoch() / kInterval;
}

RetrySchedule::Interval& RetrySchedule::At(Endpoint& endpoint,
                                           std::int64_t number) {
  Interval& interval =
      endpoint.intervals[static_cast<std::size_t>(number) % kIntervals];
  if (interval.number != number) {
    interval = {.number = number};
  }
  return interval;
}

const RetrySchedule::Interval* RetrySchedule::Find(const Endpoint& endpoint,
                                                   std::int64_t number) {
  const Interval& interval =
      endpoint.intervals[static_cast<std::size_t>(number) % kIntervals];
  return interval.number == number ? &interval : nullptr;
}

double RetrySchedule::FirstArrivals(const Endpoint& endpoint,
                                    Duration time,
                                    TimePoint now) {
  const Duration counted =
      std::clamp(now - endpoint.first_arrival, kInterval, time);
  const std::int64_t last = NumberOf(now);
  double arrivals = 0;
  for (std::int64_t number = NumberOf(now - counted) + 1; number <= last;
       ++number) {
    if (const Interval* interval = Find(endpoint, number)) {
      arrivals += interval->arrivals - interval->returning;
    }
  }
  return std::max(0.0, arrivals) / ToSeconds(counted);
}

RetrySchedule::Rates RetrySchedule::RatesOf(const Endpoint& endpoint,
                                            TimePoint now) const {
  const std::int64_t last = NumberOf(now);
  double recent = 0;
  double overloaded = 0;
  int overloaded_intervals = 0;
  for (std::int64_t number = NumberOf(now - this->options.capacity_time);
       number < last; ++number) {
    const Interval* interval = Find(endpoint, number);
    if (interval == nullptr) {
      continue;
    }
    if (number >= NumberOf(now - this->options.present_time)) {
      recent += interval->answered;
    }
    if (interval->is_overloaded) {
      overloaded += interval->answered;
      ++overloaded_intervals;
    }
  }
  recent /= ToSeconds(this->options.present_time);
  return {.capacity =
              overloaded_intervals < kMinimumOverloadedIntervals
                  ? recent
                  : overloaded / (overloaded_intervals * ToSeconds(kInterval)),
          .arrivals = FirstArrivals(endpoint, this->options.arrival_time, now),
          .present = FirstArrivals(endpoint, this->options.present_time, now)};
}

void RetrySchedule::OnArrival(const std::string& endpoint, TimePoint now) {
  const auto [found, is_new] = this->endpoints.try_emplace(endpoint);
  if (is_new) {
    found->second.first_arrival = now;
  }
  found->second.last_arrival = now;
  At(found->second, NumberOf(now)).arrivals += 1;
}

void RetrySchedule::OnAnswered(const std::string& endpoint, TimePoint now) {
  if (const auto found = this->endpoints.find(endpoint);
      found != this->endpoints.end()) {
    found->second.last_answer = now;
    At(found->second, NumberOf(now)).answered += 1;
  }
}

RetryTime RetrySchedule::Preview(const RefusedCall& call, TimePoint now) const {
  RetryTime result{.retry_after = call.queue_wait};
  const auto found = this->endpoints.find(call.endpoint);
  if (found == this->endpoints.end()) {
    return result;
  }
  const Endpoint& endpoint = found->second;
  const Duration latest = std::min(this->options.horizon, call.time_left);
  const bool has_answers = now - endpoint.last_answer < this->options.silence;
  const Rates rates = this->RatesOf(endpoint, now);
  result.capacity = has_answers ? rates.capacity : 0;
  result.arrivals = rates.arrivals;
  result.present_arrivals = rates.present;
  const double seconds = ToSeconds(kInterval);
  double free = 0;
  for (Duration wait = call.queue_wait;
       has_answers && !result.is_promised && wait <= latest;
       wait += kInterval) {
    const double expected =
        rates.arrivals +
        (rates.present - rates.arrivals) *
            std::exp(-ToSeconds(wait) / ToSeconds(this->options.present_time));
    const double unused = std::max(0.0, rates.capacity - expected);
    const Interval* interval = Find(endpoint, NumberOf(now + wait));
    free = std::min(free + unused * seconds -
                        (interval == nullptr ? 0 : interval->returning),
                    1 + unused * kCarriedSeconds);
    if (free >= 1) {
      result.is_promised = true;
      result.retry_after = wait;
    }
  }
  const std::int64_t end = NumberOf(now + this->options.horizon);
  for (std::int64_t number = NumberOf(now); number <= end; ++number) {
    if (const Interval* interval = Find(endpoint, number)) {
      result.returning += interval->returning;
    }
  }
  // This caller.
  result.returning += result.retry_after <= this->options.horizon ? 1 : 0;
  return result;
}

RetryTime RetrySchedule::Promise(const RefusedCall& call, TimePoint now) {
  const RetryTime result = this->Preview(call, now);
  ++(result.is_promised ? this->promised_count : this->unpromised_count);
  const auto found = this->endpoints.find(call.endpoint);
  if (found == this->endpoints.end()) {
    return result;
  }
  Endpoint& endpoint = found->second;
  if (now - endpoint.last_refusal > kOverloadTime) {
    endpoint.overloaded_since = now;
  }
  endpoint.last_refusal = now;
  for (std::int64_t number = std::max(
           NumberOf(now), NumberOf(endpoint.overloaded_since + kOverloadDelay));
       number < NumberOf(now + kOverloadTime); ++number) {
    At(endpoint, number).is_overloaded = true;
  }
  if (result.retry_after <= this->options.horizon) {
    At(endpoint, NumberOf(now + result.retry_after)).returning += 1;
  }
  return result;
}

void RetrySchedule::Expire(TimePoint now) {
  std::erase_if(this->endpoints, [now](const auto& entry) {
    return now - entry.second.last_arrival > kEndpointLifetime;
  });
}

}  // namespace crocus
