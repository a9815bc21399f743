#ifndef LIBSERVING_WORKSPACE_ALLOTMENTS_H_
#define LIBSERVING_WORKSPACE_ALLOTMENTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/random.h"
#include "LibCore/time.h"
#include "LibMessages/messages.h"
#include "LibServing/report_source.h"
#include "LibServing/routing_config.h"

namespace crocus {

struct WorkspaceAllotmentsOptions {
  /// Availability zone of this host.
  std::string own_zone;
  /// The platform's bound on the requests of a workspace in any window:
  /// (rate x window + burst) x (1 + excess) + slack.
  Duration window = std::chrono::seconds(5);
  double excess = 0.1;
  double slack = 20;
  /// Part of the excess and the slack that is added to the burst. The rest
  /// covers what hosts admit before they know of each other's requests.
  double burst_part = 0.4;
  /// Time after which all hosts know of a request.
  Duration visibility = std::chrono::milliseconds(300);
  /// A source that was not heard of for this long counts as silent.
  Duration silence = std::chrono::milliseconds(350);
  /// How long the share of a silent source stays reserved.
  Duration reservation = std::chrono::seconds(30);
  /// A gap of this length between two calls means that the host was suspended.
  Duration suspension = std::chrono::milliseconds(1500);
  /// Time after the start or a suspension until the reports of all peers should
  /// have arrived.
  Duration settling = std::chrono::milliseconds(1500);
  /// Hosts that a process assumes until it is settled, if it knows of fewer.
  std::size_t unsettled_hosts = 20;
  /// How much more than the limit a workspace is expected to send at once: 7.5
  /// times a demand that is 1/1.6 of the rate.
  double surge = 7.5 / 1.6;
  /// Time constants of the averages of a host's admitted requests and of those
  /// that arrive.
  Duration rate_time = std::chrono::milliseconds(250);
  Duration demand_time = std::chrono::milliseconds(1000);
  /// Interval at which use far below the limit is reported.
  Duration refresh_interval = std::chrono::seconds(1);
  /// Workspaces in a report; the others follow in the next ones.
  std::size_t maximum_entries = 256;
  std::uint64_t seed = 1;

  bool operator==(const WorkspaceAllotmentsOptions&) const = default;
};

/// The decision on a request, with the figures behind it. Rates are in requests
/// per second.
struct AllotmentDecision {
  bool is_admitted = true;
  /// True if the workspace has a limit; the other figures are 0 without one.
  bool has_limit = false;
  /// Time until the workspace's share has room again.
  Duration retry_after{};
  double limit = 0;
  double burst = 0;
  /// Requests that are left to the whole fleet; negative if too many were
  /// admitted.
  double left = 0;
  double rate_here = 0;
  double rate_elsewhere = 0;
  /// Part of what is left that this host may use, from 0 to 1.
  double share = 1;
  /// Age of the oldest report that the decision uses.
  Duration report_age{};

  bool operator==(const AllotmentDecision&) const = default;
};

/// Use of a workspace with a limit, for metrics.
struct AllotmentUse {
  std::string workspace;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Admissions that were undone. They are part of `admitted`.
  std::uint64_t undone = 0;
  AllotmentDecision figures;
};

/// Holds each workspace to its limit over all hosts, without a call for each
/// request: every host counts its own requests at once and those of its peers
/// by their reports. It answers the load of a workspace that sends more than
/// its limit at many hosts.
///
/// A workspace has a bucket of its burst and a part of the platform's
/// tolerance, which is filled at its rate. Each host keeps a copy. Requests of
/// peers are subtracted when their counters arrive, and expected at their last
/// rate until then. What was admitted too much makes the level negative, so
/// that later requests wait for it.
///
/// Above a level that the largest expected surge cannot use up before it is
/// known everywhere, a host admits without regard to others. Below it, what a
/// host admits within the time until all know is limited to its share, by
/// recent demand, of what is left. The shares of hosts that are not heard of
/// are reserved: they may be cut off and still admit requests.
///
/// Not thread-safe.
class WorkspaceAllotments {
 public:
  explicit WorkspaceAllotments(WorkspaceAllotmentsOptions options = {})
      : options(options), random(options.seed) {}

  /// Sets the limits. A workspace keeps its recorded use when its limit
  /// changes; one without a limit is forgotten.
  void Configure(const std::vector<Workspace>& workspaces, TimePoint now);

  /// Number of hosts that may admit requests, this one included, whether or
  /// not they were heard of recently.
  void set_known_hosts(std::size_t hosts) { this->known_hosts = hosts; }

  /// Decides on a request and counts it.
  AllotmentDecision Admit(std::string_view workspace, TimePoint now);

  /// Takes back the admission of a request that was admitted at that time and
  /// that has not reached a replica and will not. The arrival still counts as
  /// demand. An admission that peers were told of stays in the counters, and
  /// the next one takes its place there, within the visibility time. Returns
  /// false and changes nothing if the workspace has no limit, or if the
  /// admission is older than that time or than the last start or suspension.
  bool UndoAdmission(std::string_view workspace,
                     TimePoint admitted,
                     TimePoint now);

  /// The workspace's demand at all hosts divided by that here, by the last
  /// reports of the peers; at least 1. Reports count for 3 s. 1 for a workspace
  /// without a limit, of which no reports are sent.
  double FleetFactor(std::string_view workspace, TimePoint now) const;

  /// What peers must know of this host. To be called at least every
  /// 250 ms.
  std::vector<messages::WorkspaceUse> Report(TimePoint now);
  /// Use in this host's availability zone: its own, and that of the peers that
  /// report directly from it.
  std::vector<messages::WorkspaceUse> ZoneReport(TimePoint now);

  /// Adds the report of a source, which stands for that many hosts. `sender`
  /// identifies the process that wrote it; `sequence` increases with each of
  /// its reports. Older and repeated ones are ignored: returns false.
  bool OnPeerReport(const ReportSource& source,
                    std::uint64_t sender,
                    std::uint64_t sequence,
                    std::uint32_t hosts,
                    const std::vector<messages::WorkspaceUse>& uses,
                    TimePoint now);

  bool has_limits() const { return !this->states.empty(); }
  /// Number of workspaces with a limit.
  std::size_t size() const { return this->states.size(); }
  /// Sources whose share is reserved because they are not heard of, and the
  /// number of hosts that they stand for.
  std::size_t silent_source_count() const {
    return this->silent_sources.size();
  }
  std::uint64_t silent_hosts() const;
  /// Number of hosts, whether or not they were heard of.
  double host_count() const { return this->Hosts(); }
  /// Largest number of workspaces whose use is returned by `Uses`.
  std::vector<AllotmentUse> Uses(std::size_t maximum, TimePoint now);

  /// The hash by which reports name a workspace.
  static std::uint64_t HashOf(std::string_view workspace);

 private:
  /// An average of events per second with exponential weights.
  struct Rate {
    double per_second = 0;
    TimePoint updated{};

    void Add(double count, Duration time, TimePoint now);
    /// Removes one event that was added at `added`.
    void Remove(TimePoint added, Duration time, TimePoint now);
    double At(Duration time, TimePoint now) const;
  };

  struct Source {
    std::uint64_t sender = 0;
    std::uint64_t sequence = 0;
    std::uint32_t hosts = 1;
    TimePoint heard{};
    /// When it was first heard of; for a host, when its present process was.
    TimePoint first_heard{};
  };

  /// Use of one workspace at one source.
  struct PeerUse {
    std::uint32_t counter = 0;
    double rate = 0;
    double demand = 0;
    /// Demand before the source may have become silent: at least
    /// `WorkspaceAllotmentsOptions::silence` old, if it was reported then.
    double earlier_demand = 0;
    double next_earlier_demand = 0;
    TimePoint earlier_since{};
    TimePoint updated{};
    /// Sequence of the report that had it.
    std::uint64_t sequence = 0;
    bool is_silent = false;
    /// Part of the limit that is reserved while the source is silent.
    double reserved_share = 0;
    /// Requests that the source is assumed to have admitted while silent.
    double reserved = 0;
    /// Level that the source had at its last report.
    double level = 0;
  };

  static constexpr std::size_t kSlots = 16;
  struct State {
    std::string name;
    double rate = 0;
    double burst = 0;
    double level = 0;
    TimePoint advanced{};
    /// Requests that this host has admitted, and with those of its zone.
    std::uint32_t counter = 0;
    double zone_counter = 0;
    /// Undone admissions in the counters, whose place the next admissions take
    /// until that time.
    std::uint32_t undone_reported = 0;
    std::uint32_t undone_zone_reported = 0;
    TimePoint undone_until{};
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t undone = 0;
    Rate admitted_rate;
    Rate demand;
    TimePoint last_arrival{};
    /// Requests admitted in each of the last intervals, and demand before them,
    /// by the number of the interval.
    std::array<std::int64_t, kSlots> slot_numbers{};
    std::array<double, kSlots> slot_admitted{};
    std::array<double, kSlots> slot_demand{};
    /// Fraction by which this host's allowance is rounded in an interval.
    std::int64_t rounding_slot = -1;
    double rounding = 0;
    std::uint32_t reported_counter = 0;
    TimePoint reported{};
    double reported_zone_counter = 0;
    TimePoint zone_reported{};
    std::map<ReportSource, PeerUse> peers;
  };

  /// Shares by recent demand.
  struct Shares {
    double own = 1;
    double reserved = 0;
    double elsewhere = 0;
    double rate_elsewhere = 0;
    Duration age{};
  };

  double Tolerance(const State& state) const;
  double Capacity(const State& state) const;
  /// Level of a host that does not know what was admitted before.
  double DrawInitialLevel();
  /// Number of hosts, whether or not they were heard of.
  double Hosts() const;
  void CountHeardHosts();
  /// Finds the silent sources. Drops those whose reservation has ended, and
  /// those that became silent soon after they were first heard of.
  void CheckSources(TimePoint now);
  /// Drops a source that was heard of for a short time only, for example by
  /// reports from before a suspension. It may not have reported its demand, by
  /// which almost nothing would be reserved. An equal part of what is left is
  /// set aside, and it gets the share of a host that was never heard of.
  void DropBriefSource(const ReportSource& source, TimePoint now);
  /// Part of the limit that is reserved for silent hosts, and for those that
  /// are known and were never heard of.
  double ReservedShare(const State& state) const;
  Duration SlotTime() const;
  std::int64_t SlotNumber(TimePoint now) const;
  double RecentlyAdmitted(const State& state,
                          Duration time,
                          TimePoint now) const;
  /// Demand here that long ago.
  double EarlierDemand(const State& state, Duration ago, TimePoint now) const;
  void CountInSlot(State& state, double admitted, TimePoint now);
  /// Drops undone admissions whose place no other one may take any more.
  static void DropExpiredUndone(State& state, TimePoint now);
  /// Adds an admission to the counters that peers receive.
  static void CountForPeers(State& state, TimePoint now);
  double WeightFloor(const State& state) const;
  double Weight(const State& state,
                const PeerUse& use,
                double hosts,
                TimePoint now) const;
  /// The weight before the source may have become silent.
  double EarlierWeight(const State& state,
                       const PeerUse& use,
                       double hosts,
                       TimePoint now) const;
  /// Requests that the source has probably admitted since its report.
  double ExpectedUse(const State& state,
                     const Source& source,
                     const PeerUse& use,
                     TimePoint now) const;
  Shares SharesOf(const State& state, TimePoint now) const;
  /// Requests that a host keeps to itself before it reports them early.
  double ReportThreshold(const State& state) const;
  void Advance(State& state, TimePoint now);
  /// Requests that were left to the whole fleet when a source that has become
  /// silent was last heard of.
  double LeftBeforeSilence(const State& state,
                           const ReportSource& source,
                           TimePoint now) const;
  /// Subtracts requests that a silent source may admit.
  void SetAside(State& state, const ReportSource& source, double requests);
  void BeginSilence(State& state,
                    const ReportSource& source,
                    PeerUse& use,
                    TimePoint now);
  void DropSource(const ReportSource& source);
  /// Keeps one source for each host: a host is reported by itself or by its
  /// zone, and its zone may become known later. Returns false if the report is
  /// to be ignored.
  bool ReplaceSources(const ReportSource& source, TimePoint now);
  /// Returns what was reserved for the source of the workspaces that its report
  /// leaves out.
  void EndSilence(const ReportSource& source,
                  const std::set<std::uint64_t>& reported,
                  bool has_ended);
  void ApplyUse(State& state,
                const ReportSource& source,
                const messages::WorkspaceUse& reported,
                bool is_same_process,
                TimePoint now);
  /// Notes that the process runs, and forgets what may be used if it did not.
  void OnCall(TimePoint now);
  /// Takes over the level of the peers after their reports have arrived.
  void Settle(TimePoint now);
  AllotmentDecision Figures(const State& state,
                            const Shares& shares,
                            TimePoint now) const;
  messages::WorkspaceUse MakeUse(const State& state,
                                 std::uint64_t hash,
                                 TimePoint now) const;

  const WorkspaceAllotmentsOptions options;
  Random random;
  std::size_t known_hosts = 1;
  /// By the hashes of their names.
  std::map<std::uint64_t, State> states;
  std::map<ReportSource, Source> sources;
  /// Hosts that the sources stand for, and this one.
  double heard_hosts = 1;
  std::vector<ReportSource> silent_sources;
  TimePoint next_source_check{};
  bool has_started = false;
  bool is_settled = false;
  TimePoint started{};
  TimePoint last_call{};
};

}  // namespace crocus

#endif  // LIBSERVING_WORKSPACE_ALLOTMENTS_H_
