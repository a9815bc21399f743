#include "LibServing/report_plan.h"

#include <algorithm>

#include "LibCore/hashing.h"

namespace crocus {

bool ReportPlan::AddPeer(const std::string& address,
                         const std::string& zone,
                         TimePoint now) {
  if (address == this->options.own_address) {
    return false;
  }
  const auto [found, is_new] = this->peers.try_emplace(
      address, Peer{.hash = HashBytes(address), .last_heard = now});
  this->addresses_by_hash[found->second.hash] = address;
  if (!zone.empty()) {
    found->second.zone = zone;
  }
  return is_new;
}

std::string ReportPlan::ZoneOf(const std::string& address) const {
  const auto found = this->peers.find(address);
  return found == this->peers.end() ? std::string() : found->second.zone;
}

void ReportPlan::OnReport(const std::string& address, TimePoint now) {
  if (const auto found = this->peers.find(address);
      found != this->peers.end()) {
    found->second.last_heard = now;
  }
}

void ReportPlan::OnMember(std::uint64_t address_hash, TimePoint now) {
  if (const auto found = this->addresses_by_hash.find(address_hash);
      found != this->addresses_by_hash.end()) {
    this->OnReport(found->second, now);
  }
}

bool ReportPlan::uses_zone_reports(TimePoint now) const {
  const auto active = std::count_if(this->peers.begin(), this->peers.end(),
                                    [this, now](const auto& entry) {
                                      return now - entry.second.last_heard <=
                                             this->options.idle_peer_threshold;
                                    });
  return static_cast<std::size_t>(active) > this->options.maximum_direct_peers;
}

bool ReportPlan::IsDirectReceiver(const std::string& address,
                                  TimePoint now) const {
  const auto found = this->peers.find(address);
  return found != this->peers.end() &&
         this->ReachesDirectly(found->second, this->uses_zone_reports(now));
}

std::vector<std::string> ReportPlan::TakeDirectReceivers(TimePoint now) {
  const bool is_zone_only = this->uses_zone_reports(now);
  std::vector<std::string> receivers;
  for (auto& [address, peer] : this->peers) {
    if (!this->ReachesDirectly(peer, is_zone_only)) {
      continue;
    }
    if (now - peer.last_heard > this->options.idle_peer_threshold &&
        now - peer.last_report_sent < this->options.idle_peer_interval) {
      continue;
    }
    peer.last_report_sent = now;
    receivers.push_back(address);
  }
  return receivers;
}

Duration ReportPlan::DirectInterval(TimePoint now) const {
  const bool is_zone_only = this->uses_zone_reports(now);
  const auto receivers = std::count_if(
      this->peers.begin(), this->peers.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return now - peer.last_heard <= this->options.idle_peer_threshold &&
               this->ReachesDirectly(peer, is_zone_only);
      });
  return std::max<Duration>(
      this->options.minimum_interval,
      Duration(std::chrono::seconds(receivers)) /
          static_cast<int>(this->options.maximum_reports_per_second));
}

bool ReportPlan::is_zone_reporter(TimePoint now) const {
  if (!this->uses_zone_reports(now)) {
    return false;
  }
  const std::uint64_t own_hash = HashBytes(this->options.own_address);
  return std::none_of(this->peers.begin(), this->peers.end(),
                      [&](const auto& entry) {
                        return entry.second.zone == this->options.own_zone &&
                               this->IsRunning(entry.second, now) &&
                               entry.second.hash < own_hash;
                      });
}

std::vector<std::string> ReportPlan::ZoneReportReceivers(std::uint64_t sequence,
                                                         TimePoint now) const {
  std::map<std::string, std::vector<std::string>> candidates;
  for (const auto& [address, peer] : this->peers) {
    if (!peer.zone.empty() && peer.zone != this->options.own_zone &&
        now - peer.last_heard <= this->options.idle_peer_threshold) {
      candidates[peer.zone].push_back(address);
    }
  }
  std::vector<std::string> receivers;
  // Each zone starts at another position, so that the reports of several zones
  // do not reach the same host at the same time.
  const std::uint64_t offset = HashBytes(this->options.own_zone);
  receivers.reserve(candidates.size());
  for (const auto& [zone, addresses] : candidates) {
    receivers.push_back(addresses[(sequence + offset) % addresses.size()]);
  }
  return receivers;
}

std::vector<std::string> ReportPlan::ZoneMates(TimePoint now) const {
  std::vector<std::string> mates;
  for (const auto& [address, peer] : this->peers) {
    if (peer.zone == this->options.own_zone && this->IsRunning(peer, now)) {
      mates.push_back(address);
    }
  }
  return mates;
}

std::size_t ReportPlan::RunningHosts(TimePoint now) const {
  return this->HostsWithin(this->options.peer_lifetime, now);
}

std::size_t ReportPlan::HostsWithin(Duration time, TimePoint now) const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(this->peers.begin(), this->peers.end(),
                               [time, now](const auto& entry) {
                                 return now - entry.second.last_heard <= time;
                               }));
}

}  // namespace crocus
