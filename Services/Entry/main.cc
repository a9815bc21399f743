#include <cstdlib>
#include <string>

#include "Entry/entry.h"
#include "LibCore/allocator.h"
#include "LibEvents/event_log.h"
#include "LibSettings/program_start.h"

int main(int argument_count, char** arguments) {
  using crocus::Event;
  crocus::ExitCode exit_code = crocus::ExitCode::kSuccess;
  const auto settings =
      crocus::StartProgram(argument_count, arguments, "crocus-entry",
                           "The entry process of an entry host",
                           crocus::ParseEntrySettings, exit_code);
  if (!settings) {
    return static_cast<int>(exit_code);
  }
  crocus::ReturnLargeBlocksWhenFreed();
  crocus::Entry entry(*settings);
  if (const auto started = entry.Start(); !started) {
    crocus::LogEvent(Event::kListenFailed,
                     {{"reason", started.error().message}});
    return static_cast<int>(crocus::ExitCode::kFailure);
  }
  const std::string port = std::to_string(entry.http_port());
  const std::string internal_port = std::to_string(entry.internal_port());
  if (!settings->host.port_file.empty()) {
    crocus::WriteFileAtomically(
        settings->host.port_file,
        "http " + port + "\ninternal " + internal_port + "\n");
  }
  crocus::LogEvent(Event::kProgramStarted, {{"program", "crocus-entry"},
                                            {"http_port", port},
                                            {"internal_port", internal_port}});
  const std::string reason = crocus::WaitForStopSignal();
  entry.Stop();
  crocus::LogEvent(Event::kProgramStopped,
                   {{"program", "crocus-entry"}, {"reason", reason}});
  return static_cast<int>(crocus::ExitCode::kSuccess);
}
