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
#include "LibSimulation/model_engine.h"
#include "LibSimulation/route_policy.h"
#include "LibSimulation/workload.h"

namespace crocus {

/// Interface of ReplicaScheduler towards the daemon.
template <typename T>
concept AdmissionGate = std::constructible_from<T, ReplicaSchedulerOptions> &&
    requires(T gate,
             const ScheduledWork& work,
             const std::string& attempt,
             std::uint32_t tokens,
             TimePoint now) {
  { gate.Submit(work, now) } -> std::same_as<SchedulerActions>;
  { gate.Finish(attempt, now) } -> std::same_as<SchedulerActions>;
  { gate.Remove(attempt, now) } -> std::same_as<SchedulerActions>;
  { gate.Tick(now) } -> std::same_as<SchedulerActions>;
  { gate.ReportTokens(attempt, tokens, now) } -> std::same_as<SchedulerActions>;
  gate.ReportAnswer(attempt, tokens);
  { gate.BatchCapacity() } -> std::same_as<std::uint32_t>;
};

/// A replica that runs slower for a while and does not say so.
struct SlowSpell {
  std::size_t replica = 0;
  double factor = 5;
  TimePoint start{};
  TimePoint end{};
};

struct FleetOptions {
  Profile profile;
  WorkloadOptions workload;
  ReplicaSchedulerOptions gate;
  bool runs_online = true;
  bool runs_batch = false;
  std::vector<SlowSpell> slow_spells;
  /// Batch jobs that have items left at any time.
  std::size_t open_jobs = 6;
  /// Not measured: caches fill and length histories build up.
  Duration warm_up = std::chrono::seconds(30);
};

/// Runs entries, daemons and engines of one endpoint in virtual time: one entry
/// for each region, a gate in front of each replica, the batch partition owner
/// in the first region's entry.
template <AdmissionGate GateType, RoutePolicy Route>
class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetOptions& options)
      : options(options),
        profile(this->options.profile),
        order(BatchJobSchedulerOptions{}) {
    for (std::size_t region = 0; region < this->profile.regions.size();
         ++region) {
      const Place place = this->MakePlace(region, 0);
      const NetworkDelays& delays = this->profile.delays;
      this->entries.push_back(
          {.place = place,
           .route = Route(RouteContext{
               .zone = place.zone,
               .region = place.region,
               .regions = this->profile.regions,
               .zone_round_trip = 2 * delays.between_zones,
               .region_round_trip = 2 * delays.between_regions,
               .seed = options.workload.seed * this->profile.regions.size() +
                       region}),
           .known = std::vector<Known>(this->profile.replicas)});
    }
    ReplicaSchedulerOptions gate = options.gate;
    gate.slots = this->profile.engine.slots;
    for (std::size_t index = 0; index < this->profile.replicas; ++index) {
      const std::size_t regions = this->profile.regions.size();
      this->replicas.push_back(std::make_unique<Replica>(Replica{
          .place = this->MakePlace(
              index % regions,
              (index / regions) % this->profile.zones_per_region),
          .gate = GateType(gate),
          .engine = ModelEngine(
              this->profile.engine, this->events,
              {.on_token =
                   [this, index](const std::string& id, std::uint32_t tokens) {
                     this->OnToken(index, id, tokens);
                   },
               .on_end =
                   [this, index](const std::string& id, bool is_complete) {
                     this->OnEnd(index, id, is_complete);
                   }})}));
    }
  }

  FleetResult Run() {
    if (this->options.runs_online) {
      this->requests = MakeRequests();
      for (std::size_t index = 0; index < this->requests.size(); ++index) {
        this->events.At(
            this->requests[index].arrival.time +
                this->profile.delays.to_clients,
            [this, index] { this->Dispatch(index, /*is_hedge=*/false); });
      }
    }
    for (const auto& spell : this->options.slow_spells) {
      this->events.At(spell.start, [this, spell] {
        this->replicas[spell.replica]->engine.Slow(spell.factor, spell.end);
      });
    }
    this->Sample();
    for (std::size_t index = 0; index < this->replicas.size(); ++index) {
      // Daemons do not report in step.
      this->events.After(kReportInterval * static_cast<int>(index) /
                             static_cast<int>(this->replicas.size()),
                         [this, index] { this->ReportLater(index); });
    }
    const TimePoint end = TimePoint{} + this->options.workload.horizon;
    this->events.RunUntil(end);
    this->CloseMeasurement();
    this->is_closing = true;
    // Lets requests that run at the end finish, so that none may be lost.
    this->events.RunUntil(end + kDrainTime);
    for (const auto& request : this->requests) {
      VERIFY(request.is_done);
    }
    return std::move(this->result);
  }

 private:
  /// Interval of daemons' load reports, as in the daemon's settings.
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  static constexpr Duration kSampleInterval = std::chrono::milliseconds(250);
  static constexpr Duration kDrainTime = std::chrono::minutes(30);
  static constexpr double kThroughputWindowSeconds = 30;

  struct Place {
    std::string zone;
    std::string region;
  };
  /// What an entry knows of a replica.
  struct Known {
    std::uint32_t outstanding = 0;
    std::uint32_t reported_online = 0;
    std::uint32_t outstanding_at_report = 0;
    TimePoint reported{};
  };
  struct Entry {
    Place place;
    Route route;
    std::vector<Known> known;
  };
  struct Replica {
    Place place;
    GateType gate;
    ModelEngine engine;
    /// Streams at the engine.
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    /// Online attempts that wait or run.
    std::uint32_t online_held = 0;
    /// Batch items received so far, sent along with the room.
    std::uint64_t items_received = 0;
    /// Batch items that the partition owner has sent.
    std::uint64_t items_sent = 0;
  };
  struct Request {
    OnlineArrival arrival;
    std::vector<std::string> attempts;
    std::string winner;
    bool is_done = false;
  };
  struct Attempt {
    std::size_t replica = 0;
    messages::WorkKind kind = messages::WorkKind::kOnline;
    /// Index of the request or of the open job.
    std::size_t owner = 0;
    EngineStream stream;
    TimePoint sent{};
    TimePoint last_token{};
    std::uint32_t tokens = 0;
    bool is_at_engine = false;
    bool is_suspended = false;
    bool is_cancelled = false;
    /// Ended at the daemon; the entry does not know yet.
    bool has_ended = false;
  };
  struct OpenJob {
    BatchJob job;
    std::uint64_t next_item = 0;
    std::uint64_t finished = 0;
  };

  Place MakePlace(std::size_t region, std::size_t zone) const {
    const std::string& name = this->profile.regions[region];
    return {.zone = name + "/" + std::to_string(zone), .region = name};
  }

  Duration Delay(const Place& from, const Place& to) const {
    const NetworkDelays& delays = this->profile.delays;
    if (from.region != to.region) {
      return delays.between_regions;
    }
    return from.zone == to.zone ? delays.same_zone : delays.between_zones;
  }

  std::vector<Request> MakeRequests() const {
    std::vector<Request> made;
    for (auto& arrival :
         GenerateOnline(this->profile, this->options.workload)) {
      made.push_back({.arrival = std::move(arrival)});
    }
    return made;
  }

  bool IsMeasured(TimePoint time) const {
    return time >= TimePoint{} + this->options.warm_up &&
           time < TimePoint{} + this->options.workload.horizon;
  }

  // Entry.

  void Dispatch(std::size_t index, bool is_hedge) {
    Request& request = this->requests[index];
    if (is_hedge && (request.is_done || !request.winner.empty())) {
      return;
    }
    Entry& entry = this->entries[request.arrival.region];
    const TimePoint now = this->events.now();
    if (is_hedge) {
      const Attempt& first = this->attempts.at(request.attempts.front());
      entry.route.ObserveWaiting(first.replica, now - first.sent, now);
      if (!entry.route.TryHedge(now)) {
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
      const Known& known = entry.known[replica];
      views.push_back({.index = replica,
                       .zone = target.place.zone,
                       .region = target.place.region,
                       .slots = this->profile.engine.slots,
                       .outstanding = known.outstanding,
                       .reported_running = load.running,
                       .reported_waiting = load.waiting,
                       .reported_online = known.reported_online,
                       .outstanding_at_report = known.outstanding_at_report,
                       .reported = known.reported});
    }
    const RouteInput route_input{.workspace = request.arrival.workspace,
                                 .prefix = request.arrival.prefix,
                                 .prompt_tokens = request.arrival.prompt_tokens,
                                 .token_limit = request.arrival.token_limit,
                                 .zone = entry.place.zone,
                                 .region = entry.place.region};
    const auto chosen = entry.route.Choose(route_input, views, now);
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
                          .owner = index,
                          .stream = {.id = id,
                                     .prefix = arrival.prefix,
                                     .prefix_tokens = arrival.prefix_tokens,
                                     .prompt_tokens = arrival.prompt_tokens,
                                     .answer_tokens = arrival.answer_tokens},
                          .sent = now};
    request.attempts.push_back(id);
    ++entry.known[replica].outstanding;
    entry.route.ObserveSent(replica, now);
    if (is_hedge) {
      this->result.hedges += this->IsMeasured(arrival.time) ? 1 : 0;
    } else if (const auto delay = entry.route.HedgeDelay()) {
      this->events.After(
          *delay, [this, index] { this->Dispatch(index, /*is_hedge=*/true); });
    }
    this->events.After(this->Delay(entry.place, this->replicas[replica]->place),
                       [this, id] { this->Submit(id); });
  }

  void OnFirstToken(const std::string& id) {
    const Attempt& attempt = this->attempts.at(id);
    Request& request = this->requests[attempt.owner];
    Entry& entry = this->entries[request.arrival.region];
    const TimePoint now = this->events.now();
    entry.route.ObserveFirstToken(attempt.replica, now - attempt.sent, now);
    if (!request.winner.empty() || request.is_done) {
      return;
    }
    request.winner = id;
    this->RecordFirstToken(
        request, now + this->profile.delays.to_clients - request.arrival.time);
    for (const auto& other : request.attempts) {
      if (other != id) {
        this->events.After(
            this->Delay(
                entry.place,
                this->replicas[this->attempts.at(other).replica]->place),
            [this, other] { this->CancelAttempt(other); });
      }
    }
  }

  void OnAttemptEnd(const std::string& id, bool is_complete) {
    const auto found = this->attempts.find(id);
    const Attempt attempt = found->second;
    found->second.has_ended = true;
    Request& request = this->requests[attempt.owner];
    Entry& entry = this->entries[request.arrival.region];
    const TimePoint now = this->events.now();
    --entry.known[attempt.replica].outstanding;
    entry.route.ObserveEnd(attempt.replica, now - attempt.sent, is_complete,
                           now);
    if (!is_complete && attempt.tokens == 0) {
      entry.route.ObserveWaiting(attempt.replica, now - attempt.sent, now);
    }
    if (request.is_done) {
      return;
    }
    if (id == request.winner) {
      request.is_done = true;
      if (this->IsMeasured(request.arrival.time)) {
        ++this->result.answered;
        if (!request.arrival.is_long) {
          this->result.answer_short.Add(now + this->profile.delays.to_clients -
                                        request.arrival.time);
        }
      }
      return;
    }
    const bool others_ended =
        std::all_of(request.attempts.begin(), request.attempts.end(),
                    [this](const std::string& other) {
                      return this->attempts.at(other).has_ended;
                    });
    if (request.winner.empty() && others_ended) {
      this->Expire(request);
    }
  }

  void Expire(Request& request) {
    request.is_done = true;
    this->result.expired += this->IsMeasured(request.arrival.time) ? 1 : 0;
    this->RecordFirstToken(request, request.arrival.patience);
  }

  void RecordFirstToken(const Request& request, Duration wait) {
    const OnlineArrival& arrival = request.arrival;
    this->result.first_token_by_time.emplace_back(
        ToSeconds(arrival.time.time_since_epoch()), ToSeconds(wait));
    if (!this->IsMeasured(arrival.time)) {
      return;
    }
    ++this->result.requests;
    this->result.first_token.Add(wait);
    (arrival.is_long ? this->result.first_token_long
                     : this->result.first_token_short)
        .Add(wait);
    if (std::any_of(
            this->options.slow_spells.begin(), this->options.slow_spells.end(),
            [&arrival](const SlowSpell& spell) {
              return spell.start <= arrival.time && arrival.time < spell.end;
            })) {
      this->result.first_token_in_spell.Add(wait);
    }
  }

  // Daemon.

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
      const OnlineArrival& arrival = this->requests[attempt.owner].arrival;
      work.workspace = arrival.workspace;
      work.token_limit = arrival.token_limit;
      work.deadline = arrival.time + arrival.patience;
      work.is_resumable = true;
      ++replica.online_held;
    } else {
      const BatchJob& job = this->jobs[attempt.owner].job;
      work.workspace = job.workspace + "/" + job.name;
      ++replica.items_received;
    }
    this->Apply(attempt.replica, replica.gate.Submit(work, this->events.now()));
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
        replica.gate.Remove(id, this->events.now());
    this->EndOnline(id, false);
    this->Apply(attempt.replica, actions);
  }

  void Apply(std::size_t index, const SchedulerActions& actions) {
    Replica& replica = *this->replicas[index];
    for (const auto& id : actions.suspend) {
      ++this->result.suspensions;
      this->attempts.at(id).is_suspended = true;
      replica.engine.Cancel(id);
    }
    for (const auto& id : actions.expired) {
      this->EndOnline(id, false);
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
    this->CountWork(attempt, now);
    if (attempt.kind == messages::WorkKind::kOnline) {
      if (tokens == 1) {
        const Entry& entry =
            this->entries[this->requests[attempt.owner].arrival.region];
        this->events.After(
            this->Delay(this->replicas[index]->place, entry.place),
            [this, id] { this->OnFirstToken(id); });
      } else {
        const Duration gap = now - attempt.last_token;
        // Observed at the entry; the constant delay from the daemon changes
        // nothing in the gap.
        this->entries[this->requests[attempt.owner].arrival.region]
            .route.ObserveToken(index, gap, now);
        if (this->IsMeasured(now)) {
          this->result.token_gap.Add(gap);
        }
      }
    }
    attempt.last_token = now;
    this->Apply(index,
                this->replicas[index]->gate.ReportTokens(id, tokens, now));
  }

  void CountWork(const Attempt& attempt, TimePoint now) {
    if (!this->IsMeasured(now)) {
      return;
    }
    const ModelEngineOptions& engine = this->profile.engine;
    Duration worth = ModelEngine::TokenTime(engine, engine.slots);
    if (attempt.tokens == 1) {
      worth += engine.prompt_token_time *
               (attempt.stream.prompt_tokens - attempt.stream.prefix_tokens);
    }
    if (attempt.kind == messages::WorkKind::kOnline) {
      this->online_slot_seconds += ToSeconds(worth);
    } else {
      ++this->result.batch_tokens;
      this->result.batch_slot_seconds += ToSeconds(worth);
    }
  }

  void OnEnd(std::size_t index, const std::string& id, bool is_complete) {
    Attempt& attempt = this->attempts.at(id);
    Replica& replica = *this->replicas[index];
    const TimePoint now = this->events.now();
    const bool is_online = attempt.kind == messages::WorkKind::kOnline;
    --(is_online ? replica.online : replica.batch);
    attempt.is_at_engine = false;
    const bool stays_queued =
        attempt.is_suspended && !is_complete && !attempt.is_cancelled;
    if (is_complete) {
      replica.gate.ReportAnswer(id, attempt.tokens);
    }
    if (!stays_queued) {
      attempt.has_ended = true;
    }
    this->Apply(index, replica.gate.Finish(id, now));
    if (!stays_queued) {
      this->Apply(index, replica.gate.Remove(id, now));
      if (is_online) {
        this->EndOnline(id, is_complete);
      } else {
        this->EndItem(index, id);
      }
    }
    this->Report(index);
  }

  void EndOnline(const std::string& id, bool is_complete) {
    Attempt& attempt = this->attempts.at(id);
    attempt.has_ended = true;
    --this->replicas[attempt.replica]->online_held;
    const Entry& entry =
        this->entries[this->requests[attempt.owner].arrival.region];
    this->events.After(
        this->Delay(this->replicas[attempt.replica]->place, entry.place),
        [this, id, is_complete] { this->OnAttemptEnd(id, is_complete); });
  }

  void ReportLater(std::size_t index) {
    this->Apply(index, this->replicas[index]->gate.Tick(this->events.now()));
    this->Report(index);
    this->events.After(kReportInterval,
                       [this, index] { this->ReportLater(index); });
  }

  void Report(std::size_t index) {
    const Replica& replica = *this->replicas[index];
    for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
      this->events.After(this->Delay(replica.place, this->entries[entry].place),
                         [this, index, entry, online = replica.online_held] {
                           Known& known = this->entries[entry].known[index];
                           known.reported_online = online;
                           known.outstanding_at_report = known.outstanding;
                           known.reported = this->events.now();
                         });
    }
    if (!this->options.runs_batch) {
      return;
    }
    this->events.After(this->Delay(replica.place, this->entries.front().place),
                       [this, index, room = replica.gate.BatchCapacity(),
                        received = replica.items_received] {
                         this->OnReport(index, room, received);
                       });
  }

  // Partition owner.

  void OnReport(std::size_t index, std::uint32_t room, std::uint64_t received) {
    Replica& replica = *this->replicas[index];
    const std::uint64_t travelling = replica.items_sent - received;
    for (std::uint64_t item = travelling; item < room && !this->is_closing;
         ++item) {
      this->SendItem(index);
    }
  }

  void SendItem(std::size_t index) {
    this->OpenJobs();
    std::vector<JobSummary> summaries;
    std::vector<std::size_t> positions;
    for (std::size_t position = this->first_open; position < this->jobs.size();
         ++position) {
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
           .running_items = open.next_item - open.finished,
           .item_seconds = this->ItemSeconds(open.job)});
    }
    const auto chosen =
        this->order.NextJob(summaries, this->throughput, this->NowMs());
    VERIFY(chosen.has_value());
    const std::size_t position = positions[*chosen];
    OpenJob& open = this->jobs[position];
    const BatchItem& item = open.job.items[open.next_item++];
    const std::string id = "b" + std::to_string(this->next_item++);
    this->attempts[id] = {.replica = index,
                          .kind = messages::WorkKind::kBatch,
                          .owner = position,
                          .stream = {.id = id,
                                     .prefix = open.job.name,
                                     .prefix_tokens = open.job.prefix_tokens,
                                     .prompt_tokens = item.prompt_tokens,
                                     .answer_tokens = item.answer_tokens}};
    ++this->replicas[index]->items_sent;
    this->events.After(
        this->Delay(this->entries.front().place, this->replicas[index]->place),
        [this, id] { this->Submit(id); });
  }

  void OpenJobs() {
    const auto count_open = [this] {
      return static_cast<std::size_t>(std::count_if(
          this->jobs.begin() + static_cast<std::ptrdiff_t>(this->first_open),
          this->jobs.end(), [](const OpenJob& open) {
            return open.next_item < open.job.items.size();
          }));
    };
    while (count_open() < this->options.open_jobs) {
      this->jobs.push_back(
          {.job = GenerateJob(this->profile, this->options.workload.seed,
                              this->jobs.size(), this->NowMs())});
    }
    while (this->jobs[this->first_open].finished ==
           this->jobs[this->first_open].job.items.size()) {
      ++this->first_open;
    }
  }

  void EndItem(std::size_t index, const std::string& id) {
    if (this->IsMeasured(this->events.now())) {
      ++this->result.batch_items;
    }
    const std::size_t position = this->attempts.at(id).owner;
    this->attempts.erase(id);
    this->events.After(
        this->Delay(this->replicas[index]->place, this->entries.front().place),
        [this, position] {
          OpenJob& open = this->jobs[position];
          const double seconds = ToSeconds(this->events.now() - this->last_end);
          this->last_end = this->events.now();
          this->throughput =
              this->throughput * std::exp(-seconds / kThroughputWindowSeconds) +
              this->ItemSeconds(open.job) / kThroughputWindowSeconds;
          if (++open.finished == open.job.items.size()) {
            ++this->result.jobs_finished;
            this->result.jobs_late += this->NowMs() > open.job.due_ms ? 1 : 0;
          }
        });
  }

  double ItemSeconds(const BatchJob& job) const {
    const ModelEngineOptions& engine = this->profile.engine;
    return job.item_tokens *
           ToSeconds(ModelEngine::TokenTime(engine, engine.slots));
  }

  std::int64_t NowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               this->events.now().time_since_epoch())
        .count();
  }

  // Measurement.

  void Sample() {
    SlotSample sample{.time = this->events.now()};
    for (const auto& replica : this->replicas) {
      sample.online += replica->online;
      sample.batch += replica->batch;
    }
    this->result.slot_use.push_back(sample);
    if (!this->is_closing) {
      this->events.After(kSampleInterval, [this] { this->Sample(); });
    }
  }

  void CloseMeasurement() {
    this->result.seconds =
        ToSeconds(this->options.workload.horizon - this->options.warm_up);
    this->result.idle_slot_seconds = this->result.seconds *
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

  BatchJobScheduler order;
  std::deque<OpenJob> jobs;
  std::size_t first_open = 0;
  std::uint64_t next_item = 0;
  /// Slot seconds of items finished per second.
  double throughput = 0;
  TimePoint last_end{};

  FleetResult result;
  double online_slot_seconds = 0;
  bool is_closing = false;
};

}  // namespace crocus

#endif  // LIBSIMULATION_FLEET_SIMULATION_H_
