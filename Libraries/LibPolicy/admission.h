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
  /// Part of the workspaces' limits that this entry may hand out; the balancer
  /// spreads callers evenly over the entries.
  double entry_share = 1;
  /// Limits hold on average; this much of a second's rate may come at once.
  double burst_seconds = 1;
  /// Shares are enforced from this many outstanding requests per slot on.
  double overload_load = 1;
  /// OutstandingRequests requests per slot that are shared out then. Above 1,
  /// requests wait at the daemons instead of being refused while all slots are
  /// busy.
  double shared_load = 2;
  /// A workspace and class counts in the shares for this long after its last
  /// request.
  Duration activity_memory = std::chrono::seconds(2);
  /// Retry-after of refusals whose end cannot be computed.
  Duration retry_after = std::chrono::milliseconds(500);

  bool operator==(const AdmissionOptions&) const = default;
};

struct AdmissionRequest {
  std::string workspace;
  std::string request_class;
  std::string model;
  std::uint32_t max_tokens = 0;
  Duration patience{};

  bool operator==(const AdmissionRequest&) const = default;
};

/// Load of the replicas that serve the model, as the entry sees it.
struct AdmissionLoad {
  std::uint32_t slots = 0;
  std::uint32_t outstanding = 0;
  /// Of the best replica; 0 if it has a free slot.
  Duration expected_wait{};

  bool operator==(const AdmissionLoad&) const = default;
};

/// Why a request is refused before it is sent anywhere.
struct AdmissionRefusal {
  std::string reason;
  Duration retry_after{};

  bool operator==(const AdmissionRefusal&) const = default;
};

/// Decides which online requests are taken on: rate, token rate and
/// concurrency of a workspace, shares of workspaces and classes under overload,
/// and patience that the expected wait exceeds. Not thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionOptions options) : options(options) {}

  /// Nothing admits the request; Finish must follow.
  std::optional<AdmissionRefusal> Admit(const AdmissionRequest& request,
                                        const AdmissionLoad& load,
                                        const RuleSet& rules,
                                        TimePoint now);
  void Finish(const AdmissionRequest& request, TimePoint now);

 private:
  /// Token bucket that fills at the rate of a limit.
  struct Bucket {
    double level = 0;
    TimePoint updated{};
    bool is_started = false;
  };
  struct Workspace {
    Bucket requests;
    Bucket tokens;
    std::uint32_t running = 0;
  };
  /// Model, workspace, class.
  using ShareKey = std::tuple<std::string, std::string, std::string>;
  struct ShareState {
    std::uint32_t running = 0;
    TimePoint seen{};
  };

  void ForgetIdle(TimePoint now);
  void Fill(Bucket& bucket, double rate, TimePoint now) const;
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

/// The class's rule for the workspace, else for all, else the defaults.
ClassRule FindClassRule(const RuleSet& rules,
                        const std::string& workspace,
                        const std::string& request_class);

}  // namespace crocus

#endif  // LIBPOLICY_ADMISSION_H_
