#include "LibServing/repeated_update.h"

namespace crocus {

bool RepeatedUpdate::Take(std::uint64_t version,
                          bool is_needed,
                          TimePoint now) {
  if (version != this->last_version) {
    this->last_version = version;
    this->sends_left = this->options.sends_per_change;
  }
  const Duration since = now - this->last_sent;
  const bool is_due =
      this->sends_left > 0
          ? since >= this->options.minimum_interval
          : is_needed && since >= this->options.refresh_interval;
  if (!is_due) {
    return false;
  }
  this->sends_left -= this->sends_left > 0 ? 1 : 0;
  this->last_sent = now;
  return true;
}

}  // namespace crocus
