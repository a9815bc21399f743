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

/// A simulated system of entries, daemons, the log, callers and operators, with
/// random load and faults. A run alternates between periods with load and
/// faults and periods without; at the end of the latter, all accepted jobs must
/// have ended.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(SimulatedClusterOptions options);

  /// Runs events until there were `steps` of them or an invariant is violated.
  void Run(std::uint64_t steps);

  InvariantChecker& checker() { return this->invariants; }
  std::map<std::string, std::uint64_t> Counts();

 private:
  /// Connection between an entry and a daemon.
  struct Link {
    ConnectionId id = 0;
    bool is_open = false;
    /// Messages are dropped and no connection can be opened.
    bool is_cut = false;
    /// When the last message arrives at each end; messages are not reordered.
    TimePoint last_entry_arrival{};
    TimePoint last_daemon_arrival{};
  };
  /// Indexes of an entry and a daemon.
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
  /// Drains a daemon and ends the drain after a random time.
  void DrainTemporarily(std::size_t index);
  void StopLoadAndFaults();

  void RunFor(Duration duration);
  /// True if every job that is committed in the log is finished or cancelled.
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
  /// Sender and receiver of the heartbeats that are dropped.
  std::set<std::pair<std::string, std::string>> cut_heartbeats;
  ConnectionId next_connection = 1;
  bool has_load = true;
  bool has_faults = true;
  std::uint64_t next_job = 1;
  std::uint64_t next_request = 1;
  /// Items of the submitted jobs; closed jobs are removed at a later
  /// submission.
  std::map<std::string, std::vector<InvariantChecker::Item>> jobs;
  std::uint64_t step_limit = 0;
  /// Number of faults by kind, and of completed periods without faults.
  std::map<std::string, std::uint64_t> fault_counts;
};

}  // namespace crocus

#endif  // FUZZ_SIMULATED_CLUSTER_H_
