#include "LibServing/replica_loads.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "LibCore/assertions.h"
#include "LibCore/hashing.h"

namespace crocus {

namespace {

std::uint32_t& CountOf(OutstandingRequests& outstanding, WorkClass work) {
  return work == WorkClass::kOnline ? outstanding.online : outstanding.batch;
}

}  // namespace

void ReplicaLoads::OnSent(const std::string& replica, WorkClass work) {
  ++CountOf(this->own_loads[replica], work);
}

void ReplicaLoads::OnEnded(const std::string& replica, WorkClass work) {
  auto& count = CountOf(this->own_loads[replica], work);
  VERIFY(count > 0);
  --count;
}

void ReplicaLoads::SubtractFromTotals(const PeerReport& report) {
  for (const auto& [replica, outstanding] : report.loads) {
    const auto found = this->peer_totals.find(replica);
    VERIFY(found != this->peer_totals.end() &&
           found->second.online >= outstanding.online &&
           found->second.batch >= outstanding.batch);
    found->second.online -= outstanding.online;
    found->second.batch -= outstanding.batch;
    if (found->second.total() == 0) {
      this->peer_totals.erase(found);
    }
  }
}

void ReplicaLoads::OnPeerReport(
    const ReportSource& source,
    std::map<std::string, OutstandingRequests> loads,
    TimePoint now) {
  if (source.is_whole_zone()) {
    std::erase_if(this->peer_reports, [this, &source](const auto& entry) {
      if (entry.first.availability_zone != source.availability_zone ||
          entry.first.is_whole_zone()) {
        return false;
      }
      this->SubtractFromTotals(entry.second);
      return true;
    });
  } else if (this->peer_reports.contains(
                 {.availability_zone = source.availability_zone, .host = {}})) {
    return;
  }
  std::erase_if(loads,
                [](const auto& entry) { return entry.second.total() == 0; });
  PeerReport& report = this->peer_reports[source];
  this->SubtractFromTotals(report);
  report = {.loads = std::move(loads), .received = now};
  for (const auto& [replica, outstanding] : report.loads) {
    auto& total = this->peer_totals[replica];
    total.online += outstanding.online;
    total.batch += outstanding.batch;
  }
}

void ReplicaLoads::DropExpiredReports(TimePoint now) {
  std::erase_if(this->peer_reports, [this, now](const auto& entry) {
    if (now - entry.second.received <= this->options.peer_report_lifetime) {
      return false;
    }
    this->SubtractFromTotals(entry.second);
    return true;
  });
}

OutstandingRequests ReplicaLoads::Own(const std::string& replica) const {
  const auto found = this->own_loads.find(replica);
  return found == this->own_loads.end() ? OutstandingRequests{} : found->second;
}

OutstandingRequests ReplicaLoads::Total(const std::string& replica) const {
  OutstandingRequests total = this->Own(replica);
  if (const auto found = this->peer_totals.find(replica);
      found != this->peer_totals.end()) {
    total.online += found->second.online;
    total.batch += found->second.batch;
  }
  return total;
}

std::uint32_t ReplicaLoads::OwnShareOfExcess(std::uint32_t excess,
                                             const std::string& replica) const {
  // The order differs between replicas, so that no host is always the first to
  // end its runs. Hosts of a zone follow each other in it, since other zones
  // know only their sum.
  const auto rank = [&replica](const ReportSource& source) {
    return std::tuple(HashBytes(replica + source.availability_zone),
                      HashBytes(replica + source.host), source);
  };
  const auto own_rank = rank(this->own_source);
  std::uint32_t earlier = 0;
  for (const auto& [source, report] : this->peer_reports) {
    const auto found = report.loads.find(replica);
    if (found != report.loads.end() && rank(source) < own_rank) {
      earlier += found->second.batch;
    }
  }
  return std::min(this->Own(replica).batch,
                  excess > earlier ? excess - earlier : 0);
}

std::map<std::string, OutstandingRequests> ReplicaLoads::OwnLoads() const {
  std::map<std::string, OutstandingRequests> loads;
  for (const auto& [replica, outstanding] : this->own_loads) {
    if (outstanding.total() > 0) {
      loads[replica] = outstanding;
    }
  }
  return loads;
}

std::map<std::string, OutstandingRequests> ReplicaLoads::ZoneLoads() const {
  auto loads = this->OwnLoads();
  for (const auto& [source, report] : this->peer_reports) {
    if (source.availability_zone != this->own_source.availability_zone ||
        source.is_whole_zone()) {
      continue;
    }
    for (const auto& [replica, outstanding] : report.loads) {
      auto& total = loads[replica];
      total.online += outstanding.online;
      total.batch += outstanding.batch;
    }
  }
  return loads;
}

}  // namespace crocus
