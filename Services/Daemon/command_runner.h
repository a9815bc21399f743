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
#include "LibPolicy/order_fence.h"

namespace crocus {

/// Takes engine orders: checks their fencing numbers and delivers them. A load
/// order first asks the rate-limited weight store and waits without holding a
/// thread, so other orders overtake it. Thread-safe.
class CommandRunner {
 public:
  using Reply = std::function<void(const messages::EngineOrderReply&)>;
  using OnDelivered = std::function<void(const messages::EngineOrder&)>;

  /// `weights_url` empty passes load orders on at once.
  CommandRunner(boost::asio::io_context& context,
                const std::vector<std::string>& replicas,
                std::string weights_url,
                OnDelivered on_delivered);

  void SetFloors(const std::vector<messages::ReplicaFloor>& floors);

  /// Refuses the order or delivers it; `reply` is called once, maybe on
  /// another thread.
  void Submit(const messages::EngineOrder& command, Reply reply);

 private:
  struct Task {
    messages::EngineOrder command;
    Reply reply;
  };

  /// Passes the order on once its weights may be loaded.
  void PrepareLoad(const Task& task);
  void Schedule(const Task& task);
  /// Asks for the weights of a load order. Returns 0 if they may be loaded,
  /// else the time to wait.
  std::chrono::milliseconds RequestWeights(
      const messages::EngineOrder& command);
  void ScheduleAfter(const Task& task, std::chrono::milliseconds wait);
  void Deliver(const Task& task);
  bool IsSuperseded(const messages::EngineOrder& command);

  boost::asio::io_context& context;
  const std::string weights_url;
  const OnDelivered on_delivered;
  /// Guards what follows; a leaf lock.
  std::mutex mutex;
  OrderFence fence;
  /// Highest accepted number for each replica and action.
  std::map<std::pair<std::string, std::string>, std::uint64_t> latest_accepted;
  WorkerPool weight_workers;
  /// One thread for each replica: its orders reach it in turn, so that a lower
  /// number never follows a higher one, and a replica that does not answer
  /// holds up no other.
  std::map<std::string, WorkerPool> deliveries;
};

}  // namespace crocus

#endif  // DAEMON_COMMAND_RUNNER_H_
