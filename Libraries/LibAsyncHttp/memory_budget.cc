#include "LibAsyncHttp/memory_budget.h"

#include <algorithm>
#include <utility>

namespace crocus {

namespace {

/// A search that found nobody is not repeated within this time. Searches cost
/// time for each connection, and a crowd causes one with each read.
constexpr Duration kChoiceInterval = std::chrono::milliseconds(20);
constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;

}  // namespace

MemoryBudget::MemoryBudget(MemoryBudgetOptions options) : options(options) {}

MemoryBudget::HolderId MemoryBudget::Add(TimePoint now,
                                         std::function<void()> on_evicted) {
  const HolderId holder = this->next_holder++;
  this->entries[holder] = {.covered_until = now,
                           .on_evicted = std::move(on_evicted)};
  return holder;
}

void MemoryBudget::Remove(HolderId holder) {
  if (const auto found = this->entries.find(holder);
      found != this->entries.end()) {
    this->held_bytes -= found->second.bytes;
    this->entries.erase(found);
  }
}

bool MemoryBudget::HasRoom(std::uint64_t previous, std::uint64_t bytes) const {
  const std::uint64_t limit = bytes <= this->options.small_bytes
                                  ? this->options.bytes
                                  : this->options.bytes / 8 * 7;
  return this->held_bytes - previous + bytes <= limit;
}

bool MemoryBudget::Resize(HolderId holder, std::uint64_t bytes, TimePoint now) {
  const auto found = this->entries.find(holder);
  if (found == this->entries.end()) {
    return false;
  }
  while (bytes > found->second.bytes &&
         !this->HasRoom(found->second.bytes, bytes)) {
    const auto victim = now < this->next_choice
                            ? std::nullopt
                            : this->ChooseVictim(holder, now);
    if (!victim) {
      this->next_choice = std::max(this->next_choice, now + kChoiceInterval);
      ++this->refused_count;
      return false;
    }
    ++this->evicted_count;
    this->Evict(*victim);
  }
  this->Charge(holder, bytes);
  return true;
}

void MemoryBudget::Charge(HolderId holder, std::uint64_t bytes) {
  if (const auto found = this->entries.find(holder);
      found != this->entries.end()) {
    this->held_bytes = this->held_bytes - found->second.bytes + bytes;
    found->second.bytes = bytes;
  }
}

void MemoryBudget::SetState(HolderId holder, HolderState state, TimePoint now) {
  const auto found = this->entries.find(holder);
  if (found != this->entries.end() && found->second.state != state) {
    found->second.state = state;
    found->second.covered_until = now;
  }
}

void MemoryBudget::OnProgress(HolderId holder,
                              std::uint64_t bytes,
                              TimePoint now) {
  const auto found = this->entries.find(holder);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  const auto hold =
      static_cast<std::uint64_t>(this->options.largest_hold.count());
  const std::uint64_t rate =
      std::max(this->options.minimum_rate, entry.bytes / hold);
  entry.covered_until =
      std::min(now, entry.covered_until +
                        Duration(bytes * kMicrosecondsPerSecond / rate));
}

std::optional<MemoryBudget::HolderId> MemoryBudget::ChooseVictim(
    HolderId requester,
    TimePoint now) const {
  std::optional<HolderId> victim;
  double highest = 0;
  for (const auto& [holder, entry] : this->entries) {
    const Duration stalled = now - entry.covered_until;
    if (holder == requester || !entry.on_evicted ||
        (entry.state != HolderState::kReceiving &&
         entry.state != HolderState::kSending) ||
        stalled < this->options.evictable_after) {
      continue;
    }
    const double score =
        static_cast<double>(entry.bytes) * static_cast<double>(stalled.count());
    // Ties are broken by age, so that the choice does not depend on the order
    // of the table.
    if (score > highest || (victim && score == highest && holder < *victim)) {
      highest = score;
      victim = holder;
    }
  }
  return victim;
}

void MemoryBudget::Evict(HolderId holder) {
  const auto on_evicted =
      std::exchange(this->entries.at(holder).on_evicted, nullptr);
  on_evicted();
}

bool MemoryBudget::EvictForConnection(TimePoint now) {
  std::optional<HolderId> victim;
  std::pair<bool, Duration> highest;
  for (const auto& [holder, entry] : this->entries) {
    const bool is_idle = entry.state == HolderState::kIdle;
    const Duration stalled = now - entry.covered_until;
    if (entry.state == HolderState::kWorking || !entry.on_evicted ||
        stalled < (is_idle ? this->options.idle_evictable_after
                           : this->options.evictable_after)) {
      continue;
    }
    const std::pair rank(is_idle, stalled);
    if (!victim || rank > highest || (rank == highest && holder < *victim)) {
      highest = rank;
      victim = holder;
    }
  }
  if (!victim) {
    return false;
  }
  this->Evict(*victim);
  return true;
}

}  // namespace crocus
