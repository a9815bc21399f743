#ifndef FUZZ_SIMULATED_CLUSTER_H_
#define FUZZ_SIMULATED_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/random.h"
#include "daemon_node.h"
#include "entry_node.h"
#include "event_loop.h"
#include "invariant_checker.h"
#include "rules_operator.h"
#include "virtual_log.h"

namespace crocus {

struct SimulatedClusterOptions {
  std::uint64_t seed = 1;
  std::uint32_t entries = 3;
  std::uint32_t daemons = 3;
  std::uint32_t partitions = 2;
};

/// The randomised system: entries, daemons, the log, callers and operators,
/// with faults that come at any moment. It alternates between a time with
/// faults and a quiet time, at whose end everything accepted must be finished.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(SimulatedClusterOptions options);

  /// Runs `steps` events, or up to the first broken invariant.
  void Run(std::uint64_t steps);

  InvariantChecker& checker() { return this->invariants; }
  std::map<std::string, std::uint64_t> Counts();

 private:
  struct Link {
    ConnectionId id = 0;
    bool is_open = false;
    bool is_cut = false;
    TimePoint last_entry_arrival{};
    TimePoint last_daemon_arrival{};
  };
  using LinkKey = std::pair<std::size_t, std::size_t>;

  // Network.
  Duration RandomDelay();
  bool SendToDaemon(std::size_t entry,
                    const std::string& daemon,
                    const EntryMessage& message);
  void SendToEntry(std::size_t daemon, const OutgoingMessage& message);
  void ConnectAll();
  void CloseLink(LinkKey pair);
  void SendHeartbeats();

  // Load.
  void GenerateLoad();
  void SubmitJob();
  void CancelJob();

  // Faults.
  void InjectFault();
  void CrashEntry(std::size_t index);
  void CrashDaemon(std::size_t index);
  void Pause(NodeState& node);
  void CutLinks();
  void InjectLogFaults();
  void DrainTemporarily(std::size_t index);
  void StopLoadAndFaults();

  void RunFor(Duration duration);
  bool HaveJobsEnded();

  const SimulatedClusterOptions options;
  Random random;
  EventLoop loop;
  InvariantChecker invariants;
  VirtualLog log;
  std::vector<std::unique_ptr<EntryNode>> entries;
  std::vector<std::unique_ptr<DaemonNode>> daemons;
  std::vector<std::unique_ptr<RulesOperator>> operators;
  std::map<LinkKey, Link> links;
  std::set<std::pair<std::string, std::string>> cut_heartbeats;
  ConnectionId next_connection = 1;
  bool has_load = true;
  bool has_faults = true;
  std::uint64_t next_job = 1;
  std::uint64_t next_request = 1;
  std::map<std::string, std::vector<InvariantChecker::Item>> jobs;
  std::uint64_t step_limit = 0;
  std::map<std::string, std::uint64_t> fault_counts;
};

}  // namespace crocus

#endif  // FUZZ_SIMULATED_CLUSTER_H_
