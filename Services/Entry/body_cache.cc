#include "Entry/body_cache.h"

#include "LibMessages/codec.h"

namespace crocus {

void BodyCache::Put(std::uint32_t partition,
                    std::uint64_t offset,
                    std::string_view data) {
  const auto append = Decode<records::Append>(data);
  if (!append) {
    return;
  }
  Bodies bodies{.items = {}, .bytes = data.size(), .recency = {}};
  const auto add = [&bodies](auto& record) {
    if (!record) {
      return;
    }
    for (auto& item : record->items) {
      const ItemKey key{.job = record->job, .index = item.index};
      bodies.items.try_emplace(key, std::move(item));
    }
  };
  using records::RecordType;
  for (const auto& envelope : append->records) {
    if (envelope.type == static_cast<std::uint16_t>(RecordType::kJobItems)) {
      auto record = Decode<records::JobItems>(envelope.body);
      add(record);
    } else if (envelope.type ==
               static_cast<std::uint16_t>(RecordType::kCarriedItems)) {
      auto record = Decode<records::CarriedItems>(envelope.body);
      add(record);
    }
  }
  if (bodies.items.empty()) {
    return;
  }
  std::lock_guard lock(this->mutex);
  const AppendLocation location{partition, offset};
  if (this->appends.contains(location)) {
    return;
  }
  this->recently_used.push_front(location);
  bodies.recency = this->recently_used.begin();
  this->bytes += bodies.bytes;
  this->appends.emplace(location, std::move(bodies));
  while (this->bytes > this->maximum_bytes && this->recently_used.size() > 1) {
    const auto oldest = this->appends.find(this->recently_used.back());
    this->bytes -= oldest->second.bytes;
    this->appends.erase(oldest);
    this->recently_used.pop_back();
  }
}

std::optional<records::ItemBody> BodyCache::Find(std::uint32_t partition,
                                                 std::uint64_t offset,
                                                 const ItemKey& item) {
  std::lock_guard lock(this->mutex);
  const auto found = this->appends.find({partition, offset});
  if (found == this->appends.end()) {
    return std::nullopt;
  }
  this->recently_used.splice(this->recently_used.begin(), this->recently_used,
                             found->second.recency);
  const auto body = found->second.items.find(item);
  return body == found->second.items.end() ? std::nullopt
                                           : std::optional(body->second);
}

}  // namespace crocus
