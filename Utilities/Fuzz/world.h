#ifndef FUZZ_WORLD_H_
#define FUZZ_WORLD_H_

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
#include "oracle.h"
#include "rules_operator.h"
#include "virtual_log.h"

namespace crocus {

struct WorldOptions {
  std::uint64_t seed = 1;
  std::uint32_t entries = 3;
  std::uint32_t daemons = 3;
  std::uint32_t partitions = 2;
};

/// The randomised system: entries, daemons, the log, callers and operators,
/// with faults that come at any moment. It alternates between a time with
/// faults and a quiet time, at whose end everything accepted must be finished.
class World {
 public:
  explicit World(WorldOptions options);

  /// Runs `steps` events, or up to the first broken invariant.
  void Run(std::uint64_t steps);

  Oracle& oracle() { return this->checks; }
  std::map<std::string, std::uint64_t> Counts();

 private:
  struct Link {
    ConnectionId id = 0;
    bool is_open = false;
    bool is_cut = false;
    TimePoint entry_arrival{};
    TimePoint daemon_arrival{};
  };
  using Pair = std::pair<std::size_t, std::size_t>;

  // Network.
  Duration Delay();
  bool SendToDaemon(std::size_t entry,
                    const std::string& daemon,
                    const EntryMessage& message);
  void SendToEntry(std::size_t daemon, const OutgoingMessage& message);
  void ConnectAll();
  void CloseLink(Pair pair);
  void SendHeartbeats();

  // Load.
  void AddLoad();
  void SubmitJob();
  void CancelJob();

  // Faults.
  void AddFault();
  void CrashEntry(std::size_t index);
  void CrashDaemon(std::size_t index);
  void Pause(NodeState& node);
  void CutLinks();
  void FailLog();
  void ToggleLeaving(std::size_t index);
  void EndFaults();

  void RunFor(Duration duration);
  bool IsSettled();

  const WorldOptions options;
  Random random;
  EventLoop loop;
  Oracle checks;
  VirtualLog log;
  std::vector<std::unique_ptr<EntryNode>> entries;
  std::vector<std::unique_ptr<DaemonNode>> daemons;
  std::vector<std::unique_ptr<RulesOperator>> operators;
  std::map<Pair, Link> links;
  std::set<std::pair<std::string, std::string>> cut_heartbeats;
  ConnectionId next_connection = 1;
  bool has_load = true;
  bool has_faults = true;
  std::uint64_t next_job = 1;
  std::uint64_t next_request = 1;
  std::map<std::string, std::vector<Oracle::Item>> jobs;
  std::uint64_t step_limit = 0;
  std::map<std::string, std::uint64_t> fault_counts;
};

}  // namespace crocus

#endif  // FUZZ_WORLD_H_
