#ifndef LIBCORE_TIME_H_
#define LIBCORE_TIME_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>

namespace crocus {

/// Monotonic time. Code that makes decisions receives the current time as an
/// argument, so that simulations can run it in virtual time.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock.
inline TimePoint MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Reads the boot-time clock, which also advances while the host is suspended.
/// The gateway's deadlines use it because the monotonic clock stops during a
/// suspension.
inline TimePoint BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/// Milliseconds since the Unix epoch, from the wall clock.
inline std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Converts a duration to seconds.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Numbers from outside may be larger than any duration; they count as this
/// one.
inline constexpr Duration kMaximumDuration = std::chrono::hours(24 * 365 * 30);

/// Converts seconds to a duration, rounded towards zero and limited to
/// kMaximumDuration. What is no number counts as zero.
constexpr Duration FromSeconds(double seconds) {
  if (seconds != seconds) {
    return {};
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(
          seconds, -ToSeconds(kMaximumDuration), ToSeconds(kMaximumDuration))));
}

/// Converts milliseconds to a duration, limited to kMaximumDuration.
constexpr Duration FromMilliseconds(std::uint64_t milliseconds) {
  constexpr std::uint64_t kMaximum =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaximumDuration)
          .count();
  return std::chrono::milliseconds(std::min(milliseconds, kMaximum));
}

}  // namespace crocus

#endif  // LIBCORE_TIME_H_
