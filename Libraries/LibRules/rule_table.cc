#include "LibRules/rule_table.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "LibCore/text_table.h"
#include "LibRules/rule_value.h"

namespace crocus {

namespace {

using Values = std::vector<std::pair<std::string, std::string>>;

std::string FormatNumber(double value) {
  char buffer[64];
  const auto result = std::to_chars(buffer, buffer + sizeof(buffer), value,
                                    std::chars_format::fixed);
  return {buffer, result.ptr};
}

std::string FormatPercentage(double share) {
  // Rounding hides that most percentages, such as 12.3%, are not stored
  // exactly.
  constexpr double kDigits = 1e8;
  return FormatNumber(std::round(share * 100 * kDigits) / kDigits) + "%";
}

std::string FormatRate(double value) {
  return FormatNumber(value) + "/s";
}

std::string FormatNames(const std::vector<std::string>& names) {
  std::string text;
  for (const auto& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

Values Describe(const EndpointRule& rule) {
  Values values = {
      {"kind", rule.kind == EndpointKind::kEngine ? "engine" : "service"},
      {"reserve", std::to_string(rule.reserve_slots)},
      {"long_share", FormatPercentage(rule.long_share)},
      {"ejected_share", FormatPercentage(rule.ejected_share)},
      {"first_token", FormatDuration(rule.first_token_target)},
      {"token", FormatDuration(rule.token_target)},
      {"leaving", rule.is_leaving ? "yes" : "no"}};
  // An empty list has no notation in the rule file.
  if (!rule.models.empty()) {
    values.emplace_back("models", FormatNames(rule.models));
  }
  return values;
}

Values Describe(const WorkspaceRule& rule) {
  return {{"share", FormatNumber(rule.share)},
          {"requests", FormatRate(rule.requests_per_second)},
          {"tokens", FormatRate(rule.tokens_per_second)},
          {"concurrent", std::to_string(rule.concurrent_requests)}};
}

Values Describe(const std::string& workspace, const ClassRule& rule) {
  return {{"workspace", workspace},
          {"patience", FormatDuration(rule.timeout)},
          {"due", FormatDuration(rule.due)},
          {"share", FormatNumber(rule.share)}};
}

Values Describe(const OverflowRule& rule) {
  return {{"price", FormatDuration(rule.minimum_gain)},
          {"max_share", FormatPercentage(rule.maximum_share)}};
}

Values DescribeLine(const RuleLine& line, const RuleSet& rules) {
  if (line.kind == "endpoint") {
    return Describe(rules.endpoints.at(line.name));
  }
  if (line.kind == "workspace") {
    return Describe(rules.workspaces.at(line.name));
  }
  if (line.kind == "class") {
    const std::string workspace = line.Workspace();
    return Describe(workspace, rules.classes.at({workspace, line.name}));
  }
  if (line.kind == "spill") {
    return Describe(rules.overflows.at(OverflowRegions(line.name)));
  }
  return {{"share",
           FormatPercentage(line.name == "retry" ? rules.budgets.retry_share
                                                 : rules.budgets.hedge_share)}};
}

}  // namespace

std::vector<RuleTableRow> MakeRuleTable(const ParsedRules& parsed) {
  std::vector<RuleTableRow> rows;
  for (const auto& line : parsed.lines) {
    rows.push_back({.kind = line.kind,
                    .name = line.name,
                    .values = DescribeLine(line, parsed.rules),
                    .requester = line.requester,
                    .reason = line.reason});
  }
  for (const char* name : {"retry", "hedge"}) {
    const RuleLine budget{.kind = "budget", .name = name};
    const bool is_set = std::any_of(
        parsed.lines.begin(), parsed.lines.end(), [&](const RuleLine& line) {
          return line.Identity() == budget.Identity();
        });
    if (!is_set) {
      rows.push_back({.kind = budget.kind,
                      .name = budget.name,
                      .values = DescribeLine(budget, parsed.rules),
                      .requester = {},
                      .reason = "default; the file does not set it"});
    }
  }
  return rows;
}

std::string FormatRuleTable(const std::vector<RuleTableRow>& rows) {
  std::vector<TextRow> cells;
  for (const auto& row : rows) {
    std::string values;
    for (const auto& [key, value] : row.values) {
      values += (values.empty() ? "" : " ") + key + "=" + value;
    }
    cells.push_back({row.kind, row.name, values, row.requester, row.reason});
  }
  return FormatTable({"KIND", "NAME", "VALUES", "ASKED BY", "REASON"}, cells);
}

}  // namespace crocus
