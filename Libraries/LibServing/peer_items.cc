#include "LibServing/peer_items.h"

#include <algorithm>
#include <utility>

#include "LibCore/hashing.h"

namespace crocus {

namespace {

/// Hosts report at least twice a second, so a peer without a report for this
/// long is unavailable.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);

}  // namespace

std::uint64_t ItemReference::Hash() const {
  return HashBytes(this->job, this->item);
}

void PeerItems::OnReport(const ReportSource& source,
                         std::set<std::uint64_t> item_hashes,
                         std::int64_t next_due_ms,
                         TimePoint now) {
  this->reports[source] = {.item_hashes = std::move(item_hashes),
                           .next_due_ms = next_due_ms,
                           .received = now};
}

template <typename Visit>
void PeerItems::VisitReports(TimePoint now, Visit visit) const {
  for (const auto& [source, report] : this->reports) {
    if (now - report.received <= kReportLifetime) {
      visit(source, report);
    }
  }
}

std::optional<std::int64_t> PeerItems::EarliestDue(
    TimePoint now,
    const std::optional<std::string>& zone) const {
  std::optional<std::int64_t> earliest;
  this->VisitReports(
      now, [&](const ReportSource& source, const Report& report) {
        if (report.next_due_ms != 0 &&
            (!zone || source.availability_zone == *zone)) {
          earliest = std::min(report.next_due_ms,
                              earliest.value_or(report.next_due_ms));
        }
      });
  return earliest;
}

std::set<std::uint64_t> PeerItems::ItemsInZone(const std::string& zone,
                                               TimePoint now) const {
  std::set<std::uint64_t> items;
  this->VisitReports(
      now, [&](const ReportSource& source, const Report& report) {
        if (source.availability_zone == zone && !source.is_whole_zone()) {
          items.insert(report.item_hashes.begin(), report.item_hashes.end());
        }
      });
  return items;
}

bool PeerItems::IsRunning(const ItemReference& item, TimePoint now) const {
  const std::uint64_t hash = item.Hash();
  return std::any_of(this->reports.begin(), this->reports.end(),
                     [hash, now](const auto& entry) {
                       return now - entry.second.received <= kReportLifetime &&
                              entry.second.item_hashes.contains(hash);
                     });
}

}  // namespace crocus
