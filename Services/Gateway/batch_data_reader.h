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
};

/// Reads the bodies and texts of batch items from the store when they are
/// needed. A gateway keeps only those that were read last.
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

  void ReadFromLog(const records::DataPlace& place,
                   const std::string& key_prefix,
                   Callback on_done);
  /// Reads the newest records of the keys after `after_key`, page by page. The
  /// log of a partition is deleted after a while, the newest record of each key
  /// is not. `earlier` has the records of the pages before.
  void ReadFromNewest(const records::DataPlace& place,
                      const std::string& key_prefix,
                      Callback on_done,
                      const std::string& after_key,
                      std::shared_ptr<std::vector<KeyedRecord>> earlier);
  void AddToCache(const std::string& key_prefix, const std::string& bytes);

  boost::asio::io_context& loop;
  platform::StoreClient& store;
  const BatchDataReaderOptions options;
  /// The entry that was read last comes first.
  std::list<CacheEntry> cache;
  std::map<std::string, std::list<CacheEntry>::iterator> cache_index;
  std::size_t cached_bytes = 0;
};

}  // namespace crocus

#endif  // GATEWAY_BATCH_DATA_READER_H_
