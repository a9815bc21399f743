#ifndef LIBSERVING_REPLICA_LOADS_H_
#define LIBSERVING_REPLICA_LOADS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibServing/report_source.h"

namespace crocus {

enum class WorkClass { kOnline, kBatch };

/// Requests that were sent to a replica and have not ended.
struct OutstandingRequests {
  std::uint32_t online = 0;
  std::uint32_t batch = 0;

  std::uint32_t total() const { return this->online + this->batch; }

  bool operator==(const OutstandingRequests&) const = default;
};

struct ReplicaLoadsOptions {
  /// A peer's report counts for this long. Reports arrive several times a
  /// second, so a peer without one is unavailable or disconnected.
  Duration peer_report_lifetime = std::chrono::milliseconds(1500);
};

/// The outstanding requests of this host and its peers at each replica. Not
/// thread-safe.
class ReplicaLoads {
 public:
  explicit ReplicaLoads(ReplicaLoadsOptions options = {}) : options(options) {}

  void OnSent(const std::string& replica, WorkClass work);
  void OnEnded(const std::string& replica, WorkClass work);

  /// Sets the source under which peers record this host's reports.
  void set_own_source(const ReportSource& source) { this->own_source = source; }

  /// Replaces the previous report of the source. The report of a whole zone
  /// also replaces those of the zone's hosts; as long as it counts, theirs are
  /// ignored.
  void OnPeerReport(const ReportSource& source,
                    std::map<std::string, OutstandingRequests> loads,
                    TimePoint now);
  /// Drops reports that are older than `peer_report_lifetime`. Must be called
  /// regularly: until then, such reports still count.
  void DropExpiredReports(TimePoint now);

  /// Requests of this host and its peers together.
  OutstandingRequests Total(const std::string& replica) const;
  /// Requests of this host.
  OutstandingRequests Own(const std::string& replica) const;
  /// This host's share of `excess` batch runs that have to end at the replica.
  /// All hosts compute the same order in which they end their runs, so that
  /// together they end that many runs, instead of one or more each.
  std::uint32_t OwnShareOfExcess(std::uint32_t excess,
                                 const std::string& replica) const;
  /// Requests of this host by replica, without replicas that have none.
  std::map<std::string, OutstandingRequests> OwnLoads() const;
  /// Requests of this host and the other hosts of its zone by replica, without
  /// replicas that have none.
  std::map<std::string, OutstandingRequests> ZoneLoads() const;

 private:
  struct PeerReport {
    std::map<std::string, OutstandingRequests> loads;
    TimePoint received{};
  };

  void SubtractFromTotals(const PeerReport& report);

  const ReplicaLoadsOptions options;
  std::map<std::string, OutstandingRequests> own_loads;
  std::map<ReportSource, PeerReport> peer_reports;
  /// Sum of `peer_reports` by replica. It is updated with each report, since a
  /// placement reads it for every replica of an endpoint.
  std::map<std::string, OutstandingRequests> peer_totals;
  ReportSource own_source;
};

}  // namespace crocus

#endif  // LIBSERVING_REPLICA_LOADS_H_
