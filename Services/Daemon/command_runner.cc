#include "Daemon/command_runner.h"

#include <algorithm>
#include <charconv>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "LibEvents/event_log.h"
#include "LibHttp/http_client.h"
#include "LibPlatform/engine_client.h"

namespace crocus {

namespace {

constexpr std::size_t kWeightThreads = 2;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr std::chrono::seconds kWeightsTimeout{5};

/// Delay before the weight store is queried again if its response specifies
/// none or the call failed.
constexpr std::chrono::milliseconds kWeightsRetryDelay{1000};
constexpr std::chrono::milliseconds kMinimumWeightsDelay{1};

bool IsLoad(const messages::EngineCommand& command) {
  return command.action == "load_model" || command.action == "load_adapter";
}

bool IsKnownAction(const messages::EngineCommand& command) {
  return IsLoad(command) || command.action == "set_version" ||
         command.action == "set_role";
}

std::chrono::milliseconds RetryAfter(const HttpReply& reply) {
  const auto header = reply.headers.find("retry-after-ms");
  std::int64_t value = 0;
  if (header == reply.headers.end() ||
      std::from_chars(header->second.data(),
                      header->second.data() + header->second.size(), value)
              .ec != std::errc()) {
    return kWeightsRetryDelay;
  }
  return std::clamp(std::chrono::milliseconds(value), kMinimumWeightsDelay,
                    std::chrono::milliseconds(std::chrono::minutes(10)));
}

void LogCommand(Event event, const messages::EngineCommand& command) {
  LogEvent(event, {{"replica", command.replica},
                   {"action", command.action},
                   {"fencing", std::to_string(command.fencing)}});
}

void Refuse(const messages::EngineCommand& command,
            const std::string& reason,
            const CommandRunner::Reply& reply) {
  LogEvent(Event::kOrderRefused, {{"replica", command.replica},
                                  {"action", command.action},
                                  {"fencing", std::to_string(command.fencing)},
                                  {"reason", reason}});
  reply({.accepted = false, .reason = reason});
}

}  // namespace

CommandRunner::CommandRunner(boost::asio::io_context& context,
                             const std::vector<std::string>& replicas,
                             std::string weights_url,
                             OnDelivered on_delivered)
    : context(context),
      weights_url(std::move(weights_url)),
      on_delivered(std::move(on_delivered)),
      fence(replicas),
      weight_workers(kWeightThreads) {
  for (const auto& replica : replicas) {
    this->deliveries.try_emplace(replica, 1);
  }
}

void CommandRunner::SetFloors(
    const std::vector<messages::ReplicaFloor>& floors) {
  std::lock_guard lock(this->mutex);
  for (const auto& [replica, floor] : floors) {
    if (this->fence.SetFloor(replica, floor)) {
      LogEvent(Event::kOrderFloorSet,
               {{"replica", replica}, {"floor", std::to_string(floor)}});
    }
  }
}

void CommandRunner::Submit(const messages::EngineCommand& command,
                           Reply reply) {
  if (!IsKnownAction(command)) {
    Refuse(command, "unknown_action", reply);
    return;
  }
  {
    std::unique_lock lock(this->mutex);
    const CommandDecision decision =
        this->fence.Accept(command.replica, command.fencing);
    if (decision != CommandDecision::kAccepted) {
      lock.unlock();
      Refuse(command, ToString(decision), reply);
      return;
    }
    this->latest_accepted[{command.replica, command.action}] = command.fencing;
  }
  LogCommand(Event::kOrderAccepted, command);
  this->Schedule({.command = command, .reply = std::move(reply)});
}

void CommandRunner::Schedule(const Task& task) {
  if (IsLoad(task.command) && !this->weights_url.empty()) {
    this->weight_workers.Submit([this, task] { this->PrepareLoad(task); });
  } else {
    this->deliveries.at(task.command.replica).Submit([this, task] {
      this->Deliver(task);
    });
  }
}

void CommandRunner::PrepareLoad(const Task& task) {
  if (this->IsSuperseded(task.command)) {
    Refuse(task.command, "superseded", task.reply);
    return;
  }
  if (const auto wait = this->RequestWeights(task.command); wait.count() > 0) {
    this->ScheduleAfter(task, wait);
    return;
  }
  this->deliveries.at(task.command.replica).Submit([this, task] {
    this->Deliver(task);
  });
}

std::chrono::milliseconds CommandRunner::RequestWeights(
    const messages::EngineCommand& command) {
  // The weights are for the replica; this host only waits until they are there.
  const auto reply = SendHttpStreaming(
      {.url = this->weights_url + "/weights/" + command.argument,
       .timeout = kWeightsTimeout},
      [](std::string_view) { return true; });
  if (reply && reply->status == kOk) {
    return std::chrono::milliseconds(0);
  }
  const auto wait = reply && reply->status == kTooManyRequests
                        ? RetryAfter(*reply)
                        : kWeightsRetryDelay;
  LogEvent(Event::kWeightsWait, {{"replica", command.replica},
                                 {"argument", command.argument},
                                 {"wait_ms", std::to_string(wait.count())}});
  return wait;
}

void CommandRunner::ScheduleAfter(const Task& task,
                                  std::chrono::milliseconds wait) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->context, wait);
  timer->async_wait([this, timer, task](boost::system::error_code error) {
    if (!error) {
      this->Schedule(task);
    }
  });
}

bool CommandRunner::IsSuperseded(const messages::EngineCommand& command) {
  std::lock_guard lock(this->mutex);
  return this->latest_accepted.at({command.replica, command.action}) !=
         command.fencing;
}

void CommandRunner::Deliver(const Task& task) {
  std::uint64_t fencing = 0;
  {
    // A command that waited for weights is sent with the highest accepted
    // number: after a later command of another action, the engine would refuse
    // the number of the command itself.
    std::lock_guard lock(this->mutex);
    fencing = this->fence.Highest(task.command.replica);
  }
  if (this->IsSuperseded(task.command)) {
    Refuse(task.command, "superseded", task.reply);
    return;
  }
  const auto sent = EngineClient(task.command.replica)
                        .SendCommand({.action = task.command.action,
                                      .argument = task.command.argument,
                                      .fencing = fencing});
  if (!sent) {
    Refuse(task.command, sent.error().message, task.reply);
    return;
  }
  LogCommand(Event::kOrderDelivered, task.command);
  this->on_delivered(task.command);
  task.reply({.accepted = true});
}

}  // namespace crocus
