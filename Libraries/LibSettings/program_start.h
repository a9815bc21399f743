#ifndef LIBSETTINGS_PROGRAM_START_H_
#define LIBSETTINGS_PROGRAM_START_H_

#include <iostream>
#include <optional>
#include <string>

#include <cxxopts.hpp>

#include "LibCore/result.h"
#include "LibCore/stop_signal.h"
#include "LibEvents/event_log.h"
#include "LibSettings/ini_document.h"

namespace crocus {

/// Exit codes of the programs. crocusctl has its own, ControlExitCode.
enum class ExitCode : int { kSuccess = 0, kFailure = 1, kUsage = 2 };

/// Parses the command line of a service, starts its event log and reads its
/// settings with `parse`. Returns nothing and sets `exit_code` after `--help`
/// or `--check`, or if the program cannot start; it then prints the reason.
template <typename Parse>
auto StartProgram(int argument_count,
                  char** arguments,
                  const std::string& name,
                  const std::string& description,
                  Parse parse,
                  ExitCode& exit_code)
    -> std::optional<typename decltype(parse(IniDocument()))::value_type> {
  cxxopts::Options options(name, description);
  options.add_options()("settings", "INI file, see docs/settings.md",
                        cxxopts::value<std::string>())(
      "check", "check the settings file and exit")(
      "verbose", "log debug events too")("help", "show this text");
  exit_code = ExitCode::kUsage;
  try {
    const auto parsed = options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      exit_code = ExitCode::kSuccess;
      return std::nullopt;
    }
    if (parsed.count("settings") == 0) {
      std::cerr << name << ": --settings FILE is required\n";
      return std::nullopt;
    }
    BlockStopSignals();
    StartEventLog(parsed.count("verbose") > 0 ? Severity::kDebug
                                              : Severity::kInfo);
    const auto document = ReadIniFile(parsed["settings"].as<std::string>());
    if (!document) {
      std::cerr << name << ": " << document.error().message << "\n";
      return std::nullopt;
    }
    auto settings = parse(*document);
    if (!settings) {
      std::cerr << settings.error().message << "\n";
      LogEvent(Event::kSettingsRejected,
               {{"reason", settings.error().message}});
      return std::nullopt;
    }
    exit_code = ExitCode::kSuccess;
    if (parsed.count("check") > 0) {
      return std::nullopt;
    }
    return std::move(*settings);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << name << ": " << exception.what() << "\n";
    return std::nullopt;
  }
}

}  // namespace crocus

#endif  // LIBSETTINGS_PROGRAM_START_H_
