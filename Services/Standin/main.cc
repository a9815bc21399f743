#include <chrono>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "LibCore/stop_signal.h"
#include "LibEvents/event_log.h"
#include "LibHttp/http_server.h"
#include "Standin/engine_service.h"
#include "Standin/host_list_service.h"
#include "Standin/log_service.h"
#include "Standin/plain_service.h"
#include "Standin/weight_store_service.h"

namespace crocus {

namespace {

constexpr std::size_t kMaximumBodyBytes = 64u << 20;

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "crocus-standin",
      "Stand-ins of the platform and of endpoints, for tests");
  options.positional_help("log|engine|service|hosts|weights");
  options.add_options()("kind", "service to stand in for",
                        cxxopts::value<std::string>())(
      "address", "IP address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "port; 0 lets the kernel choose",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "port-file", "file to which the port is written",
      cxxopts::value<std::string>()->default_value(""))(
      "appends-per-second", "log: maximum appends per second",
      cxxopts::value<double>()->default_value("400"))(
      "retention-ms", "log: age at which records are trimmed",
      cxxopts::value<std::int64_t>()->default_value("86400000"))(
      "slots", "engine: number of concurrent streams",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "token-us", "engine: time to generate one token",
      cxxopts::value<std::int64_t>()->default_value("2000"))(
      "occupancy-cost",
      "engine: fraction of token time added for each further stream",
      cxxopts::value<double>()->default_value("0.03"))(
      "report-lag-ms", "engine: age of the reported load",
      cxxopts::value<std::int64_t>()->default_value("1500"))(
      "cancel-ms", "engine: delay of the response to a cancellation",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "ignores-fencing", "engine: accept commands with a stale fencing number")(
      "call-ms", "service: duration of a call",
      cxxopts::value<std::int64_t>()->default_value("20"))(
      "lag-ms", "hosts: delay until a change is visible",
      cxxopts::value<std::int64_t>()->default_value("2000"))(
      "interval-ms", "weights: minimum interval between downloads",
      cxxopts::value<std::int64_t>()->default_value("1000"))("help",
                                                             "show this text");
  options.parse_positional({"kind"});
  return options;
}

int Serve(const cxxopts::ParseResult& arguments) {
  using std::chrono::milliseconds;
  HttpServer server({.address = arguments["address"].as<std::string>(),
                     .port = arguments["port"].as<std::uint16_t>(),
                     .maximum_body_bytes = kMaximumBodyBytes});
  const auto duration = [&arguments](const char* name) {
    return milliseconds(arguments[name].as<std::int64_t>());
  };
  LogService log(
      {.appends_per_second = arguments["appends-per-second"].as<double>(),
       .retention = duration("retention-ms")});
  EngineService engine(
      {.slots = arguments["slots"].as<std::uint32_t>(),
       .token_time =
           std::chrono::microseconds(arguments["token-us"].as<std::int64_t>()),
       .occupancy_cost = arguments["occupancy-cost"].as<double>(),
       .report_lag = duration("report-lag-ms"),
       .cancel_time = duration("cancel-ms"),
       .checks_fencing = arguments.count("ignores-fencing") == 0});
  PlainService service(duration("call-ms"));
  HostListService hosts(duration("lag-ms"));
  WeightStoreService weights(duration("interval-ms"));
  const std::string kind = arguments["kind"].as<std::string>();
  if (kind == "log") {
    log.AddRoutes(server);
  } else if (kind == "engine") {
    engine.AddRoutes(server);
  } else if (kind == "service") {
    service.AddRoutes(server);
  } else if (kind == "hosts") {
    hosts.AddRoutes(server);
  } else if (kind == "weights") {
    weights.AddRoutes(server);
  } else {
    std::cerr << "crocus-standin: unknown kind \"" << kind << "\"\n";
    return 2;
  }
  if (const auto started = server.Start(); !started) {
    LogEvent(Event::kListenFailed, {{"reason", started.error().message}});
    return 1;
  }
  if (const std::string path = arguments["port-file"].as<std::string>();
      !path.empty()) {
    WriteFileAtomically(path, "http " + std::to_string(server.port()) + "\n");
  }
  LogEvent(Event::kProgramStarted,
           {{"program", "crocus-standin " + kind},
            {"http_port", std::to_string(server.port())}});
  const std::string reason = WaitForStopSignal();
  LogEvent(Event::kProgramStopped,
           {{"program", "crocus-standin " + kind}, {"reason", reason}});
  // Exits without waiting for handlers, which may block on streams that are not
  // read. The process has no state that must be saved.
  std::_Exit(0);
}

int Run(int count, char** values) {
  auto options = MakeOptions();
  try {
    const auto arguments = options.parse(count, values);
    if (arguments.count("help") > 0 || arguments.count("kind") == 0) {
      std::cout << options.help();
      return arguments.count("help") > 0 ? 0 : 2;
    }
    BlockStopSignals();
    StartEventLog(Severity::kInfo);
    return Serve(arguments);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "crocus-standin: " << exception.what() << "\n";
    return 2;
  }
}

}  // namespace

}  // namespace crocus

int main(int argument_count, char** arguments) {
  return crocus::Run(argument_count, arguments);
}
