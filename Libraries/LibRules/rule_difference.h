#ifndef LIBRULES_RULE_DIFFERENCE_H_
#define LIBRULES_RULE_DIFFERENCE_H_

#include <string>
#include <vector>

namespace crocus {

enum class RuleChangeKind { kAdded, kRemoved, kChanged };

/// The value of a key in both texts; empty in a text that does not set it.
struct RuleKeyChange {
  std::string key;
  std::string before;
  std::string after;

  bool operator==(const RuleKeyChange&) const = default;
};

/// One rule that was added, removed or changed.
struct RuleChange {
  RuleChangeKind kind = RuleChangeKind::kChanged;
  /// Kind and name of the rule, such as "endpoint proof-models".
  std::string rule;
  /// Keys whose values differ. The requester and the reason in the comment of
  /// the rule are listed as the keys "asked by" and "reason".
  std::vector<RuleKeyChange> keys;

  bool operator==(const RuleChange&) const = default;
};

/// Compares two rule texts by rule; order and spacing do not matter. Lines
/// with errors are ignored.
std::vector<RuleChange> CompareRules(const std::string& before,
                                     const std::string& after);

/// Formats the changes as text. An added rule is shown as "+ endpoint a" and a
/// line for each key, a changed key as "~ workspace b share: 1 -> 2", a removed
/// rule as "- class c workspace=*".
std::string FormatRuleChanges(const std::vector<RuleChange>& changes);

}  // namespace crocus

#endif  // LIBRULES_RULE_DIFFERENCE_H_
