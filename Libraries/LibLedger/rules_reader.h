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

/// Records that a reader asks for at once. A rule text has up to 512 KiB.
inline constexpr std::uint32_t kRulesPerRead = 64;

/// Newest records in which a new reader first looks for carried rules. Rules
/// are carried forward after kRecordsPerCarry records at the latest.
inline constexpr std::uint64_t kRulesTail = 1024;
inline constexpr std::uint64_t kRecordsPerCarry = 500;

/// Places a new ledger near the end of a long stream, so that a start does not
/// replay all that the log keeps.
template <LogClient Client>
Result<void> StartNearTail(Client& client, RulesLedger& ledger) {
  TRY_ASSIGN(const LogPage page, client.Read(kRulesStream, 1, 1));
  if (page.next > page.first + kRulesTail) {
    ledger.StartAt(page.next - kRulesTail);
  }
  return {};
}

/// Replays what the log has. If the tail holds no usable carry-forward record,
/// everything that the log keeps is read.
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
  /// Must be current when the record is appended.
  std::uint64_t base_version = 0;
};

/// Publishes rules and returns what became of them. Fails with kMayHaveRun if
/// the append's outcome is unknown when `wait` returns false; it is called
/// between two reads of the log.
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
  // The outcome is decided by the records before this one, so it is read from
  // the stream even if the reply arrived.
  std::optional<PublishOutcome> outcome;
  do {
    const auto caught_up =
        CatchUp(client, ledger, [&](const PublishOutcome& seen) {
          if (!outcome && seen.append_id == append.id) {
            outcome = seen;
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
