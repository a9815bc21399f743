#include "LibServing/fair_admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <set>

namespace crocus {

namespace {

/// Account of the workspaces beyond the limit.
constexpr const char* kOtherWorkspaces = "";

/// Adds to the shares of the demands at `positions` what max-min fairness gives
/// them of the room, and returns what is left of it.
double DivideEvenly(const std::vector<WorkDemand>& demands,
                    const std::vector<std::size_t>& positions,
                    double room,
                    std::vector<double>& shares) {
  std::vector<std::size_t> order = positions;
  // Those that are satisfied first come first.
  std::sort(order.begin(), order.end(), [&](auto left, auto right) {
    return demands[left].offered < demands[right].offered;
  });
  // Guaranteed shares count, so that the demands end at one level.
  double level_room = room;
  for (const auto position : order) {
    level_room += shares[position];
  }
  double left = room;
  std::size_t remaining = order.size();
  for (const auto position : order) {
    const double level = level_room / static_cast<double>(remaining);
    const double total =
        std::max(shares[position], std::min(demands[position].offered, level));
    const double given = std::min(total - shares[position], left);
    shares[position] += given;
    left -= given;
    level_room -= shares[position];
    --remaining;
  }
  return left;
}

}  // namespace

std::vector<double> DivideByPriority(const std::vector<WorkDemand>& demands,
                                     double room,
                                     double guaranteed_part) {
  std::vector<double> shares(demands.size(), 0);
  const double offered = std::accumulate(
      demands.begin(), demands.end(), 0.0,
      [](double sum, const auto& demand) { return sum + demand.offered; });
  if (offered <= 0) {
    return shares;
  }
  const double part = guaranteed_part * std::min(1.0, room / offered);
  std::map<std::uint32_t, std::vector<std::size_t>> by_priority;
  double left = room;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    // An equal part of the room bounds it, so that a large demand gains
    // nothing by being larger.
    shares[i] =
        std::min(part * demands[i].offered,
                 guaranteed_part * room / static_cast<double>(demands.size()));
    left -= shares[i];
    by_priority[demands[i].priority].push_back(i);
  }
  for (const auto& [priority, positions] : by_priority) {
    left = DivideEvenly(demands, positions, std::max(0.0, left), shares);
  }
  return shares;
}

double FairAdmission::Decay(const Account& account, TimePoint now) const {
  return std::exp(
      -ToSeconds(std::max(Duration::zero(), now - account.updated)) /
      ToSeconds(this->options.work_time));
}

FairAdmission::Account& FairAdmission::AccountOf(Accounts& accounts,
                                                 const std::string& workspace,
                                                 TimePoint now) const {
  const bool is_known = accounts.count(workspace) > 0;
  Account& account =
      accounts[is_known || accounts.size() < this->options.maximum_workspaces
                   ? workspace
                   : kOtherWorkspaces];
  const double decay = this->Decay(account, now);
  account.offered *= decay;
  account.admitted *= decay;
  account.answered *= decay;
  account.updated = std::max(account.updated, now);
  return account;
}

double FairAdmission::ShareOf(const Accounts& accounts,
                              const std::string& workspace,
                              TimePoint now) const {
  std::vector<WorkDemand> demands;
  double room = 0;
  std::size_t position = 0;
  double factor = 1;
  for (const auto& [name, account] : accounts) {
    if (name == workspace) {
      position = demands.size();
      factor = account.fleet_factor;
    }
    const double weight = account.fleet_factor * this->Decay(account, now);
    room += weight * account.answered;
    demands.push_back(
        {.priority = account.priority, .offered = weight * account.offered});
  }
  const auto shares =
      DivideByPriority(demands, room, this->options.guaranteed_part);
  return shares.empty() ? 0 : shares[position] / factor;
}

double FairAdmission::LessUrgentPart(const Accounts& accounts,
                                     std::uint32_t priority) {
  std::set<std::uint32_t> priorities;
  for (const auto& [name, account] : accounts) {
    priorities.insert(account.priority);
  }
  const auto less_urgent =
      std::distance(priorities.upper_bound(priority), priorities.end());
  return static_cast<double>(less_urgent) /
         static_cast<double>(std::max<std::size_t>(1, priorities.size()));
}

FairDecision FairAdmission::Admit(const FairRequest& request, TimePoint now) {
  return this->DecideAndCount(this->endpoints[request.endpoint], request, now);
}

FairDecision FairAdmission::Preview(const FairRequest& request,
                                    TimePoint now) const {
  const auto found = this->endpoints.find(request.endpoint);
  Accounts accounts =
      found == this->endpoints.end() ? Accounts() : found->second;
  return this->DecideAndCount(accounts, request, now);
}

FairDecision FairAdmission::DecideAndCount(Accounts& accounts,
                                           const FairRequest& request,
                                           TimePoint now) const {
  FairDecision decision{.wait_limit = request.latency_target};
  Account& account = this->AccountOf(accounts, request.workspace, now);
  const double seconds = ToSeconds(this->options.work_time);
  account.priority = request.priority;
  account.fleet_factor = std::max(1.0, request.fleet_factor);
  account.offered += request.work / seconds;
  account.last_offered = now;
  const Duration onset =
      FromSeconds(this->options.onset * ToSeconds(request.latency_target));
  decision.admitted_work = account.admitted;
  // Nothing changes without other workspaces or without overload.
  if (accounts.size() > 1 && request.latency_target > Duration::zero() &&
      request.expected_wait > onset) {
    decision.share = this->ShareOf(accounts, request.workspace, now);
    decision.is_within_share = account.admitted + request.work / seconds <=
                               std::max(decision.share, request.work / seconds);
    if (!decision.is_within_share) {
      // More urgent ones are refused later, so that less urgent ones make room
      // for what is above their share.
      decision.wait_limit =
          onset + FromSeconds(0.5 * LessUrgentPart(accounts, request.priority) *
                              ToSeconds(request.latency_target - onset));
    }
  }
  decision.is_admitted = request.latency_target == Duration::zero() ||
                         request.expected_wait <= decision.wait_limit;
  if (decision.is_admitted) {
    account.admitted += request.work / seconds;
  }
  return decision;
}

void FairAdmission::OnAnswered(const std::string& endpoint,
                               const std::string& workspace,
                               double work,
                               TimePoint now) {
  this->AccountOf(this->endpoints[endpoint], workspace, now).answered +=
      work / ToSeconds(this->options.work_time);
}

void FairAdmission::Expire(TimePoint now) {
  for (auto& [endpoint, accounts] : this->endpoints) {
    std::erase_if(accounts, [this, now](const auto& entry) {
      return now - std::max(entry.second.last_offered, entry.second.updated) >
             this->options.work_lifetime;
    });
  }
  std::erase_if(this->endpoints,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace crocus
