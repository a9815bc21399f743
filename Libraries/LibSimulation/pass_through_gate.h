#ifndef LIBSIMULATION_PASS_THROUGH_GATE_H_
#define LIBSIMULATION_PASS_THROUGH_GATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "LibPolicy/gate.h"

namespace crocus {

/// Baseline with the interface of Gate: passes all work to the engine as it
/// arrives, as if there were no gate.
class PassThroughGate {
 public:
  explicit PassThroughGate(GateOptions options) : options(options) {}

  GateActions Submit(const GateWork& work, TimePoint) {
    this->held[work.attempt] = work.kind;
    return {.start = {work.attempt}};
  }
  GateActions Finish(const std::string& attempt, TimePoint) {
    this->held.erase(attempt);
    return {};
  }
  GateActions Remove(const std::string& attempt, TimePoint) {
    this->held.erase(attempt);
    return {};
  }
  GateActions Tick(TimePoint) { return {}; }
  GateActions ReportTokens(const std::string&, std::uint32_t, TimePoint) {
    return {};
  }
  void ReportAnswer(const std::string&, std::uint32_t) {}

  std::uint32_t BatchRoom() const {
    const std::size_t capacity =
        this->options.slots + this->options.batch_backlog;
    return static_cast<std::uint32_t>(
        this->held.size() >= capacity ? 0 : capacity - this->held.size());
  }

 private:
  const GateOptions options;
  std::map<std::string, messages::WorkKind> held;
};

}  // namespace crocus

#endif  // LIBSIMULATION_PASS_THROUGH_GATE_H_
