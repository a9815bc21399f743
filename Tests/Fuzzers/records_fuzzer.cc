#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/assertions.h"
#include "LibLedger/append.h"
#include "LibLedger/partition_ledger.h"
#include "LibLedger/rules_ledger.h"
#include "LibPlatform/log_page.h"

namespace crocus {

namespace {

/// Parses the bytes as a page of the log and replays them as an append and as
/// the body of a record of each type, so that few inputs are rejected by the
/// outer layer.
void TryRecord(const std::string& bytes) {
  static_cast<void>(ParseLogPage(bytes));
  LogPage page{.first = 1, .next = 1, .records = {}};
  PartitionLedger partition;
  const auto add = [&](const std::string& data) {
    page.records.push_back({.offset = page.next, .data = data});
    partition.Apply(page.next, data);
    ++page.next;
  };
  add(bytes);
  for (std::uint16_t type = 0; type < 64; ++type) {
    add(Encode(MakeAppend("fuzzer", {{.type = type, .body = bytes}})));
  }
  RulesLedger rules;
  rules.Apply(page);
  VERIFY(rules.next_offset() == page.next);
  RulesLedger trimmed;
  trimmed.StartAt(2);
  trimmed.Apply(page);
  VERIFY(trimmed.next_offset() <= page.next);
}

}  // namespace

}  // namespace crocus

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  crocus::TryRecord({reinterpret_cast<const char*>(data), size});
  return 0;
}
