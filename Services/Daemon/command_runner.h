#ifndef DAEMON_COMMAND_RUNNER_H_
#define DAEMON_COMMAND_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "LibCore/worker_pool.h"
#include "LibMessages/messages.h"
#include "LibPolicy/command_fence.h"

namespace crocus {

/// Accepts engine commands, checks their fencing numbers and delivers them to
/// the replicas. A load command first requires permission of the rate-limited
/// weight store; it waits without occupying a thread, so that other commands
/// can overtake it. Thread-safe.
class CommandRunner {
 public:
  using Reply = std::function<void(const messages::EngineCommandReply&)>;
  using OnDelivered = std::function<void(const messages::EngineCommand&)>;

  /// If `weights_url` is empty, load commands are delivered at once.
  CommandRunner(boost::asio::io_context& context,
                const std::vector<std::string>& replicas,
                std::string weights_url,
                OnDelivered on_delivered);

  void SetFloors(const std::vector<messages::ReplicaFloor>& floors);

  /// Refuses the command or delivers it; `reply` is called once, possibly on
  /// another thread.
  void Submit(const messages::EngineCommand& command, Reply reply);

 private:
  struct Task {
    messages::EngineCommand command;
    Reply reply;
  };

  /// Queues a load command for delivery if its weights may be loaded; otherwise
  /// schedules it again.
  void PrepareLoad(const Task& task);
  void Schedule(const Task& task);
  /// Requests the weights of a load command from the weight store. Returns 0 if
  /// they may be loaded, otherwise the time to wait.
  std::chrono::milliseconds RequestWeights(
      const messages::EngineCommand& command);
  void ScheduleAfter(const Task& task, std::chrono::milliseconds wait);
  void Deliver(const Task& task);
  bool IsSuperseded(const messages::EngineCommand& command);

  boost::asio::io_context& context;
  const std::string weights_url;
  const OnDelivered on_delivered;
  /// Guards what follows; a leaf lock.
  std::mutex mutex;
  CommandFence fence;
  /// Highest accepted fencing number for each replica and action.
  std::map<std::pair<std::string, std::string>, std::uint64_t> latest_accepted;
  WorkerPool weight_workers;
  /// One thread for each replica: its commands are delivered one after another,
  /// so that a lower fencing number never follows a higher one, and a replica
  /// that does not respond does not delay the others.
  std::map<std::string, WorkerPool> deliveries;
};

}  // namespace crocus

#endif  // DAEMON_COMMAND_RUNNER_H_
