#ifndef LIBSIMULATION_EXPERIMENTS_H_
#define LIBSIMULATION_EXPERIMENTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/result.h"
#include "LibSimulation/fleet_result.h"
#include "LibSimulation/workload.h"

namespace crocus {

enum class PolicyRole { kChosen, kBaseline, kBound };

/// One policy of an experiment and what was observed.
struct PolicyRun {
  std::string name;
  PolicyRole role = PolicyRole::kBaseline;
  FleetResult result;
};

/// A performance target and the figure of the chosen policy.
struct TargetCheck {
  std::string name;
  double measured = 0;
  double limit = 0;
  /// The figure must be at most the limit; else at least.
  bool is_upper_limit = true;

  bool is_met() const {
    return this->is_upper_limit ? this->measured <= this->limit
                                : this->measured >= this->limit;
  }
};

struct Experiment {
  std::string name;
  std::string profile;
  std::uint64_t seed = 0;
  std::vector<PolicyRun> runs;
  std::vector<TargetCheck> targets;

  const FleetResult& ResultOf(const std::string& run) const;
};

struct ExperimentOptions {
  std::string name;
  Profile profile;
  std::uint64_t seed = 1;
  Duration horizon = std::chrono::minutes(10);
  /// Runs only what the targets need.
  bool only_targets = false;
};

/// Names of the experiments in virtual time.
const std::vector<std::string>& ExperimentNames();

/// Runs the policies of one experiment on the same requests. An unknown name is
/// an invalid argument.
Result<Experiment> RunExperiment(const ExperimentOptions& options);

}  // namespace crocus

#endif  // LIBSIMULATION_EXPERIMENTS_H_
