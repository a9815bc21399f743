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

/// Replays a partition's stream into a ledger: it decides which offset to read
/// next and applies the pages that were read. Does no I/O.
///
/// It first reads backwards from the end of the stream, page by page, until it
/// has every part of one snapshot, so a start needs only the records since the
/// newest complete snapshot. If there is no snapshot, it replays from offset 1.
/// A reader whose next offset was trimmed starts over in the same way.
class LedgerReader {
 public:
  explicit LedgerReader(std::uint32_t page_records)
      : page_records(page_records) {}

  /// First offset and largest number of records of the next read.
  std::uint64_t from() const;
  std::uint32_t limit() const { return this->page_records; }

  /// Applies a page that was read at from(). `on_record` is called for each
  /// record that the ledger applies. Fails with kCorrupt if the head of the
  /// stream is trimmed and no snapshot covers it; the next page starts over.
  using RecordHandler = std::function<void(const LogRecord&)>;
  Result<void> OnPage(const LogPage& page, const RecordHandler& on_record);

  /// Must be called before the first read after a period without reads. If the
  /// end of the stream is far ahead, the reader then looks for a snapshot that
  /// is newer than its own state.
  void Resume() { this->is_resuming = this->phase == Phase::kFollow; }

  /// True once a page has reached the end of the stream.
  bool is_current() const { return this->has_reached_end; }
  PartitionLedger& ledger() { return this->state; }
  const PartitionLedger& ledger() const { return this->state; }
  /// Oldest offset that the log still keeps, as of the last page.
  std::uint64_t oldest_kept() const { return this->first; }

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
  /// Lowest offset that the search reads: the next offset of the state that is
  /// kept, or 1.
  std::uint64_t search_floor = 1;
  /// The search reads the records from search_begin up to search_end;
  /// search_from is the next offset to read.
  std::uint64_t search_from = 0;
  std::uint64_t search_end = 0;
  std::uint64_t search_begin = 0;
  /// Parts that were found of each snapshot, by part number. A snapshot is
  /// identified by its through_offset, its number of parts and its writer.
  std::map<std::tuple<std::uint64_t, std::uint32_t, std::string>,
           std::map<std::uint32_t, records::Snapshot>>
      parts;
};

}  // namespace crocus

#endif  // LIBLEDGER_LEDGER_READER_H_
