#ifndef LIBLEDGER_RULES_LEDGER_H_
#define LIBLEDGER_RULES_LEDGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "LibLedger/log_client.h"
#include "LibMessages/records.h"
#include "LibRules/rule_set.h"

namespace crocus {

inline constexpr const char* kRulesStream = "rules";

/// Outcome of one publish record.
struct PublishOutcome {
  std::string append_id;
  std::uint64_t offset = 0;
  std::string author;
  bool is_accepted = false;
  /// The new version, or the version that was current when the record was
  /// refused.
  std::uint64_t version = 0;
  /// Why the record was refused; empty if it was accepted.
  std::string reason;

  bool operator==(const PublishOutcome&) const = default;
};

/// Replay of the stream `rules`. A publish record is valid only if its base
/// version is the current one and its text can be parsed; the version then
/// increases by one. All readers reach the same state.
///
/// If the head of the log is trimmed, the state at the first offset is unknown.
/// The reader then looks for a RulesCarried record whose state belongs to an
/// offset after which all records are kept, and continues after that offset:
/// next_offset() moves back.
class RulesLedger {
 public:
  using Observer = std::function<void(const PublishOutcome&)>;

  /// Starts reading at `offset`; the state is known at the start only if it is
  /// offset 1.
  void StartAt(std::uint64_t offset);

  /// Applies a page that was read from next_offset(). `observer` is called for
  /// every publish record whose validity can be decided.
  void Apply(const LogPage& page, const Observer& observer = {});

  std::uint64_t next_offset() const { return this->next; }
  /// First offset of the records that were read without a gap.
  std::uint64_t start_offset() const { return this->start; }
  bool is_known() const { return this->known; }
  /// Keeps its value while the state is unknown; never decreases.
  std::uint64_t version() const { return this->current_rules->version; }
  const std::string& text() const { return this->published_text; }
  const std::string& author() const { return this->published_author; }
  std::shared_ptr<const RuleSet> rules() const { return this->current_rules; }

  /// Offset of the newest carry-forward record; 0 if there is none.
  std::uint64_t carried_offset() const { return this->newest_carried_offset; }
  /// Offset through which the newest carry-forward record applies. A reader can
  /// start from that record if no record after this offset is trimmed.
  std::uint64_t carried_through() const { return this->newest_carried_through; }
  /// Oldest offset that the log kept at the last read.
  std::uint64_t oldest_kept() const { return this->first_kept; }

  /// Returns the current state as a record. The state must be known.
  records::RulesCarried MakeCarried() const;

 private:
  void ApplyRecord(const LogRecord& record, const Observer& observer);
  void OnPublished(std::uint64_t offset,
                   const records::Append& append,
                   const records::RulesPublished& published,
                   const Observer& observer);
  /// Returns true if the state became known and the read position moved back.
  bool OnCarried(std::uint64_t offset, const records::RulesCarried& carried);
  /// Restores the carried state if all records after it are kept.
  bool AdoptCarried(const records::RulesCarried& carried);
  void SetRules(std::uint64_t version,
                const std::string& text,
                const std::string& author,
                RuleSet rules);

  std::uint64_t next = 1;
  std::uint64_t start = 1;
  bool known = true;
  std::shared_ptr<const RuleSet> current_rules = std::make_shared<RuleSet>();
  std::string published_text;
  std::string published_author;
  std::uint64_t first_kept = 1;
  std::uint64_t newest_carried_offset = 0;
  std::uint64_t newest_carried_through = 0;
  /// Ids of appends whose base version was above the current one. Of all
  /// refused appends only duplicates of these could become valid later.
  std::set<std::string> refused_ids;
};

}  // namespace crocus

#endif  // LIBLEDGER_RULES_LEDGER_H_
