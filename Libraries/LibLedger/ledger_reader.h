#ifndef LIBLEDGER_LEDGER_READER_H_
#define LIBLEDGER_LEDGER_READER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "LibCore/result.h"
#include "LibLedger/log_client.h"
#include "LibLedger/partition_ledger.h"

namespace crocus {

/// Follows a partition's stream: decides where to read and applies the pages
/// to the ledger. No I/O.
///
/// It first reads back from the end of the stream, page by page, until it has
/// every part of one snapshot, so a start costs the records since the newest
/// snapshot. If there is none, it replays from offset 1. A reader whose next
/// offset was trimmed starts over the same way.
class LedgerReader {
 public:
  explicit LedgerReader(std::uint32_t page_records)
      : page_records(page_records) {}

  std::uint64_t from() const;
  std::uint32_t limit() const { return this->page_records; }

  /// Applies a page that was read at from(). `on_record` sees each record that
  /// the ledger applies. Fails with kCorrupt if the head of the stream is
  /// trimmed and no snapshot covers it; the next page starts over.
  using RecordHandler = std::function<void(const LogRecord&)>;
  Result<void> OnPage(const LogPage& page, const RecordHandler& on_record);

  /// Called before the first read after a time without reads. If the end is far
  /// ahead, the reader looks for a snapshot that is newer than its own state.
  void Resume() { this->is_resuming = this->phase == Phase::kFollow; }

  /// True once a page reached the end of the stream.
  bool is_current() const { return this->has_reached_end; }
  PartitionLedger& ledger() { return this->state; }
  const PartitionLedger& ledger() const { return this->state; }
  /// Oldest offset that the log still keeps, as of the last page.
  std::uint64_t first_kept() const { return this->first; }

 private:
  enum class Phase { kFindEnd, kFindSnapshot, kFollow };

  void StartSearch(const LogPage& page);
  Result<void> Search(const LogPage& page);
  void CollectSnapshotParts(const LogRecord& record);

  const std::uint32_t page_records;
  Phase phase = Phase::kFindEnd;
  PartitionLedger state;
  bool has_reached_end = false;
  std::uint64_t first = 1;
  bool is_resuming = false;
  /// The search ends here: the next offset of a state that was kept, or 1.
  std::uint64_t search_floor = 1;
  /// Start and end of the records that the search reads next.
  std::uint64_t search_from = 0;
  std::uint64_t search_end = 0;
  std::uint64_t search_begin = 0;
  /// Parts of each snapshot: its through_offset, number of parts and writer.
  std::map<std::tuple<std::uint64_t, std::uint32_t, std::string>,
           std::map<std::uint32_t, records::Snapshot>>
      parts;
};

}  // namespace crocus

#endif  // LIBLEDGER_LEDGER_READER_H_
