#ifndef ENTRY_ENTRY_H_
#define ENTRY_ENTRY_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "Entry/batch_interface.h"
#include "Entry/batch_store.h"
#include "Entry/command_follower.h"
#include "Entry/daemon_connections.h"
#include "Entry/internal_server.h"
#include "Entry/online_requests.h"
#include "Entry/operator_interface.h"
#include "Entry/peer_link.h"
#include "Entry/rules_follower.h"
#include "Entry/rules_peers.h"
#include "LibCore/result.h"
#include "LibHttp/http_server.h"
#include "LibNetwork/io_thread.h"
#include "LibSettings/settings.h"

namespace crocus {

/// Entry process: serves callers and operators over HTTP, and sends their work
/// to the daemons.
class Entry {
 public:
  explicit Entry(EntrySettings settings);
  ~Entry();

  Result<void> Start();

  /// Reports that the entry is not ready, waits until the load balancer has had
  /// time to react, lets running requests finish, writes held results, then
  /// stops.
  void Stop();

  std::uint16_t http_port() const { return this->server.port(); }
  std::uint16_t internal_port() const { return this->internal_server.port(); }

 private:
  void AddRoutes();
  void AddOperatorRoutes();
  void AddInternalHandlers();
  messages::Hello MakeHello() const;
  nlohmann::json DescribeEntry() const;

  const EntrySettings settings;
  const std::uint64_t incarnation;
  std::atomic<bool> is_shutting_down = false;
  IoThread io;
  DaemonConnections daemon_connections;
  CommandFollower command_follower;
  RulesFollower rules;
  RulesPeers rules_peers;
  InternalServer internal_server;
  PeerLink peers;
  BatchStore batches;
  OnlineRequests requests;
  BatchInterface batch_interface;
  OperatorInterface operator_interface;
  HttpServer server;
};

}  // namespace crocus

#endif  // ENTRY_ENTRY_H_
