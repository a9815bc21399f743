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

/// What became of one publish record.
struct PublishOutcome {
  std::string append_id;
  std::uint64_t offset = 0;
  std::string author;
  bool is_accepted = false;
  /// The new version, or the one that was current when it was refused.
  std::uint64_t version = 0;
  /// Why it was refused.
  std::string reason;

  bool operator==(const PublishOutcome&) const = default;
};

/// Replay of stream `rules`. A publish record is valid only if its base
/// version is the current one and its text parses; then the version goes up
/// by one. All readers reach the same state.
///
/// Where the head of the log is trimmed, the state at the first offset is
/// unknown. The reader then looks for a RulesCarried record whose state is
/// that of an offset from which on all records are kept, and continues after
/// that offset: next_offset() goes back.
class RulesLedger {
 public:
  using Observer = std::function<void(const PublishOutcome&)>;

  /// Starts reading at `offset`; the state is known only at offset 1.
  void StartAt(std::uint64_t offset);

  /// Applies the page that was read from next_offset(). `observer` is called
  /// for every publish record whose validity is known.
  void Apply(const LogPage& page, const Observer& observer = {});

  std::uint64_t next_offset() const { return this->next; }
  /// First offset of the records that were read without a gap.
  std::uint64_t start_offset() const { return this->start; }
  bool is_known() const { return this->known; }
  /// Keeps its value while the state is unknown; never goes down.
  std::uint64_t version() const { return this->current_rules->version; }
  const std::string& text() const { return this->published_text; }
  const std::string& author() const { return this->published_author; }
  std::shared_ptr<const RuleSet> rules() const { return this->current_rules; }

  /// Offset of the newest carry-forward record; 0 if there is none.
  std::uint64_t carried_offset() const { return this->newest_carried; }
  /// A reader can start if no record after this offset is trimmed.
  std::uint64_t carried_through() const { return this->newest_carried_through; }
  /// Oldest offset that the log kept when it was read last.
  std::uint64_t oldest_kept() const { return this->first_kept; }

  /// The current state as a record. Needs a known state.
  records::RulesCarried MakeCarried() const;

 private:
  void ApplyRecord(const LogRecord& record, const Observer& observer);
  void OnPublished(std::uint64_t offset,
                   const records::Append& append,
                   const records::RulesPublished& published,
                   const Observer& observer);
  /// Returns true if the state became known and the position went back.
  bool OnCarried(std::uint64_t offset, const records::RulesCarried& carried);
  /// Makes the carried state the known one if all records after it are kept.
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
  std::uint64_t newest_carried = 0;
  std::uint64_t newest_carried_through = 0;
  /// Appends that named a base version above the current one. Of all refused
  /// appends only their duplicates could become valid later.
  std::set<std::string> refused_ids;
};

}  // namespace crocus

#endif  // LIBLEDGER_RULES_LEDGER_H_
