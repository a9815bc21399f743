#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <system_error>
#include <vector>

#include <cxxopts.hpp>

#include "Bench/experiment_report.h"
#include "Bench/real_path.h"
#include "LibCore/text_table.h"
#include "LibSettings/program_start.h"
#include "LibSimulation/experiments.h"
#include "LibSimulation/failing_items.h"

namespace {

constexpr const char* kExplanation = R"(
Experiments in virtual time:
  mixed      online requests beside an unlimited supply of batch items
  burst      like mixed, with shorter and higher bursts of online requests
  long       5% of the online requests run 30 times longer
  slow       every 30 s, two replicas run 5 times slower for 10 s

  failing-items  what batch items that always fail cost the other items of
             their job, by their share; prints a table

Experiment with running processes, to which it sends requests:
  real-path  latency that entry and daemon add when idle, requests per second
             of one entry, memory for each open request; prints JSON

Each experiment in virtual time compares the chosen policy with baselines and
with bounds: reference runs under better conditions, such as without batch work.
The same seed gives the same figures.

Examples:
  crocus-bench mixed --profile calloway --seed 1
  crocus-bench slow --profile tesfaye --seed 7 --json
  crocus-bench long --profile tesfaye --report /tmp/report
  crocus-bench real-path --entry http://127.0.0.1:8080 \
      --engine http://127.0.0.1:9000 --entry-process 4711

Exit codes:
  0  the experiment ran, whether its targets were met or missed
  1  the experiment or the report failed
  2  the arguments are invalid
)";

int Exit(crocus::ExitCode code) {
  return static_cast<int>(code);
}

int Fail(crocus::ExitCode code, const std::string& message) {
  std::cerr << "crocus-bench: " << message << "\n";
  return Exit(code);
}

/// Writes the HTML report to EXPERIMENT-PROFILE-SEED.html in `directory`, which
/// is created if needed. Returns whether that succeeded.
bool WriteReport(const std::string& directory,
                 const crocus::Experiment& experiment) {
  std::error_code error;
  std::filesystem::create_directories(directory, error);
  const auto path = std::filesystem::path(directory) /
                    (experiment.name + "-" + experiment.profile + "-" +
                     std::to_string(experiment.seed) + ".html");
  std::ofstream file(path);
  file << crocus::ExperimentToHtml(experiment);
  file.flush();
  return file.good();
}

int RunRealPath(const cxxopts::ParseResult& parsed) {
  using crocus::ExitCode;
  if (parsed.count("entry") == 0 || parsed.count("engine") == 0) {
    return Fail(ExitCode::kUsage, "real-path requires --entry and --engine");
  }
  const auto result = crocus::MeasureRealPath(
      {.entry_url = parsed["entry"].as<std::string>(),
       .engine_url = parsed["engine"].as<std::string>(),
       .model = parsed["model"].as<std::string>(),
       .entry_pid = parsed["entry-process"].as<int>(),
       .p99_limit = std::chrono::milliseconds(
           parsed["p99-limit-ms"].as<std::uint32_t>())});
  if (!result) {
    return Fail(ExitCode::kFailure, result.error().message);
  }
  std::cout << crocus::RealPathToJson(*result).dump(2) << "\n";
  return Exit(ExitCode::kSuccess);
}

/// Prints what shares of failing items cost the sound ones.
void PrintFailingItems(std::uint64_t seed) {
  constexpr std::size_t kItems = 400;
  std::vector<crocus::TextRow> rows;
  for (const double share : {0.0, 0.05, 0.25, 0.5}) {
    const auto fails = crocus::FailingShare(kItems, share);
    const auto result =
        crocus::SimulateFailingItems({.fails = fails, .seed = seed});
    char done[32];
    std::snprintf(done, sizeof(done), "%.1f s",
                  crocus::ToSeconds(result.sound_done));
    rows.push_back(
        {std::to_string(static_cast<int>(100 * share)) + " %",
         std::to_string(std::count(fails.begin(), fails.end(), false) -
                        result.sound_left),
         done, std::to_string(result.failing_runs)});
  }
  std::cout << crocus::FormatTable(
      {"failing", "sound items", "done after", "runs of failing items"}, rows);
}

}  // namespace

int main(int argument_count, char** arguments) {
  using crocus::ExitCode;
  cxxopts::Options options(
      "crocus-bench",
      "Measures the policies in virtual time, or running processes");
  // clang-format off
  options.add_options()
      ("experiment", "experiment to run", cxxopts::value<std::string>())
      ("profile", "calloway or tesfaye",
       cxxopts::value<std::string>()->default_value("calloway"))
      ("seed", "seed of the workload",
       cxxopts::value<std::uint64_t>()->default_value("1"))
      ("minutes", "virtual duration of the experiment in minutes",
       cxxopts::value<std::uint32_t>()->default_value("10"))
      ("json", "print one JSON object")
      ("report", "write an HTML page with plots to this directory",
       cxxopts::value<std::string>())
      ("entry", "real-path: URL of an entry", cxxopts::value<std::string>())
      ("engine", "real-path: URL of the engine of the only daemon",
       cxxopts::value<std::string>())
      ("model", "real-path: model to request",
       cxxopts::value<std::string>()->default_value("proof"))
      ("entry-process",
       "real-path: process id of the entry, to measure its memory",
       cxxopts::value<int>()->default_value("0"))
      ("p99-limit-ms",
       "real-path: limit of the p99 to first token at the highest rate",
       cxxopts::value<std::uint32_t>()->default_value("50"))
      ("help", "print this text");
  // clang-format on
  options.parse_positional({"experiment"});
  options.positional_help("EXPERIMENT");
  try {
    const auto parsed = options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << kExplanation;
      return Exit(ExitCode::kSuccess);
    }
    if (parsed.count("experiment") == 0) {
      return Fail(ExitCode::kUsage, "no experiment is specified; see --help");
    }
    if (parsed["experiment"].as<std::string>() == "real-path") {
      return RunRealPath(parsed);
    }
    if (parsed["experiment"].as<std::string>() == "failing-items") {
      PrintFailingItems(parsed["seed"].as<std::uint64_t>());
      return Exit(ExitCode::kSuccess);
    }
    const std::string name = parsed["profile"].as<std::string>();
    const auto profile = crocus::FindProfile(name);
    if (!profile) {
      return Fail(ExitCode::kUsage, "unknown profile \"" + name + "\"");
    }
    const auto minutes = parsed["minutes"].as<std::uint32_t>();
    if (minutes == 0) {
      return Fail(ExitCode::kUsage, "--minutes must be positive");
    }
    const auto experiment =
        crocus::RunExperiment({.name = parsed["experiment"].as<std::string>(),
                               .profile = *profile,
                               .seed = parsed["seed"].as<std::uint64_t>(),
                               .horizon = std::chrono::minutes(minutes)});
    if (!experiment) {
      return Fail(ExitCode::kUsage, experiment.error().message);
    }
    if (parsed.count("json") > 0) {
      std::cout << crocus::ExperimentToJson(*experiment).dump(2) << "\n";
    } else {
      std::cout << crocus::ExperimentToText(*experiment);
    }
    if (parsed.count("report") > 0 &&
        !WriteReport(parsed["report"].as<std::string>(), *experiment)) {
      return Fail(ExitCode::kFailure, "the report could not be written to " +
                                          parsed["report"].as<std::string>());
    }
  } catch (const cxxopts::exceptions::exception& error) {
    return Fail(ExitCode::kUsage, error.what());
  }
  return Exit(ExitCode::kSuccess);
}
