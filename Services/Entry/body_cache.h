#ifndef ENTRY_BODY_CACHE_H_
#define ENTRY_BODY_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

#include "LibLedger/partition_owner.h"

namespace crocus {

/// Caches the item bodies of recently read appends, so that the items of one
/// append require one read of the log and can be sent while the log is
/// unavailable. The least recently used appends are evicted at the limit.
/// Thread-safe.
class BodyCache {
 public:
  explicit BodyCache(std::size_t maximum_bytes)
      : maximum_bytes(maximum_bytes) {}

  /// Adds the items of an append, if it contains any.
  void Put(std::uint32_t partition,
           std::uint64_t offset,
           std::string_view data);
  std::optional<records::ItemBody> Find(std::uint32_t partition,
                                        std::uint64_t offset,
                                        const ItemKey& item);

 private:
  using AppendLocation = std::pair<std::uint32_t, std::uint64_t>;
  struct Bodies {
    std::map<ItemKey, records::ItemBody> items;
    std::size_t bytes = 0;
    std::list<AppendLocation>::iterator recency;
  };

  const std::size_t maximum_bytes;

  /// Guards what follows; a leaf lock.
  std::mutex mutex;
  std::map<AppendLocation, Bodies> appends;
  /// Most recently used first.
  std::list<AppendLocation> recently_used;
  std::size_t bytes = 0;
};

}  // namespace crocus

#endif  // ENTRY_BODY_CACHE_H_
