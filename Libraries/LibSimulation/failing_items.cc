#include "LibSimulation/failing_items.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "LibCore/assertions.h"
#include "LibMessages/codec.h"
#include "LibServing/batch_job_table.h"
#include "LibServing/batch_queue.h"
#include "LibServing/placement.h"

namespace crocus {

namespace {

/// How often a gateway starts items.
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr TimePoint kStart{std::chrono::hours(1)};
const std::string kJob = "job";
const std::string kEndpoint = "model";

class Simulation {
 public:
  explicit Simulation(const FailingItemsOptions& options) : options(options) {
    records::BatchJobAccepted accepted{
        .job = kJob, .tag = "t", .route = "r", .host = "h", .path = "/b/x"};
    for (std::size_t i = 0; i < options.fails.size(); ++i) {
      accepted.items.push_back({.id = std::to_string(i)});
    }
    const auto applied = this->job_table.Apply(
        {.key = JobKey(kJob, "t"), .value = Encode(accepted), .offset = 1});
    VERIFY(applied.has_value());
    this->queue.SetPartitions({0}, 1);
    for (std::uint32_t i = 0; i < options.replicas; ++i) {
      this->directory.Update({.id = "replica-" + std::to_string(i),
                              .endpoint = kEndpoint,
                              .availability_zone = "z",
                              .slots = options.slots});
    }
  }

  FailingItemsResult Run() {
    const auto sound = static_cast<std::uint32_t>(std::count(
        this->options.fails.begin(), this->options.fails.end(), false));
    while (this->sound_done < sound &&
           this->now - kStart < kFailingItemsLimit) {
      this->EndRuns(this->now);
      this->StartItems();
      this->now += kTick;
    }
    return {.sound_done = this->last_done - kStart,
            .sound_left = sound - this->sound_done,
            .failing_runs = this->failing_runs};
  }

 private:
  struct RunningItem {
    ItemReference item;
    std::string replica;
  };

  bool Fails(const ItemReference& item) const {
    return this->options.fails[item.item];
  }

  void EndRuns(TimePoint until) {
    while (!this->runs.empty() && this->runs.begin()->first <= until) {
      const auto [end, run] = *this->runs.begin();
      this->runs.erase(this->runs.begin());
      this->queue.SetRunning(run.item, false);
      this->loads.OnEnded(run.replica, WorkClass::kBatch);
      const WorkRun work{.endpoint = kEndpoint,
                         .replica = run.replica,
                         .work = run.item.Hash()};
      if (!this->Fails(run.item)) {
        this->failures.OnSuccess(work, end);
        this->queue.SetFinished(run.item);
        ++this->sound_done;
        this->last_done = end;
        continue;
      }
      this->failures.OnFailure(work, this->options.kind, end);
      auto& progress = this->queue.Progress(run.item);
      progress.avoided.insert(run.replica);
      progress.not_before = end + this->failures.PauseOf(work.work);
    }
  }

  void StartItems() {
    std::set<std::string> started;
    ItemFilter filter;
    while (const auto next = this->queue.Next(
               this->job_table, this->config, this->peers, this->failures,
               this->now, /*unix_milliseconds=*/0, filter)) {
      auto& progress = this->queue.Progress(next->item);
      const auto choice = ChooseReplica(
          this->placement, progress,
          {.endpoint = kEndpoint,
           .excluded = started,
           .extra_reserve = next->is_sound_and_in_time() ? 0u : 1u,
           .work = next->item.Hash()},
          this->now);
      if (!choice) {
        filter.full_endpoints.insert(kEndpoint);
        continue;
      }
      started.insert(choice->replica);
      this->queue.SetRunning(next->item, true);
      this->loads.OnSent(choice->replica, WorkClass::kBatch);
      const bool fails = this->Fails(next->item);
      this->failing_runs += fails ? 1 : 0;
      this->runs.emplace(
          this->now +
              (fails ? this->options.failing_run_time : this->options.run_time),
          RunningItem{.item = next->item, .replica = choice->replica});
    }
  }

  const FailingItemsOptions& options;
  BatchJobTable job_table;
  BatchQueue queue;
  PeerItems peers;
  ReplicaDirectory directory;
  ReplicaLoads loads;
  FailureAttribution failures;
  Placement placement{{.host = "host", .availability_zone = "z"},
                      this->directory,
                      this->loads,
                      this->failures,
                      this->options.seed};
  RoutingConfig config{
      .version = 1,
      .routes = {{.name = "r",
                  .host = "h",
                  .prefix = "/b/",
                  .kind = RequestKind::kBatch,
                  .maximum_attempts = 3,
                  .shares = {{.endpoint = kEndpoint}},
                  .completion_target = std::chrono::hours(1)}}};
  std::multimap<TimePoint, RunningItem> runs;
  TimePoint now = kStart;
  TimePoint last_done = kStart;
  std::uint32_t sound_done = 0;
  std::uint32_t failing_runs = 0;
};

}  // namespace

FailingItemsResult SimulateFailingItems(const FailingItemsOptions& options) {
  return Simulation(options).Run();
}

std::vector<bool> FailingShare(std::size_t count, double share) {
  std::vector<bool> fails(count);
  for (std::size_t i = 0; i < count; ++i) {
    fails[i] = static_cast<std::size_t>(static_cast<double>(i + 1) * share) >
               static_cast<std::size_t>(static_cast<double>(i) * share);
  }
  return fails;
}

}  // namespace crocus
