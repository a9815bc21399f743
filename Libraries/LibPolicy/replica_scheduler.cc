#include "LibPolicy/replica_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocus {

using messages::WorkKind;

namespace {

/// Time constant of the averages of arrival and finish rates; online bursts
/// last for seconds.
constexpr double kRateWindowSeconds = 1;

/// Batch items are requested this long before their slots are expected to be
/// free: the interval of load reports.
constexpr double kRequestAheadSeconds = 1;

/// Weight of a new observation in the mean token and suspension times.
constexpr double kObservationWeight = 0.1;

/// A long request that has waited this long goes before short ones.
constexpr Duration kLongRequestAgeLimit = std::chrono::seconds(10);

/// A long online stream runs at least this long between two suspensions, so
/// that it makes progress under a steady load of short ones. With 5 s, short
/// requests waited up to that long.
constexpr Duration kMinimumLongRun = std::chrono::seconds(1);

/// Minimum time between two changes of the batch limit, so that the effect of
/// one is observed before the next.
constexpr Duration kBatchLimitInterval = std::chrono::milliseconds(200);

/// The batch limit is raised again when the time between online tokens is below
/// this share of its target.
constexpr double kBatchLimitRaiseShare = 0.9;

/// Decays an average rate to `now` and adds one event.
void CountEvent(double& rate, TimePoint& last, TimePoint now) {
  const double elapsed = ToSeconds(now - last);
  rate =
      rate * std::exp(-elapsed / kRateWindowSeconds) + 1 / kRateWindowSeconds;
  last = now;
}

}  // namespace

ReplicaScheduler::ReplicaScheduler(ReplicaSchedulerOptions options,
                                   std::shared_ptr<LengthPredictor> predictor)
    : options(options),
      predictor(std::move(predictor)),
      batch_limit(options.slots) {}

SchedulerActions ReplicaScheduler::Configure(
    const ReplicaSchedulerOptions& new_options,
    TimePoint now) {
  this->options = new_options;
  this->batch_limit = std::min(this->batch_limit, new_options.slots);
  return this->Advance(now);
}

SchedulerActions ReplicaScheduler::Submit(const ScheduledWork& work,
                                          TimePoint now) {
  const LengthHints hints{.workspace = work.workspace,
                          .prompt_tokens = work.prompt_tokens,
                          .token_limit = work.token_limit};
  Entry entry{.work = work,
              .predicted_tokens = this->predictor->PredictTokens(hints),
              .is_long = this->predictor->PredictLong(hints),
              .queued_at = now};
  if (work.kind == WorkKind::kOnline) {
    CountEvent(this->arrival_rate, this->last_arrival, now);
    this->online_queue.push_back(std::move(entry));
  } else {
    this->batch_queue.push_back(std::move(entry));
  }
  return this->Advance(now);
}

SchedulerActions ReplicaScheduler::Finish(const std::string& attempt,
                                          TimePoint now) {
  if (const auto found = this->running.find(attempt);
      found != this->running.end()) {
    if (found->second.work.kind == WorkKind::kBatch) {
      CountEvent(this->batch_finish_rate, this->last_batch_finish, now);
    }
    this->running.erase(found);
  }
  if (const auto found = this->suspending.find(attempt);
      found != this->suspending.end()) {
    this->mean_suspension_seconds +=
        (ToSeconds(now - found->second.suspended_at) -
         this->mean_suspension_seconds) *
        kObservationWeight;
    if (!found->second.is_complete) {
      found->second.queued_at = now;
      (found->second.work.kind == WorkKind::kOnline ? this->online_queue
                                                    : this->batch_queue)
          .push_front(std::move(found->second));
    }
    this->suspending.erase(found);
  }
  return this->Advance(now);
}

SchedulerActions ReplicaScheduler::Remove(const std::string& attempt,
                                          TimePoint now) {
  const auto matches = [&attempt](const Entry& entry) {
    return entry.work.attempt == attempt;
  };
  std::erase_if(this->online_queue, matches);
  std::erase_if(this->batch_queue, matches);
  // Finish may have queued a suspended attempt again and started it; that start
  // never reaches the engine.
  this->running.erase(attempt);
  return this->Advance(now);
}

SchedulerActions ReplicaScheduler::Tick(TimePoint now) {
  return this->Advance(now);
}

SchedulerActions ReplicaScheduler::ReportTokens(const std::string& attempt,
                                                std::uint32_t tokens,
                                                TimePoint now) {
  const auto found = this->running.find(attempt);
  if (found == this->running.end() || tokens <= found->second.tokens) {
    return {};
  }
  Entry& entry = found->second;
  if (entry.has_token && entry.work.kind == WorkKind::kOnline) {
    this->ObserveTokenTime((now - entry.last_token) /
                           static_cast<int>(tokens - entry.tokens));
  }
  entry.tokens = tokens;
  entry.last_token = now;
  entry.has_token = true;
  entry.is_long = entry.is_long || this->predictor->IsLong(tokens);
  return this->AdjustBatchLimit(now) ? this->Advance(now) : SchedulerActions{};
}

void ReplicaScheduler::ReportAnswer(const std::string& attempt,
                                    std::uint32_t tokens) {
  for (auto* attempts : {&this->running, &this->suspending}) {
    if (const auto found = attempts->find(attempt); found != attempts->end()) {
      const ScheduledWork& work = found->second.work;
      this->predictor->Observe({.workspace = work.workspace,
                                .prompt_tokens = work.prompt_tokens,
                                .token_limit = work.token_limit},
                               tokens);
      found->second.is_complete = true;
    }
  }
}

SchedulerActions ReplicaScheduler::Advance(TimePoint now) {
  SchedulerActions actions;
  std::erase_if(this->online_queue, [&actions, now](const Entry& entry) {
    if (entry.work.deadline > now || entry.has_started) {
      return false;
    }
    actions.expired.push_back(entry.work.attempt);
    return true;
  });
  this->StartOnline(actions, now);
  this->SuspendStreams(actions, now);
  this->StartBatch(actions, now);
  return actions;
}

void ReplicaScheduler::StartOnline(SchedulerActions& actions, TimePoint now) {
  while (this->occupied() < this->options.slots) {
    const auto entry = this->ChooseOnline(now);
    if (entry == this->online_queue.end()) {
      return;
    }
    this->Start(this->online_queue, entry, now, actions);
  }
}

void ReplicaScheduler::SuspendStreams(SchedulerActions& actions,
                                      TimePoint now) {
  // One batch stream is suspended for each online request that may start, and
  // for each batch stream above the limit.
  while (this->suspending.size() < this->CountAdmissible() ||
         this->CountRunning(WorkKind::kBatch) > this->BatchLimit()) {
    const auto victim = this->ChooseBatchVictim();
    if (victim == this->running.end()) {
      break;
    }
    this->Suspend(victim, now, actions);
  }
  while (this->suspending.size() < this->CountWaitingShort()) {
    const auto victim = this->ChooseLongVictim(now);
    if (victim == this->running.end()) {
      break;
    }
    this->Suspend(victim, now, actions);
  }
}

void ReplicaScheduler::StartBatch(SchedulerActions& actions, TimePoint now) {
  const std::uint32_t reserved = this->reserve(now);
  while (this->CountAdmissible() == 0 && !this->batch_queue.empty() &&
         this->occupied() + reserved < this->options.slots &&
         this->batch_running() < this->BatchLimit()) {
    this->Start(this->batch_queue, this->ChooseBatch(), now, actions);
  }
}

void ReplicaScheduler::Start(Queue& queue,
                             Queue::iterator entry,
                             TimePoint now,
                             SchedulerActions& actions) {
  const std::string attempt = entry->work.attempt;
  actions.start.push_back(attempt);
  // The time to the first token of a run includes the processing of the prompt,
  // so it does not count as time between tokens.
  entry->has_token = false;
  entry->has_started = true;
  entry->started_at = now;
  this->running[attempt] = std::move(*entry);
  queue.erase(entry);
}

void ReplicaScheduler::Suspend(std::map<std::string, Entry>::iterator victim,
                               TimePoint now,
                               SchedulerActions& actions) {
  victim->second.suspended_at = now;
  actions.suspend.push_back(victim->first);
  this->suspending.insert(*victim);
  this->running.erase(victim);
}

ReplicaScheduler::Queue::iterator ReplicaScheduler::ChooseOnline(
    TimePoint now) {
  const bool long_may_start = this->long_running() < this->long_slots();
  auto best = this->online_queue.end();
  for (auto entry = this->online_queue.begin();
       entry != this->online_queue.end(); ++entry) {
    if (entry->is_long && !long_may_start) {
      continue;
    }
    if (entry->is_long && entry->queued_at + kLongRequestAgeLimit <= now) {
      return entry;
    }
    // Requests start in arrival order within the two classes. Sorting short
    // requests by predicted length as well did not lower their p99.
    if (best == this->online_queue.end() ||
        (best->is_long && !entry->is_long)) {
      best = entry;
    }
  }
  return best;
}

ReplicaScheduler::Queue::iterator ReplicaScheduler::ChooseBatch() {
  if (this->CountLong(WorkKind::kBatch) >= this->long_slots()) {
    const auto short_entry =
        std::find_if(this->batch_queue.begin(), this->batch_queue.end(),
                     [](const Entry& entry) { return !entry.is_long; });
    if (short_entry != this->batch_queue.end()) {
      return short_entry;
    }
  }
  return this->batch_queue.begin();
}

std::map<std::string, ReplicaScheduler::Entry>::iterator
ReplicaScheduler::ChooseBatchVictim() {
  // The stream with the least context costs the least to resume if the engine
  // has evicted its cache in the meantime.
  const auto context = [](const Entry& entry) {
    return entry.work.prompt_tokens + entry.tokens;
  };
  auto best = this->running.end();
  for (auto entry = this->running.begin(); entry != this->running.end();
       ++entry) {
    if (entry->second.work.kind == WorkKind::kBatch &&
        (best == this->running.end() ||
         context(entry->second) < context(best->second))) {
      best = entry;
    }
  }
  return best;
}

std::map<std::string, ReplicaScheduler::Entry>::iterator
ReplicaScheduler::ChooseLongVictim(TimePoint now) {
  auto best = this->running.end();
  for (auto entry = this->running.begin(); entry != this->running.end();
       ++entry) {
    const Entry& candidate = entry->second;
    if (candidate.work.kind == WorkKind::kOnline && candidate.is_long &&
        candidate.work.is_resumable &&
        candidate.started_at + kMinimumLongRun <= now &&
        (best == this->running.end() ||
         candidate.started_at < best->second.started_at)) {
      best = entry;
    }
  }
  return best;
}

std::uint32_t ReplicaScheduler::CountAdmissible() const {
  const std::uint32_t waiting_short = this->CountWaitingShort();
  const std::uint32_t held = std::min(this->long_running(), this->long_slots());
  return waiting_short + std::min(this->online_waiting() - waiting_short,
                                  this->long_slots() - held);
}

std::uint32_t ReplicaScheduler::CountWaitingShort() const {
  return static_cast<std::uint32_t>(
      std::count_if(this->online_queue.begin(), this->online_queue.end(),
                    [](const Entry& entry) { return !entry.is_long; }));
}

void ReplicaScheduler::ObserveTokenTime(Duration time) {
  const double seconds = ToSeconds(time);
  this->mean_token_seconds =
      this->mean_token_seconds == 0
          ? seconds
          : this->mean_token_seconds +
                (seconds - this->mean_token_seconds) * kObservationWeight;
}

bool ReplicaScheduler::AdjustBatchLimit(TimePoint now) {
  const double target = ToSeconds(this->options.token_target);
  if (target == 0 ||
      now < this->last_batch_limit_change + kBatchLimitInterval) {
    return false;
  }
  if (this->mean_token_seconds > target) {
    const std::uint32_t streams =
        std::min(this->batch_limit, this->batch_running());
    this->batch_limit = streams > 0 ? streams - 1 : 0;
  } else if (this->mean_token_seconds < kBatchLimitRaiseShare * target &&
             this->batch_limit < this->options.slots) {
    ++this->batch_limit;
  } else {
    return false;
  }
  this->last_batch_limit_change = now;
  return true;
}

std::uint32_t ReplicaScheduler::BatchLimit() const {
  const bool has_online = this->online_running() + this->CountAdmissible() > 0;
  return has_online ? this->batch_limit : this->options.slots;
}

std::uint32_t ReplicaScheduler::BatchCapacity() const {
  const std::size_t held =
      this->occupied() + this->online_queue.size() + this->batch_queue.size();
  const std::size_t backlog = std::max<std::size_t>(
      this->options.batch_backlog,
      static_cast<std::size_t>(this->batch_finish_rate * kRequestAheadSeconds));
  const std::size_t capacity = this->options.slots + backlog;
  return static_cast<std::uint32_t>(held >= capacity ? 0 : capacity - held);
}

std::uint32_t ReplicaScheduler::CountRunning(WorkKind kind) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->running.begin(), this->running.end(),
      [kind](const auto& item) { return item.second.work.kind == kind; }));
}

std::uint32_t ReplicaScheduler::CountLong(WorkKind kind) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->running.begin(), this->running.end(), [kind](const auto& item) {
        return item.second.work.kind == kind && item.second.is_long;
      }));
}

std::uint32_t ReplicaScheduler::online_running() const {
  return this->CountRunning(WorkKind::kOnline);
}

std::uint32_t ReplicaScheduler::batch_running() const {
  return this->CountRunning(WorkKind::kBatch) +
         static_cast<std::uint32_t>(this->suspending.size());
}

std::uint32_t ReplicaScheduler::long_running() const {
  const auto suspending = std::count_if(
      this->suspending.begin(), this->suspending.end(), [](const auto& item) {
        return item.second.work.kind == WorkKind::kOnline &&
               item.second.is_long;
      });
  return this->CountLong(WorkKind::kOnline) +
         static_cast<std::uint32_t>(suspending);
}

std::uint32_t ReplicaScheduler::long_slots() const {
  const auto slots = static_cast<std::uint32_t>(this->options.long_share *
                                                this->options.slots);
  return std::clamp(slots, std::uint32_t{1},
                    std::max(this->options.slots, std::uint32_t{1}));
}

std::uint32_t ReplicaScheduler::reserve(TimePoint now) const {
  const double elapsed = ToSeconds(now - this->last_arrival);
  const double rate =
      this->arrival_rate * std::exp(-elapsed / kRateWindowSeconds);
  return std::min(this->options.reserve_slots,
                  static_cast<std::uint32_t>(
                      std::lround(rate * this->mean_suspension_seconds)));
}

}  // namespace crocus
