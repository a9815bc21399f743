#ifndef LIBRULES_RULE_TABLE_H_
#define LIBRULES_RULE_TABLE_H_

#include <string>
#include <utility>
#include <vector>

#include "LibRules/rule_parser.h"

namespace crocus {

/// One rule with all its values, including the defaults of those that the file
/// does not set, in the notation of the rule file.
struct RuleTableRow {
  std::string kind;
  std::string name;
  std::vector<std::pair<std::string, std::string>> values;
  std::string requester;
  std::string reason;

  bool operator==(const RuleTableRow&) const = default;
};

/// Returns the rules in the order of the file; budgets that it does not set
/// follow at the end.
std::vector<RuleTableRow> MakeRuleTable(const ParsedRules& parsed);

/// Formats the rows as a text table.
std::string FormatRuleTable(const std::vector<RuleTableRow>& rows);

}  // namespace crocus

#endif  // LIBRULES_RULE_TABLE_H_
