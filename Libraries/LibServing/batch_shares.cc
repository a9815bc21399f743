#include "LibServing/batch_shares.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace crocus {

namespace {

/// A longer time between two updates means that the process did not run.
constexpr Duration kMaximumStep = std::chrono::milliseconds(500);
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

void BatchShares::SampleSlots(State& state,
                              std::size_t running,
                              TimePoint now) const {
  const Duration step = std::min<Duration>(now - state.updated, kMaximumStep);
  if (std::exchange(state.is_full, false) && step > Duration::zero()) {
    // The plain average until the time constant has passed.
    const Duration weight =
        std::min(state.observed + step, this->options.capacity_time);
    state.slots += (static_cast<double>(running) - state.slots) *
                   ToSeconds(step) / ToSeconds(weight);
    state.observed += step;
  }
  state.updated = now;
}

BatchShares::Accounts BatchShares::AdvanceTimes(
    State& state,
    const std::vector<WaitingItems>& waiting) {
  Accounts accounts;
  for (const auto& items : waiting) {
    accounts.try_emplace({items.workspace, items.priority},
                         Account{.priority = items.priority});
  }
  std::map<std::uint32_t, double> lowest;
  std::set<std::string_view> workspaces;
  for (auto& [key, account] : accounts) {
    const std::string workspace(key.first);
    account.lead = state.times_by_priority[account.priority].TimeOf(workspace);
    account.guaranteed_lead = state.guaranteed_times.TimeOf(workspace) -
                              state.guaranteed_times.time();
    const auto [entry, is_new] =
        lowest.try_emplace(account.priority, account.lead);
    entry->second = std::min(entry->second, account.lead);
    workspaces.insert(key.first);
  }
  for (const auto& [priority, time] : lowest) {
    state.times_by_priority[priority].AdvanceTo(time);
  }
  for (auto& [key, account] : accounts) {
    account.lead -= state.times_by_priority[account.priority].time();
  }
  for (auto& [priority, times] : state.times_by_priority) {
    times.Prune();
  }
  state.guaranteed_times.Prune();
  state.waiting_workspaces = std::max<std::size_t>(1, workspaces.size());
  return accounts;
}

void BatchShares::Plan(State& state,
                       const std::vector<WaitingItems>& waiting,
                       Duration run_time,
                       std::int64_t unix_milliseconds) const {
  Accounts accounts = AdvanceTimes(state, waiting);
  state.planned.clear();
  if (state.observed < this->options.minimum_observation) {
    return;
  }
  struct PlannedItem {
    /// 0 if the item is within the guaranteed part of its workspace, else 1 and
    /// its priority. The item that comes last is left out first.
    std::uint64_t group = 0;
    double lead = 0;
    std::size_t job = 0;
    Account* account = nullptr;

    bool operator<(const PlannedItem& other) const {
      return std::tie(this->group, this->lead) <
             std::tie(other.group, other.lead);
    }
  };
  std::vector<std::size_t> by_due(waiting.size());
  std::iota(by_due.begin(), by_due.end(), std::size_t{0});
  std::sort(by_due.begin(), by_due.end(), [&](auto left, auto right) {
    return waiting[left].due_ms < waiting[right].due_ms;
  });
  std::vector<std::size_t> counts(waiting.size());
  std::priority_queue<PlannedItem> planned;
  const double item_seconds = ToSeconds(run_time);
  for (const std::size_t job : by_due) {
    const WaitingItems& items = waiting[job];
    Account& account = accounts.at({items.workspace, items.priority});
    const double left = static_cast<double>(items.due_ms - unix_milliseconds) /
                            kMillisecondsPerSecond -
                        item_seconds;
    const double slot_seconds = left * state.slots / this->options.margin;
    const double guaranteed = slot_seconds * this->options.guaranteed_part /
                              static_cast<double>(state.waiting_workspaces);
    counts[job] = items.count;
    for (std::size_t i = 0; i < items.count; ++i) {
      const bool is_guaranteed =
          account.guaranteed_lead + account.planned <=
          guaranteed + this->options.guaranteed_credit * item_seconds;
      planned.push(
          {.group = is_guaranteed ? 0 : 1 + std::uint64_t{items.priority},
           .lead = account.lead + account.planned,
           .job = job,
           .account = &account});
      account.planned += item_seconds;
      if (static_cast<double>(planned.size()) * item_seconds > slot_seconds) {
        const PlannedItem last = planned.top();
        planned.pop();
        last.account->planned -= item_seconds;
        --counts[last.job];
        state.is_overloaded = true;
      }
    }
  }
  if (state.is_overloaded) {
    for (std::size_t job = 0; job < waiting.size(); ++job) {
      if (counts[job] > 0) {
        state.planned.emplace(waiting[job].job, counts[job]);
      }
    }
  }
}

void BatchShares::Update(const std::map<std::string, BatchBacklog>& backlogs,
                         Duration run_time,
                         TimePoint now,
                         std::int64_t unix_milliseconds) {
  this->lead_seconds = ToSeconds(run_time);
  this->overloaded_endpoints = 0;
  std::erase_if(this->states, [&](const auto& entry) {
    return now - entry.second.last_full > this->options.lifetime;
  });
  const BatchBacklog none;
  for (auto& [endpoint, state] : this->states) {
    const auto found = backlogs.find(endpoint);
    const BatchBacklog& backlog =
        found == backlogs.end() ? none : found->second;
    state.is_overloaded = false;
    this->SampleSlots(state, backlog.running, now);
    this->Plan(state, backlog.waiting, run_time, unix_milliseconds);
    this->overloaded_endpoints += state.is_overloaded ? 1 : 0;
  }
}

void BatchShares::SetFull(const std::string& endpoint, TimePoint now) {
  const auto [found, is_new] = this->states.try_emplace(endpoint);
  State& state = found->second;
  if (is_new) {
    state.updated = now;
  }
  state.is_full = true;
  state.last_full = now;
}

void BatchShares::Count(const BatchClaim& claim, double seconds) {
  const auto found = this->states.find(claim.endpoint);
  if (found == this->states.end()) {
    return;
  }
  State& state = found->second;
  state.times_by_priority[claim.priority].Count(claim.workspace, seconds);
  WorkspaceTimes& guaranteed = state.guaranteed_times;
  guaranteed.Count(claim.workspace, seconds);
  guaranteed.AdvanceTo(guaranteed.time() +
                       std::max(0.0, seconds) * this->options.guaranteed_part /
                           static_cast<double>(state.waiting_workspaces));
}

void BatchShares::OnStarted(const ItemReference& item,
                            const BatchClaim& claim,
                            double seconds) {
  const auto found = this->states.find(claim.endpoint);
  if (found == this->states.end()) {
    return;
  }
  this->charges[item] = {.claim = claim, .seconds = seconds};
  this->Count(claim, seconds);
  auto& planned = found->second.planned;
  if (const auto job = planned.find(item.job);
      job != planned.end() && --job->second == 0) {
    planned.erase(job);
  }
}

void BatchShares::OnEnded(const ItemReference& item, double seconds) {
  const auto found = this->charges.find(item);
  if (found == this->charges.end()) {
    return;
  }
  this->Count(found->second.claim, seconds - found->second.seconds);
  this->charges.erase(found);
}

bool BatchShares::IsDeferred(const std::string& endpoint,
                             const std::string& job) const {
  const auto found = this->states.find(endpoint);
  if (found == this->states.end() || !found->second.is_overloaded) {
    return false;
  }
  return !found->second.planned.contains(job);
}

bool BatchShares::IsAboveShare(const BatchClaim& claim) const {
  const auto found = this->states.find(claim.endpoint);
  if (found == this->states.end() || !found->second.is_overloaded) {
    return false;
  }
  const auto times = found->second.times_by_priority.find(claim.priority);
  return times != found->second.times_by_priority.end() &&
         times->second.TimeOf(claim.workspace) >
             times->second.time() + this->lead_seconds;
}

}  // namespace crocus
