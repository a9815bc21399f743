#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "LibCore/result.h"
#include "LibCore/worker_pool.h"
#include "LibNetwork/frame_server.h"
#include "LibNetwork/io_thread.h"
#include "LibPlatform/engine_client.h"
#include "LibPolicy/attempt_table.h"
#include "LibPolicy/gate.h"
#include "LibSettings/settings.h"

namespace crocus {

/// The process beside an endpoint host: the only way to its replicas.
///
/// `mutex` guards all tables. It is never held while a frame is sent to a
/// replica or an entry; sends are collected and done after it is released.
class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();

  Result<void> Start();

  /// Refuses new work, waits for running work up to the drain limit, stops.
  void Stop();

  std::uint16_t port() const { return this->server->port(); }

 private:
  struct Attempt {
    messages::Execute execute;
    std::string replica;
    std::shared_ptr<Connection> connection;
    /// Tokens received so far; a resumed stream continues after them.
    std::string text;
    std::uint32_t token_count = 0;
    bool is_suspended = false;
    bool is_cancelled = false;
  };
  struct Replica {
    std::unique_ptr<EngineClient> client;
    std::unique_ptr<Gate> gate;
  };
  /// Work to do after the lock is released.
  struct Todo {
    std::vector<std::pair<std::shared_ptr<Connection>, Frame>> frames;
    std::vector<std::pair<std::string, std::string>> cancels;
    std::vector<std::string> starts;
  };

  void OnOpen(const std::shared_ptr<Connection>& connection);
  void OnFrame(const std::shared_ptr<Connection>& connection,
               const Frame& frame);
  void OnClosed(const std::shared_ptr<Connection>& connection);
  void OnExecute(const std::shared_ptr<Connection>& connection,
                 const messages::Execute& execute);
  void OnRevoke(const std::shared_ptr<Connection>& connection,
                const Frame& frame,
                const messages::Revoke& revoke);
  void OnRulesQuery(const std::shared_ptr<Connection>& connection,
                    const Frame& frame,
                    const messages::RulesQuery& query);
  void OnDrain(const messages::Drain& drain);

  void RunAttempt(const std::string& id);
  bool OnToken(const std::string& id,
               std::uint32_t index,
               const std::string& text);
  void FinishAttempt(const std::string& id,
                     const Result<EngineOutcome>& outcome);

  /// Needs the lock.
  void ApplyActions(const std::string& replica,
                    const GateActions& actions,
                    Todo& todo);
  void EndAttempt(const std::string& id,
                  const messages::AttemptDone& done,
                  bool hold,
                  Todo& todo);
  messages::LoadReport MakeReport() const;
  Todo MakeBroadcast() const;

  void Perform(const Todo& todo);
  void ReportLater();

  const DaemonSettings settings;
  messages::Hello hello;
  std::mutex mutex;
  std::map<std::string, Replica> replicas;
  std::map<std::string, Attempt> active;
  AttemptTable attempts{{}};
  std::set<std::shared_ptr<Connection>> connections;
  messages::RulesPush rules;
  bool is_leaving = false;
  IoThread io;
  boost::asio::steady_timer report_timer;
  std::unique_ptr<WorkerPool> workers;
  std::unique_ptr<WorkerPool> cancellers;
  std::shared_ptr<FrameServer> server;
};

}  // namespace crocus

#endif  // DAEMON_DAEMON_H_
