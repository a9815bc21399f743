#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "LibSimulation/experiments.h"
#include "LibSimulation/simulated_engine.h"

namespace crocus {

TEST_GROUP(SimulatedEngine_OneStream) {
  EventQueue events;
  std::vector<TimePoint> tokens;
  std::vector<bool> ends;
  SimulatedEngineOptions options{
      .slots = 2,
      .token_time = std::chrono::milliseconds(10),
      .prompt_token_time = std::chrono::milliseconds(1),
      .cache_tokens = 100};
  SimulatedEngine engine{this->options,
                         this->events,
                         {.on_token =
                              [this](const std::string&, std::uint32_t) {
                                this->tokens.push_back(this->events.now());
                              },
                          .on_end =
                              [this](const std::string&, bool is_complete) {
                                this->ends.push_back(is_complete);
                              }}};

  Duration RunAndTimeFirstToken(const EngineStream& stream) {
    const TimePoint start = this->events.now();
    this->tokens.clear();
    this->engine.Start(stream);
    this->events.RunUntil(start + std::chrono::seconds(1));
    return this->tokens.front() - start;
  }
};

TEST(SimulatedEngine_OneStream, FirstTokenTakesThePromptAndOneTokenTime) {
  CHECK(this->RunAndTimeFirstToken(
            {.id = "a", .prompt_tokens = 50, .answer_tokens = 3}) ==
        std::chrono::milliseconds(60));
  CHECK_EQUAL(3u, this->tokens.size());
  CHECK(this->ends == std::vector<bool>{true});
}

// Guards against a prefix cache that is never used or never evicts entries.
TEST(SimulatedEngine_OneStream, PrefixIsCachedUntilOthersEvictIt) {
  const EngineStream stream{.id = "a",
                            .prefix = "p",
                            .prefix_tokens = 40,
                            .prompt_tokens = 50,
                            .answer_tokens = 1};
  this->RunAndTimeFirstToken(stream);
  CHECK(this->RunAndTimeFirstToken(stream) == std::chrono::milliseconds(20));
  this->RunAndTimeFirstToken({.id = "b",
                              .prefix = "q",
                              .prefix_tokens = 90,
                              .prompt_tokens = 90,
                              .answer_tokens = 1});
  CHECK(this->RunAndTimeFirstToken(stream) == std::chrono::milliseconds(60));
}

TEST(SimulatedEngine_OneStream, SlowPeriodMultipliesTheTimes) {
  this->engine.SlowDown(5, this->events.now() + std::chrono::seconds(1));
  CHECK(this->RunAndTimeFirstToken(
            {.id = "a", .prompt_tokens = 10, .answer_tokens = 1}) ==
        std::chrono::milliseconds(100));
}

// Guards against a cancelled stream that delivers its first tokens again after
// it was resumed.
TEST(SimulatedEngine_OneStream, CancelledStreamResumesWhereItStopped) {
  const EngineStream stream{
      .id = "a", .prompt_tokens = 10, .answer_tokens = 10};
  this->engine.Start(stream);
  this->events.RunUntil(this->events.now() + std::chrono::milliseconds(45));
  this->engine.Cancel("a");
  this->events.RunUntil(this->events.now() + std::chrono::milliseconds(100));
  CHECK(this->ends == std::vector<bool>{false});
  const std::size_t delivered = this->tokens.size();
  EngineStream rest = stream;
  rest.resume_from = static_cast<std::uint32_t>(delivered);
  this->RunAndTimeFirstToken(rest);
  CHECK_EQUAL(10u, delivered + this->tokens.size());
}

namespace {

/// Runs the policies that the targets refer to with several seeds and checks
/// each target. The limits are those of docs/design.md, section 7.
void CheckTargets(const std::string& name, const std::string& profile) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    const auto experiment = RunExperiment({.name = name,
                                           .profile = *FindProfile(profile),
                                           .seed = seed,
                                           .only_targets = true});
    CHECK(experiment.has_value());
    for (const auto& target : experiment->targets) {
      const std::string message =
          profile + ", seed " + std::to_string(seed) + ": " + target.name +
          " is " + std::to_string(target.measured) + ", the limit is " +
          std::to_string(target.limit);
      CHECK_TEXT(target.is_met(), message.c_str());
    }
  }
}

}  // namespace

TEST_GROUP(Experiment_Repeated){};

// Guards against a decision that depends on more than its inputs, for example
// on memory addresses or on the real clock.
TEST(Experiment_Repeated, SameSeedGivesTheSameFigures) {
  const ExperimentOptions options{.name = "mixed",
                                  .profile = *FindProfile("calloway"),
                                  .seed = 5,
                                  .horizon = std::chrono::minutes(2),
                                  .only_targets = true};
  const auto first = RunExperiment(options);
  const auto second = RunExperiment(options);
  for (std::size_t run = 0; run < first->runs.size(); ++run) {
    const FleetResult& left = first->runs[run].result;
    const FleetResult& right = second->runs[run].result;
    CHECK(left.first_token_by_arrival == right.first_token_by_arrival);
    CHECK(left.slot_use == right.slot_use);
    CHECK_EQUAL(left.batch_tokens, right.batch_tokens);
    CHECK_EQUAL(left.suspensions, right.suspensions);
  }
}

// Guards against a calculation of batch work and idle slot seconds by which a
// policy can use more than all idle slot seconds.
TEST(Experiment_Repeated, NoPolicyExceedsTheBatchBound) {
  const auto experiment = RunExperiment({.name = "mixed",
                                         .profile = *FindProfile("tesfaye"),
                                         .seed = 3,
                                         .horizon = std::chrono::minutes(2)});
  for (const auto& run : experiment->runs) {
    CHECK(run.result.BatchShare() <= 1);
  }
}

TEST_GROUP(Experiment_Targets){};

TEST(Experiment_Targets, CallowayMixed) {
  CheckTargets("mixed", "calloway");
}

TEST(Experiment_Targets, TesfayeMixed) {
  CheckTargets("mixed", "tesfaye");
}

TEST(Experiment_Targets, CallowayLong) {
  CheckTargets("long", "calloway");
}

TEST(Experiment_Targets, TesfayeLong) {
  CheckTargets("long", "tesfaye");
}

TEST(Experiment_Targets, CallowaySlow) {
  CheckTargets("slow", "calloway");
}

TEST(Experiment_Targets, TesfayeSlow) {
  CheckTargets("slow", "tesfaye");
}

}  // namespace crocus
