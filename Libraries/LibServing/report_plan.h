#ifndef LIBSERVING_REPORT_PLAN_H_
#define LIBSERVING_REPORT_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

struct ReportPlanOptions {
  std::string own_address;
  std::string own_zone;
  /// Up to this many peers, each host reports to all others directly.
  std::size_t maximum_direct_peers = 20;
  /// A host that was heard of within this time counts as running.
  Duration peer_lifetime = std::chrono::milliseconds(1500);
  /// Peers that were not heard of for this long get reports only at
  /// `idle_peer_interval`.
  Duration idle_peer_threshold = std::chrono::seconds(5);
  Duration idle_peer_interval = std::chrono::seconds(2);
  /// Minimum interval between two reports to the same peer.
  Duration minimum_interval = std::chrono::milliseconds(50);
  /// Direct reports that a host sends per second at most. The interval between
  /// reports grows with the number of receivers beyond that.
  std::uint32_t maximum_reports_per_second = 400;
};

/// Decides which gateways receive which load reports, so that the traffic of a
/// host does not grow with the size of the fleet. It answers the load of the
/// reports themselves: if each of N hosts reports to all others, every host
/// receives N times as many datagrams as it sends, and most of them cross
/// zones.
///
/// In a small fleet, each host reports to all others. In a larger one, a host
/// reports to the hosts of its own availability zone, and one host of each zone
/// sends the sum of its zone's reports to one host of every other zone, which
/// passes it on within its zone. The receiving host differs for each report, so
/// that a host that does not respond costs one report, and the work is shared.
///
/// Not thread-safe.
class ReportPlan {
 public:
  explicit ReportPlan(ReportPlanOptions options)
      : options(std::move(options)) {}

  /// Adds a peer, or updates its zone if `zone` is not empty. Returns true if
  /// the peer is new.
  bool AddPeer(const std::string& address,
               const std::string& zone,
               TimePoint now);

  /// Zone of the peer; empty if the peer or its zone is not known.
  std::string ZoneOf(const std::string& address) const;

  /// The peer has sent a report.
  void OnReport(const std::string& address, TimePoint now);
  /// The peer has contributed to the report of its zone.
  void OnMember(std::uint64_t address_hash, TimePoint now);

  /// True if hosts of other zones get the sum of the zone's reports in place of
  /// each host's own.
  bool uses_zone_reports(TimePoint now) const;

  /// True if the peer gets this host's own reports.
  bool IsDirectReceiver(const std::string& address, TimePoint now) const;

  /// Addresses that get a report of this host now, and notes that they got it.
  std::vector<std::string> TakeDirectReceivers(TimePoint now);

  /// Minimum interval between two reports of this host.
  Duration DirectInterval(TimePoint now) const;

  /// True if this host sends the report of its zone: its address has the lowest
  /// hash of the zone's running hosts.
  bool is_zone_reporter(TimePoint now) const;

  /// Addresses that get report number `sequence` of this host's zone: one of
  /// each other zone.
  std::vector<std::string> ZoneReportReceivers(std::uint64_t sequence,
                                               TimePoint now) const;

  /// Number of running hosts, this one included.
  std::size_t RunningHosts(TimePoint now) const;

  /// Number of hosts that were heard of within that time or became known in it,
  /// this one included.
  std::size_t HostsWithin(Duration time, TimePoint now) const;

  /// Running peers in this host's zone.
  std::vector<std::string> ZoneMates(TimePoint now) const;

 private:
  struct Peer {
    std::string zone;
    std::uint64_t hash = 0;
    TimePoint last_heard{};
    TimePoint last_report_sent{};
  };

  bool IsRunning(const Peer& peer, TimePoint now) const {
    return now - peer.last_heard <= this->options.peer_lifetime;
  }

  /// Hosts of a zone that is not known yet get each host's own reports.
  bool ReachesDirectly(const Peer& peer, bool uses_zones) const {
    return !uses_zones || peer.zone.empty() ||
           peer.zone == this->options.own_zone;
  }

  const ReportPlanOptions options;
  /// By their addresses.
  std::map<std::string, Peer> peers;
  /// Zone reports name hosts by the hashes of their addresses.
  std::map<std::uint64_t, std::string> addresses_by_hash;
};

}  // namespace crocus

#endif  // LIBSERVING_REPORT_PLAN_H_
