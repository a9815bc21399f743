#include "LibEvents/rate_limited_line_backend.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include "LibCore/time.h"
#include "LibEvents/event_catalogue.h"

namespace crocus {

RateLimitedLineBackend::RateLimitedLineBackend(int descriptor,
                                               std::uint32_t lines_per_second)
    : descriptor(descriptor),
      lines_per_second(lines_per_second),
      tokens(lines_per_second) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool RateLimitedLineBackend::TryConsumeToken() {
  const double now = ToSeconds(MonotonicNow().time_since_epoch());
  this->tokens = std::min(this->lines_per_second,
                          this->tokens + (now - this->last_refill_seconds) *
                                             this->lines_per_second);
  this->last_refill_seconds = now;
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

bool RateLimitedLineBackend::WriteLine(const std::string& line) {
  // A line of at most PIPE_BUF bytes is written to a pipe completely or not at
  // all.
  return write(this->descriptor, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

void RateLimitedLineBackend::consume(const boost::log::record_view&,
                                     const std::string& line) {
  if (!this->TryConsumeToken()) {
    ++this->dropped_lines;
    return;
  }
  if (this->dropped_lines > 0) {
    const std::string notice =
        "- warning " +
        std::to_string(static_cast<std::uint32_t>(Event::kLogLinesDropped)) +
        " " + std::string(EventName(Event::kLogLinesDropped)) +
        " lines=" + std::to_string(this->dropped_lines) + "\n";
    if (this->WriteLine(notice)) {
      this->dropped_lines = 0;
    }
  }
  if (!this->WriteLine(line + "\n")) {
    ++this->dropped_lines;
  }
}

}  // namespace crocus
