#include "LibServing/peer_items.h"

#include <algorithm>
#include <utility>

#include "LibCore/hashing.h"

namespace crocus {

namespace {

/// Reports come twice a second at least; a peer without one has gone.
constexpr Duration kReportLife = std::chrono::milliseconds(1500);

}  // namespace

std::uint64_t ItemReference::Hash() const {
  return HashBytes(this->job, this->item);
}

void PeerItems::OnReport(const std::string& peer,
                         std::set<std::uint64_t> items,
                         TimePoint now) {
  this->reports[peer] = {.items = std::move(items), .received = now};
}

bool PeerItems::IsRunning(const ItemReference& item, TimePoint now) const {
  const std::uint64_t hash = item.Hash();
  return std::any_of(this->reports.begin(), this->reports.end(),
                     [hash, now](const auto& entry) {
                       return now - entry.second.received <= kReportLife &&
                              entry.second.items.contains(hash);
                     });
}

}  // namespace crocus
