#include "LibSimulation/workload.h"

#include <algorithm>
#include <cmath>

#include "LibCore/random.h"

namespace crocus {

namespace {

/// Ratio of the answer lengths of long and short requests.
constexpr std::uint32_t kLongFactor = 30;

constexpr std::uint32_t kShortTokenLimit = 256;
constexpr std::uint32_t kLongTokenLimit = 8192;

/// Share of the short requests whose caller sets the token limit of the long
/// ones.
constexpr double kShortWithLongLimitShare = 0.3;

/// Share of the long requests that come from the workspace "brands", which
/// sends no short ones. The others have the workspace and the prompt of short
/// requests and cannot be recognized before they run.
constexpr double kRecognizableLongShare = 0.9;

/// Combined with the seed, so that short requests, jobs and long requests have
/// separate random sequences.
constexpr std::uint64_t kJobSeed = 0x9e3779b97f4a7c15;
constexpr std::uint64_t kLongRequestSeed = 0xbf58476d1ce4e5b9;

/// Returns a value with the given mean, uniform between a quarter and seven
/// quarters of it.
std::uint32_t UniformAround(double mean, Random& random) {
  return static_cast<std::uint32_t>(
      std::lround(mean * (0.25 + 1.5 * random.Unit())));
}

Profile MakeCalloway() {
  return {.name = "calloway",
          .regions = {"waco-a", "denton-a", "houston-a"},
          .endpoint = "proof-models",
          .replicas = 9,
          .service = "order-desk",
          .service_replicas = 3,
          .delays = {.same_zone = std::chrono::microseconds(100),
                     .between_zones = std::chrono::microseconds(400),
                     .between_regions = std::chrono::milliseconds(6),
                     .to_client = std::chrono::milliseconds(1)},
          .engine = {.slots = 8,
                     .token_time = std::chrono::milliseconds(40),
                     .prompt_token_time = std::chrono::microseconds(200)},
          .quiet_rate = 4.5,
          .burst_rate = 16,
          .answer_tokens = 60,
          .item_tokens = 120,
          .items_per_job = 400,
          .job_due = std::chrono::minutes(10),
          .workspaces = {"mats", "orders", "press"}};
}

Profile MakeTesfaye() {
  return {.name = "tesfaye",
          .regions = {"addis-a", "bahirdar-a", "hawassa-a"},
          .endpoint = "bench-llm",
          .replicas = 18,
          .service = "post-desk",
          .service_replicas = 3,
          .delays = {.same_zone = std::chrono::microseconds(200),
                     .between_zones = std::chrono::microseconds(1200),
                     .between_regions = std::chrono::milliseconds(8),
                     .to_client = std::chrono::milliseconds(4)},
          .engine = {.slots = 8,
                     .token_time = std::chrono::milliseconds(38),
                     .prompt_token_time = std::chrono::microseconds(250)},
          .quiet_rate = 10,
          .burst_rate = 38,
          .quiet_seconds = 8,
          .burst_seconds = 4,
          .answer_tokens = 55,
          .item_tokens = 70,
          .items_per_job = 300,
          .job_due = std::chrono::minutes(10),
          .workspaces = {"triage", "shade", "recall", "front"}};
}

}  // namespace

std::optional<Profile> FindProfile(const std::string& name) {
  for (const Profile& profile : {MakeCalloway(), MakeTesfaye()}) {
    if (profile.name == name) {
      return profile;
    }
  }
  return std::nullopt;
}

std::vector<OnlineArrival> GenerateOnlineArrivals(
    const Profile& profile,
    const WorkloadOptions& options) {
  Random random(options.seed);
  Random long_random(options.seed ^ kLongRequestSeed);
  std::vector<OnlineArrival> arrivals;
  const double horizon = ToSeconds(options.horizon);
  bool is_burst = false;
  double phase_end = random.Exponential(profile.quiet_seconds);
  double time = 0;
  while (true) {
    const double rate = options.rate_factor *
                        (is_burst ? profile.burst_rate : profile.quiet_rate);
    const double next_time = time + random.Exponential(1 / rate);
    if (next_time > phase_end) {
      // The rate changes with the phase. Exponential gaps are memoryless, so a
      // new gap is drawn from the start of the phase.
      time = phase_end;
      is_burst = !is_burst;
      phase_end += random.Exponential(is_burst ? profile.burst_seconds
                                               : profile.quiet_seconds);
      if (time > horizon) {
        break;
      }
      continue;
    }
    time = next_time;
    if (time > horizon) {
      break;
    }
    OnlineArrival arrival{
        .time = TimePoint{} + FromSeconds(time),
        .region = random.Below(profile.regions.size()),
        .workspace =
            profile.workspaces[random.Below(profile.workspaces.size())]};
    const std::uint64_t task = random.Below(4);
    arrival.prefix = arrival.workspace + "/" + std::to_string(task);
    arrival.prefix_tokens = 300;
    arrival.prompt_tokens = arrival.prefix_tokens + UniformAround(400, random);
    arrival.answer_tokens = std::min(
        UniformAround(profile.answer_tokens, random), kShortTokenLimit);
    arrival.token_limit = random.Chance(kShortWithLongLimitShare)
                              ? kLongTokenLimit
                              : kShortTokenLimit;
    arrivals.push_back(arrival);
    // Long requests are added to the short ones. These odds make them the
    // specified share of all requests.
    const double odds = options.long_share / (1 - options.long_share);
    if (long_random.Chance(odds)) {
      OnlineArrival long_request = arrival;
      long_request.time += Duration(long_random.Below(500000));
      long_request.region = long_random.Below(profile.regions.size());
      long_request.answer_tokens *= kLongFactor;
      long_request.token_limit = kLongTokenLimit;
      long_request.is_long = true;
      long_request.timeout = std::chrono::minutes(10);
      if (long_random.Chance(kRecognizableLongShare)) {
        long_request.workspace = "brands";
        long_request.prefix = "brands/" + std::to_string(task);
        long_request.prompt_tokens += 600;
      }
      arrivals.push_back(long_request);
    }
  }
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const OnlineArrival& left, const OnlineArrival& right) {
                     return left.time < right.time;
                   });
  return arrivals;
}

BatchJob GenerateJob(const Profile& profile,
                     std::uint64_t seed,
                     std::uint64_t index,
                     std::int64_t now_ms) {
  Random random(seed ^ (kJobSeed * (index + 1)));
  BatchJob job{
      .name = "job-" + std::to_string(index),
      .workspace = profile.workspaces[index % profile.workspaces.size()],
      .due_ms = now_ms + std::chrono::duration_cast<std::chrono::milliseconds>(
                             profile.job_due)
                             .count(),
      .prefix_tokens = 500,
      .item_tokens = profile.item_tokens};
  for (std::uint32_t item = 0; item < profile.items_per_job; ++item) {
    job.items.push_back(
        {.prompt_tokens = job.prefix_tokens + UniformAround(150, random),
         .answer_tokens = UniformAround(profile.item_tokens, random)});
  }
  return job;
}

}  // namespace crocus
