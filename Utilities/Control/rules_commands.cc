#include "Control/rules_commands.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "Control/entry_client.h"
#include "Control/rules_wait.h"
#include "LibCore/time.h"
#include "LibLedger/rules_reader.h"
#include "LibPlatform/http_log_client.h"
#include "LibRules/rule_difference.h"
#include "LibRules/rule_parser.h"
#include "LibRules/rule_table.h"

namespace crocus {

namespace {

constexpr std::chrono::milliseconds kResolveInterval{100};

Result<std::string> ReadText(const std::string& path) {
  std::ifstream stream(path);
  if (!stream || std::filesystem::is_directory(path)) {
    return Failure(ErrorCode::kNotFound, path + ": file cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/// Returns the text of the rule file, or the errors that it contains.
Result<std::string> ReadValidRules(const std::string& path) {
  TRY_ASSIGN(std::string text, ReadText(path));
  TRY(ParseRules(path, text));
  return text;
}

/// Returns the log's URL from --log, $CROCUS_LOG or an entry's status.
Result<std::string> LogUrl(const CommandLine& line) {
  if (line.Has("log")) {
    return line.Text("log");
  }
  if (const char* variable = std::getenv("CROCUS_LOG"); variable != nullptr) {
    return std::string(variable);
  }
  TRY_ASSIGN(const nlohmann::json status,
             CallEntryJson(line, {.url = "/v1/status"}));
  return status.at("entry").value("log_url", "");
}

Result<void> ReadCurrent(HttpLogClient& log, RulesLedger& ledger) {
  TRY(StartNearTail(log, ledger));
  return CatchUp(log, ledger);
}

nlohmann::json ChangesToJson(const std::vector<RuleChange>& changes) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& change : changes) {
    nlohmann::json keys = nlohmann::json::array();
    for (const auto& key : change.keys) {
      keys.push_back(
          {{"key", key.key}, {"before", key.before}, {"after", key.after}});
    }
    constexpr const char* kKinds[] = {"added", "removed", "changed"};
    list.push_back({{"change", kKinds[static_cast<int>(change.kind)]},
                    {"rule", change.rule},
                    {"keys", keys}});
  }
  return list;
}

void ShowChanges(const CommandLine& line,
                 std::uint64_t version,
                 const std::vector<RuleChange>& changes) {
  if (line.is_json()) {
    return;
  }
  std::cout << "changes relative to version " << version << ":\n"
            << (changes.empty() ? "(none)\n" : FormatRuleChanges(changes));
}

ControlExitCode Check(const CommandLine& line) {
  const std::string path = line.Text("FILE");
  const auto text = ReadText(path);
  if (!text) {
    return FailWith(text.error());
  }
  const auto parsed = ParseRules(path, *text);
  if (line.is_json()) {
    std::cout << nlohmann::json(
                     {{"valid", parsed.has_value()},
                      {"errors", parsed ? "" : parsed.error().message}})
                     .dump()
              << "\n";
    return parsed ? ControlExitCode::kDone : ControlExitCode::kFailed;
  }
  if (!parsed) {
    std::cerr << parsed.error().message << "\n";
    return ControlExitCode::kFailed;
  }
  std::cout << path << ": " << parsed->lines.size() << " rules, no errors\n";
  return ControlExitCode::kDone;
}

ControlExitCode ReportOutcome(const CommandLine& line,
                              const PublishOutcome& outcome,
                              const RulesLedger& ledger) {
  if (!outcome.is_accepted) {
    return Fail(ControlExitCode::kConflict,
                "not published: " + outcome.reason + ", published by " +
                    ledger.author() +
                    "; check `crocusctl rules diff FILE` and publish again");
  }
  const std::string version = std::to_string(outcome.version);
  if (!line.is_json()) {
    std::cout << "published version " << version << "\n";
  }
  if (line.Has("wait")) {
    return WaitForVersion(line, outcome.version);
  }
  if (line.is_json()) {
    std::cout << "{\"version\":" << version << "}\n";
  }
  return ControlExitCode::kDone;
}

ControlExitCode Publish(const CommandLine& line) {
  const auto text = ReadValidRules(line.Text("FILE"));
  if (!text) {
    return FailWith(text.error());
  }
  const auto log_url = LogUrl(line);
  if (!log_url) {
    return FailWith(log_url.error());
  }
  HttpLogClient log(*log_url);
  RulesLedger ledger;
  if (const auto read = ReadCurrent(log, ledger); !read) {
    return Fail(ControlExitCode::kUnavailable,
                "the current version cannot be read: " + read.error().message);
  }
  if (!ledger.is_known()) {
    return Fail(ControlExitCode::kFailed,
                "the log keeps no record from which the current version can be "
                "determined; see docs/operators.md");
  }
  const std::uint64_t base =
      line.Has("base") ? line.Number("base") : ledger.version();
  if (base != ledger.version()) {
    return Fail(ControlExitCode::kConflict,
                "version " + std::to_string(ledger.version()) + " by " +
                    ledger.author() + " is current, not version " +
                    std::to_string(base));
  }
  ShowChanges(line, base, CompareRules(ledger.text(), *text));
  if (*text == ledger.text() && base > 0) {
    std::cerr << "nothing to publish; the text is that of version " << base
              << "\n";
    return ControlExitCode::kDone;
  }
  const TimePoint deadline =
      MonotonicNow() + std::chrono::seconds(line.Number("timeout"));
  const auto outcome = PublishRules(
      log, ledger,
      {.text = *text, .author = line.Text("author"), .base_version = base},
      [deadline] {
        std::this_thread::sleep_for(kResolveInterval);
        return MonotonicNow() < deadline;
      });
  return outcome ? ReportOutcome(line, *outcome, ledger)
                 : FailWith(outcome.error());
}

ControlExitCode Show(const CommandLine& line) {
  const auto rules = CallEntryJson(line, {.url = "/v1/rules"});
  if (!rules) {
    return FailWith(rules.error());
  }
  const std::string text = rules->value("text", "");
  if (line.is_json()) {
    std::cout << rules->dump() << "\n";
  } else if (line.Has("text")) {
    std::cout << text;
  } else {
    std::cout << "version " << rules->value("version", std::uint64_t{0})
              << " is in force\n";
    if (const auto parsed = ParseRules("rules", text)) {
      std::cout << FormatRuleTable(MakeRuleTable(*parsed));
    } else {
      return Fail(ControlExitCode::kFailed, parsed.error().message);
    }
  }
  return ControlExitCode::kDone;
}

ControlExitCode Diff(const CommandLine& line) {
  const auto text = ReadValidRules(line.Text("FILE"));
  if (!text) {
    return FailWith(text.error());
  }
  const auto rules = CallEntryJson(line, {.url = "/v1/rules"});
  if (!rules) {
    return FailWith(rules.error());
  }
  const auto version = rules->value("version", std::uint64_t{0});
  const auto changes = CompareRules(rules->value("text", ""), *text);
  ShowChanges(line, version, changes);
  if (line.is_json()) {
    std::cout << nlohmann::json({{"version", version},
                                 {"changes", ChangesToJson(changes)}})
                     .dump()
              << "\n";
  }
  return ControlExitCode::kDone;
}

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "operator" : user;
}

void AddPublishOptions(cxxopts::OptionAdder& add) {
  add("base", "version that the change is based on; the current one by default",
      cxxopts::value<std::uint64_t>())(
      "author", "author that is recorded with the version",
      cxxopts::value<std::string>()->default_value(DefaultAuthor()))(
      "log",
      "base URL of the log; by default $CROCUS_LOG or the URL that an entry "
      "reports",
      cxxopts::value<std::string>())(
      "wait", "wait until every live process runs the version")(
      "timeout",
      "seconds to wait for the outcome of the publish, and for --wait",
      cxxopts::value<std::uint64_t>()->default_value("17"));
}

}  // namespace

std::vector<Command> RulesCommands() {
  return {{.words = "rules check",
           .arguments = {"FILE"},
           .summary = "check a rule file and report all errors",
           .examples = {"crocusctl rules check examples/calloway.rules"},
           .add_options = {},
           .run = Check},
          {.words = "rules publish",
           .arguments = {"FILE"},
           .summary = "show the changes and publish a rule file",
           .examples = {"crocusctl rules publish calloway.rules --wait",
                        "crocusctl rules publish calloway.rules --base 41"},
           .add_options = AddPublishOptions,
           .run = Publish},
          {.words = "rules show",
           .arguments = {},
           .summary = "show the rules that an entry has in force",
           .examples = {"crocusctl rules show --entry http://10.0.0.7:8080",
                        "crocusctl rules show --text > calloway.rules"},
           .add_options =
               [](cxxopts::OptionAdder& add) {
                 add("text", "print the rule file instead of a table");
               },
           .run = Show},
          {.words = "rules diff",
           .arguments = {"FILE"},
           .summary = "compare the rules in force with a rule file",
           .examples = {"crocusctl rules diff calloway.rules"},
           .add_options = {},
           .run = Diff}};
}

}  // namespace crocus
