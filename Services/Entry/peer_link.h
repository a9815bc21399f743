#ifndef ENTRY_PEER_LINK_H_
#define ENTRY_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Entry/internal_server.h"
#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibCore/worker_pool.h"
#include "LibLedger/partition_owner.h"
#include "LibNetwork/frame_client.h"
#include "LibNetwork/heartbeat_socket.h"
#include "LibNetwork/io_thread.h"
#include "LibSettings/settings.h"

namespace crocus {

/// Communication between entries: heartbeats over UDP and queries over the
/// internal TCP port. An entry that is not in the settings is discovered by its
/// heartbeats. Thread-safe.
class PeerLink {
 public:
  using QueryHandler =
      std::function<messages::PartitionReply(const messages::PartitionQuery&)>;

  PeerLink(IoThread& io,
           const EntrySettings& settings,
           std::uint64_t incarnation);

  /// Adds a handler for queries to `internal_server` and starts it, opens the
  /// UDP port of the same number and starts sending heartbeats. Each one is
  /// made by `heartbeat`; name, incarnation and port are filled in. `on_query`
  /// is called on worker threads.
  Result<void> Start(InternalServer& internal_server,
                     std::function<messages::Heartbeat()> heartbeat,
                     QueryHandler on_query);
  void Stop();

  /// Owner of a partition according to the owner's heartbeats.
  struct OwnerHint {
    std::string name;
    std::uint64_t epoch = 0;
    TimePoint last_heartbeat;
  };
  /// Returns the owner with the highest epoch; nothing if no entry reports that
  /// it owns the partition.
  std::optional<OwnerHint> OwnerOf(std::uint32_t partition) const;

  /// Entries that have sent heartbeats and have not announced their shutdown.
  std::vector<PeerView> peers() const;

  /// Sends a query to the entry `name` and waits for its reply. Fails with
  /// kNotRun if nothing was sent.
  Result<messages::PartitionReply> Query(const std::string& name,
                                         const messages::PartitionQuery& query,
                                         Duration timeout);
  /// Sends a query without waiting for its reply.
  void Notify(const std::string& name, const messages::PartitionQuery& query);

 private:
  struct Peer {
    PeerView view;
    std::string address;
    /// Partitions that the entry owns, with their epochs.
    std::map<std::uint32_t, std::uint64_t> partitions;
  };
  struct PendingQuery {
    std::string peer_address;
    std::promise<Result<messages::PartitionReply>> promise;
  };

  void OnHeartbeat(const messages::Heartbeat& heartbeat,
                   const std::string& sender_address);
  /// Opens the TCP and the UDP port.
  Result<void> Listen(InternalServer& internal_server);
  void AddQueryHandler(InternalServer& internal_server);
  void OnReply(const Frame& frame);
  void OnClosed(const std::string& address);
  void SendHeartbeats();
  /// Returns null if the entry is unknown, if its last heartbeat is older than
  /// the timeout or after Stop. Requires the lock.
  std::shared_ptr<FrameClient> FindOrCreateClient(const std::string& name);

  IoThread& io;
  const EntrySettings settings;
  const std::uint64_t incarnation;
  std::function<messages::Heartbeat()> make_heartbeat;
  QueryHandler on_query;
  std::uint16_t port = 0;
  std::shared_ptr<HeartbeatSocket> socket;
  boost::asio::steady_timer timer;
  std::unique_ptr<WorkerPool> workers;

  /// Guards what follows. Taken before FrameClient's lock.
  mutable std::mutex mutex;
  std::map<std::string, Peer> known_peers;
  std::map<std::string, std::shared_ptr<FrameClient>> clients;
  std::map<std::uint64_t, PendingQuery> pending_queries;
  std::uint64_t next_correlation = 1;
  bool is_stopped = false;
};

}  // namespace crocus

#endif  // ENTRY_PEER_LINK_H_
