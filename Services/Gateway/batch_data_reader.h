#ifndef GATEWAY_BATCH_DATA_READER_H_
#define GATEWAY_BATCH_DATA_READER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "LibCore/result.h"
#include "LibMessages/records.h"
#include "platform/store_client.h"

namespace crocus {

struct BatchDataReaderOptions {
  std::string topic;
  /// Size of the bodies and texts that are kept to be read again.
  std::size_t cache_bytes = 2u << 20;
  /// Size of the parts that are kept of reads that failed between two pages.
  std::size_t partial_bytes = 8u << 20;
};

/// Reads the bodies and texts of batch items from the store when they are
/// needed. A gateway keeps only those that were read last, and the pages of
/// reads that failed, so that the next read goes on behind them.
class BatchDataReader {
 public:
  using Callback = std::function<void(Result<std::string>)>;

  BatchDataReader(boost::asio::io_context& loop,
                  platform::StoreClient& store,
                  BatchDataReaderOptions options);

  /// Reads the bytes at `place`, whose records have the keys `key_prefix` and
  /// the number of the part. Fails with the store's error, or with kNotFound if
  /// the records do not exist any more. The callback is never called from
  /// within this function.
  void Read(const records::DataPlace& place,
            const std::string& key_prefix,
            Callback on_done);

 private:
  struct CacheEntry {
    std::string key_prefix;
    std::string bytes;
  };

  /// Newest records that were read, and the key after which the next page
  /// begins.
  struct NewestRead {
    std::vector<KeyedRecord> records;
    std::string after_key;

    std::size_t bytes() const;
  };

  void ReadFromLog(const records::DataPlace& place,
                   const std::string& key_prefix,
                   Callback on_done);
  /// Reads the newest records page by page. The log of a partition is deleted
  /// after a while, the newest record of each key is not. `read` has what was
  /// read before.
  void ReadFromNewest(const records::DataPlace& place,
                      const std::string& key_prefix,
                      Callback on_done,
                      std::shared_ptr<NewestRead> read);
  /// Keeps what was read before a page failed.
  void KeepPartialRead(const std::string& key_prefix, const NewestRead& read);
  void AddToCache(const std::string& key_prefix, const std::string& bytes);

  boost::asio::io_context& loop;
  platform::StoreClient& store;
  const BatchDataReaderOptions options;
  /// The entry that was read last comes first.
  std::list<CacheEntry> cache;
  std::map<std::string, std::list<CacheEntry>::iterator> cache_index;
  std::size_t cached_bytes = 0;
  /// Failed reads by the prefix of their keys.
  std::map<std::string, NewestRead> partial_reads;
};

}  // namespace crocus

#endif  // GATEWAY_BATCH_DATA_READER_H_
