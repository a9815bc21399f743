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

/// What callers and replicas see must agree with the promises of
/// docs/guarantees.md. The first one that is broken is kept.
class SoakChecks {
 public:
  explicit SoakChecks(const GatewayFleet& fleet) : fleet(fleet) {}

  /// The answer to an online request of that kind.
  void OnResponse(const std::string& kind,
                  const std::string& id,
                  const Result<FetchedResponse>& reply);
  /// An answer took longer than its caller waits, at a gateway without fault.
  void OnLateResponse(const std::string& id, Duration time);

  void OnSubmitted(const std::string& job,
                   const std::vector<std::string>& items,
                   const Result<FetchedResponse>& reply);
  void OnEndRequested(const std::string& job) { this->ended_jobs.insert(job); }
  void OnRead(const std::string& job,
              std::uint64_t after,
              const Result<FetchedResponse>& reply);

  /// Promises about runs, which hold at any moment.
  void CheckRuns();
  /// True if every item of the accepted jobs is listed.
  bool AreAllItemsListed() const;
  /// Reports a broken promise for the first item that is not listed.
  void CheckAllItemsListed();

  /// Jobs whose submission was answered with 202.
  const std::map<std::string, std::vector<std::string>>& accepted() const {
    return this->accepted_jobs;
  }
  std::size_t listed_count(const std::string& job) const;
  const std::optional<std::string>& violation() const {
    return this->first_violation;
  }
  const std::map<std::string, std::uint64_t>& counts() const {
    return this->outcome_counts;
  }

 private:
  void ReportViolation(const std::string& promise, const std::string& detail);
  void CheckResult(const std::string& job,
                   std::uint64_t position,
                   const nlohmann::json& result);

  const GatewayFleet& fleet;
  std::optional<std::string> first_violation;
  /// Requests that may run once only, and those that were called not run.
  std::set<std::string> once_only_requests;
  std::set<std::string> reported_not_run;
  std::map<std::string, std::vector<std::string>> accepted_jobs;
  std::set<std::string> ended_jobs;
  /// Results by position, as they were read first.
  std::map<std::string, std::map<std::uint64_t, std::string>> listings;
  std::map<std::string, std::uint64_t> outcome_counts;
};

}  // namespace crocus

#endif  // TESTS_SOAK_SOAK_CHECKS_H_
