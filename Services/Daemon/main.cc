#include <cstdlib>
#include <string>

#include "Daemon/daemon.h"
#include "LibEvents/event_log.h"
#include "LibSettings/program_start.h"

int main(int argument_count, char** arguments) {
  using crocus::Event;
  crocus::ExitCode exit_code = crocus::ExitCode::kSuccess;
  const auto settings =
      crocus::StartProgram(argument_count, arguments, "crocus-daemon",
                           "The daemon process of an endpoint host",
                           crocus::ParseDaemonSettings, exit_code);
  if (!settings) {
    return static_cast<int>(exit_code);
  }
  crocus::Daemon daemon(*settings);
  if (const auto started = daemon.Start(); !started) {
    crocus::LogEvent(Event::kListenFailed,
                     {{"reason", started.error().message}});
    return static_cast<int>(crocus::ExitCode::kFailure);
  }
  const std::string port = std::to_string(daemon.port());
  if (!settings->host.port_file.empty()) {
    crocus::WriteFileAtomically(settings->host.port_file,
                                "internal " + port + "\n");
  }
  crocus::LogEvent(Event::kProgramStarted,
                   {{"program", "crocus-daemon"}, {"internal_port", port}});
  const std::string reason = crocus::WaitForStopSignal();
  const bool is_drained = daemon.Stop();
  crocus::LogEvent(Event::kProgramStopped,
                   {{"program", "crocus-daemon"}, {"reason", reason}});
  if (!is_drained) {
    // Threads still wait for an engine, possibly indefinitely. The drain limit
    // has passed, so the process ends without waiting for them.
    std::_Exit(static_cast<int>(crocus::ExitCode::kSuccess));
  }
  return static_cast<int>(crocus::ExitCode::kSuccess);
}
