#include "LibRules/rule_difference.h"

#include <map>
#include <set>
#include <utility>

#include "LibRules/rule_line.h"

namespace crocus {

namespace {

using Values = std::map<std::string, std::string>;

std::map<std::string, Values> ValuesByRule(const std::string& text) {
  std::map<std::string, Values> rules;
  for (auto& line : SplitRuleLines(text).lines) {
    auto& values = rules[line.Identity()];
    values = std::move(line.values);
    values["asked by"] = line.requester;
    values["reason"] = line.reason;
  }
  return rules;
}

std::string ValueOf(const Values& values, const std::string& key) {
  const auto found = values.find(key);
  return found == values.end() ? "" : found->second;
}

std::vector<RuleKeyChange> CompareValues(const Values& before,
                                         const Values& after) {
  std::set<std::string> keys;
  for (const auto* values : {&before, &after}) {
    for (const auto& [key, ignored] : *values) {
      keys.insert(key);
    }
  }
  std::vector<RuleKeyChange> changes;
  for (const auto& key : keys) {
    if (ValueOf(before, key) != ValueOf(after, key)) {
      changes.push_back({.key = key,
                         .before = ValueOf(before, key),
                         .after = ValueOf(after, key)});
    }
  }
  return changes;
}

std::string DisplayValue(const std::string& value) {
  return value.empty() ? "(not set)" : value;
}

}  // namespace

std::vector<RuleChange> CompareRules(const std::string& before,
                                     const std::string& after) {
  const auto old_rules = ValuesByRule(before);
  const auto new_rules = ValuesByRule(after);
  std::vector<RuleChange> changes;
  for (const auto& [rule, values] : old_rules) {
    const auto found = new_rules.find(rule);
    if (found == new_rules.end()) {
      changes.push_back({.kind = RuleChangeKind::kRemoved,
                         .rule = rule,
                         .keys = CompareValues(values, {})});
    } else if (found->second != values) {
      changes.push_back({.kind = RuleChangeKind::kChanged,
                         .rule = rule,
                         .keys = CompareValues(values, found->second)});
    }
  }
  for (const auto& [rule, values] : new_rules) {
    if (!old_rules.contains(rule)) {
      changes.push_back({.kind = RuleChangeKind::kAdded,
                         .rule = rule,
                         .keys = CompareValues({}, values)});
    }
  }
  return changes;
}

std::string FormatRuleChanges(const std::vector<RuleChange>& changes) {
  std::string text;
  for (const auto& change : changes) {
    switch (change.kind) {
      case RuleChangeKind::kAdded:
        text += "+ " + change.rule;
        for (const auto& key : change.keys) {
          text += "\n    " + key.key + ": " + key.after;
        }
        text += "\n";
        break;
      case RuleChangeKind::kRemoved:
        text += "- " + change.rule + "\n";
        break;
      case RuleChangeKind::kChanged:
        for (const auto& key : change.keys) {
          text += "~ " + change.rule + " " + key.key + ": " +
                  DisplayValue(key.before) + " -> " + DisplayValue(key.after) +
                  "\n";
        }
        break;
    }
  }
  return text;
}

}  // namespace crocus
