#ifndef FUZZ_RULES_OPERATOR_H_
#define FUZZ_RULES_OPERATOR_H_

#include <cstdint>
#include <optional>
#include <string>

#include "LibLedger/append_queue.h"
#include "LibLedger/rules_ledger.h"
#include "event_loop.h"
#include "invariant_checker.h"
#include "virtual_log.h"

namespace crocus {

/// A simulated operator that publishes rules, one publish at a time.
class RulesOperator {
 public:
  RulesOperator(EventLoop& loop,
                InvariantChecker& checker,
                VirtualLog& log,
                std::string name,
                std::uint64_t seed);

  /// Publishes a change that is based on the version that was read last. Does
  /// nothing while a publish has no outcome.
  void Publish();

 private:
  void Tick();
  void Read();
  /// Carries out the next step of the append queue.
  void RunAppendQueue();

  EventLoop& loop;
  InvariantChecker& checker;
  VirtualLog& log;
  const std::string name;
  NodeState state;
  RulesLedger ledger;
  AppendQueue queue;
  bool is_reading = false;
  bool is_writing = false;
  TimePoint next_read{};
  std::uint64_t publishes = 0;
  /// Base version, text and append id of the publish without an outcome.
  std::optional<std::uint64_t> pending_base;
  std::string text;
  std::string pending_append_id;
};

}  // namespace crocus

#endif  // FUZZ_RULES_OPERATOR_H_
