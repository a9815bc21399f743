#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "simulated_cluster.h"

namespace crocus {

namespace {

int Run(int argument_count, char** arguments) {
  cxxopts::Options options(
      "crocus-fuzz",
      "Runs a simulated system with random load and faults in virtual time "
      "and checks its invariants.\n"
      "Exit codes: 0 all invariants held, 1 one was violated, 2 wrong "
      "usage.\n\n"
      "  crocus-fuzz --seed 7 --steps 200000\n");
  options.add_options()("seed", "seed of the run",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "steps", "events to run",
      cxxopts::value<std::uint64_t>()->default_value("100000"))(
      "entries", "number of entries",
      cxxopts::value<std::uint32_t>()->default_value("3"))(
      "daemons", "number of daemons",
      cxxopts::value<std::uint32_t>()->default_value("3"))(
      "partitions", "number of batch partitions",
      cxxopts::value<std::uint32_t>()->default_value("2"))("help",
                                                           "show this text");
  try {
    const auto parsed = options.parse(argument_count, arguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    const auto seed = parsed["seed"].as<std::uint64_t>();
    SimulatedCluster cluster(
        {.seed = seed,
         .entries = parsed["entries"].as<std::uint32_t>(),
         .daemons = parsed["daemons"].as<std::uint32_t>(),
         .partitions = parsed["partitions"].as<std::uint32_t>()});
    cluster.Run(parsed["steps"].as<std::uint64_t>());
    for (const auto& [name, count] : cluster.Counts()) {
      std::cout << name << ": " << count << "\n";
    }
    if (cluster.checker().has_violation()) {
      std::cout << "violated invariant: " << cluster.checker().violation()
                << "\nseed: " << seed << "\n";
      return 1;
    }
    std::cout << "all invariants held, seed " << seed << "\n";
    return 0;
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "crocus-fuzz: " << exception.what() << "\n";
    return 2;
  }
}

}  // namespace

}  // namespace crocus

int main(int argument_count, char** arguments) {
  return crocus::Run(argument_count, arguments);
}
