#ifndef LIBPOLICY_ADMISSION_H_
#define LIBPOLICY_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "LibCore/time.h"
#include "LibRules/rule_set.h"

namespace crocus {

struct AdmissionOptions {
  /// Share of the workspaces' limits that this entry may admit. The load
  /// balancer distributes the callers evenly over the entries.
  double entry_share = 1;
  /// Capacity of the token buckets, in seconds of the rate: the limits hold on
  /// average, and this much may arrive in one burst.
  double burst_seconds = 1;
  /// Shares are enforced while there are at least this many outstanding
  /// requests per slot.
  double overload_requests_per_slot = 1;
  /// Outstanding requests per slot that are divided among the workspaces and
  /// classes by their shares under overload. Above 1, requests wait at the
  /// daemons instead of being refused while all slots are busy.
  double shared_requests_per_slot = 2;
  /// A workspace and class without outstanding requests takes part in this
  /// division for this long after its last request.
  Duration activity_window = std::chrono::seconds(2);
  /// Retry-after time of refusals for which no exact time can be computed.
  Duration retry_after = std::chrono::milliseconds(500);

  bool operator==(const AdmissionOptions&) const = default;
};

struct AdmissionRequest {
  std::string workspace;
  std::string request_class;
  std::string model;
  std::uint32_t max_tokens = 0;
  Duration timeout{};

  bool operator==(const AdmissionRequest&) const = default;
};

/// Load of the replicas that serve the model, as observed by this entry.
struct AdmissionLoad {
  std::uint32_t slots = 0;
  std::uint32_t outstanding = 0;
  /// Expected wait at the best replica; 0 if any replica has a free slot.
  Duration expected_wait{};

  bool operator==(const AdmissionLoad&) const = default;
};

/// Reason code of a refusal, and the time after which the caller may retry.
/// Requests are refused before any attempt is sent.
struct AdmissionRefusal {
  std::string reason;
  Duration retry_after{};

  bool operator==(const AdmissionRefusal&) const = default;
};

/// Decides which online requests are admitted. Refuses a request that exceeds
/// the request rate, token rate or concurrency limit of its workspace, the
/// share of its workspace and class under overload, or whose timeout is shorter
/// than the expected wait. Not thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionOptions options) : options(options) {}

  /// Returns nothing if the request is admitted; Finish must then be called
  /// when the request has ended.
  std::optional<AdmissionRefusal> Admit(const AdmissionRequest& request,
                                        const AdmissionLoad& load,
                                        const RuleSet& rules,
                                        TimePoint now);
  void Finish(const AdmissionRequest& request, TimePoint now);

 private:
  /// Token bucket that is refilled at the rate of a limit.
  struct Bucket {
    double level = 0;
    TimePoint updated{};
    bool is_initialized = false;
  };
  struct Workspace {
    Bucket requests;
    Bucket tokens;
    std::uint32_t running = 0;
  };
  /// Model, workspace and class.
  using ShareKey = std::tuple<std::string, std::string, std::string>;
  struct ShareState {
    std::uint32_t running = 0;
    TimePoint last_active{};
  };

  void EvictIdle(TimePoint now);
  void Refill(Bucket& bucket, double rate, TimePoint now) const;
  std::optional<AdmissionRefusal> CheckLimits(const AdmissionRequest& request,
                                              const RuleSet& rules,
                                              TimePoint now);
  bool ExceedsShare(const ShareKey& key,
                    const AdmissionLoad& load,
                    const RuleSet& rules,
                    TimePoint now);

  const AdmissionOptions options;
  std::map<std::string, Workspace> workspaces;
  std::map<ShareKey, ShareState> shares;
};

/// Returns the rule of the class for the workspace, else its rule for all
/// workspaces ("*"), else the defaults.
ClassRule FindClassRule(const RuleSet& rules,
                        const std::string& workspace,
                        const std::string& request_class);

}  // namespace crocus

#endif  // LIBPOLICY_ADMISSION_H_
