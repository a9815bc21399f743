#include "LibServing/repeated_update.h"

#include <algorithm>

namespace crocus {

double RepeatedUpdate::TakeShare(std::uint64_t version,
                                 bool is_needed,
                                 std::size_t receivers,
                                 TimePoint now) {
  if (version != this->last_version) {
    this->last_version = version;
    this->sends_left = this->options.sends_per_change;
  }
  const Duration since = now - this->last_sent;
  if (this->sends_left > 0) {
    if (since < this->options.minimum_interval) {
      return 0;
    }
    --this->sends_left;
    this->last_sent = now;
    return 1;
  }
  if (!is_needed || since < this->options.refresh_interval) {
    return 0;
  }
  this->last_sent = now;
  return std::min(1.0,
                  this->options.refreshes_per_receiver /
                      static_cast<double>(std::max<std::size_t>(receivers, 1)));
}

}  // namespace crocus
