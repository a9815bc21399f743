#ifndef LIBSIMULATION_WORKLOAD_H_
#define LIBSIMULATION_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "LibSimulation/simulated_engine.h"

namespace crocus {

/// One-way delays.
struct NetworkDelays {
  Duration same_zone = std::chrono::microseconds(100);
  Duration between_zones = std::chrono::microseconds(400);
  Duration between_regions = std::chrono::milliseconds(6);
  Duration to_client = std::chrono::milliseconds(1);

  bool operator==(const NetworkDelays&) const = default;
};

/// A fleet and the load on it.
struct Profile {
  std::string name;
  std::vector<std::string> regions;
  std::uint32_t zones_per_region = 2;
  /// Endpoint of inference engines, and its number of replicas.
  std::string endpoint;
  std::uint32_t replicas = 9;
  /// Endpoint of a plain service, and its number of replicas. They are not
  /// simulated.
  std::string service;
  std::uint32_t service_replicas = 3;
  NetworkDelays delays;
  SimulatedEngineOptions engine;
  /// Online requests per second of the whole fleet, outside and during bursts,
  /// and the mean duration of these phases.
  double quiet_rate = 4.5;
  double burst_rate = 16;
  double quiet_seconds = 6;
  double burst_seconds = 3;
  /// Mean number of answer tokens of a short request and of a batch item.
  double answer_tokens = 60;
  double item_tokens = 80;
  std::uint32_t items_per_job = 400;
  /// Time from the submission of a job to its due time.
  Duration job_due = std::chrono::minutes(10);
  /// Workspaces of the online callers and of the batch jobs.
  std::vector<std::string> workspaces;
};

/// Returns the profile "calloway" or "tesfaye"; nothing for another name.
std::optional<Profile> FindProfile(const std::string& name);

struct OnlineArrival {
  /// When the client sends the request.
  TimePoint time{};
  /// Index of the region whose entry the load balancer selects.
  std::size_t region = 0;
  std::string workspace;
  std::string prefix;
  std::uint32_t prefix_tokens = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  std::uint32_t token_limit = 0;
  bool is_long = false;
  Duration timeout = std::chrono::seconds(30);

  bool operator==(const OnlineArrival&) const = default;
};

struct WorkloadOptions {
  std::uint64_t seed = 1;
  Duration horizon = std::chrono::minutes(10);
  /// Share of the requests that run 30 times longer. The other requests do not
  /// depend on it.
  double long_share = 0;
  /// Factor by which the request rates of the profile are multiplied.
  double rate_factor = 1;
};

/// Returns the online requests, sorted by time.
std::vector<OnlineArrival> GenerateOnlineArrivals(
    const Profile& profile,
    const WorkloadOptions& options);

struct BatchItem {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;

  bool operator==(const BatchItem&) const = default;
};

struct BatchJob {
  std::string name;
  std::string workspace;
  std::int64_t due_ms = 0;
  std::uint32_t prefix_tokens = 0;
  double item_tokens = 0;
  std::vector<BatchItem> items;

  bool operator==(const BatchJob&) const = default;
};

/// Returns the job with this index, submitted at `now_ms`. Jobs with different
/// indices are independent of each other.
BatchJob GenerateJob(const Profile& profile,
                     std::uint64_t seed,
                     std::uint64_t index,
                     std::int64_t now_ms);

}  // namespace crocus

#endif  // LIBSIMULATION_WORKLOAD_H_
