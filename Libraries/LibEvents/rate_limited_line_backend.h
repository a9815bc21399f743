#ifndef LIBEVENTS_RATE_LIMITED_LINE_BACKEND_H_
#define LIBEVENTS_RATE_LIMITED_LINE_BACKEND_H_

#include <cstdint>
#include <string>

#include <boost/log/core/record_view.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>

namespace crocus {

/// Writes log lines to a descriptor without waiting. Lines above the rate, and
/// those that the descriptor has no room for, are dropped and counted.
class RateLimitedLineBackend
    : public boost::log::sinks::basic_formatted_sink_backend<char> {
 public:
  RateLimitedLineBackend(int descriptor, std::uint32_t lines_per_second);

  void consume(const boost::log::record_view& record, const std::string& line);

 private:
  /// False if the rate is used up.
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
