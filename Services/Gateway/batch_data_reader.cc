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
        auto read =
            std::make_shared<NewestRead>(NewestRead{.after_key = key_prefix});
        if (auto partial = this->partial_reads.extract(key_prefix)) {
          *read = std::move(partial.mapped());
        }
        this->ReadFromNewest(place, key_prefix, on_done, std::move(read));
      });
}

void BatchDataReader::ReadFromNewest(const records::DataPlace& place,
                                     const std::string& key_prefix,
                                     Callback on_done,
                                     std::shared_ptr<NewestRead> read) {
  this->store.ReadNewest(
      {.topic = this->options.topic, .partition = place.partition},
      read->after_key, kNewestTimeout,
      [this, place, key_prefix, on_done = std::move(on_done), read](auto page) {
        if (!page) {
          this->KeepPartialRead(key_prefix, *read);
          on_done(tl::unexpected(page.error()));
          return;
        }
        std::move(page->records.begin(), page->records.end(),
                  std::back_inserter(read->records));
        read->after_key = page->last_key;
        if (auto joined = JoinParts(read->records, place, key_prefix)) {
          this->AddToCache(key_prefix, *joined);
          on_done(std::move(*joined));
          return;
        }
        if (page->has_more && page->last_key.starts_with(key_prefix)) {
          this->ReadFromNewest(place, key_prefix, on_done, read);
          return;
        }
        on_done(Failure(ErrorCode::kNotFound,
                        "the store has no such body or text"));
      });
}

std::size_t BatchDataReader::NewestRead::bytes() const {
  std::size_t sum = 0;
  for (const auto& record : this->records) {
    sum += record.value ? record.value->size() : 0;
  }
  return sum;
}

void BatchDataReader::KeepPartialRead(const std::string& key_prefix,
                                      const NewestRead& read) {
  std::size_t kept = read.bytes();
  if (kept == 0 || kept > this->options.partial_bytes) {
    return;
  }
  std::erase_if(this->partial_reads, [this, &kept](const auto& entry) {
    const std::size_t bytes = entry.second.bytes();
    if (kept + bytes > this->options.partial_bytes) {
      return true;
    }
    kept += bytes;
    return false;
  });
  this->partial_reads[key_prefix] = read;
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
