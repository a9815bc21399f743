#include "LibServing/replica_health.h"

#include <algorithm>
#include <utility>

namespace crocus {

void ReplicaHealth::OnFailure(const std::string& replica, TimePoint now) {
  this->own[replica].push_back(now);
}

void ReplicaHealth::OnPeerReport(const std::string& peer,
                                 std::map<std::string, std::uint32_t> failures,
                                 TimePoint now) {
  this->peers[peer] = {.failures = std::move(failures), .received = now};
}

void ReplicaHealth::DropOld(TimePoint now) {
  for (auto& [replica, times] : this->own) {
    while (!times.empty() && now - times.front() > this->options.window) {
      times.pop_front();
    }
  }
  std::erase_if(this->own,
                [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(this->peers, [this, now](const auto& entry) {
    return now - entry.second.received > this->options.window;
  });
}

std::map<std::string, std::uint32_t> ReplicaHealth::OwnFailures(TimePoint now) {
  this->DropOld(now);
  std::map<std::string, std::uint32_t> failures;
  for (const auto& [replica, times] : this->own) {
    failures[replica] = static_cast<std::uint32_t>(times.size());
  }
  return failures;
}

std::uint32_t ReplicaHealth::Total(const std::string& replica) const {
  std::uint32_t total = 0;
  if (const auto found = this->own.find(replica); found != this->own.end()) {
    total += static_cast<std::uint32_t>(found->second.size());
  }
  for (const auto& [peer, report] : this->peers) {
    if (const auto found = report.failures.find(replica);
        found != report.failures.end()) {
      total += found->second;
    }
  }
  return total;
}

std::vector<std::string> ReplicaHealth::Evaluate(
    const std::vector<std::string>& replicas,
    TimePoint now) {
  this->DropOld(now);
  double sum = 0;
  std::size_t suspected = 0;
  std::vector<std::pair<std::uint32_t, std::string>> suspects;
  for (const auto& replica : replicas) {
    if (this->IsSuspected(replica, now)) {
      ++suspected;
      continue;
    }
    const std::uint32_t failures = this->Total(replica);
    sum += failures;
    if (failures >= this->options.failures_before_suspicion) {
      suspects.emplace_back(failures, replica);
    }
  }
  std::sort(suspects.rbegin(), suspects.rend());
  std::vector<std::string> added;
  for (const auto& [failures, replica] : suspects) {
    const auto others = static_cast<double>(replicas.size() - suspected) - 1;
    const double mean = others < 1 ? sum : (sum - failures) / others;
    const bool is_share_used_up = static_cast<double>(suspected + 1) >
                                  this->options.largest_suspected_share *
                                      static_cast<double>(replicas.size());
    if (is_share_used_up || failures <= this->options.peer_factor * mean) {
      break;
    }
    Suspicion& suspicion = this->suspicions[replica];
    // A replica that was well for long starts with the shortest time again.
    const bool is_repeated = now - suspicion.until < this->options.longest_time;
    suspicion.time =
        is_repeated && suspicion.time > Duration::zero()
            ? std::min(2 * suspicion.time, this->options.longest_time)
            : this->options.first_time;
    suspicion.until = now + suspicion.time;
    sum -= failures;
    ++suspected;
    added.push_back(replica);
  }
  return added;
}

bool ReplicaHealth::IsSuspected(const std::string& replica,
                                TimePoint now) const {
  const auto found = this->suspicions.find(replica);
  return found != this->suspicions.end() && now < found->second.until;
}

void ReplicaHealth::Forget(const std::string& replica) {
  this->own.erase(replica);
  this->suspicions.erase(replica);
}

}  // namespace crocus
