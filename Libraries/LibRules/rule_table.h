#ifndef LIBRULES_RULE_TABLE_H_
#define LIBRULES_RULE_TABLE_H_

#include <string>
#include <utility>
#include <vector>

#include "LibRules/rule_parser.h"

namespace crocus {

/// One rule in force with all its values, also those that the file leaves at
/// their default, in the notation of the rule file.
struct RuleTableRow {
  std::string kind;
  std::string name;
  std::vector<std::pair<std::string, std::string>> values;
  std::string requester;
  std::string reason;

  bool operator==(const RuleTableRow&) const = default;
};

/// Rows in the order of the file; budgets that it does not set come last.
std::vector<RuleTableRow> MakeRuleTable(const ParsedRules& parsed);

/// The rows as text in columns.
std::string FormatRuleTable(const std::vector<RuleTableRow>& rows);

}  // namespace crocus

#endif  // LIBRULES_RULE_TABLE_H_
