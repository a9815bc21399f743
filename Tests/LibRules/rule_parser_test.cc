#include "LibRules/rule_parser.h"

#include <string>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

const std::string kRuleComment = "  # Calloway: press time\n";

std::string ErrorOf(const std::string& text) {
  const auto parsed = ParseRules("test.rules", text);
  return parsed ? "" : parsed.error().message;
}

}  // namespace

TEST_GROUP(RuleParser_ValidFile){};

// Guards against a key that is accepted but not applied.
TEST(RuleParser_ValidFile, EveryKeyReachesItsField) {
  const auto parsed = ParseRules(
      "test.rules",
      "# a comment line\n\n"
      "endpoint proof-models kind=service models=a,b reserve=3 long_share=40% "
      "ejected_share=12.5% first_token=1s token=50ms leaving=yes" +
          kRuleComment +
          "workspace mats share=2 requests=30/s tokens=900/s "
          "concurrent=7" +
          kRuleComment + "class online patience=2min due=3h share=0.5" +
          kRuleComment + "class online workspace=mats patience=900ms" +
          kRuleComment + "spill waco-a->denton-a price=300ms max_share=15%" +
          kRuleComment + "budget retry share=8%" + kRuleComment +
          "budget hedge share=4%" + kRuleComment);
  CHECK(parsed.has_value());
  using std::chrono::milliseconds;
  const RuleSet expected{
      .endpoints = {{"proof-models",
                     {.kind = EndpointKind::kService,
                      .models = {"a", "b"},
                      .reserve_slots = 3,
                      .long_share = 0.4,
                      .ejected_share = 0.125,
                      .first_token_target = milliseconds(1000),
                      .token_target = milliseconds(50),
                      .is_leaving = true}}},
      .workspaces = {{"mats",
                      {.share = 2,
                       .requests_per_second = 30,
                       .tokens_per_second = 900,
                       .concurrent_requests = 7}}},
      .classes = {{{"*", "online"},
                   {.timeout = milliseconds(120000),
                    .due = milliseconds(3 * 3600000),
                    .share = 0.5}},
                  {{"mats", "online"}, {.timeout = milliseconds(900)}}},
      .overflows = {{{"waco-a", "denton-a"},
                     {.minimum_gain = milliseconds(300),
                      .maximum_share = 0.15}}},
      .budgets = {.retry_share = 0.08, .hedge_share = 0.04}};
  CHECK(parsed->rules == expected);
  STRCMP_EQUAL("Calloway", parsed->lines.front().requester.c_str());
  STRCMP_EQUAL("press time", parsed->lines.front().reason.c_str());
}

TEST_GROUP(RuleParser_InvalidFile){};

// Guards against a rule whose requester or reason is not recorded.
TEST(RuleParser_InvalidFile, RuleWithoutRequesterOrReasonIsRefused) {
  for (const char* comment : {"", "#", "# Calloway", "# : why", "# Tesfaye:"}) {
    STRCMP_CONTAINS("test.rules:1: the comment must say who",
                    ErrorOf(std::string("workspace mats ") + comment).c_str());
  }
}

// Guards against a report of only the first error, after which an operator
// would have to publish once per error.
TEST(RuleParser_InvalidFile, AllErrorsAreReportedInLineOrder) {
  const std::string error =
      ErrorOf("endpont a models=m" + kRuleComment + "workspace b shar=2" +
              kRuleComment + "workspace c" + "\n" + "class d workspace=bb" +
              kRuleComment + "workspace b" + kRuleComment);
  STRCMP_EQUAL(
      "test.rules:1: unknown kind \"endpont\"; did you mean \"endpoint\"?\n"
      "test.rules:2: unknown key \"shar\" of workspace; did you mean "
      "\"share\"?\n"
      "test.rules:3: the comment must say who asked for the rule and why, as "
      "in \"# NAME: reason\"\n"
      "test.rules:4: workspace \"bb\" is not declared; did you mean \"b\"?\n"
      "test.rules:5: \"workspace b\" is declared twice, first in line 2",
      error.c_str());
}

// Guards against values in another unit or outside their range.
TEST(RuleParser_InvalidFile, InvalidUnitsAndRangesAreRefused) {
  for (const char* rule : {"workspace a requests=5",
                           "workspace a requests=5/min",
                           "workspace a share=-1",
                           "workspace a share=nan",
                           "workspace a share=20%",
                           "workspace a concurrent=1.5",
                           "endpoint e long_share=0.5",
                           "endpoint e long_share=101%",
                           "endpoint e reserve=5000",
                           "endpoint e token=61",
                           "endpoint e token=-1ms",
                           "endpoint e models=a,,b",
                           "endpoint e kind=model",
                           "endpoint e leaving=true",
                           "class c patience=2h",
                           "class c due=0s",
                           "budget retry share=0.1",
                           "budget retry",
                           "budget hege share=1%",
                           "spill a->a price=1s max_share=1%",
                           "spill a price=1s max_share=1%",
                           "spill a->b price=1s",
                           "workspace a$",
                           "workspace",
                           "workspace a share=",
                           "workspace a =2",
                           "workspace a share=1 share=1",
                           "workspace a share"}) {
    const std::string error = ErrorOf(rule + kRuleComment);
    CHECK_TEXT(error.rfind("test.rules:1: ", 0) == 0, rule);
  }
}

// Guards against text that controls an operator's terminal, and against a file
// that exceeds the memory limit of a daemon.
TEST(RuleParser_InvalidFile, ControlCharactersAndOversizeAreRefused) {
  STRCMP_CONTAINS("control character",
                  ErrorOf("workspace a # x: \x1b[2J\n").c_str());
  STRCMP_CONTAINS(
      "longer than",
      ErrorOf("workspace a # x: " + std::string(5000, 'y')).c_str());
  STRCMP_CONTAINS(
      "the limit is",
      ErrorOf(std::string(kMaximumRuleFileBytes + 1, '\n')).c_str());
}

// Guards against input that is neither accepted nor reported as an error.
TEST(RuleParser_InvalidFile, ArbitraryTextGivesRulesOrErrorsWithLines) {
  CHECK(rc::check([](const std::string& text) {
    const auto parsed = ParseRules("f", "workspace " + text);
    RC_ASSERT(parsed || parsed.error().message.rfind("f:", 0) == 0);
  }));
}

}  // namespace crocus
