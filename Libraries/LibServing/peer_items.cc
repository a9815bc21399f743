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

void PeerItems::OnReport(const std::string& peer,
                         std::set<std::uint64_t> item_hashes,
                         std::int64_t next_due_ms,
                         TimePoint now) {
  this->reports[peer] = {.item_hashes = std::move(item_hashes),
                         .next_due_ms = next_due_ms,
                         .received = now};
}

std::optional<std::int64_t> PeerItems::EarliestDue(TimePoint now) const {
  std::optional<std::int64_t> earliest;
  for (const auto& [peer, report] : this->reports) {
    if (now - report.received <= kReportLifetime && report.next_due_ms != 0) {
      earliest =
          std::min(report.next_due_ms, earliest.value_or(report.next_due_ms));
    }
  }
  return earliest;
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
