#include "LibSimulation/experiments.h"

#include <algorithm>
#include <utility>

#include "LibCore/assertions.h"
#include "LibCore/random.h"
#include "LibSimulation/entry_route.h"
#include "LibSimulation/fleet_simulation.h"
#include "LibSimulation/pass_through_gate.h"
#include "LibSimulation/plain_gate.h"

namespace crocus {

namespace {

using ChosenRoute = EntryRoute;

/// Targets of docs/design.md, section 7.
constexpr double kMixedFirstTokenLimit = 1.05;
constexpr double kBatchShareLimit = 0.95;
constexpr double kLongFirstTokenLimit = 1.2;
constexpr double kSlowFirstTokenLimit = 1.3;
constexpr double kHedgeShareLimit = 0.05;
constexpr double kTokenGapLimitSeconds = 0.061;

/// Both users have a few requests that run 30 times longer.
constexpr double kUsualLongShare = 0.005;

/// Load of the experiment `long`, as a share of the usual one: 5% of long
/// requests more than double the work, and the fleet must be able to do it.
constexpr double kLongLoad = 0.7;
constexpr double kLongShare = 0.05;

constexpr std::size_t kSlowReplicas = 2;
constexpr double kSlowFactor = 5;
constexpr Duration kSpellInterval = std::chrono::seconds(30);
constexpr Duration kSpellLength = std::chrono::seconds(10);

template <typename GateType, typename Route>
PolicyRun Run(const std::string& name,
              PolicyRole role,
              const FleetOptions& options) {
  FleetSimulation<GateType, Route> simulation(options);
  return {.name = name, .role = role, .result = simulation.Run()};
}

FleetOptions MakeFleet(const ExperimentOptions& options) {
  return {.profile = options.profile,
          .workload = {.seed = options.seed,
                       .horizon = options.horizon,
                       .long_share = kUsualLongShare}};
}

double P99(const LatencyHistogram& histogram) {
  return histogram.Quantile(0.99);
}

double Ratio(double value, double base) {
  return base > 0 ? value / base : 0;
}

void RunMixed(const ExperimentOptions& options,
              const FleetOptions& online,
              Experiment& experiment) {
  FleetOptions mixed = online;
  mixed.runs_batch = true;
  // Engines that are kept full answer at the token time of a full engine,
  // whatever the policy.
  FleetOptions full = online;
  full.profile.engine.token_time =
      ModelEngine::TokenTime(full.profile.engine, full.profile.engine.slots);
  full.profile.engine.occupancy_cost = 0;
  auto& runs = experiment.runs;
  runs.push_back(
      Run<ReplicaScheduler, ChosenRoute>("gate", PolicyRole::kChosen, mixed));
  runs.push_back(Run<ReplicaScheduler, ChosenRoute>(
      "online alone", PolicyRole::kBound, online));
  if (!options.only_targets) {
    runs.push_back(Run<ReplicaScheduler, ChosenRoute>(
        "online alone, full engines", PolicyRole::kBound, full));
    runs.push_back(Run<PlainGate, ChosenRoute>("first gate",
                                               PolicyRole::kBaseline, mixed));
    runs.push_back(Run<PassThroughGate, ChosenRoute>(
        "no gate", PolicyRole::kBaseline, mixed));
    runs.push_back(Run<ReplicaScheduler, RoundRobinRoute>(
        "gate, round robin", PolicyRole::kBaseline, mixed));
    runs.push_back(Run<ReplicaScheduler, LeastOutstandingRoute>(
        "gate, least outstanding", PolicyRole::kBaseline, mixed));
  }
  const FleetResult& chosen = experiment.Find("gate");
  experiment.targets = {
      {.name = "online p99 to first token, relative to online alone",
       .measured = Ratio(P99(chosen.first_token),
                         P99(experiment.Find("online alone").first_token)),
       .limit = kMixedFirstTokenLimit},
      {.name = "batch work, share of the idle engine seconds",
       .measured = chosen.BatchShare(),
       .limit = kBatchShareLimit,
       .is_upper_limit = false},
      {.name = "online time between tokens p95, seconds",
       .measured = chosen.token_gap.Quantile(0.95),
       .limit = kTokenGapLimitSeconds}};
}

void RunBurst(const ExperimentOptions& options, Experiment& experiment) {
  FleetOptions online = MakeFleet(options);
  // Bursts half as long and nearly twice as high.
  Profile& profile = online.profile;
  profile.burst_rate *= 1.8;
  profile.burst_seconds /= 2;
  RunMixed(options, online, experiment);
}

void RunLong(const ExperimentOptions& options, Experiment& experiment) {
  FleetOptions without = MakeFleet(options);
  without.workload.load = kLongLoad;
  without.workload.long_share = 0;
  FleetOptions with = without;
  with.workload.long_share = kLongShare;
  auto& runs = experiment.runs;
  runs.push_back(
      Run<ReplicaScheduler, ChosenRoute>("gate", PolicyRole::kChosen, with));
  runs.push_back(Run<ReplicaScheduler, ChosenRoute>(
      "without long", PolicyRole::kBound, without));
  if (!options.only_targets) {
    runs.push_back(
        Run<PlainGate, ChosenRoute>("first gate", PolicyRole::kBaseline, with));
    runs.push_back(Run<ReplicaScheduler, RoundRobinRoute>(
        "gate, round robin", PolicyRole::kBaseline, with));
    runs.push_back(Run<ReplicaScheduler, LeastOutstandingRoute>(
        "gate, least outstanding", PolicyRole::kBaseline, with));
  }
  experiment.targets = {
      {.name = "short p99 to first token, relative to the run without long",
       .measured =
           Ratio(P99(experiment.Find("gate").first_token_short),
                 P99(experiment.Find("without long").first_token_short)),
       .limit = kLongFirstTokenLimit}};
}

void RunSlow(const ExperimentOptions& options, Experiment& experiment) {
  FleetOptions slowed = MakeFleet(options);
  slowed.workload.long_share = 0;
  Random random(options.seed);
  for (TimePoint start = TimePoint{} + kSpellInterval;
       start + kSpellLength < TimePoint{} + options.horizon;
       start += kSpellInterval) {
    std::vector<std::size_t> replicas(options.profile.replicas);
    for (std::size_t index = 0; index < replicas.size(); ++index) {
      replicas[index] = index;
    }
    for (std::size_t pick = 0; pick < kSlowReplicas; ++pick) {
      std::swap(replicas[pick],
                replicas[pick + random.Below(replicas.size() - pick)]);
      slowed.slow_spells.push_back({.replica = replicas[pick],
                                    .factor = kSlowFactor,
                                    .start = start,
                                    .end = start + kSpellLength});
    }
  }
  FleetOptions healthy = slowed;
  for (auto& spell : healthy.slow_spells) {
    spell.factor = 1;
  }
  auto& runs = experiment.runs;
  runs.push_back(Run<ReplicaScheduler, ChosenRoute>(
      "slowed", PolicyRole::kChosen, slowed));
  runs.push_back(Run<ReplicaScheduler, ChosenRoute>(
      "healthy", PolicyRole::kBound, healthy));
  if (!options.only_targets) {
    runs.push_back(Run<ReplicaScheduler, RoundRobinRoute>(
        "slowed, round robin", PolicyRole::kBaseline, slowed));
    runs.push_back(Run<ReplicaScheduler, LeastOutstandingRoute>(
        "slowed, least outstanding", PolicyRole::kBaseline, slowed));
  }
  const FleetResult& chosen = experiment.Find("slowed");
  experiment.targets = {
      {.name = "online p99 to first token of requests within the slow spells, "
               "relative to the healthy run",
       .measured = Ratio(P99(chosen.first_token_in_spell),
                         P99(experiment.Find("healthy").first_token_in_spell)),
       .limit = kSlowFirstTokenLimit},
      {.name = "hedges, share of the requests",
       .measured = Ratio(static_cast<double>(chosen.hedges),
                         static_cast<double>(chosen.requests)),
       .limit = kHedgeShareLimit}};
}

}  // namespace

const FleetResult& Experiment::Find(const std::string& run) const {
  const auto found =
      std::find_if(this->runs.begin(), this->runs.end(),
                   [&run](const PolicyRun& item) { return item.name == run; });
  VERIFY(found != this->runs.end());
  return found->result;
}

const std::vector<std::string>& ExperimentNames() {
  static const std::vector<std::string> kNames = {"mixed", "long", "slow",
                                                  "burst"};
  return kNames;
}

Result<Experiment> RunExperiment(const ExperimentOptions& options) {
  Experiment experiment{.name = options.name,
                        .profile = options.profile.name,
                        .seed = options.seed};
  if (options.name == "mixed") {
    RunMixed(options, MakeFleet(options), experiment);
  } else if (options.name == "burst") {
    RunBurst(options, experiment);
  } else if (options.name == "long") {
    RunLong(options, experiment);
  } else if (options.name == "slow") {
    RunSlow(options, experiment);
  } else {
    return Failure(ErrorCode::kInvalidArgument,
                   "there is no experiment \"" + options.name + "\"");
  }
  return experiment;
}

}  // namespace crocus
