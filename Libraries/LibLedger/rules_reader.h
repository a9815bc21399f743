#ifndef LIBLEDGER_RULES_READER_H_
#define LIBLEDGER_RULES_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "LibLedger/append.h"
#include "LibLedger/log_client.h"
#include "LibLedger/rules_ledger.h"

namespace crocus {

/// Largest number of records in one read. A rule text has up to 512 KiB.
inline constexpr std::uint32_t kRulesPerRead = 64;

/// A new reader first looks for carried rules in this many of the newest
/// records. The rules are carried forward (written again) after
/// kRecordsPerCarry records at the latest.
inline constexpr std::uint64_t kRulesTail = 1024;
inline constexpr std::uint64_t kRecordsPerCarry = 500;

/// Positions a new ledger near the end of a long stream, so that a start does
/// not replay all records that the log keeps.
template <LogClient Client>
Result<void> StartNearTail(Client& client, RulesLedger& ledger) {
  TRY_ASSIGN(const LogPage page, client.Read(kRulesStream, 1, 1));
  if (page.next > page.first + kRulesTail) {
    ledger.StartAt(page.next - kRulesTail);
  }
  return {};
}

/// Replays the records up to the end of the stream. If the newest ones contain
/// no usable carry-forward record, all records that the log keeps are read.
template <LogClient Client>
Result<void> CatchUp(Client& client,
                     RulesLedger& ledger,
                     const RulesLedger::Observer& observer = {}) {
  for (;;) {
    const std::uint64_t from = ledger.next_offset();
    const bool was_known = ledger.is_known();
    TRY_ASSIGN(const LogPage page,
               client.Read(kRulesStream, from, kRulesPerRead));
    ledger.Apply(page, observer);
    const bool has_moved =
        ledger.next_offset() != from || ledger.is_known() != was_known;
    if (ledger.next_offset() < page.next && has_moved) {
      continue;
    }
    if (ledger.is_known() || ledger.start_offset() <= page.first) {
      return {};
    }
    ledger.StartAt(page.first);
  }
}

struct PublishRequest {
  std::string text;
  std::string author;
  /// Version that must be current when the record is appended.
  std::uint64_t base_version = 0;
};

/// Publishes rules and returns the outcome. `wait` is called between two reads
/// of the log; if the append's outcome is still unknown when it returns false,
/// the call fails with kMayHaveRun.
template <LogClient Client>
Result<PublishOutcome> PublishRules(Client& client,
                                    RulesLedger& ledger,
                                    const PublishRequest& request,
                                    const std::function<bool()>& wait) {
  const records::Append append =
      MakeAppend(request.author, {MakeEnvelope(records::RulesPublished{
                                     .base_version = request.base_version,
                                     .text = request.text,
                                     .author = request.author})});
  const auto appended = client.Append(kRulesStream, Encode(append));
  if (!appended && appended.error().verdict == Verdict::kNotRun) {
    return tl::unexpected(appended.error());
  }
  // The records before this one decide the outcome, so it is read from the
  // stream even if the reply arrived.
  std::optional<PublishOutcome> outcome;
  do {
    const auto caught_up =
        CatchUp(client, ledger, [&](const PublishOutcome& candidate) {
          if (!outcome && candidate.append_id == append.id) {
            outcome = candidate;
          }
        });
    if (outcome) {
      return *outcome;
    }
    static_cast<void>(caught_up);
  } while (wait());
  return Failure(ErrorCode::kTimeout,
                 "the outcome of append " + append.id + " is unknown",
                 Verdict::kMayHaveRun);
}

}  // namespace crocus

#endif  // LIBLEDGER_RULES_READER_H_
