#ifndef LIBSERVING_PEER_ITEMS_H_
#define LIBSERVING_PEER_ITEMS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "LibCore/time.h"
#include "LibServing/report_source.h"

namespace crocus {

/// An item of a batch job.
struct ItemReference {
  std::string job;
  std::uint32_t item = 0;

  /// The hash that stands for the item in the reports between hosts.
  std::uint64_t Hash() const;

  bool operator==(const ItemReference&) const = default;
  bool operator<(const ItemReference& other) const {
    return std::tie(this->job, this->item) < std::tie(other.job, other.item);
  }
};

/// The batch items that run on other hosts, and the earliest due times of those
/// that wait there, from the hosts' reports. When a job is reassigned from one
/// host to another, its new host skips the items that still run on the previous
/// one.
class PeerItems {
 public:
  /// Replaces the previous report of the source. `item_hashes` are the hashes
  /// of the items that run there. `next_due_ms` is the earliest due time of
  /// those that wait there, in ms since the Unix epoch; 0 if no item waits.
  void OnReport(const ReportSource& source,
                std::set<std::uint64_t> item_hashes,
                std::int64_t next_due_ms,
                TimePoint now);

  /// Earliest due time of an item that waits at a peer, or only at the peers of
  /// that zone, in ms since the Unix epoch; none if no item waits.
  std::optional<std::int64_t> EarliestDue(
      TimePoint now,
      const std::optional<std::string>& zone = std::nullopt) const;

  /// Hashes of the items that run at the peers in that zone.
  std::set<std::uint64_t> ItemsInZone(const std::string& zone,
                                      TimePoint now) const;

  bool IsRunning(const ItemReference& item, TimePoint now) const;

 private:
  struct Report {
    std::set<std::uint64_t> item_hashes;
    std::int64_t next_due_ms = 0;
    TimePoint received{};
  };

  /// Calls `visit` for each report that has not expired.
  template <typename Visit>
  void VisitReports(TimePoint now, Visit visit) const;

  std::map<ReportSource, Report> reports;
};

}  // namespace crocus

#endif  // LIBSERVING_PEER_ITEMS_H_
