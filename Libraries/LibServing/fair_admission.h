#ifndef LIBSERVING_FAIR_ADMISSION_H_
#define LIBSERVING_FAIR_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

struct FairAdmissionOptions {
  /// Time constant of the averages of work.
  Duration work_time = std::chrono::seconds(2);
  /// Part of the latency target from which on the endpoint counts as
  /// overloaded: a workspace over its share is refused from this wait on.
  double onset = 0.5;
  /// Part of the mean answered share that every workspace gets, whatever its
  /// priority. The platform's gate is a quarter.
  double guaranteed_part = 0.3;
  /// Work is forgotten if a workspace has sent none for this long.
  Duration work_lifetime = std::chrono::seconds(15);
  /// Workspaces of an endpoint that are told apart; further ones share one
  /// account.
  std::size_t maximum_workspaces = 1024;

  bool operator==(const FairAdmissionOptions&) const = default;
};

/// A request that is to be sent to an endpoint.
struct FairRequest {
  std::string endpoint;
  /// Empty if the request has no workspace.
  std::string workspace;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Expected work in seconds of a slot.
  double work = 1;
  Duration expected_wait{};
  /// 0 if the route has none; the request is then admitted.
  Duration latency_target{};
  /// Demand of the workspace at all hosts in relation to that at this one.
  double fleet_factor = 1;

  bool operator==(const FairRequest&) const = default;
};

/// The decision, with the figures behind it in seconds of a slot per second.
struct FairDecision {
  bool is_admitted = true;
  /// False if the workspace had recently more work admitted than its share.
  bool is_within_share = true;
  double admitted_work = 0;
  double share = 0;
  /// Wait from which on the request would be refused.
  Duration wait_limit{};

  bool operator==(const FairDecision&) const = default;
};

/// The work that a workspace asks for, in any unit of work per time.
struct WorkDemand {
  std::uint32_t priority = 0;
  double offered = 0;

  bool operator==(const WorkDemand&) const = default;
};

/// Divides `room`: first, each demand gets `guaranteed_part` of the mean
/// answered share; the rest goes to the most urgent demands, among those of one
/// priority by max-min fairness. The shares are in the order of the demands and
/// not larger than them.
std::vector<double> DivideByPriority(const std::vector<WorkDemand>& demands,
                                     double room,
                                     double guaranteed_part);

/// Decides which workspaces are refused when an endpoint has too little room
/// for all. It answers the load of a workspace that sends far more than usual:
/// without it, all workspaces are refused alike.
///
/// The room is the work that the endpoint has recently answered. A workspace
/// whose admitted work is within its share of the room is admitted until the
/// expected wait reaches the latency target, as without this class; one above
/// it until the onset of overload, or a later wait if there are less urgent
/// workspaces. Requests without a workspace share one account. Not thread-safe.
class FairAdmission {
 public:
  explicit FairAdmission(FairAdmissionOptions options = {})
      : options(options) {}

  /// Decides on a request and counts its work as offered and, if it is
  /// admitted, as admitted.
  FairDecision Admit(const FairRequest& request, TimePoint now);
  /// What Admit would decide, without counting the request.
  FairDecision Preview(const FairRequest& request, TimePoint now) const;

  /// The endpoint has answered work of the workspace.
  void OnAnswered(const std::string& endpoint,
                  const std::string& workspace,
                  double work,
                  TimePoint now);

  /// Drops work that has expired. Must be called regularly.
  void Expire(TimePoint now);

 private:
  /// Averages of work per second with exponential weights.
  struct Account {
    std::uint32_t priority = 0;
    double fleet_factor = 1;
    double offered = 0;
    double admitted = 0;
    double answered = 0;
    TimePoint updated{};
    TimePoint last_offered{};
  };
  /// By workspace.
  using Accounts = std::map<std::string, Account>;

  /// The account of the workspace as of now.
  Account& AccountOf(Accounts& accounts,
                     const std::string& workspace,
                     TimePoint now) const;
  /// Decides on a request for the endpoint of the accounts, and counts it
  /// there.
  FairDecision DecideAndCount(Accounts& accounts,
                              const FairRequest& request,
                              TimePoint now) const;
  double Decay(const Account& account, TimePoint now) const;
  /// Share of the workspace in the room of the endpoint, at this host.
  double ShareOf(const Accounts& accounts,
                 const std::string& workspace,
                 TimePoint now) const;

  /// Part of the priorities of the endpoint's workspaces that are less urgent.
  static double LessUrgentPart(const Accounts& accounts,
                               std::uint32_t priority);

  const FairAdmissionOptions options;
  /// By endpoint.
  std::map<std::string, Accounts> endpoints;
};

}  // namespace crocus

#endif  // LIBSERVING_FAIR_ADMISSION_H_
