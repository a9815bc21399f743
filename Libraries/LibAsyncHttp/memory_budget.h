#ifndef LIBASYNCHTTP_MEMORY_BUDGET_H_
#define LIBASYNCHTTP_MEMORY_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

#include "LibCore/time.h"

namespace crocus {

/// Time after which a caller should repeat a request for which there was no
/// memory: about that after which a caller without progress is evicted.
constexpr Duration kNoMemoryRetryAfter = std::chrono::milliseconds(500);

/// What the connection of a holder waits for.
enum class HolderState {
  /// The client's next request.
  kIdle,
  /// The rest of a request.
  kReceiving,
  /// The handling of a request. Such a holder is never evicted: its request may
  /// have run.
  kWorking,
  /// The client, which must read a response.
  kSending,
};

struct MemoryBudgetOptions {
  /// Bytes that all holders together may have.
  std::uint64_t bytes = 0;
  /// Holders up to this size may use all bytes, larger ones all but an eighth.
  /// So small requests are served beside large ones that make progress.
  std::uint64_t small_bytes = 64u << 10;
  /// Bytes per second that count as progress, or the bytes held over
  /// `largest_hold`, whichever is more. It decides only who is evicted when the
  /// budget is used up, so a client may be slower in calm.
  std::uint64_t minimum_rate = 1u << 10;
  std::chrono::seconds largest_hold{32};
  /// Time without progress after which a holder may be evicted. Clients that
  /// send or read at full speed have pauses of some round trips.
  Duration evictable_after = std::chrono::milliseconds(500);
  /// The same for an idle connection, if room is needed for another one. The
  /// first request arrives within some round trips of the connection.
  Duration idle_evictable_after = std::chrono::milliseconds(250);
};

/// The account of the bytes that clients make the process hold. If they are
/// used up, the client goes first that has held most for longest without
/// progress; the request that needs them is refused if there is no such client.
/// Makes decisions only: there is no I/O and no clock.
class MemoryBudget {
 public:
  using HolderId = std::uint64_t;

  explicit MemoryBudget(MemoryBudgetOptions options);

  /// Adds a holder without bytes. `on_evicted` must release its bytes as far as
  /// possible; it is called once at most, from within Resize or
  /// EvictForConnection.
  HolderId Add(TimePoint now, std::function<void()> on_evicted);
  void Remove(HolderId holder);

  /// Changes the bytes of a holder. Others may be evicted for that. Returns
  /// false, and changes nothing, if there is no room.
  bool Resize(HolderId holder, std::uint64_t bytes, TimePoint now);
  /// Changes the bytes of a holder that has them already.
  void Charge(HolderId holder, std::uint64_t bytes);

  /// A change of the state counts as progress.
  void SetState(HolderId holder, HolderState state, TimePoint now);
  /// The client has sent or read this many bytes.
  void OnProgress(HolderId holder, std::uint64_t bytes, TimePoint now);

  /// Evicts a holder because its connection is needed for another one: the one
  /// that was idle for longest, or else the one without progress for longest.
  /// Returns false if there is none.
  bool EvictForConnection(TimePoint now);

  std::uint64_t held() const { return this->held_bytes; }
  std::uint64_t limit() const { return this->options.bytes; }
  std::size_t holders() const { return this->entries.size(); }
  /// Holders evicted for bytes, and requests refused, since the start.
  std::uint64_t evicted() const { return this->evicted_count; }
  std::uint64_t refused() const { return this->refused_count; }

 private:
  struct Entry {
    std::uint64_t bytes = 0;
    HolderState state = HolderState::kIdle;
    /// Up to when the progress so far suffices.
    TimePoint covered_until{};
    std::function<void()> on_evicted;
  };

  bool HasRoom(std::uint64_t previous, std::uint64_t bytes) const;
  /// The holder to evict in place of refusing `requester`.
  std::optional<HolderId> ChooseVictim(HolderId requester, TimePoint now) const;
  void Evict(HolderId holder);

  const MemoryBudgetOptions options;
  std::unordered_map<HolderId, Entry> entries;
  HolderId next_holder = 1;
  std::uint64_t held_bytes = 0;
  std::uint64_t evicted_count = 0;
  std::uint64_t refused_count = 0;
  /// Until then no victim is looked for, as there was none a moment ago.
  TimePoint next_choice{};
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_MEMORY_BUDGET_H_
