#include "Daemon/order_runner.h"

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

/// Wait after an answer of the weight store that names no time.
constexpr std::chrono::milliseconds kWeightsRetryDelay{1000};
constexpr std::chrono::milliseconds kShortestWeightsDelay{1};

bool IsLoad(const messages::EngineCommand& order) {
  return order.action == "load_model" || order.action == "load_adapter";
}

bool IsKnownAction(const messages::EngineCommand& order) {
  return IsLoad(order) || order.action == "set_version" ||
         order.action == "set_role";
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
  return std::clamp(std::chrono::milliseconds(value), kShortestWeightsDelay,
                    std::chrono::milliseconds(std::chrono::minutes(10)));
}

void LogOrder(Event event, const messages::EngineCommand& order) {
  LogEvent(event, {{"replica", order.replica},
                   {"action", order.action},
                   {"fencing", std::to_string(order.fencing)}});
}

void Refuse(const messages::EngineCommand& order,
            const std::string& reason,
            const OrderRunner::Reply& reply) {
  LogEvent(Event::kOrderRefused, {{"replica", order.replica},
                                  {"action", order.action},
                                  {"fencing", std::to_string(order.fencing)},
                                  {"reason", reason}});
  reply({.accepted = false, .reason = reason});
}

}  // namespace

OrderRunner::OrderRunner(boost::asio::io_context& context,
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

void OrderRunner::SetFloors(const std::vector<messages::ReplicaFloor>& floors) {
  std::lock_guard lock(this->mutex);
  for (const auto& [replica, floor] : floors) {
    if (this->fence.SetFloor(replica, floor)) {
      LogEvent(Event::kOrderFloorSet,
               {{"replica", replica}, {"floor", std::to_string(floor)}});
    }
  }
}

void OrderRunner::Submit(const messages::EngineCommand& order, Reply reply) {
  if (!IsKnownAction(order)) {
    Refuse(order, "unknown_action", reply);
    return;
  }
  {
    std::unique_lock lock(this->mutex);
    const CommandDecision decision =
        this->fence.Accept(order.replica, order.fencing);
    if (decision != CommandDecision::kAccepted) {
      lock.unlock();
      Refuse(order, ToString(decision), reply);
      return;
    }
    this->latest[{order.replica, order.action}] = order.fencing;
  }
  LogOrder(Event::kOrderAccepted, order);
  this->SubmitRun({.order = order, .reply = std::move(reply)});
}

void OrderRunner::SubmitRun(const Task& task) {
  if (IsLoad(task.order) && !this->weights_url.empty()) {
    this->weight_workers.Submit([this, task] { this->Run(task); });
  } else {
    this->deliveries.at(task.order.replica).Submit([this, task] {
      this->Deliver(task);
    });
  }
}

void OrderRunner::Run(const Task& task) {
  if (this->IsSuperseded(task.order)) {
    Refuse(task.order, "superseded", task.reply);
    return;
  }
  if (const auto wait = this->AskForWeights(task.order); wait.count() > 0) {
    this->RunLater(task, wait);
    return;
  }
  this->deliveries.at(task.order.replica).Submit([this, task] {
    this->Deliver(task);
  });
}

std::chrono::milliseconds OrderRunner::AskForWeights(
    const messages::EngineCommand& order) {
  const auto reply =
      SendHttp({.url = this->weights_url + "/weights/" + order.argument,
                .timeout = kWeightsTimeout});
  if (reply && reply->status == kOk) {
    return std::chrono::milliseconds(0);
  }
  const auto wait = reply && reply->status == kTooManyRequests
                        ? RetryAfter(*reply)
                        : kWeightsRetryDelay;
  LogEvent(Event::kWeightsWait, {{"replica", order.replica},
                                 {"argument", order.argument},
                                 {"wait_ms", std::to_string(wait.count())}});
  return wait;
}

void OrderRunner::RunLater(const Task& task, std::chrono::milliseconds wait) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->context, wait);
  timer->async_wait([this, timer, task](boost::system::error_code error) {
    if (!error) {
      this->SubmitRun(task);
    }
  });
}

bool OrderRunner::IsSuperseded(const messages::EngineCommand& order) {
  std::lock_guard lock(this->mutex);
  return this->latest.at({order.replica, order.action}) != order.fencing;
}

void OrderRunner::Deliver(const Task& task) {
  std::uint64_t fencing = 0;
  {
    // An order that waited for weights carries the newest accepted number:
    // the engine would refuse its own after a later order of another action.
    std::lock_guard lock(this->mutex);
    fencing = this->fence.Highest(task.order.replica);
  }
  if (this->IsSuperseded(task.order)) {
    Refuse(task.order, "superseded", task.reply);
    return;
  }
  const auto sent = EngineClient(task.order.replica)
                        .SendCommand({.action = task.order.action,
                                      .argument = task.order.argument,
                                      .fencing = fencing});
  if (!sent) {
    Refuse(task.order, sent.error().message, task.reply);
    return;
  }
  LogOrder(Event::kOrderDelivered, task.order);
  this->on_delivered(task.order);
  task.reply({.accepted = true});
}

}  // namespace crocus
