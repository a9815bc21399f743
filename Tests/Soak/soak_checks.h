#ifndef TESTS_SOAK_SOAK_CHECKS_H_
#define TESTS_SOAK_SOAK_CHECKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "LibAsyncHttp/http_fetch.h"
#include "PlatformStandin/gateway_fleet.h"

namespace crocus {

/// Checks that what callers and replicas observe agrees with the guarantees of
/// docs/guarantees.md. Keeps the first violation.
class SoakChecks {
 public:
  explicit SoakChecks(const GatewayFleet& fleet) : fleet(fleet) {}

  /// Checks the response to an online request of that kind.
  void OnResponse(const std::string& kind,
                  const std::string& id,
                  const Result<FetchedResponse>& reply);
  /// Reports that a response took longer than its caller's timeout, at a
  /// gateway that was not disturbed.
  void OnLateResponse(const std::string& id, Duration time);

  void OnSubmitted(const std::string& job,
                   const std::vector<std::string>& items,
                   TimePoint sent,
                   const Result<FetchedResponse>& reply);
  void OnEndRequested(const std::string& job) { this->ended_jobs.insert(job); }
  void OnRead(const std::string& job,
              std::uint64_t after,
              const Result<FetchedResponse>& reply);

  /// Checks the guarantees about runs, which apply at any time.
  void CheckRuns();
  /// True if the results of all accepted jobs that were not ended are complete.
  bool AreAllItemsListed() const;
  /// True if the job was ended, or all its items that can be finished are
  /// listed.
  bool HasAllResults(const std::string& job) const;
  /// Reports a violation for each accepted job that was not ended and whose
  /// results are incomplete.
  void CheckAllItemsListed();

  /// Item ids of the jobs whose submission got status 202.
  const std::map<std::string, std::vector<std::string>>& accepted() const {
    return this->accepted_jobs;
  }
  std::size_t listed_count(const std::string& job) const;
  const std::optional<std::string>& violation() const {
    return this->first_violation;
  }
  /// Number of requests by kind and outcome.
  const std::map<std::string, std::uint64_t>& counts() const {
    return this->outcome_counts;
  }

 private:
  void ReportViolation(const std::string& guarantee, const std::string& detail);
  void CheckResult(const std::string& job,
                   std::uint64_t position,
                   const nlohmann::json& result);

  const GatewayFleet& fleet;
  std::optional<std::string> first_violation;
  /// Requests that may run at most once, and those that were reported as not
  /// run.
  std::set<std::string> non_repeatable_requests;
  std::set<std::string> reported_not_run;
  std::map<std::string, std::vector<std::string>> accepted_jobs;
  std::map<std::string, TimePoint> submitted_at;
  std::set<std::string> ended_jobs;
  /// Results of each job by position, as they were first read.
  std::map<std::string, std::map<std::uint64_t, std::string>> listings;
  std::map<std::string, std::uint64_t> outcome_counts;
};

}  // namespace crocus

#endif  // TESTS_SOAK_SOAK_CHECKS_H_
