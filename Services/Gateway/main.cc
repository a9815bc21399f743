#include <csignal>

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "Gateway/gateway.h"
#include "LibAsyncHttp/event_loop.h"
#include "LibCore/allocator.h"
#include "LibCore/stop_signal.h"
#include "LibEvents/event_log.h"
#include "LibSettings/program_start.h"

int main(int argument_count, char** arguments) {
  using crocus::Event;
  // Without a handler, which follows below, a hangup would end the process.
  std::signal(SIGHUP, SIG_IGN);
  crocus::ExitCode exit_code = crocus::ExitCode::kSuccess;
  const auto settings = crocus::StartProgram(
      argument_count, arguments, "crocus-gateway",
      "The gateway process on an entry host of the users' platform",
      crocus::ParseGatewaySettings, exit_code);
  if (!settings) {
    return static_cast<int>(exit_code);
  }
  crocus::StartRateLimitedEventLog(crocus::Severity::kInfo,
                                   settings->limits.log_lines);
  crocus::ReturnLargeBlocksWhenFreed();
  boost::asio::io_context loop(1);
  crocus::Gateway gateway(loop, *settings);
  if (const auto started = gateway.Start(); !started) {
    crocus::LogEvent(Event::kListenFailed,
                     {{"reason", started.error().message}});
    return static_cast<int>(crocus::ExitCode::kFailure);
  }
  if (!settings->host.port_file.empty()) {
    crocus::WriteFileAtomically(settings->host.port_file, gateway.PortsText());
  }
  crocus::UnblockStopSignals();
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
  const std::function<void()> wait_for_signal = [&] {
    signals.async_wait([&](const auto& error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        // The platform has changed the settings file. The process does not read
        // it again, so the changes take effect at the next start.
        crocus::LogEvent(Event::kSettingsReloaded,
                         {{"reason", "SIGHUP"},
                          {"changed", "takes effect at the next start"}});
        wait_for_signal();
        return;
      }
      gateway.BeginShutdown(signal == SIGINT ? "SIGINT" : "SIGTERM");
      wait_for_signal();
    });
  };
  wait_for_signal();
  crocus::LogEvent(
      Event::kProgramStarted,
      {{"program", "crocus-gateway"},
       {"http_port", settings->host.caller_address},
       {"internal_port", std::to_string(settings->host.peer_port)}});
  crocus::RunEventLoop(loop);
  crocus::LogEvent(Event::kProgramStopped,
                   {{"program", "crocus-gateway"}, {"reason", "signal"}});
  return static_cast<int>(crocus::ExitCode::kSuccess);
}
