#ifndef LIBSIMULATION_EXPERIMENTS_H_
#define LIBSIMULATION_EXPERIMENTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/result.h"
#include "LibSimulation/fleet_result.h"
#include "LibSimulation/workload.h"

namespace crocus {

/// kChosen: the policies that entry and daemon use. kBaseline: simpler policies
/// to compare them with. kBound: reference runs under better conditions, such
/// as without batch work, that a policy is not expected to beat.
enum class PolicyRole { kChosen, kBaseline, kBound };

/// One policy of an experiment and its measurements.
struct PolicyRun {
  std::string name;
  PolicyRole role = PolicyRole::kBaseline;
  FleetResult result;
};

/// A performance target and the value measured for the chosen policy.
struct TargetCheck {
  std::string name;
  double measured = 0;
  double limit = 0;
  /// Whether the measured value must be at most `limit`. Otherwise, it must be
  /// at least `limit`.
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

  /// Returns the measurements of the run with this name, which must exist.
  const FleetResult& ResultOf(const std::string& run) const;
};

struct ExperimentOptions {
  std::string name;
  Profile profile;
  std::uint64_t seed = 1;
  Duration horizon = std::chrono::minutes(10);
  /// Omits the policies that no target refers to.
  bool only_targets = false;
};

/// Names of the experiments in virtual time.
const std::vector<std::string>& ExperimentNames();

/// Runs all policies of an experiment on workloads with the same seed. Returns
/// kInvalidArgument if there is no experiment with this name.
Result<Experiment> RunExperiment(const ExperimentOptions& options);

}  // namespace crocus

#endif  // LIBSIMULATION_EXPERIMENTS_H_
