#ifndef ENTRY_COMMAND_FOLLOWER_H_
#define ENTRY_COMMAND_FOLLOWER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Entry/daemon_connections.h"
#include "LibHttp/http_message.h"
#include "LibLedger/order_ledger.h"
#include "LibPlatform/http_log_client.h"
#include "LibSettings/settings.h"

namespace crocus {

/// Follows the stream `orders`: registers daemons that started, gives them
/// their floors, and issues engine orders with their offset as the fencing
/// number. Thread-safe.
class CommandFollower {
 public:
  CommandFollower(const EntrySettings& settings,
                  DaemonConnections& daemon_connections);
  ~CommandFollower();

  void Start();
  void Stop();

  /// Called with every frame of a daemon, on the IoThread.
  void OnFrame(const std::string& daemon, const Frame& frame);
  void OnDisconnected(const std::string& daemon);

  /// Handles POST /v1/orders {"replica", "action", "argument"}. 200 if the
  /// engine took the order, 409 if it was refused, 202 if neither is known
  /// within kReplyTimeout, 503 if it was not issued.
  HttpResponse Issue(const HttpRequest& request);

 private:
  struct DaemonState {
    std::string name;
    std::uint64_t incarnation = 0;
    std::vector<std::string> replicas;
    bool has_floor = false;
  };

  void Run();
  /// Reads to the end of the stream.
  Result<void> Follow();
  /// Sends floors to the daemons that are on record and registers the others.
  void SendFloors();
  void Register(const std::vector<records::Envelope>& registrations);
  /// Appends an order and returns its offset.
  Result<std::uint64_t> Append(const records::EngineOrderIssued& command);
  std::optional<std::string> FindDaemon(const std::string& replica) const;
  std::optional<messages::EngineOrderReply> WaitForReply(std::uint64_t fencing);

  const EntrySettings& settings;
  DaemonConnections& daemon_connections;
  HttpLogClient log;
  std::atomic<bool> is_stopping = false;
  std::thread thread;

  /// One reader at a time; taken before `mutex`.
  std::mutex follow_mutex;
  /// Guards what follows. Not held while the fleet is called.
  mutable std::mutex mutex;
  std::condition_variable wake;
  OrderLedger ledger;
  /// Key: IP:port.
  std::map<std::string, DaemonState> daemons;
  /// Orders whose reply is awaited, by fencing number.
  std::map<std::uint64_t, std::optional<messages::EngineOrderReply>> replies;
};

}  // namespace crocus

#endif  // ENTRY_COMMAND_FOLLOWER_H_
