#include "LibSimulation/experiments.h"

#include <algorithm>
#include <utility>

#include "LibCore/assertions.h"
#include "LibCore/random.h"
#include "LibSimulation/basic_scheduler.h"
#include "LibSimulation/entry_routing.h"
#include "LibSimulation/fleet_simulation.h"
#include "LibSimulation/pass_through_scheduler.h"

namespace crocus {

namespace {

using ChosenRouting = EntryRouting;

/// Targets of docs/design.md, section 7.
constexpr double kMixedFirstTokenLimit = 1.05;
constexpr double kBatchShareLimit = 0.95;
constexpr double kLongFirstTokenLimit = 1.2;
constexpr double kSlowFirstTokenLimit = 1.3;
constexpr double kHedgeShareLimit = 0.05;
constexpr double kTokenGapLimitSeconds = 0.061;

/// Share of long requests in the experiments `mixed` and `burst`. In both
/// profiles, a few requests run 30 times longer than the others.
constexpr double kDefaultLongShare = 0.005;

/// Request rate of the experiment `long` relative to the other experiments: 5%
/// of long requests more than double the work, and the fleet must have the
/// capacity for it.
constexpr double kLongExperimentRateFactor = 0.7;
constexpr double kLongExperimentLongShare = 0.05;

constexpr std::size_t kSlowReplicas = 2;
constexpr double kSlowFactor = 5;
constexpr Duration kSlowPeriodInterval = std::chrono::seconds(30);
constexpr Duration kSlowPeriodLength = std::chrono::seconds(10);

template <typename Scheduler, typename Routing>
PolicyRun Run(const std::string& name,
              PolicyRole role,
              const FleetOptions& options) {
  FleetSimulation<Scheduler, Routing> simulation(options);
  return {.name = name, .role = role, .result = simulation.Run()};
}

FleetOptions MakeFleetOptions(const ExperimentOptions& options) {
  return {.profile = options.profile,
          .workload = {.seed = options.seed,
                       .horizon = options.horizon,
                       .long_share = kDefaultLongShare}};
}

double P99(const LatencyHistogram& histogram) {
  return histogram.Quantile(0.99);
}

double Ratio(double value, double base) {
  return base > 0 ? value / base : 0;
}

void RunMixed(const ExperimentOptions& options,
              const FleetOptions& online_only,
              Experiment& experiment) {
  FleetOptions mixed = online_only;
  mixed.runs_batch = true;
  // Batch work keeps the engines full, so tokens take the token time of a full
  // engine, whatever the policy. This run uses that token time without batch
  // work.
  FleetOptions full_engines = online_only;
  full_engines.profile.engine.token_time = SimulatedEngine::TokenTime(
      full_engines.profile.engine, full_engines.profile.engine.slots);
  full_engines.profile.engine.occupancy_cost = 0;
  auto& runs = experiment.runs;
  runs.push_back(
      Run<ReplicaScheduler, ChosenRouting>("gate", PolicyRole::kChosen, mixed));
  runs.push_back(Run<ReplicaScheduler, ChosenRouting>(
      "online alone", PolicyRole::kBound, online_only));
  if (!options.only_targets) {
    runs.push_back(Run<ReplicaScheduler, ChosenRouting>(
        "online alone, full engines", PolicyRole::kBound, full_engines));
    runs.push_back(Run<BasicScheduler, ChosenRouting>(
        "first gate", PolicyRole::kBaseline, mixed));
    runs.push_back(Run<PassThroughScheduler, ChosenRouting>(
        "no gate", PolicyRole::kBaseline, mixed));
    runs.push_back(Run<ReplicaScheduler, RoundRobinRouting>(
        "gate, round robin", PolicyRole::kBaseline, mixed));
    runs.push_back(Run<ReplicaScheduler, LeastOutstandingRouting>(
        "gate, least outstanding", PolicyRole::kBaseline, mixed));
  }
  const FleetResult& chosen = experiment.ResultOf("gate");
  experiment.targets = {
      {.name = "online p99 to first token, relative to online alone",
       .measured = Ratio(P99(chosen.first_token),
                         P99(experiment.ResultOf("online alone").first_token)),
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
  FleetOptions online_only = MakeFleetOptions(options);
  // Bursts last half as long, and their request rate is 1.8 times as high.
  Profile& profile = online_only.profile;
  profile.burst_rate *= 1.8;
  profile.burst_seconds /= 2;
  RunMixed(options, online_only, experiment);
}

void RunLong(const ExperimentOptions& options, Experiment& experiment) {
  FleetOptions without_long = MakeFleetOptions(options);
  without_long.workload.rate_factor = kLongExperimentRateFactor;
  without_long.workload.long_share = 0;
  FleetOptions with_long = without_long;
  with_long.workload.long_share = kLongExperimentLongShare;
  auto& runs = experiment.runs;
  runs.push_back(Run<ReplicaScheduler, ChosenRouting>(
      "gate", PolicyRole::kChosen, with_long));
  runs.push_back(Run<ReplicaScheduler, ChosenRouting>(
      "without long", PolicyRole::kBound, without_long));
  if (!options.only_targets) {
    runs.push_back(Run<BasicScheduler, ChosenRouting>(
        "first gate", PolicyRole::kBaseline, with_long));
    runs.push_back(Run<ReplicaScheduler, RoundRobinRouting>(
        "gate, round robin", PolicyRole::kBaseline, with_long));
    runs.push_back(Run<ReplicaScheduler, LeastOutstandingRouting>(
        "gate, least outstanding", PolicyRole::kBaseline, with_long));
  }
  experiment.targets = {
      {.name = "short p99 to first token, relative to the run without long",
       .measured =
           Ratio(P99(experiment.ResultOf("gate").first_token_short),
                 P99(experiment.ResultOf("without long").first_token_short)),
       .limit = kLongFirstTokenLimit}};
}

void RunSlow(const ExperimentOptions& options, Experiment& experiment) {
  FleetOptions slowed = MakeFleetOptions(options);
  slowed.workload.long_share = 0;
  Random random(options.seed);
  for (TimePoint start = TimePoint{} + kSlowPeriodInterval;
       start + kSlowPeriodLength < TimePoint{} + options.horizon;
       start += kSlowPeriodInterval) {
    std::vector<std::size_t> replicas(options.profile.replicas);
    for (std::size_t index = 0; index < replicas.size(); ++index) {
      replicas[index] = index;
    }
    for (std::size_t pick = 0; pick < kSlowReplicas; ++pick) {
      std::swap(replicas[pick],
                replicas[pick + random.Below(replicas.size() - pick)]);
      slowed.slow_periods.push_back({.replica = replicas[pick],
                                     .factor = kSlowFactor,
                                     .start = start,
                                     .end = start + kSlowPeriodLength});
    }
  }
  FleetOptions healthy = slowed;
  for (auto& period : healthy.slow_periods) {
    period.factor = 1;
  }
  auto& runs = experiment.runs;
  runs.push_back(Run<ReplicaScheduler, ChosenRouting>(
      "slowed", PolicyRole::kChosen, slowed));
  runs.push_back(Run<ReplicaScheduler, ChosenRouting>(
      "healthy", PolicyRole::kBound, healthy));
  if (!options.only_targets) {
    runs.push_back(Run<ReplicaScheduler, RoundRobinRouting>(
        "slowed, round robin", PolicyRole::kBaseline, slowed));
    runs.push_back(Run<ReplicaScheduler, LeastOutstandingRouting>(
        "slowed, least outstanding", PolicyRole::kBaseline, slowed));
  }
  const FleetResult& chosen = experiment.ResultOf("slowed");
  experiment.targets = {
      {.name = "online p99 to first token of requests within the slow periods, "
               "relative to the healthy run",
       .measured = Ratio(
           P99(chosen.first_token_in_slow_period),
           P99(experiment.ResultOf("healthy").first_token_in_slow_period)),
       .limit = kSlowFirstTokenLimit},
      {.name = "hedges, share of the requests",
       .measured = Ratio(static_cast<double>(chosen.hedges),
                         static_cast<double>(chosen.requests)),
       .limit = kHedgeShareLimit}};
}

}  // namespace

const FleetResult& Experiment::ResultOf(const std::string& run) const {
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
    RunMixed(options, MakeFleetOptions(options), experiment);
  } else if (options.name == "burst") {
    RunBurst(options, experiment);
  } else if (options.name == "long") {
    RunLong(options, experiment);
  } else if (options.name == "slow") {
    RunSlow(options, experiment);
  } else {
    return Failure(ErrorCode::kInvalidArgument,
                   "unknown experiment \"" + options.name + "\"");
  }
  return experiment;
}

}  // namespace crocus
