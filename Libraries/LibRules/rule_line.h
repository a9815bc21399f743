#ifndef LIBRULES_RULE_LINE_H_
#define LIBRULES_RULE_LINE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocus {

/// One rule as it is written in the file; its values are not interpreted.
struct RuleLine {
  int line = 0;
  std::string kind;
  std::string name;
  std::map<std::string, std::string> values;
  /// Who requested the rule, and why.
  std::string requester;
  std::string reason;

  bool operator==(const RuleLine&) const = default;

  /// Workspace of a class; "*" if the rule specifies none.
  std::string Workspace() const;

  /// Identifies the rule that the line declares: kind, name and, for a class,
  /// the workspace.
  std::string Identity() const;
};

/// An error in one line of a rule file.
struct RuleError {
  int line = 0;
  std::string reason;

  bool operator==(const RuleError&) const = default;
};

/// The rules of a file, and the errors of the lines that are malformed.
struct RuleLines {
  std::vector<RuleLine> lines;
  std::vector<RuleError> errors;

  bool operator==(const RuleLines&) const = default;
};

/// Splits the name of an overflow rule, such as "waco-a->denton-a", into its
/// regions; the second is empty if there is no arrow.
std::pair<std::string, std::string> OverflowRegions(const std::string& name);

/// Splits a rule file into rules.
RuleLines SplitRuleLines(const std::string& text);

}  // namespace crocus

#endif  // LIBRULES_RULE_LINE_H_
