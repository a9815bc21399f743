#ifndef FUZZ_DAEMON_NODE_H_
#define FUZZ_DAEMON_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random.h"
#include "LibPolicy/daemon_decisions.h"
#include "event_loop.h"
#include "invariant_checker.h"

namespace crocus {

struct DaemonNodeOptions {
  std::string name;
  std::vector<std::string> replicas;
  std::string model;
  std::uint32_t slots = 3;
};

/// A simulated daemon process: the real DaemonDecisions, with simulated
/// engines.
class DaemonNode {
 public:
  using Sender = std::function<void(const OutgoingMessage& message)>;

  DaemonNode(EventLoop& loop,
             InvariantChecker& checker,
             DaemonNodeOptions options,
             std::uint64_t seed,
             Sender sender);

  /// Starts a new incarnation.
  void Start();
  /// Terminates the process and all streams of its engines.
  void Crash();

  void Connect(ConnectionId connection);
  void Disconnect(ConnectionId connection);
  void Execute(ConnectionId connection, const messages::Execute& execute);
  void Revoke(ConnectionId connection,
              std::uint64_t correlation,
              const std::string& attempt);
  void Confirm(const std::vector<std::string>& attempts);
  void AcceptRules(const messages::RulesPush& push);
  void SetLeaving(bool is_leaving);

  NodeState& node_state() { return this->state; }
  const std::string& name() const { return this->options.name; }
  std::size_t held_count() const { return this->decisions->held_count(); }

 private:
  /// Stream of tokens from a simulated engine.
  struct Stream {
    EngineRun run;
    messages::Execute execute;
    std::uint32_t next_token = 0;
    bool is_cancelled = false;
  };

  void PerformActions(const DaemonActions& actions);
  /// Opens the stream of a run at the engine, if the run may still begin.
  void BeginStream(const EngineRun& run);
  /// Schedules the stream's next token or its end.
  void ScheduleNextStep(std::uint64_t number);
  void EndStream(std::uint64_t number, const StreamOutcome& outcome);
  void Tick();

  EventLoop& loop;
  InvariantChecker& checker;
  const DaemonNodeOptions options;
  Random random;
  Sender sender;
  NodeState state;
  std::unique_ptr<DaemonDecisions> decisions;
  /// Open streams by number of the run.
  std::map<std::uint64_t, Stream> streams;
};

}  // namespace crocus

#endif  // FUZZ_DAEMON_NODE_H_
