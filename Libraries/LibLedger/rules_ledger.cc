#include "LibLedger/rules_ledger.h"

#include <algorithm>
#include <utility>

#include "LibCore/assertions.h"
#include "LibMessages/codec.h"
#include "LibRules/rule_parser.h"

namespace crocus {

using records::RecordType;

void RulesLedger::StartAt(std::uint64_t offset) {
  this->next = offset;
  this->start = offset;
  this->known = offset == 1;
}

void RulesLedger::Apply(const LogPage& page, const Observer& observer) {
  this->first_kept = page.first;
  if (page.first > this->next) {
    this->StartAt(page.first);
  }
  for (const auto& record : page.records) {
    // A carry-forward record may have moved the read position back.
    if (record.offset != this->next) {
      return;
    }
    ++this->next;
    this->ApplyRecord(record, observer);
  }
}

void RulesLedger::ApplyRecord(const LogRecord& record,
                              const Observer& observer) {
  const auto append = Decode<records::Append>(record.data);
  if (!append || this->refused_ids.contains(append->id)) {
    return;
  }
  for (const auto& envelope : append->records) {
    if (envelope.type ==
        static_cast<std::uint16_t>(RecordType::kRulesPublished)) {
      if (const auto published = Decode<records::RulesPublished>(envelope.body);
          published && this->known) {
        this->OnPublished(record.offset, *append, *published, observer);
      }
    } else if (envelope.type ==
               static_cast<std::uint16_t>(RecordType::kRulesCarried)) {
      if (const auto carried = Decode<records::RulesCarried>(envelope.body);
          carried && this->OnCarried(record.offset, *carried)) {
        return;
      }
    }
  }
}

void RulesLedger::OnPublished(std::uint64_t offset,
                              const records::Append& append,
                              const records::RulesPublished& published,
                              const Observer& observer) {
  PublishOutcome outcome{.append_id = append.id,
                         .offset = offset,
                         .author = published.author,
                         .version = this->version()};
  if (published.base_version != this->version()) {
    if (published.base_version > this->version()) {
      this->refused_ids.insert(append.id);
    }
    outcome.reason = "based on version " +
                     std::to_string(published.base_version) + ", but version " +
                     std::to_string(this->version()) + " is current";
  } else if (auto parsed = ParseRules("rules", published.text); !parsed) {
    outcome.reason = parsed.error().message;
  } else {
    this->SetRules(this->version() + 1, published.text, published.author,
                   std::move(parsed->rules));
    outcome.is_accepted = true;
    outcome.version = this->version();
  }
  if (observer) {
    observer(outcome);
  }
}

bool RulesLedger::OnCarried(std::uint64_t offset,
                            const records::RulesCarried& carried) {
  if (carried.through_offset >= offset) {
    return false;
  }
  const bool was_restored = !this->known && this->AdoptCarried(carried);
  if (this->known && carried.through_offset >= this->newest_carried_through) {
    this->newest_carried_offset = offset;
    this->newest_carried_through = carried.through_offset;
  }
  return was_restored;
}

bool RulesLedger::AdoptCarried(const records::RulesCarried& carried) {
  if (carried.through_offset + 1 < this->start ||
      carried.rules_version < this->version()) {
    return false;
  }
  auto parsed = ParseRules("rules", carried.text);
  if (!parsed) {
    return false;
  }
  this->SetRules(carried.rules_version, carried.text, carried.author,
                 std::move(parsed->rules));
  this->refused_ids = {carried.refused_ids.begin(), carried.refused_ids.end()};
  this->known = true;
  this->next = carried.through_offset + 1;
  return true;
}

void RulesLedger::SetRules(std::uint64_t version,
                           const std::string& text,
                           const std::string& author,
                           RuleSet rules) {
  rules.version = version;
  this->current_rules = std::make_shared<const RuleSet>(std::move(rules));
  this->published_text = text;
  this->published_author = author;
}

records::RulesCarried RulesLedger::MakeCarried() const {
  VERIFY(this->known);
  return {.through_offset = this->next - 1,
          .rules_version = this->version(),
          .text = this->published_text,
          .author = this->published_author,
          .refused_ids = {this->refused_ids.begin(), this->refused_ids.end()}};
}

}  // namespace crocus
