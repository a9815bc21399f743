#include "LibRules/rule_parser.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "LibCore/text.h"
#include "LibRules/rule_value.h"

namespace crocus {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr milliseconds kMinimumDuration{1};
constexpr milliseconds kMaximumTimeout = hours(1);
constexpr milliseconds kMaximumDueTime = hours(24 * 30);
constexpr std::uint32_t kMaximumReserveSlots = 4096;

/// Functions that parse the values of one kind of rule into its members, by
/// key.
template <typename Rule>
using KeyReaders =
    std::map<std::string,
             std::function<Result<void>(const std::string&, Rule&)>>;

Result<void> ReadEndpointKind(const std::string& text, EndpointRule& rule) {
  if (text != "engine" && text != "service") {
    return Failure(ErrorCode::kInvalidArgument, "must be engine or service");
  }
  rule.kind = text == "engine" ? EndpointKind::kEngine : EndpointKind::kService;
  return {};
}

Result<void> ReadReserve(const std::string& text, EndpointRule& rule) {
  std::uint32_t slots = 0;
  if (!ReadCount(text, slots) || slots > kMaximumReserveSlots) {
    return Failure(ErrorCode::kInvalidArgument,
                   "must be a whole number of slots from 0 to 4096");
  }
  rule.reserve_slots = slots;
  return {};
}

/// Returns a function that parses a value into a member with `read`.
template <typename Rule, typename Value>
auto Member(Result<void> (*read)(const std::string&, Value&),
            Value Rule::*member) {
  return [read, member](const std::string& text, Rule& rule) {
    return read(text, rule.*member);
  };
}

/// Returns a function that parses a duration of at most `maximum` into a
/// member.
template <typename Rule>
auto DurationMember(milliseconds maximum, milliseconds Rule::*member) {
  return [maximum, member](const std::string& text, Rule& rule) {
    return ReadDuration(text, kMinimumDuration, maximum, rule.*member);
  };
}

const KeyReaders<EndpointRule>& EndpointKeys() {
  using Rule = EndpointRule;
  static const KeyReaders<Rule> kKeys = {
      {"kind", ReadEndpointKind},
      {"models", Member(ReadNames, &Rule::models)},
      {"reserve", ReadReserve},
      {"long_share", Member(ReadPercentage, &Rule::long_share)},
      {"ejected_share", Member(ReadPercentage, &Rule::ejected_share)},
      {"first_token",
       DurationMember(kMaximumTimeout, &Rule::first_token_target)},
      {"token", DurationMember(kMaximumTimeout, &Rule::token_target)},
      {"leaving", Member(ReadFlag, &Rule::is_leaving)}};
  return kKeys;
}

const KeyReaders<WorkspaceRule>& WorkspaceKeys() {
  using Rule = WorkspaceRule;
  static const KeyReaders<Rule> kKeys = {
      {"share", Member(ReadWeight, &Rule::share)},
      {"requests", Member(ReadRate, &Rule::requests_per_second)},
      {"tokens", Member(ReadRate, &Rule::tokens_per_second)},
      {"concurrent", Member(ReadCount, &Rule::concurrent_requests)}};
  return kKeys;
}

const KeyReaders<ClassRule>& ClassKeys() {
  using Rule = ClassRule;
  static const KeyReaders<Rule> kKeys = {
      // The workspace is part of the rule's identity; CheckReferences checks
      // it.
      {"workspace", [](const std::string&, Rule&) { return Result<void>(); }},
      {"patience", DurationMember(kMaximumTimeout, &Rule::timeout)},
      {"due", DurationMember(kMaximumDueTime, &Rule::due)},
      {"share", Member(ReadWeight, &Rule::share)}};
  return kKeys;
}

const KeyReaders<OverflowRule>& OverflowKeys() {
  using Rule = OverflowRule;
  static const KeyReaders<Rule> kKeys = {
      {"price", DurationMember(kMaximumTimeout, &Rule::minimum_gain)},
      {"max_share", Member(ReadPercentage, &Rule::maximum_share)}};
  return kKeys;
}

KeyReaders<BudgetRule> BudgetKeys(double BudgetRule::*member) {
  return {{"share", Member(ReadPercentage, member)}};
}

std::string Suggestion(const std::string& name,
                       const std::vector<std::string>& known) {
  const std::string nearest = NearestName(name, known);
  return nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?";
}

/// Collects the rules of one file and their errors.
class RuleSetBuilder {
 public:
  RuleSetBuilder(std::string file, RuleLines split)
      : file(std::move(file)), errors(std::move(split.errors)) {
    this->parsed.lines = std::move(split.lines);
  }

  Result<ParsedRules> Build() {
    for (const auto& line : this->parsed.lines) {
      const auto [first, is_new] =
          this->first_lines.emplace(line.Identity(), line.line);
      if (!is_new) {
        this->AddError(line, "\"" + line.Identity() +
                                 "\" is declared twice, first in line " +
                                 std::to_string(first->second));
      }
      this->Add(line);
    }
    this->CheckReferences();
    if (this->errors.empty()) {
      return std::move(this->parsed);
    }
    std::stable_sort(this->errors.begin(), this->errors.end(),
                     [](const RuleError& left, const RuleError& right) {
                       return left.line < right.line;
                     });
    std::string message;
    for (const auto& [line, reason] : this->errors) {
      message += (message.empty() ? "" : "\n") + this->file + ":" +
                 std::to_string(line) + ": " + reason;
    }
    return Failure(ErrorCode::kInvalidArgument, message);
  }

 private:
  void Add(const RuleLine& line) {
    RuleSet& rules = this->parsed.rules;
    if (line.kind == "endpoint") {
      this->CheckName(line);
      rules.endpoints[line.name] = this->Read(line, EndpointKeys());
    } else if (line.kind == "workspace") {
      this->CheckName(line);
      rules.workspaces[line.name] = this->Read(line, WorkspaceKeys());
    } else if (line.kind == "class") {
      this->CheckName(line);
      rules.classes[{line.Workspace(), line.name}] =
          this->Read(line, ClassKeys());
    } else if (line.kind == "spill") {
      this->AddOverflow(line);
    } else if (line.kind == "budget") {
      this->AddBudget(line);
    } else {
      this->AddError(
          line, "unknown kind \"" + line.kind + "\"" +
                    Suggestion(line.kind, {"endpoint", "workspace", "class",
                                           "spill", "budget"}));
    }
  }

  void AddOverflow(const RuleLine& line) {
    const auto [from, to] = OverflowRegions(line.name);
    if (!IsName(from) || !IsName(to) || from == to) {
      this->AddError(line, "\"" + line.name +
                               "\" must name two different regions, as in "
                               "waco-a->denton-a");
      return;
    }
    for (const char* key : {"price", "max_share"}) {
      if (!line.values.contains(key)) {
        this->AddError(line, std::string("key \"") + key + "\" is required");
      }
    }
    this->parsed.rules.overflows[{from, to}] = this->Read(line, OverflowKeys());
  }

  void AddBudget(const RuleLine& line) {
    if (line.name != "retry" && line.name != "hedge") {
      this->AddError(line, "unknown budget \"" + line.name + "\"" +
                               Suggestion(line.name, {"retry", "hedge"}));
      return;
    }
    if (!line.values.contains("share")) {
      this->AddError(line, "key \"share\" is required");
    }
    const bool is_retry = line.name == "retry";
    const auto read =
        this->Read(line, BudgetKeys(is_retry ? &BudgetRule::retry_share
                                             : &BudgetRule::hedge_share));
    BudgetRule& budgets = this->parsed.rules.budgets;
    (is_retry ? budgets.retry_share : budgets.hedge_share) =
        is_retry ? read.retry_share : read.hedge_share;
  }

  template <typename Rule>
  Rule Read(const RuleLine& line, const KeyReaders<Rule>& readers) {
    Rule rule;
    for (const auto& [key, value] : line.values) {
      const auto reader = readers.find(key);
      if (reader == readers.end()) {
        std::vector<std::string> known;
        for (const auto& [name, ignored] : readers) {
          known.push_back(name);
        }
        this->AddError(line, "unknown key \"" + key + "\" of " + line.kind +
                                 Suggestion(key, known));
        continue;
      }
      if (const auto read = reader->second(value, rule); !read) {
        this->AddError(line, key + "=" + value + ": " + read.error().message);
      }
    }
    return rule;
  }

  void CheckName(const RuleLine& line) {
    if (!IsName(line.name)) {
      this->AddError(line, "\"" + line.name +
                               "\" has characters other than letters, digits "
                               "and \". _ - : /\"");
    }
  }

  void CheckReferences() {
    std::vector<std::string> workspaces;
    for (const auto& [name, ignored] : this->parsed.rules.workspaces) {
      workspaces.push_back(name);
    }
    for (const auto& line : this->parsed.lines) {
      const std::string workspace = line.Workspace();
      if (line.kind == "class" && workspace != "*" &&
          !this->parsed.rules.workspaces.contains(workspace)) {
        this->AddError(line, "workspace \"" + workspace + "\" is not declared" +
                                 Suggestion(workspace, workspaces));
      }
    }
  }

  void AddError(const RuleLine& line, const std::string& reason) {
    this->errors.push_back({.line = line.line, .reason = reason});
  }

  const std::string file;
  ParsedRules parsed;
  std::vector<RuleError> errors;
  std::map<std::string, int> first_lines;
};

}  // namespace

Result<ParsedRules> ParseRules(const std::string& file,
                               const std::string& text) {
  if (text.size() > kMaximumRuleFileBytes) {
    return Failure(ErrorCode::kInvalidArgument,
                   file + ": the file has " + std::to_string(text.size()) +
                       " bytes; the limit is " +
                       std::to_string(kMaximumRuleFileBytes));
  }
  return RuleSetBuilder(file, SplitRuleLines(text)).Build();
}

}  // namespace crocus
