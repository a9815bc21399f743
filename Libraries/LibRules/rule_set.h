#ifndef LIBRULES_RULE_SET_H_
#define LIBRULES_RULE_SET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocus {

enum class EndpointKind { kEngine, kService };

/// Declares an endpoint and how its replicas are used.
struct EndpointRule {
  EndpointKind kind = EndpointKind::kEngine;
  std::vector<std::string> models;
  /// Slots of each replica that batch work leaves free for online bursts.
  std::uint32_t reserve_slots = 1;
  /// Maximum share of a replica's slots that long requests may hold.
  double long_share = 0.5;
  /// Maximum share of the replicas that may be ejected as slow.
  double ejected_share = 0.2;
  std::chrono::milliseconds first_token_target{1400};
  std::chrono::milliseconds token_target{61};
  /// The endpoint accepts no new work.
  bool is_leaving = false;

  bool operator==(const EndpointRule&) const = default;
};

/// Shares and limits of a workspace; a limit of 0 is no limit.
struct WorkspaceRule {
  /// Weight under overload and between batch jobs.
  double share = 1;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  std::uint32_t concurrent_requests = 0;

  bool operator==(const WorkspaceRule&) const = default;
};

/// Defaults of a request class of one workspace, or of all ("*").
struct ClassRule {
  /// How long a caller waits for the complete response.
  std::chrono::milliseconds timeout{30000};
  /// Time from submission to the due time of a batch job that specifies none.
  std::chrono::milliseconds due{24 * 3600 * 1000};
  double share = 1;

  bool operator==(const ClassRule&) const = default;
};

/// Allows requests to overflow from one region to another.
struct OverflowRule {
  /// The expected wait must be shorter by at least this much; the price of the
  /// traffic expressed as a time.
  std::chrono::milliseconds minimum_gain{250};
  /// Maximum share of the region's requests that may be sent to the other one.
  double maximum_share = 0.2;

  bool operator==(const OverflowRule&) const = default;
};

/// Limits for retries and hedges, as shares of the requests of the last
/// seconds.
struct BudgetRule {
  double retry_share = 0.1;
  double hedge_share = 0.05;

  bool operator==(const BudgetRule&) const = default;
};

/// The parsed rules of one version.
struct RuleSet {
  std::uint64_t version = 0;
  std::map<std::string, EndpointRule> endpoints;
  std::map<std::string, WorkspaceRule> workspaces;
  /// Key: workspace or "*", and class.
  std::map<std::pair<std::string, std::string>, ClassRule> classes;
  /// Key: region of the entry and region of the endpoint.
  std::map<std::pair<std::string, std::string>, OverflowRule> overflows;
  BudgetRule budgets;

  bool operator==(const RuleSet&) const = default;
};

}  // namespace crocus

#endif  // LIBRULES_RULE_SET_H_
