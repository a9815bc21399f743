#ifndef LIBSERVING_REPEATED_UPDATE_H_
#define LIBSERVING_REPEATED_UPDATE_H_

#include <cstddef>
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
  /// Refreshes that a receiver gets per interval from all senders together.
  double refreshes_per_receiver = 4;
};

/// Decides when and to whom a state is sent that receivers merge: to all of
/// them a few times after each change, and to a share of them at intervals. The
/// share keeps the refreshes that a host receives independent of the number of
/// hosts. Not thread-safe.
class RepeatedUpdate {
 public:
  explicit RepeatedUpdate(RepeatedUpdateOptions options = {})
      : options(options) {}

  /// The share of `receivers` that the state is to be sent to now, from 0 to 1,
  /// and notes that it is sent. `version` counts its changes; `is_needed` tells
  /// whether hosts that do not have it yet need it.
  double TakeShare(std::uint64_t version,
                   bool is_needed,
                   std::size_t receivers,
                   TimePoint now);

 private:
  const RepeatedUpdateOptions options;
  std::uint64_t last_version = 0;
  std::uint32_t sends_left = 0;
  TimePoint last_sent{};
};

}  // namespace crocus

#endif  // LIBSERVING_REPEATED_UPDATE_H_
