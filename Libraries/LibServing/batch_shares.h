#ifndef LIBSERVING_BATCH_SHARES_H_
#define LIBSERVING_BATCH_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibCore/time.h"
#include "LibServing/peer_items.h"
#include "LibServing/workspace_times.h"

namespace crocus {

struct BatchSharesOptions {
  /// Part of an equal share of an endpoint's slots that each workspace gets,
  /// whatever its priority. The platform's gate is a quarter.
  double guaranteed_part = 0.3;
  /// Items that a workspace may be ahead of its guaranteed part, because jobs
  /// do not arrive evenly. With 1, a less urgent workspace got less than a
  /// quarter of the mean.
  double guaranteed_credit = 2;
  /// The planned items must be done in the time left, divided by this, because
  /// run times and the slots that online requests leave to items vary. With
  /// 1.25, too many items of others were late beside a workspace at tenfold
  /// load; with 2, items were late at a load at which none is by due time.
  double margin = 1.5;
  /// Time constant of the average of the slots that items had while others
  /// waited. The online demand alternates within 2 to 3 s.
  Duration capacity_time = std::chrono::seconds(5);
  /// The average is used once items have waited for this long.
  Duration minimum_observation = std::chrono::seconds(2);
  /// An endpoint that was not full for this long is forgotten.
  Duration lifetime = std::chrono::seconds(15);

  bool operator==(const BatchSharesOptions&) const = default;
};

/// The workspace for which an item runs, at which endpoint and priority.
struct BatchClaim {
  std::string endpoint;
  std::string workspace;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;

  bool operator==(const BatchClaim&) const = default;
};

/// Items of a job that wait for a slot, are not failing and are expected to be
/// done in time. The names are not copied.
struct WaitingItems {
  std::string_view job;
  std::string_view workspace;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// In ms since the Unix epoch.
  std::int64_t due_ms = 0;
  std::size_t count = 0;

  bool operator==(const WaitingItems&) const = default;
};

/// The items of one endpoint that are assigned to this host.
struct BatchBacklog {
  std::vector<WaitingItems> waiting;
  std::size_t running = 0;
};

/// Decides which items wait when the slots that an endpoint has for batch items
/// are too few for all to be done in time. Until then all items start in the
/// order of their due times. Then the class plans as many items as can be done
/// in time, and the others come after them: those of the least urgent priority,
/// and of one priority those of the workspaces that have most, so that
/// workspaces share the slots max-min fairly. Each workspace has a guaranteed
/// part, so that none is starved. The planned items, and also the others, start
/// in the order of their due times, so that no more items are late than without
/// shares (Moore 1968: if the runs take equally long, it does not matter which
/// of the items up to one that would be late is left out).
///
/// Designed for a hundred workspaces and thousands of waiting items at a host.
/// Accounts start empty: no workspace is above its share then. Not thread-safe.
class BatchShares {
 public:
  explicit BatchShares(BatchSharesOptions options = {}) : options(options) {}

  /// Takes over the present backlog of each endpoint. To be called before items
  /// are started. `run_time` is the mean run time of an item.
  void Update(const std::map<std::string, BatchBacklog>& backlogs,
              Duration run_time,
              TimePoint now,
              std::int64_t unix_milliseconds);

  /// Items of the endpoint wait and have no slot now.
  void SetFull(const std::string& endpoint, TimePoint now);
  /// False if no endpoint was full recently. `Update` is not needed then.
  bool is_active() const { return !this->states.empty(); }

  /// Counts an item that starts. `seconds` is its expected run time. Nothing is
  /// counted at an endpoint that was not full recently.
  void OnStarted(const ItemReference& item,
                 const BatchClaim& claim,
                 double seconds);
  /// Replaces the expected run time of an item that has been started by the
  /// actual one.
  void OnEnded(const ItemReference& item, double seconds);

  /// True if the items of some endpoint cannot all be done in time.
  bool has_overload() const { return this->overloaded_endpoints > 0; }
  /// True if the job's next item comes after the planned ones.
  bool IsDeferred(const std::string& endpoint, const std::string& job) const;
  /// True if the endpoint is overloaded, and the workspace had more of its
  /// slots than the others that wait.
  bool IsAboveShare(const BatchClaim& claim) const;

 private:
  struct Charge {
    BatchClaim claim;
    double seconds = 0;
  };

  /// What a workspace had and would have by the plan, in seconds.
  struct Account {
    std::uint32_t priority = 0;
    /// Ahead of the others of its priority, and of what is guaranteed.
    double lead = 0;
    double guaranteed_lead = 0;
    double planned = 0;
  };
  /// By workspace and priority.
  using Accounts =
      std::map<std::pair<std::string_view, std::uint32_t>, Account>;

  struct State {
    std::map<std::uint32_t, WorkspaceTimes> times_by_priority;
    /// What each workspace was given, at any priority. The common time is what
    /// is guaranteed to each, so that a workspace that is not ahead of it gets
    /// its guaranteed part.
    WorkspaceTimes guaranteed_times;
    std::size_t waiting_workspaces = 1;
    /// Average of the running items while others waited.
    double slots = 0;
    Duration observed{};
    bool is_full = false;
    bool is_overloaded = false;
    /// Number of planned items by job.
    std::unordered_map<std::string, std::size_t> planned;
    TimePoint updated{};
    TimePoint last_full{};
  };

  void SampleSlots(State& state, std::size_t running, TimePoint now) const;
  /// Raises the common times to those of the waiting workspaces, and returns
  /// their accounts.
  static Accounts AdvanceTimes(State& state,
                               const std::vector<WaitingItems>& waiting);
  /// Chooses the items that can be done in time.
  void Plan(State& state,
            const std::vector<WaitingItems>& waiting,
            Duration run_time,
            std::int64_t unix_milliseconds) const;
  void Count(const BatchClaim& claim, double seconds);

  BatchSharesOptions options;
  /// By endpoint.
  std::map<std::string, State> states;
  std::map<ItemReference, Charge> charges;
  std::size_t overloaded_endpoints = 0;
  /// What a workspace may be ahead of the others within its share.
  double lead_seconds = 0;
};

}  // namespace crocus

#endif  // LIBSERVING_BATCH_SHARES_H_
