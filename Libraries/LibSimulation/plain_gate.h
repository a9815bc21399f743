#ifndef LIBSIMULATION_PLAIN_GATE_H_
#define LIBSIMULATION_PLAIN_GATE_H_

#include <cstdint>
#include <string>

#include "LibPolicy/gate.h"

namespace crocus {

/// Baseline: the first version of the gate. Online work suspends batch streams
/// and starts in order of arrival; there is no reserve, no bound on batch
/// occupancy, and long requests are treated like the others.
class PlainGate : private Gate {
 public:
  explicit PlainGate(const GateOptions& options)
      : Gate({.slots = options.slots,
              .batch_backlog = options.batch_backlog,
              .reserve_slots = 0,
              .long_share = 1,
              .token_target = Duration{0}}) {}

  using Gate::BatchRoom;
  using Gate::Finish;
  using Gate::Remove;
  using Gate::Submit;
  using Gate::Tick;
  GateActions ReportTokens(const std::string&, std::uint32_t, TimePoint) {
    return {};
  }
  /// Without observed answers no request is predicted to be long.
  void ReportAnswer(const std::string&, std::uint32_t) {}
};

}  // namespace crocus

#endif  // LIBSIMULATION_PLAIN_GATE_H_
