#include <iostream>
#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "Control/batch_commands.h"
#include "Control/command.h"
#include "Control/explain_command.h"
#include "Control/fleet_commands.h"
#include "Control/request_command.h"
#include "Control/rules_commands.h"
#include "LibCore/text.h"
#include "LibCore/text_table.h"

namespace crocus {

namespace {

constexpr const char* kExitCodes =
    "Exit codes: 0 done, 1 failed, 2 usage, 3 conflict (for example, with "
    "another operator), "
    "4 unavailable or outcome unknown.\n";

std::vector<Command> AllCommands() {
  std::vector<Command> commands;
  for (auto& group : {RulesCommands(), FleetCommands(), BatchCommands(),
                      RequestCommands(), ExplainCommands()}) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

void PrintOverview(std::ostream& out, const std::vector<Command>& commands) {
  std::vector<TextRow> rows;
  for (const auto& command : commands) {
    std::string usage = command.words;
    for (const auto& argument : command.arguments) {
      usage += " " + argument;
    }
    rows.push_back({usage, command.summary});
  }
  out << "Usage: crocusctl COMMAND [options]\n\n"
      << FormatTable({"COMMAND", "PURPOSE"}, rows)
      << "\n`crocusctl COMMAND --help` shows options and examples.\n"
      << kExitCodes;
}

void PrintHelp(const cxxopts::Options& options, const Command& command) {
  std::cout << options.help() << "\nExamples:\n";
  for (const auto& example : command.examples) {
    std::cout << "  " << example << "\n";
  }
  std::cout << "\n" << kExitCodes;
}

cxxopts::Options MakeOptions(const Command& command) {
  cxxopts::Options options("crocusctl " + command.words, command.summary);
  auto add = options.add_options();
  add("entry",
      "base URLs of entries, separated by commas; $CROCUS_ENTRY by default",
      cxxopts::value<std::string>()->default_value(""))(
      "json", "print JSON for scripts")("help", "show this text");
  if (command.add_options) {
    command.add_options(add);
  }
  std::string help;
  for (const auto& argument : command.arguments) {
    add(argument, "", cxxopts::value<std::string>());
    help += (help.empty() ? "" : " ") + argument;
  }
  options.parse_positional(command.arguments);
  options.positional_help(help);
  return options;
}

ControlExitCode RunCommand(const Command& command, int count, char** values) {
  auto options = MakeOptions(command);
  const auto parsed = options.parse(count, values);
  if (parsed.count("help") > 0) {
    PrintHelp(options, command);
    return ControlExitCode::kDone;
  }
  if (!parsed.unmatched().empty()) {
    return Fail(ControlExitCode::kUsage,
                "unexpected argument \"" + parsed.unmatched().front() + "\"");
  }
  for (const auto& argument : command.arguments) {
    if (parsed.count(argument) == 0) {
      return Fail(ControlExitCode::kUsage,
                  command.words + ": " + argument + " is required; see --help");
    }
  }
  return command.run(CommandLine(parsed));
}

/// Returns the command whose words are the first arguments, or null.
const Command* FindCommand(const std::vector<Command>& commands,
                           const std::vector<std::string>& arguments) {
  for (const auto& command : commands) {
    const auto words = Split(command.words, ' ');
    if (words.size() <= arguments.size() &&
        std::equal(words.begin(), words.end(), arguments.begin())) {
      return &command;
    }
  }
  return nullptr;
}

ControlExitCode Run(int count, char** values) {
  const auto commands = AllCommands();
  const std::vector<std::string> arguments(values + 1, values + count);
  const Command* command = FindCommand(commands, arguments);
  if (command == nullptr) {
    const bool wants_help = !arguments.empty() && arguments.front() == "--help";
    PrintOverview(wants_help ? std::cout : std::cerr, commands);
    return wants_help ? ControlExitCode::kDone : ControlExitCode::kUsage;
  }
  const int words = static_cast<int>(Split(command->words, ' ').size());
  try {
    return RunCommand(*command, count - words, values + words);
  } catch (const cxxopts::exceptions::exception& exception) {
    return Fail(ControlExitCode::kUsage,
                command->words + ": " + exception.what() + "; see --help");
  } catch (const nlohmann::json::exception& exception) {
    return Fail(
        ControlExitCode::kFailed,
        std::string("the entry's response is malformed: ") + exception.what());
  }
}

}  // namespace

}  // namespace crocus

int main(int argument_count, char** arguments) {
  return static_cast<int>(crocus::Run(argument_count, arguments));
}
