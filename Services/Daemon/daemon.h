#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Daemon/command_runner.h"
#include "Daemon/host_list_poller.h"
#include "LibCore/result.h"
#include "LibCore/worker_pool.h"
#include "LibNetwork/frame_server.h"
#include "LibNetwork/io_thread.h"
#include "LibPlatform/engine_client.h"
#include "LibPolicy/daemon_decisions.h"
#include "LibSettings/settings.h"

namespace crocus {

/// Daemon process of an endpoint host, through which all requests to the host's
/// replicas pass. Performs what DaemonDecisions decides.
///
/// `mutex` guards the decisions and the connections. Frames are queued while it
/// is held, so that they are sent in the order of the decisions; queueing does
/// not block. Calls to a replica are made without it.
class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();

  Result<void> Start();

  /// Refuses new work and waits, up to the drain limit, until running work has
  /// ended and held results are confirmed. Returns whether all work has ended.
  bool Stop();

  std::uint16_t port() const { return this->server->port(); }

 private:
  void OnOpen(const std::shared_ptr<Connection>& connection);
  void OnFrame(const std::shared_ptr<Connection>& connection,
               const Frame& frame);
  void OnClosed(const std::shared_ptr<Connection>& connection);
  void OnRules(const messages::RulesPush& push);
  /// Replies with the rules; without their text if the sender already has this
  /// version.
  void OnRulesQuery(const std::shared_ptr<Connection>& connection,
                    std::uint64_t correlation,
                    const messages::RulesQuery& query);
  void OnDrain(const messages::Drain& drain);
  void OnCommand(const std::shared_ptr<Connection>& connection,
                 std::uint64_t correlation,
                 const messages::EngineCommand& command);
  void SetLeaving(LeavingReason reason, bool is_leaving);

  void Run(const EngineRun& run);
  StreamOutcome CallEngine(const EngineRun& run, const StreamCall& call);
  StreamOutcome CallService(const EngineRun& run, const StreamCall& call);
  bool OnToken(const EngineRun& run,
               std::uint32_t index,
               const std::string& text);
  struct CancelDecision {
    TimePoint time;
    /// Time from the decision to the hand-over to a worker in which the
    /// deciding thread was ready to run and had no processor. Zero until that
    /// thread has measured it, negative if it could not.
    std::atomic<std::int64_t> processor_wait_us = 0;
  };

  /// Sends a cancel to the engine without waiting for the lock: its decision is
  /// still new. Repeats it while it is pending.
  void Cancel(const EngineRun& run,
              const std::shared_ptr<const CancelDecision>& decision,
              std::chrono::milliseconds retry_delay);

  /// True while the engine has not confirmed the cancel. Takes the lock.
  bool IsCancelPending(const EngineRun& run);

  /// Hands the cancels to workers. Requires the lock.
  void SubmitCancels(const std::vector<EngineRun>& runs, TimePoint now);

  /// Performs actions. Requires the lock.
  void Perform(const DaemonActions& actions);
  /// Runs a decision under the lock and performs its actions.
  template <typename Decision>
  void Decide(Decision decision) {
    std::lock_guard lock(this->mutex);
    this->Perform(decision());
  }
  void ScheduleTick(TimePoint now);
  void Tick();
  bool IsDrained();

  const DaemonSettings settings;
  const std::uint64_t incarnation;
  std::map<std::string, EngineClient> clients;
  IoThread io;
  std::mutex mutex;
  DaemonDecisions decisions;
  std::map<ConnectionId, std::shared_ptr<Connection>> connections;
  /// Newest rules, for entries that query them after a restart.
  messages::RulesPush rules;
  boost::asio::steady_timer tick_timer;
  /// Time at which `tick_timer` fires; the maximum if it is not set.
  TimePoint scheduled_tick = TimePoint::max();
  WorkerPool workers;
  std::map<std::string, WorkerPool> cancel_workers;
  CommandRunner command_runner;
  std::unique_ptr<HostListPoller> hosts;
  std::shared_ptr<FrameServer> server;
};

}  // namespace crocus

#endif  // DAEMON_DAEMON_H_
