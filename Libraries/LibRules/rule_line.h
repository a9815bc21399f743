#ifndef LIBRULES_RULE_LINE_H_
#define LIBRULES_RULE_LINE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocus {

/// One rule as it is written, without the meaning of its values.
struct RuleLine {
  int line = 0;
  std::string kind;
  std::string name;
  std::map<std::string, std::string> values;
  /// Who asked for the rule, and why.
  std::string requester;
  std::string reason;

  bool operator==(const RuleLine&) const = default;

  /// Workspace of a class; "*" if the rule names none.
  std::string Workspace() const;

  /// What makes two lines the same rule: kind, name and, for a class, the
  /// workspace.
  std::string Identity() const;
};

struct RuleError {
  int line = 0;
  std::string reason;

  bool operator==(const RuleError&) const = default;
};

/// Lines of a rule file, and what is wrong with the others.
struct RuleLines {
  std::vector<RuleLine> lines;
  std::vector<RuleError> errors;

  bool operator==(const RuleLines&) const = default;
};

/// Splits the name of a spill, such as "waco-a->denton-a", into its regions;
/// the second is empty if there is no arrow.
std::pair<std::string, std::string> OverflowRegions(const std::string& name);

/// Splits a rule file into rules.
RuleLines SplitRuleLines(const std::string& text);

}  // namespace crocus

#endif  // LIBRULES_RULE_LINE_H_
