#ifndef LIBRULES_RULE_DIFFERENCE_H_
#define LIBRULES_RULE_DIFFERENCE_H_

#include <string>
#include <vector>

namespace crocus {

enum class RuleChangeKind { kAdded, kRemoved, kChanged };

/// One value of a rule in both texts; empty where it is not written.
struct RuleKeyChange {
  std::string key;
  std::string before;
  std::string after;

  bool operator==(const RuleKeyChange&) const = default;
};

/// One rule that the two texts do not have in common.
struct RuleChange {
  RuleChangeKind kind = RuleChangeKind::kChanged;
  /// Kind and name of the rule, such as "endpoint proof-models".
  std::string rule;
  /// The comment counts as the keys "asked by" and "reason".
  std::vector<RuleKeyChange> keys;

  bool operator==(const RuleChange&) const = default;
};

/// Compares two rule texts by rule; order and spacing do not matter. Lines
/// with errors are left out.
std::vector<RuleChange> CompareRules(const std::string& before,
                                     const std::string& after);

/// One line a rule or changed key: "+ endpoint a", "~ workspace b share: 1 ->
/// 2", "- class c workspace=*".
std::string FormatRuleChanges(const std::vector<RuleChange>& changes);

}  // namespace crocus

#endif  // LIBRULES_RULE_DIFFERENCE_H_
