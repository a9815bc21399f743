#ifndef LIBEVENTS_RATE_LIMITED_LINE_BACKEND_H_
#define LIBEVENTS_RATE_LIMITED_LINE_BACKEND_H_

#include <cstdint>
#include <string>

#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>

namespace crocus {

/// Writes log lines to a file descriptor without blocking. Lines above the rate
/// limit, and lines that the descriptor does not accept at once, are dropped
/// and counted.
class RateLimitedLineBackend
    : public boost::log::sinks::basic_formatted_sink_backend<char> {
 public:
  RateLimitedLineBackend(int descriptor, std::uint32_t lines_per_second);

  void consume(const boost::log::record_view& record, const std::string& line);

 private:
  /// Returns false if the rate limit is reached.
  bool TryConsumeToken();
  bool WriteLine(const std::string& line);

  const int descriptor;
  const double lines_per_second;
  double tokens;
  double last_refill_seconds = 0;
  std::uint64_t dropped_lines = 0;
};

}  // namespace crocus

#endif  // LIBEVENTS_RATE_LIMITED_LINE_BACKEND_H_
