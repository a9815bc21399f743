#include "LibRules/rule_difference.h"

#include <CppUTest/TestHarness.h>

#include "LibRules/rule_table.h"

namespace crocus {

TEST_GROUP(RuleDifference_TwoTexts){};

// Guards against a change that an operator publishes without having been shown
// it.
TEST(RuleDifference_TwoTexts, EveryKindOfChangeIsShown) {
  const auto changes = CompareRules(
      "workspace a share=1 # Calloway: x\nworkspace b # Calloway: x\n"
      "class c due=2h # Calloway: x\n",
      "workspace b # Tesfaye: x\nclass   c  due=2h   # Calloway:  x\n"
      "workspace a concurrent=4 # Calloway: x\nclass c workspace=a # T: y\n");
  STRCMP_EQUAL(
      "~ workspace a concurrent: (not set) -> 4\n"
      "~ workspace a share: 1 -> (not set)\n"
      "~ workspace b asked by: Calloway -> Tesfaye\n"
      "+ class c workspace=a\n"
      "    asked by: T\n"
      "    reason: y\n"
      "    workspace: a\n",
      FormatRuleChanges(changes).c_str());
  STRCMP_EQUAL(
      "- workspace a\n",
      FormatRuleChanges(CompareRules("workspace a # T: y", "")).c_str());
}

TEST_GROUP(RuleTable_ParsedRules){};

// Guards against a table with other values than those that the processes use.
TEST(RuleTable_ParsedRules, WrittenTableParsesToTheSameRules) {
  const auto parsed = ParseRules(
      "f",
      "endpoint e models=a,b long_share=12.5% token=1s # Calloway: w\n"
      "endpoint s kind=service # Calloway: w\n"
      "workspace w share=0.25 requests=1.5/s # Calloway: w\n"
      "class c workspace=w patience=1.5s # Calloway: w\n"
      "spill a->b price=3s max_share=0.1% # Calloway: w\n"
      "budget hedge share=7% # Calloway: w\n");
  CHECK(parsed.has_value());
  std::string text;
  for (const auto& row : MakeRuleTable(*parsed)) {
    text += row.kind + " " + row.name;
    for (const auto& [key, value] : row.values) {
      text += " " + key + "=" + value;
    }
    text += " # Calloway: w\n";
  }
  const auto again = ParseRules("f", text);
  CHECK_TEXT(again.has_value(), text.c_str());
  CHECK(again->rules == parsed->rules);
}

}  // namespace crocus
