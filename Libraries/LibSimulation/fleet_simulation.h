#ifndef LIBSIMULATION_FLEET_SIMULATION_H_
#define LIBSIMULATION_FLEET_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <concepts>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/assertions.h"
#include "LibPolicy/batch_job_scheduler.h"
#include "LibPolicy/replica_scheduler.h"
#include "LibSimulation/event_queue.h"
#include "LibSimulation/fleet_result.h"
#include "LibSimulation/routing_policy.h"
#include "LibSimulation/simulated_engine.h"
#include "LibSimulation/workload.h"

namespace crocus {

/// The part of the interface of ReplicaScheduler that the simulated daemons
/// use. The baselines implement it too.
template <typename T>
concept SchedulingPolicy =
    std::constructible_from<T, ReplicaSchedulerOptions> &&
    requires(T scheduler,
             const ScheduledWork& work,
             const std::string& attempt,
             std::uint32_t tokens,
             TimePoint now) {
  { scheduler.Submit(work, now) } -> std::same_as<SchedulerActions>;
  { scheduler.Finish(attempt, now) } -> std::same_as<SchedulerActions>;
  { scheduler.Remove(attempt, now) } -> std::same_as<SchedulerActions>;
  { scheduler.Tick(now) } -> std::same_as<SchedulerActions>;
  {
    scheduler.ReportTokens(attempt, tokens, now)
    } -> std::same_as<SchedulerActions>;
  scheduler.ReportAnswer(attempt, tokens);
  { scheduler.BatchCapacity() } -> std::same_as<std::uint32_t>;
};

/// A period in which a replica runs slower without reporting it.
struct SlowPeriod {
  std::size_t replica = 0;
  double factor = 5;
  TimePoint start{};
  TimePoint end{};
};

struct FleetOptions {
  Profile profile;
  WorkloadOptions workload;
  ReplicaSchedulerOptions scheduler;
  bool runs_online = true;
  bool runs_batch = false;
  std::vector<SlowPeriod> slow_periods;
  /// Number of batch jobs that have items to send at any time.
  std::size_t open_jobs = 6;
  /// Excluded from the measurements: caches fill and length histories build up
  /// during this time.
  Duration warm_up = std::chrono::seconds(30);
};

/// Simulates the entries, daemons and engines of one endpoint in virtual time.
/// Each region has one entry, each replica has a scheduler, and the entry of
/// the first region owns the only batch partition.
template <SchedulingPolicy Scheduler, RoutingPolicy Routing>
class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetOptions& options)
      : options(options),
        profile(this->options.profile),
        job_scheduler(BatchJobSchedulerOptions{}) {
    for (std::size_t region = 0; region < this->profile.regions.size();
         ++region) {
      const Location location = this->MakeLocation(region, 0);
      const NetworkDelays& delays = this->profile.delays;
      this->entries.push_back(
          {.location = location,
           .routing = Routing(RoutingContext{
               .zone = location.zone,
               .region = location.region,
               .regions = this->profile.regions,
               .zone_round_trip = 2 * delays.between_zones,
               .region_round_trip = 2 * delays.between_regions,
               .seed = options.workload.seed * this->profile.regions.size() +
                       region}),
           .observed_loads =
               std::vector<ObservedLoad>(this->profile.replicas)});
    }
    ReplicaSchedulerOptions scheduler = options.scheduler;
    scheduler.slots = this->profile.engine.slots;
    for (std::size_t index = 0; index < this->profile.replicas; ++index) {
      const std::size_t regions = this->profile.regions.size();
      this->replicas.push_back(std::make_unique<Replica>(Replica{
          .location = this->MakeLocation(
              index % regions,
              (index / regions) % this->profile.zones_per_region),
          .scheduler = Scheduler(scheduler),
          .engine = SimulatedEngine(
              this->profile.engine, this->events,
              {.on_token =
                   [this, index](const std::string& id, std::uint32_t tokens) {
                     this->OnToken(index, id, tokens);
                   },
               .on_end =
                   [this, index](const std::string& id, bool is_complete) {
                     this->OnStreamEnd(index, id, is_complete);
                   }})}));
    }
  }

  FleetResult Run() {
    if (this->options.runs_online) {
      this->requests = MakeRequests();
      for (std::size_t index = 0; index < this->requests.size(); ++index) {
        this->events.ScheduleAt(
            this->requests[index].arrival.time + this->profile.delays.to_client,
            [this, index] { this->Dispatch(index, /*is_hedge=*/false); });
      }
    }
    for (const auto& period : this->options.slow_periods) {
      this->events.ScheduleAt(period.start, [this, period] {
        this->replicas[period.replica]->engine.SlowDown(period.factor,
                                                        period.end);
      });
    }
    this->SampleSlotUse();
    for (std::size_t index = 0; index < this->replicas.size(); ++index) {
      // The reports of the daemons are spread over the interval.
      this->events.ScheduleAfter(kReportInterval * static_cast<int>(index) /
                                     static_cast<int>(this->replicas.size()),
                                 [this, index] { this->TickAndReport(index); });
    }
    const TimePoint end = TimePoint{} + this->options.workload.horizon;
    this->events.RunUntil(end);
    this->FinishMeasurement();
    this->is_draining = true;
    // Runs on until the requests in progress have ended, so that the check
    // below finds every request that was lost.
    this->events.RunUntil(end + kDrainTime);
    for (const auto& request : this->requests) {
      VERIFY(request.is_done);
    }
    return std::move(this->result);
  }

 private:
  /// Interval of the daemons' load reports; the default of the daemon's
  /// settings.
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  static constexpr Duration kSampleInterval = std::chrono::milliseconds(250);
  static constexpr Duration kDrainTime = std::chrono::minutes(30);
  static constexpr double kThroughputWindowSeconds = 30;

  struct Location {
    std::string zone;
    std::string region;
  };
  /// Load of a replica as observed by an entry. The fields have the meaning of
  /// those of ReplicaView.
  struct ObservedLoad {
    std::uint32_t outstanding = 0;
    std::uint32_t reported_online = 0;
    std::uint32_t outstanding_at_report = 0;
    TimePoint reported{};
  };
  struct Entry {
    Location location;
    Routing routing;
    std::vector<ObservedLoad> observed_loads;
  };
  struct Replica {
    Location location;
    Scheduler scheduler;
    SimulatedEngine engine;
    /// Number of streams that run or wait in the engine.
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    /// Number of online attempts at the daemon, waiting or running.
    std::uint32_t online_attempts = 0;
    /// Number of batch items that the daemon has received; reported together
    /// with its batch capacity.
    std::uint64_t items_received = 0;
    /// Number of batch items that the partition owner has sent.
    std::uint64_t items_sent = 0;
  };
  struct Request {
    OnlineArrival arrival;
    std::vector<std::string> attempts;
    /// The attempt whose first token arrived first; empty until then.
    std::string winning_attempt;
    bool is_done = false;
  };
  struct Attempt {
    std::size_t replica = 0;
    messages::WorkKind kind = messages::WorkKind::kOnline;
    /// Index of the request in `requests` or of the batch job in `jobs`.
    std::size_t owner_index = 0;
    EngineStream stream;
    TimePoint sent{};
    TimePoint last_token{};
    std::uint32_t tokens = 0;
    bool is_at_engine = false;
    bool is_suspended = false;
    bool is_cancelled = false;
    /// Ended at the daemon; the entry may not have received this yet.
    bool has_ended = false;
  };
  struct OpenJob {
    BatchJob job;
    std::uint64_t next_item = 0;
    std::uint64_t finished_items = 0;
  };

  Location MakeLocation(std::size_t region, std::size_t zone) const {
    const std::string& name = this->profile.regions[region];
    return {.zone = name + "/" + std::to_string(zone), .region = name};
  }

  Duration NetworkDelay(const Location& from, const Location& to) const {
    const NetworkDelays& delays = this->profile.delays;
    if (from.region != to.region) {
      return delays.between_regions;
    }
    return from.zone == to.zone ? delays.same_zone : delays.between_zones;
  }

  std::vector<Request> MakeRequests() const {
    std::vector<Request> generated;
    for (auto& arrival :
         GenerateOnlineArrivals(this->profile, this->options.workload)) {
      generated.push_back({.arrival = std::move(arrival)});
    }
    return generated;
  }

  bool IsMeasured(TimePoint time) const {
    return time >= TimePoint{} + this->options.warm_up &&
           time < TimePoint{} + this->options.workload.horizon;
  }

  // Simulated entries.

  void Dispatch(std::size_t index, bool is_hedge) {
    Request& request = this->requests[index];
    if (is_hedge && (request.is_done || !request.winning_attempt.empty())) {
      return;
    }
    Entry& entry = this->entries[request.arrival.region];
    const TimePoint now = this->events.now();
    if (is_hedge) {
      const Attempt& first = this->attempts.at(request.attempts.front());
      entry.routing.ObserveWaiting(first.replica, now - first.sent, now);
      if (!entry.routing.TryHedge(now)) {
        return;
      }
    }
    std::vector<ReplicaView> views;
    for (std::size_t replica = 0; replica < this->replicas.size(); ++replica) {
      if (is_hedge &&
          this->attempts.at(request.attempts.front()).replica == replica) {
        continue;
      }
      Replica& target = *this->replicas[replica];
      const EngineLoad load = target.engine.PublishedLoad();
      const ObservedLoad& observed = entry.observed_loads[replica];
      views.push_back({.index = replica,
                       .zone = target.location.zone,
                       .region = target.location.region,
                       .slots = this->profile.engine.slots,
                       .outstanding = observed.outstanding,
                       .reported_running = load.running,
                       .reported_waiting = load.waiting,
                       .reported_online = observed.reported_online,
                       .outstanding_at_report = observed.outstanding_at_report,
                       .reported = observed.reported});
    }
    const RoutingRequest routing_request{
        .workspace = request.arrival.workspace,
        .prefix = request.arrival.prefix,
        .prompt_tokens = request.arrival.prompt_tokens,
        .token_limit = request.arrival.token_limit,
        .zone = entry.location.zone,
        .region = entry.location.region};
    const auto chosen = entry.routing.Choose(routing_request, views, now);
    if (!chosen) {
      if (!is_hedge) {
        this->Expire(request);
      }
      return;
    }
    const std::size_t replica = views[*chosen].index;
    const std::string id =
        "o" + std::to_string(index) + (is_hedge ? "-hedge" : "");
    const OnlineArrival& arrival = request.arrival;
    this->attempts[id] = {.replica = replica,
                          .owner_index = index,
                          .stream = {.id = id,
                                     .prefix = arrival.prefix,
                                     .prefix_tokens = arrival.prefix_tokens,
                                     .prompt_tokens = arrival.prompt_tokens,
                                     .answer_tokens = arrival.answer_tokens},
                          .sent = now};
    request.attempts.push_back(id);
    ++entry.observed_loads[replica].outstanding;
    entry.routing.ObserveSent(replica, now);
    if (is_hedge) {
      this->result.hedges += this->IsMeasured(arrival.time) ? 1 : 0;
    } else if (const auto delay = entry.routing.HedgeDelay()) {
      this->events.ScheduleAfter(
          *delay, [this, index] { this->Dispatch(index, /*is_hedge=*/true); });
    }
    this->events.ScheduleAfter(
        this->NetworkDelay(entry.location, this->replicas[replica]->location),
        [this, id] { this->Submit(id); });
  }

  void OnFirstToken(const std::string& id) {
    const Attempt& attempt = this->attempts.at(id);
    Request& request = this->requests[attempt.owner_index];
    Entry& entry = this->entries[request.arrival.region];
    const TimePoint now = this->events.now();
    entry.routing.ObserveFirstToken(attempt.replica, now - attempt.sent, now);
    if (!request.winning_attempt.empty() || request.is_done) {
      return;
    }
    request.winning_attempt = id;
    this->RecordFirstToken(
        request, now + this->profile.delays.to_client - request.arrival.time);
    for (const auto& other : request.attempts) {
      if (other != id) {
        this->events.ScheduleAfter(
            this->NetworkDelay(
                entry.location,
                this->replicas[this->attempts.at(other).replica]->location),
            [this, other] { this->CancelAttempt(other); });
      }
    }
  }

  void OnAttemptEnd(const std::string& id, bool is_complete) {
    const auto found = this->attempts.find(id);
    const Attempt attempt = found->second;
    found->second.has_ended = true;
    Request& request = this->requests[attempt.owner_index];
    Entry& entry = this->entries[request.arrival.region];
    const TimePoint now = this->events.now();
    --entry.observed_loads[attempt.replica].outstanding;
    entry.routing.ObserveEnd(attempt.replica, now - attempt.sent, is_complete,
                             now);
    if (!is_complete && attempt.tokens == 0) {
      entry.routing.ObserveWaiting(attempt.replica, now - attempt.sent, now);
    }
    if (request.is_done) {
      return;
    }
    if (id == request.winning_attempt) {
      request.is_done = true;
      if (this->IsMeasured(request.arrival.time)) {
        ++this->result.completed;
        if (!request.arrival.is_long) {
          this->result.total_time_short.Add(
              now + this->profile.delays.to_client - request.arrival.time);
        }
      }
      return;
    }
    const bool others_ended =
        std::all_of(request.attempts.begin(), request.attempts.end(),
                    [this](const std::string& other) {
                      return this->attempts.at(other).has_ended;
                    });
    if (request.winning_attempt.empty() && others_ended) {
      this->Expire(request);
    }
  }

  void Expire(Request& request) {
    request.is_done = true;
    this->result.expired += this->IsMeasured(request.arrival.time) ? 1 : 0;
    this->RecordFirstToken(request, request.arrival.timeout);
  }

  void RecordFirstToken(const Request& request, Duration wait) {
    const OnlineArrival& arrival = request.arrival;
    this->result.first_token_by_arrival.emplace_back(
        ToSeconds(arrival.time.time_since_epoch()), ToSeconds(wait));
    if (!this->IsMeasured(arrival.time)) {
      return;
    }
    ++this->result.requests;
    this->result.first_token.Add(wait);
    (arrival.is_long ? this->result.first_token_long
                     : this->result.first_token_short)
        .Add(wait);
    if (std::any_of(this->options.slow_periods.begin(),
                    this->options.slow_periods.end(),
                    [&arrival](const SlowPeriod& period) {
                      return period.start <= arrival.time &&
                             arrival.time < period.end;
                    })) {
      this->result.first_token_in_slow_period.Add(wait);
    }
  }

  // Simulated daemons.

  void Submit(const std::string& id) {
    Attempt& attempt = this->attempts.at(id);
    Replica& replica = *this->replicas[attempt.replica];
    if (attempt.is_cancelled) {
      return;
    }
    ScheduledWork work{.attempt = id,
                       .kind = attempt.kind,
                       .prompt_tokens = attempt.stream.prompt_tokens};
    if (attempt.kind == messages::WorkKind::kOnline) {
      const OnlineArrival& arrival =
          this->requests[attempt.owner_index].arrival;
      work.workspace = arrival.workspace;
      work.token_limit = arrival.token_limit;
      work.deadline = arrival.time + arrival.timeout;
      work.is_resumable = true;
      ++replica.online_attempts;
    } else {
      const BatchJob& job = this->jobs[attempt.owner_index].job;
      work.workspace = job.workspace + "/" + job.name;
      ++replica.items_received;
    }
    this->ApplyActions(attempt.replica,
                       replica.scheduler.Submit(work, this->events.now()));
  }

  void CancelAttempt(const std::string& id) {
    Attempt& attempt = this->attempts.at(id);
    if (attempt.is_cancelled || attempt.has_ended) {
      return;
    }
    attempt.is_cancelled = true;
    Replica& replica = *this->replicas[attempt.replica];
    if (attempt.is_at_engine) {
      replica.engine.Cancel(id);
      return;
    }
    const SchedulerActions actions =
        replica.scheduler.Remove(id, this->events.now());
    this->EndOnlineAttempt(id, false);
    this->ApplyActions(attempt.replica, actions);
  }

  void ApplyActions(std::size_t index, const SchedulerActions& actions) {
    Replica& replica = *this->replicas[index];
    for (const auto& id : actions.suspend) {
      ++this->result.suspensions;
      this->attempts.at(id).is_suspended = true;
      replica.engine.Cancel(id);
    }
    for (const auto& id : actions.expired) {
      this->EndOnlineAttempt(id, false);
    }
    for (const auto& id : actions.start) {
      const auto found = this->attempts.find(id);
      if (found == this->attempts.end() || found->second.has_ended) {
        continue;
      }
      Attempt& attempt = found->second;
      attempt.is_at_engine = true;
      attempt.is_suspended = false;
      attempt.stream.resume_from = attempt.tokens;
      ++(attempt.kind == messages::WorkKind::kOnline ? replica.online
                                                     : replica.batch);
      replica.engine.Start(attempt.stream);
    }
  }

  void OnToken(std::size_t index, const std::string& id, std::uint32_t tokens) {
    Attempt& attempt = this->attempts.at(id);
    const TimePoint now = this->events.now();
    attempt.tokens = tokens;
    this->RecordSlotTime(attempt, now);
    if (attempt.kind == messages::WorkKind::kOnline) {
      if (tokens == 1) {
        const Entry& entry =
            this->entries[this->requests[attempt.owner_index].arrival.region];
        this->events.ScheduleAfter(
            this->NetworkDelay(this->replicas[index]->location, entry.location),
            [this, id] { this->OnFirstToken(id); });
      } else {
        const Duration gap = now - attempt.last_token;
        // The entry observes the same gap, because the delay from the daemon
        // is constant.
        this->entries[this->requests[attempt.owner_index].arrival.region]
            .routing.ObserveToken(index, gap, now);
        if (this->IsMeasured(now)) {
          this->result.token_gap.Add(gap);
        }
      }
    }
    attempt.last_token = now;
    this->ApplyActions(
        index, this->replicas[index]->scheduler.ReportTokens(id, tokens, now));
  }

  void RecordSlotTime(const Attempt& attempt, TimePoint now) {
    if (!this->IsMeasured(now)) {
      return;
    }
    const SimulatedEngineOptions& engine = this->profile.engine;
    Duration slot_time = SimulatedEngine::TokenTime(engine, engine.slots);
    if (attempt.tokens == 1) {
      slot_time += engine.prompt_token_time * (attempt.stream.prompt_tokens -
                                               attempt.stream.prefix_tokens);
    }
    if (attempt.kind == messages::WorkKind::kOnline) {
      this->online_slot_seconds += ToSeconds(slot_time);
    } else {
      ++this->result.batch_tokens;
      this->result.batch_slot_seconds += ToSeconds(slot_time);
    }
  }

  void OnStreamEnd(std::size_t index, const std::string& id, bool is_complete) {
    Attempt& attempt = this->attempts.at(id);
    Replica& replica = *this->replicas[index];
    const TimePoint now = this->events.now();
    const bool is_online = attempt.kind == messages::WorkKind::kOnline;
    --(is_online ? replica.online : replica.batch);
    attempt.is_at_engine = false;
    const bool stays_queued =
        attempt.is_suspended && !is_complete && !attempt.is_cancelled;
    if (is_complete) {
      replica.scheduler.ReportAnswer(id, attempt.tokens);
    }
    if (!stays_queued) {
      attempt.has_ended = true;
    }
    this->ApplyActions(index, replica.scheduler.Finish(id, now));
    if (!stays_queued) {
      this->ApplyActions(index, replica.scheduler.Remove(id, now));
      if (is_online) {
        this->EndOnlineAttempt(id, is_complete);
      } else {
        this->EndBatchItem(index, id);
      }
    }
    this->SendReport(index);
  }

  void EndOnlineAttempt(const std::string& id, bool is_complete) {
    Attempt& attempt = this->attempts.at(id);
    attempt.has_ended = true;
    --this->replicas[attempt.replica]->online_attempts;
    const Entry& entry =
        this->entries[this->requests[attempt.owner_index].arrival.region];
    this->events.ScheduleAfter(
        this->NetworkDelay(this->replicas[attempt.replica]->location,
                           entry.location),
        [this, id, is_complete] { this->OnAttemptEnd(id, is_complete); });
  }

  void TickAndReport(std::size_t index) {
    this->ApplyActions(
        index, this->replicas[index]->scheduler.Tick(this->events.now()));
    this->SendReport(index);
    this->events.ScheduleAfter(kReportInterval,
                               [this, index] { this->TickAndReport(index); });
  }

  void SendReport(std::size_t index) {
    const Replica& replica = *this->replicas[index];
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
      this->events.ScheduleAfter(
          this->NetworkDelay(replica.location, this->entries[entry].location),
          [this, index, entry, online = replica.online_attempts] {
            ObservedLoad& observed = this->entries[entry].observed_loads[index];
            observed.reported_online = online;
            observed.outstanding_at_report = observed.outstanding;
            observed.reported = this->events.now();
          });
    }
    if (!this->options.runs_batch) {
      return;
    }
    this->events.ScheduleAfter(
        this->NetworkDelay(replica.location, this->entries.front().location),
        [this, index, capacity = replica.scheduler.BatchCapacity(),
         received = replica.items_received] {
          this->OnCapacityReport(index, capacity, received);
        });
  }

  // Simulated owner of the batch partition.

  void OnCapacityReport(std::size_t index,
                        std::uint32_t capacity,
                        std::uint64_t received) {
    Replica& replica = *this->replicas[index];
    const std::uint64_t in_flight = replica.items_sent - received;
    for (std::uint64_t item = in_flight; item < capacity && !this->is_draining;
         ++item) {
      this->SendItem(index);
    }
  }

  void SendItem(std::size_t index) {
    this->ReplenishJobs();
    std::vector<JobSummary> summaries;
    std::vector<std::size_t> positions;
    for (std::size_t position = this->first_unfinished;
         position < this->jobs.size(); ++position) {
      const OpenJob& open = this->jobs[position];
      if (open.next_item == open.job.items.size()) {
        continue;
      }
      positions.push_back(position);
      summaries.push_back(
          {.job = open.job.name,
           .workspace = open.job.workspace,
           .due_ms = open.job.due_ms,
           .remaining_items = open.job.items.size() - open.next_item,
           .running_items = open.next_item - open.finished_items,
           .item_seconds = this->ItemSeconds(open.job)});
    }
    const auto chosen =
        this->job_scheduler.NextJob(summaries, this->throughput, this->NowMs());
    VERIFY(chosen.has_value());
    const std::size_t position = positions[*chosen];
    OpenJob& open = this->jobs[position];
    const BatchItem& item = open.job.items[open.next_item++];
    const std::string id = "b" + std::to_string(this->next_item++);
    this->attempts[id] = {.replica = index,
                          .kind = messages::WorkKind::kBatch,
                          .owner_index = position,
                          .stream = {.id = id,
                                     .prefix = open.job.name,
                                     .prefix_tokens = open.job.prefix_tokens,
                                     .prompt_tokens = item.prompt_tokens,
                                     .answer_tokens = item.answer_tokens}};
    ++this->replicas[index]->items_sent;
    this->events.ScheduleAfter(
        this->NetworkDelay(this->entries.front().location,
                           this->replicas[index]->location),
        [this, id] { this->Submit(id); });
  }

  void ReplenishJobs() {
    const auto count_open = [this] {
      return static_cast<std::size_t>(
          std::count_if(this->jobs.begin() +
                            static_cast<std::ptrdiff_t>(this->first_unfinished),
                        this->jobs.end(), [](const OpenJob& open) {
                          return open.next_item < open.job.items.size();
                        }));
    };
    while (count_open() < this->options.open_jobs) {
      this->jobs.push_back(
          {.job = GenerateJob(this->profile, this->options.workload.seed,
                              this->jobs.size(), this->NowMs())});
    }
    while (this->jobs[this->first_unfinished].finished_items ==
           this->jobs[this->first_unfinished].job.items.size()) {
      ++this->first_unfinished;
    }
  }

  void EndBatchItem(std::size_t index, const std::string& id) {
    if (this->IsMeasured(this->events.now())) {
      ++this->result.batch_items;
    }
    const std::size_t position = this->attempts.at(id).owner_index;
    this->attempts.erase(id);
    this->events.ScheduleAfter(
        this->NetworkDelay(this->replicas[index]->location,
                           this->entries.front().location),
        [this, position] {
          OpenJob& open = this->jobs[position];
          const double seconds =
              ToSeconds(this->events.now() - this->last_item_end);
          this->last_item_end = this->events.now();
          this->throughput =
              this->throughput * std::exp(-seconds / kThroughputWindowSeconds) +
              this->ItemSeconds(open.job) / kThroughputWindowSeconds;
          if (++open.finished_items == open.job.items.size()) {
            ++this->result.jobs_finished;
            this->result.jobs_late += this->NowMs() > open.job.due_ms ? 1 : 0;
          }
        });
  }

  double ItemSeconds(const BatchJob& job) const {
    const SimulatedEngineOptions& engine = this->profile.engine;
    return job.item_tokens *
           ToSeconds(SimulatedEngine::TokenTime(engine, engine.slots));
  }

  std::int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               this->events.now().time_since_epoch())
        .count();
  }

  // Measurement.

  void SampleSlotUse() {
    SlotSample sample{.time = this->events.now()};
    for (const auto& replica : this->replicas) {
      sample.online += replica->online;
      sample.batch += replica->batch;
    }
    this->result.slot_use.push_back(sample);
    if (!this->is_draining) {
      this->events.ScheduleAfter(kSampleInterval,
                                 [this] { this->SampleSlotUse(); });
    }
  }

  void FinishMeasurement() {
    this->result.measured_seconds =
        ToSeconds(this->options.workload.horizon - this->options.warm_up);
    this->result.idle_slot_seconds = this->result.measured_seconds *
                                         this->profile.replicas *
                                         this->profile.engine.slots -
                                     this->online_slot_seconds;
  }

  const FleetOptions options;
  const Profile& profile;
  EventQueue events;
  std::vector<Entry> entries;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<Request> requests;
  std::map<std::string, Attempt> attempts;

  BatchJobScheduler job_scheduler;
  std::deque<OpenJob> jobs;
  /// Index of the first job that has unfinished items.
  std::size_t first_unfinished = 0;
  std::uint64_t next_item = 0;
  /// Slot seconds of finished items per second, averaged exponentially over
  /// kThroughputWindowSeconds.
  double throughput = 0;
  TimePoint last_item_end{};

  FleetResult result;
  double online_slot_seconds = 0;
  bool is_draining = false;
};

}  // namespace crocus

#endif  // LIBSIMULATION_FLEET_SIMULATION_H_
