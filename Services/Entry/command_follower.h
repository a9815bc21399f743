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
#include "LibLedger/command_ledger.h"
#include "LibPlatform/http_log_client.h"
#include "LibSettings/settings.h"

namespace crocus {

/// Follows the log stream `orders`: registers daemons that have started, sends
/// them the fencing floors of their replicas, and issues engine commands, whose
/// offset in the stream is their fencing number. Thread-safe.
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

  /// Handles POST /v1/orders {"replica", "action", "argument"}. The status is
  /// 200 if the engine accepted the command, 409 if it was refused, 202 if
  /// neither is known within kReplyTimeout, 404 if no connected daemon serves
  /// the replica, and 503 if the command was not appended to the log or the
  /// outcome of the append is unknown.
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
  Result<void> CatchUp();
  /// Sends floors to the daemons that are registered in the stream and
  /// registers the others.
  void SendFloors();
  void Register(const std::vector<records::Envelope>& registrations);
  /// Appends a command and returns its offset.
  Result<std::uint64_t> Append(const records::EngineCommandIssued& command);
  std::optional<std::string> FindDaemon(const std::string& replica) const;
  std::optional<messages::EngineCommandReply> WaitForReply(
      std::uint64_t fencing);

  const EntrySettings& settings;
  DaemonConnections& daemon_connections;
  HttpLogClient log;
  std::atomic<bool> is_stopping = false;
  std::thread thread;

  /// One reader at a time; taken before `mutex`.
  std::mutex catch_up_mutex;
  /// Guards what follows. Not held during calls of `daemon_connections`.
  mutable std::mutex mutex;
  std::condition_variable wake;
  CommandLedger ledger;
  /// By IP:port.
  std::map<std::string, DaemonState> daemons;
  /// Replies of the commands in progress, by fencing number; empty until the
  /// daemon has replied.
  std::map<std::uint64_t, std::optional<messages::EngineCommandReply>> replies;
};

}  // namespace crocus

#endif  // ENTRY_COMMAND_FOLLOWER_H_
