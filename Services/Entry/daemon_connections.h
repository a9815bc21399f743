#ifndef ENTRY_DAEMON_CONNECTIONS_H_
#define ENTRY_DAEMON_CONNECTIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibMessages/messages.h"
#include "LibNetwork/frame_client.h"

namespace crocus {

/// State of a replica, as known to this entry.
struct ReplicaView {
  /// IP:port of the replica's daemon.
  std::string daemon;
  std::string daemon_name;
  std::string availability_zone;
  std::string region;
  messages::ReplicaLoad load;
  /// Attempts that this entry has sent and that have not ended.
  std::uint32_t outstanding = 0;
  /// `outstanding` when the last load report arrived, and the time of that.
  std::uint32_t outstanding_at_report = 0;
  TimePoint reported{};

  bool operator==(const ReplicaView&) const = default;
};

/// State of a daemon of the settings, as known to this entry.
struct DaemonView {
  /// IP:port.
  std::string address;
  bool is_connected = false;
  /// Empty until the daemon has reported it.
  std::string name;
  std::string availability_zone;
  std::string region;
  std::uint64_t rules_version = 0;

  bool operator==(const DaemonView&) const = default;
};

struct AttemptCallbacks {
  std::function<void(const messages::TokenChunk&)> on_chunk;
  /// Also called with kMayHaveRun when the connection is lost.
  std::function<void(const messages::AttemptDone&)> on_done;
};

struct DaemonHandlers {
  /// A daemon has reported its load, so batch items may be dispatched.
  std::function<void()> on_load;
  /// A daemon offers results that it holds. `daemon` is its IP:port.
  std::function<void(const std::string& daemon,
                     const messages::OfferResults& offer)>
      on_offer;
  /// The connection to a daemon closed; the outcomes of its unfinished attempts
  /// are unknown.
  std::function<void(const std::string& daemon)> on_disconnected;
  /// A daemon has sent its rules in response to a query.
  std::function<void(const std::string& daemon,
                     const messages::RulesPush& rules)>
      on_rules;
  /// Called with every frame of a daemon before DaemonConnections handles it.
  std::function<void(const std::string& daemon, const Frame& frame)> on_frame;
};

/// Connections to all daemons of the settings, and the state of their replicas.
/// Thread-safe; callbacks run on the IoThread without the lock.
class DaemonConnections {
 public:
  DaemonConnections(boost::asio::io_context& context,
                    messages::Hello hello,
                    const std::vector<std::string>& daemons,
                    DaemonHandlers handlers);

  void Start();
  void Stop();

  /// Replicas of connected daemons that serve `model` and are not leaving.
  std::vector<ReplicaView> ReplicasFor(const std::string& model) const;
  std::vector<ReplicaView> AllReplicas() const;
  std::vector<DaemonView> Daemons() const;

  /// Sends an attempt. On failure it was not sent and no callback follows.
  Result<void> Execute(const std::string& daemon,
                       const messages::Execute& execute,
                       AttemptCallbacks callbacks);

  /// Revokes an attempt. `on_reply` receives kMayHaveRun if the connection is
  /// lost; without a connection it is called before Revoke returns.
  void Revoke(const std::string& daemon,
              const std::string& attempt,
              std::function<void(Verdict)> on_reply);

  /// Sends a message to one daemon; it is dropped if the daemon is not
  /// connected.
  template <typename Message>
  void Send(const std::string& daemon,
            const Message& message,
            std::uint64_t correlation = 0) {
    if (const auto found = this->clients.find(daemon);
        found != this->clients.end()) {
      found->second->Send(MakeFrame(message, correlation));
    }
  }

  /// Sends the rules to all daemons, and to those that connect later.
  void PushRules(const messages::RulesPush& rules);

 private:
  struct PendingAttempt {
    std::string daemon;
    std::string replica;
    AttemptCallbacks callbacks;
  };
  struct PendingRevoke {
    std::string daemon;
    std::function<void(Verdict)> on_reply;
  };
  struct DaemonState {
    messages::Hello hello;
    std::map<std::string, messages::ReplicaLoad> replicas;
    std::map<std::string, std::uint32_t> outstanding;
    std::map<std::string, std::uint32_t> outstanding_at_report;
    TimePoint reported{};
  };

  void OnOpen(const std::string& daemon,
              const std::shared_ptr<Connection>& connection);
  void OnFrame(const std::string& daemon,
               const std::shared_ptr<Connection>& connection,
               const Frame& frame);
  void OnDisconnected(const std::string& daemon);
  void OnLoadChange(const std::string& daemon,
                    const messages::LoadChange& change);
  void OnLoadReport(const std::string& daemon,
                    const messages::LoadReport& report);
  void OnLeaving(const std::string& daemon,
                 const messages::LeavingNotice& notice);
  void OnRevokeReply(std::uint64_t correlation,
                     const messages::RevokeReply& reply);
  void OnDone(const messages::AttemptDone& done);
  /// Queries the daemon for its rules if their version is higher than that of
  /// this entry.
  void OnRulesVersion(const std::string& daemon, std::uint64_t version);
  ReplicaView MakeView(const std::string& daemon,
                       const DaemonState& state,
                       const messages::ReplicaLoad& load) const;

  const messages::Hello hello;
  const DaemonHandlers handlers;
  std::map<std::string, std::shared_ptr<FrameClient>> clients;

  /// Guards what follows. Taken before FrameClient's lock.
  mutable std::mutex mutex;
  std::map<std::string, DaemonState> daemons;
  std::map<std::string, PendingAttempt> attempts;
  std::map<std::uint64_t, PendingRevoke> revokes;
  std::uint64_t next_correlation = 1;
  messages::RulesPush rules;
};

}  // namespace crocus

#endif  // ENTRY_DAEMON_CONNECTIONS_H_
