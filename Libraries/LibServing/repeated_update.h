#ifndef LIBSERVING_REPEATED_UPDATE_H_
#define LIBSERVING_REPEATED_UPDATE_H_

#include <cstdint>

#include "LibCore/time.h"

namespace crocus {

struct RepeatedUpdateOptions {
  /// Minimum interval between two sends.
  Duration minimum_interval = std::chrono::milliseconds(200);
  /// Sends after each change; a datagram may be lost.
  std::uint32_t sends_per_change = 2;
  /// Interval of further sends, for hosts that could not be reached before.
  Duration refresh_interval = std::chrono::seconds(1);
};

/// Decides when a state is sent that receivers merge: a few times after each
/// change, and at intervals while receivers need it. Not thread-safe.
class RepeatedUpdate {
 public:
  explicit RepeatedUpdate(RepeatedUpdateOptions options = {})
      : options(options) {}

  /// True if the state is to be sent now, and notes that it is. `version`
  /// counts its changes; `is_needed` tells whether hosts that do not have it
  /// yet need it.
  bool Take(std::uint64_t version, bool is_needed, TimePoint now);

 private:
  const RepeatedUpdateOptions options;
  std::uint64_t last_version = 0;
  std::uint32_t sends_left = 0;
  TimePoint last_sent{};
};

}  // namespace crocus

#endif  // LIBSERVING_REPEATED_UPDATE_H_
