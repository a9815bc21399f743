#include "LibLedger/ledger_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "LibMessages/codec.h"

namespace crocus {

namespace {

/// A resumed reader that is at most this many pages behind replays them without
/// looking for a snapshot: a search that finds none reads the records twice.
constexpr std::uint64_t kMaximumPagesReplayed = 4;

}  // namespace

std::uint64_t LedgerReader::from() const {
  switch (this->phase) {
    case Phase::kFindEnd:
      return std::numeric_limits<std::uint64_t>::max();
    case Phase::kFindSnapshot:
      return this->search_from;
    case Phase::kFollow:
      return this->state.next_offset();
  }
  return 0;
}

Result<void> LedgerReader::OnPage(const LogPage& page,
                                  const RecordHandler& on_record) {
  this->first = page.first;
  if (this->phase == Phase::kFindEnd) {
    this->search_floor = 1;
    this->StartSearch(page);
    if (page.next == page.first && page.first == 1) {
      this->phase = Phase::kFollow;
      this->has_reached_end = true;
    }
    return {};
  }
  if (this->phase == Phase::kFindSnapshot) {
    return this->Search(page);
  }
  if (page.first > this->state.next_offset()) {
    // The records before page.first were trimmed before they were read.
    this->phase = Phase::kFindEnd;
    this->has_reached_end = false;
    return {};
  }
  if (std::exchange(this->is_resuming, false) &&
      page.next >
          this->state.next_offset() +
              kMaximumPagesReplayed * std::uint64_t{this->page_records}) {
    this->search_floor = this->state.next_offset();
    this->has_reached_end = false;
    this->StartSearch(page);
    return {};
  }
  for (const auto& record : page.records) {
    if (record.offset >= this->state.next_offset()) {
      this->state.Apply(record.offset, record.data);
      on_record(record);
    }
  }
  this->has_reached_end = this->state.next_offset() >= page.next;
  return {};
}

void LedgerReader::StartSearch(const LogPage& page) {
  this->search_end = page.next;
  this->search_begin = std::max(
      {page.first, this->search_floor,
       page.next > this->page_records ? page.next - this->page_records : 1});
  this->search_from = this->search_begin;
  this->parts.clear();
  this->phase = Phase::kFindSnapshot;
}

Result<void> LedgerReader::Search(const LogPage& page) {
  for (const auto& record : page.records) {
    if (record.offset < this->search_end) {
      this->CollectSnapshotParts(record);
      this->search_from = record.offset + 1;
    }
  }
  if (page.records.empty()) {
    this->search_from = this->search_end;
  }
  if (this->search_from < this->search_end) {
    return {};
  }
  for (auto set = this->parts.rbegin(); set != this->parts.rend(); ++set) {
    const auto& [key, found] = *set;
    const auto& [through_offset, part_count, writer] = key;
    const bool is_complete = found.size() == part_count;
    // All records after the snapshot must still be in the log.
    if (!is_complete || through_offset + 1 < page.first ||
        through_offset + 1 < this->search_floor) {
      continue;
    }
    std::vector<records::Snapshot> ordered;
    for (const auto& [number, part] : found) {
      ordered.push_back(part);
    }
    auto restored = PartitionLedger::FromSnapshot(ordered);
    if (restored) {
      this->state = std::move(*restored);
      this->parts.clear();
      this->phase = Phase::kFollow;
      return {};
    }
  }
  if (this->search_begin <= this->search_floor) {
    if (this->search_floor == 1) {
      this->state = {};
    }
    this->parts.clear();
    this->phase = Phase::kFollow;
    return {};
  }
  if (this->search_begin <= page.first) {
    this->phase = Phase::kFindEnd;
    return Failure(ErrorCode::kCorrupt,
                   "the head of the stream is trimmed and no snapshot covers "
                   "it");
  }
  this->search_end = this->search_begin;
  this->search_begin = std::max({page.first, this->search_floor,
                                 this->search_begin > this->page_records
                                     ? this->search_begin - this->page_records
                                     : 1});
  this->search_from = this->search_begin;
  return {};
}

void LedgerReader::CollectSnapshotParts(const LogRecord& record) {
  const auto append = Decode<records::Append>(record.data);
  if (!append) {
    return;
  }
  for (const auto& envelope : append->records) {
    if (envelope.type !=
        static_cast<std::uint16_t>(records::RecordType::kSnapshot)) {
      continue;
    }
    if (auto part = Decode<records::Snapshot>(envelope.body)) {
      const auto number = part->part;
      this->parts[{part->through_offset, part->part_count, append->writer}]
          .emplace(number, std::move(*part));
    }
  }
}

}  // namespace crocus
