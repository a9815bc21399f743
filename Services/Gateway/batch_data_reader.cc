#include "Gateway/batch_data_reader.h"

#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

namespace crocus {

namespace {

/// Timeout of a read of the newest records.
constexpr Duration kNewestTimeout = std::chrono::milliseconds(1500);
/// Allowance for the key and the length fields of a record, in bytes.
constexpr std::uint64_t kRecordOverhead = 300;
constexpr std::uint64_t kBytesPerKibibyte = 1024;

/// The joined values of the parts; none unless all of them are in `records` and
/// have the size of `place` together.
std::optional<std::string> JoinParts(const std::vector<KeyedRecord>& records,
                                     const records::DataPlace& place,
                                     const std::string& key_prefix) {
  std::string joined;
  std::uint32_t parts = 0;
  // Records of a place follow each other, and the newest records are in the
  // order of their keys, so that part 10 comes before part 2.
  std::map<std::string, const KeyedRecord*> by_key;
  for (const auto& record : records) {
    if (record.value && record.key.rfind(key_prefix, 0) == 0) {
      by_key[record.key] = &record;
    }
  }
  for (; parts < place.parts; ++parts) {
    const auto found = by_key.find(key_prefix + std::to_string(parts));
    if (found == by_key.end()) {
      return std::nullopt;
    }
    joined += *found->second->value;
  }
  return joined.size() == place.bytes ? std::optional(std::move(joined))
                                      : std::nullopt;
}

}  // namespace

BatchDataReader::BatchDataReader(boost::asio::io_context& loop,
                                 platform::StoreClient& store,
                                 BatchDataReaderOptions options)
    : loop(loop), store(store), options(std::move(options)) {}

void BatchDataReader::Read(const records::DataPlace& place,
                           const std::string& key_prefix,
                           Callback on_done) {
  if (place.parts == 0) {
    boost::asio::post(
        this->loop, [on_done = std::move(on_done)] { on_done(std::string()); });
    return;
  }
  if (const auto found = this->cache_index.find(key_prefix);
      found != this->cache_index.end()) {
    this->cache.splice(this->cache.begin(), this->cache, found->second);
    boost::asio::post(this->loop,
                      [on_done = std::move(on_done),
                       bytes = found->second->bytes] { on_done(bytes); });
    return;
  }
  this->ReadFromLog(place, key_prefix, std::move(on_done));
}

void BatchDataReader::ReadFromLog(const records::DataPlace& place,
                                  const std::string& key_prefix,
                                  Callback on_done) {
  const std::uint64_t bytes = place.bytes + place.parts * kRecordOverhead;
  this->store.Read(
      {.topic = this->options.topic, .partition = place.partition},
      place.offset,
      {.kibibytes = static_cast<std::uint32_t>(bytes / kBytesPerKibibyte) + 1},
      [this, place, key_prefix, on_done = std::move(on_done)](auto page) {
        if (!page && page.error().code != ErrorCode::kNotFound) {
          on_done(tl::unexpected(page.error()));
          return;
        }
        if (page) {
          if (auto joined = JoinParts(page->records, place, key_prefix)) {
            this->AddToCache(key_prefix, *joined);
            on_done(std::move(*joined));
            return;
          }
        }
        this->ReadFromNewest(place, key_prefix, on_done, key_prefix,
                             std::make_shared<std::vector<KeyedRecord>>());
      });
}

void BatchDataReader::ReadFromNewest(
    const records::DataPlace& place,
    const std::string& key_prefix,
    Callback on_done,
    const std::string& after_key,
    std::shared_ptr<std::vector<KeyedRecord>> earlier) {
  this->store.ReadNewest(
      {.topic = this->options.topic, .partition = place.partition}, after_key,
      kNewestTimeout,
      [this, place, key_prefix, on_done = std::move(on_done),
       earlier = std::move(earlier)](auto page) {
        if (!page) {
          on_done(tl::unexpected(page.error()));
          return;
        }
        std::move(page->records.begin(), page->records.end(),
                  std::back_inserter(*earlier));
        if (auto joined = JoinParts(*earlier, place, key_prefix)) {
          this->AddToCache(key_prefix, *joined);
          on_done(std::move(*joined));
          return;
        }
        if (page->has_more && page->last_key.starts_with(key_prefix)) {
          this->ReadFromNewest(place, key_prefix, on_done, page->last_key,
                               earlier);
          return;
        }
        on_done(Failure(ErrorCode::kNotFound,
                        "the store has no such body or text"));
      });
}

void BatchDataReader::AddToCache(const std::string& key_prefix,
                                 const std::string& bytes) {
  if (bytes.size() > this->options.cache_bytes ||
      this->cache_index.contains(key_prefix)) {
    return;
  }
  this->cache.push_front({.key_prefix = key_prefix, .bytes = bytes});
  this->cache_index[key_prefix] = this->cache.begin();
  this->cached_bytes += bytes.size();
  while (this->cached_bytes > this->options.cache_bytes) {
    this->cached_bytes -= this->cache.back().bytes.size();
    this->cache_index.erase(this->cache.back().key_prefix);
    this->cache.pop_back();
  }
}

}  // namespace crocus
