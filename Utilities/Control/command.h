#ifndef CONTROL_COMMAND_H_
#define CONTROL_COMMAND_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "Control/exit_code.h"

namespace crocus {

/// Parsed options of one command.
class CommandLine {
 public:
  explicit CommandLine(cxxopts::ParseResult parsed)
      : parsed(std::move(parsed)) {}

  bool Has(const std::string& name) const {
    return this->parsed.count(name) > 0;
  }
  std::string Text(const std::string& name) const {
    return this->parsed[name].as<std::string>();
  }
  std::uint64_t Number(const std::string& name) const {
    return this->parsed[name].as<std::uint64_t>();
  }
  bool is_json() const { return this->Has("json"); }

  /// Base URLs of entries, from --entry or $CROCUS_ENTRY.
  std::vector<std::string> Entries() const;

 private:
  cxxopts::ParseResult parsed;
};

/// One command of crocusctl.
struct Command {
  /// Words that select the command, such as "rules publish".
  std::string words;
  /// Names of the positional arguments, all required.
  std::vector<std::string> arguments;
  std::string summary;
  std::vector<std::string> examples;
  std::function<void(cxxopts::OptionAdder&)> add_options;
  std::function<ControlExitCode(const CommandLine&)> run;
};

/// Prints a message to standard error and returns `code`.
ControlExitCode Fail(ControlExitCode code, const std::string& message);

}  // namespace crocus

#endif  // CONTROL_COMMAND_H_
