#include "LibServing/batch_queue.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "LibServing/caller_identity.h"
#include "LibServing/hash_point.h"

namespace crocus {

namespace {

/// Time from the last event of an item until callers can read its result: the
/// append, the other hosts' reads, and the caller's polling interval.
constexpr Duration kResultDelay = std::chrono::milliseconds(300);
/// Weight of the newest item in the moving averages.
constexpr double kSmoothingFactor = 0.1;

/// The priorities of the workspaces' items. A lookup in the configuration
/// compares the names of all workspaces, which is too slow for each job of a
/// long queue.
class WorkspacePriorities {
 public:
  explicit WorkspacePriorities(const RoutingConfig& config) {
    if (config.workspaces) {
      for (const auto& workspace : *config.workspaces) {
        this->workspaces.emplace(workspace.name, &workspace);
      }
    }
  }

  std::uint32_t Of(const Route& route, const std::string& name) const {
    const auto found = this->workspaces.find(name);
    return EffectivePriority(
        route, found == this->workspaces.end() ? nullptr : found->second);
  }

 private:
  std::map<std::string_view, const Workspace*> workspaces;
};

}  // namespace

const Route* RouteOfJob(const RoutingConfig& config,
                        const records::BatchJobAccepted& job) {
  if (const Route* route = config.FindRoute(job.host, job.path);
      route != nullptr && route->kind == RequestKind::kBatch) {
    return route;
  }
  const Route* route = config.FindRouteByName(job.route);
  return route != nullptr && route->kind == RequestKind::kBatch ? route
                                                                : nullptr;
}

std::optional<PlacementChoice> ChooseReplica(const Placement& placement,
                                             ItemProgress& progress,
                                             BatchPlacement batch,
                                             TimePoint now) {
  if (progress.avoided.empty()) {
    return placement.ChooseBatch(batch, now);
  }
  BatchPlacement elsewhere = batch;
  elsewhere.excluded.insert(progress.avoided.begin(), progress.avoided.end());
  if (auto choice = placement.ChooseBatch(elsewhere, now)) {
    return choice;
  }
  progress.avoided.clear();
  return placement.ChooseBatch(batch, now);
}

std::string EndpointOfJob(const Route& route, const std::string& job) {
  return PickEndpoint(route, HashPoint(job));
}

void BatchQueue::SetPartitions(std::set<std::uint32_t> partitions,
                               std::uint32_t count) {
  this->own_partitions = std::move(partitions);
  this->partition_count = count;
}

bool BatchQueue::OwnsJob(const std::string& job) const {
  return this->own_partitions.contains(
      PartitionOfJob(job, this->partition_count));
}

std::int64_t BatchQueue::DueTime(const Route& route, const BatchJobEntry& job) {
  return job.record.submitted_ms +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             route.completion_target - kResultDelay)
             .count();
}

double BatchQueue::RemainingPart(const ItemProgress* item_progress) const {
  if (item_progress == nullptr || this->mean_events <= 0) {
    return 1;
  }
  return std::max(
      0.0, 1 - static_cast<double>(item_progress->events) / this->mean_events);
}

bool BatchQueue::WillBeLate(const ItemProgress* item_progress,
                            std::int64_t due_ms,
                            std::int64_t unix_milliseconds) const {
  const auto needed_milliseconds =
      static_cast<std::int64_t>(this->RemainingPart(item_progress) *
                                ToSeconds(this->mean_run_time) * 1000);
  return unix_milliseconds + needed_milliseconds > due_ms;
}

bool BatchQueue::IsLate(const BatchJobTable& job_table,
                        const RoutingConfig& config,
                        const ItemReference& item,
                        std::int64_t unix_milliseconds) const {
  const BatchJobEntry* job = job_table.Find(item.job);
  const Route* route =
      job == nullptr ? nullptr : RouteOfJob(config, job->record);
  if (route == nullptr) {
    return true;
  }
  const auto found = this->progress.find(item);
  return this->WillBeLate(
      found == this->progress.end() ? nullptr : &found->second,
      DueTime(*route, *job), unix_milliseconds);
}

void BatchQueue::OnItemDone(Duration time, std::uint64_t events) {
  this->mean_run_time += FromSeconds(
      kSmoothingFactor * (ToSeconds(time) - ToSeconds(this->mean_run_time)));
  this->mean_events =
      this->mean_events == 0
          ? static_cast<double>(events)
          : this->mean_events +
                kSmoothingFactor *
                    (static_cast<double>(events) - this->mean_events);
}

const Route* BatchQueue::RouteOfOpenJob(const RoutingConfig& config,
                                        const std::string& id,
                                        const BatchJobEntry& job) const {
  if (job.is_ended || job.finished_items.size() == job.items.size() ||
      !this->OwnsJob(id)) {
    return nullptr;
  }
  return RouteOfJob(config, job.record);
}

template <typename Visit>
void BatchQueue::VisitItems(const std::string& id,
                            const BatchJobEntry& job,
                            const PeerItems& peers,
                            const FailureAttribution& failures,
                            TimePoint now,
                            Visit visit) const {
  for (std::uint32_t i = 0; i < job.items.size(); ++i) {
    const ItemReference item{.job = id, .item = i};
    if (job.items[i].state != ItemState::kOpen ||
        this->running.contains(item) || this->finished.contains(item) ||
        peers.IsRunning(item, now)) {
      continue;
    }
    WorkBelief belief;
    const ItemProgress* item_progress = nullptr;
    if (const auto found = this->progress.find(item);
        found != this->progress.end()) {
      item_progress = &found->second;
      if (now < item_progress->not_before) {
        continue;
      }
      belief = failures.BeliefOf(item.Hash());
      if (item_progress->events > 0 && !belief.is_failing) {
        // What it has brought is lost if it comes too late.
        belief = {};
      }
    }
    visit(item, belief, item_progress);
  }
}

void BatchQueue::UpdateShares(const BatchJobTable& job_table,
                              const RoutingConfig& config,
                              const PeerItems& peers,
                              const FailureAttribution& failures,
                              TimePoint now,
                              std::int64_t unix_milliseconds) {
  if (!config.requires_keys()) {
    this->shares = BatchShares();
    return;
  }
  if (!this->shares.is_active()) {
    return;
  }
  const WorkspacePriorities priorities(config);
  std::map<std::string, BatchBacklog> backlogs;
  for (const auto& [id, job] : job_table.jobs()) {
    const Route* route = this->RouteOfOpenJob(config, id, job);
    if (route == nullptr) {
      continue;
    }
    const std::int64_t due_ms = DueTime(*route, job);
    std::size_t count = 0;
    this->VisitItems(id, job, peers, failures, now,
                     [&](const ItemReference&, const WorkBelief& belief,
                         const ItemProgress* item_progress) {
                       const bool is_sound_and_in_time =
                           !belief.is_failing &&
                           !this->WillBeLate(item_progress, due_ms,
                                             unix_milliseconds);
                       count += is_sound_and_in_time ? 1 : 0;
                     });
    if (count > 0) {
      backlogs[EndpointOfJob(*route, id)].waiting.push_back(
          {.job = id,
           .workspace = job.workspace,
           .priority = priorities.Of(*route, job.workspace),
           .due_ms = due_ms,
           .count = count});
    }
  }
  for (const auto& item : this->running) {
    const BatchJobEntry* job = job_table.Find(item.job);
    if (const Route* route =
            job == nullptr ? nullptr : RouteOfJob(config, job->record)) {
      ++backlogs[EndpointOfJob(*route, item.job)].running;
    }
  }
  this->shares.Update(backlogs, this->mean_run_time, now, unix_milliseconds);
}

std::optional<NextItem> BatchQueue::Next(const BatchJobTable& job_table,
                                         const RoutingConfig& config,
                                         const PeerItems& peers,
                                         const FailureAttribution& failures,
                                         TimePoint now,
                                         std::int64_t unix_milliseconds,
                                         const ItemFilter& filter) const {
  std::optional<NextItem> best;
  bool is_best_deferred = false;
  for (const auto& [id, job] : job_table.jobs()) {
    const Route* route = this->RouteOfOpenJob(config, id, job);
    if (route == nullptr) {
      continue;
    }
    bool is_deferred = false;
    if (!filter.full_endpoints.empty() || this->shares.has_overload()) {
      const std::string endpoint = EndpointOfJob(*route, id);
      if (filter.full_endpoints.contains(endpoint)) {
        continue;
      }
      is_deferred = this->shares.IsDeferred(endpoint, id);
    }
    const std::int64_t due_ms = DueTime(*route, job);
    this->VisitItems(
        id, job, peers, failures, now,
        [&](const ItemReference& item, const WorkBelief& belief,
            const ItemProgress* item_progress) {
          if (filter.only_with_body && !this->HasBody(job_table, item)) {
            return;
          }
          const bool is_late =
              this->WillBeLate(item_progress, due_ms, unix_milliseconds);
          // The share of a workspace does not matter to items that are late.
          const bool is_after_planned = is_deferred && !is_late;
          const auto rank = [](const WorkBelief& of, bool late, bool deferred,
                               std::int64_t due) {
            return std::tuple(of.is_failing, late, of.replicas > 0, of.failures,
                              deferred, due);
          };
          if (!best || rank(belief, is_late, is_after_planned, due_ms) <
                           rank(best->belief, best->is_late, is_best_deferred,
                                best->due_ms)) {
            best = {.item = item,
                    .is_late = is_late,
                    .belief = belief,
                    .due_ms = due_ms};
            is_best_deferred = is_after_planned;
          }
        });
  }
  return best;
}

bool BatchQueue::IsAboveShare(const BatchJobTable& job_table,
                              const RoutingConfig& config,
                              const ItemReference& item) const {
  const BatchJobEntry* job =
      this->shares.has_overload() ? job_table.Find(item.job) : nullptr;
  const Route* route =
      job == nullptr ? nullptr : RouteOfJob(config, job->record);
  return route != nullptr &&
         this->shares.IsAboveShare(
             {.endpoint = EndpointOfJob(*route, item.job),
              .workspace = job->workspace,
              .priority = EffectivePriority(
                  *route, config.FindWorkspace(job->workspace))});
}

void BatchQueue::CountStart(const BatchJobTable& job_table,
                            const RoutingConfig& config,
                            const ItemReference& item,
                            double seconds) {
  const BatchJobEntry* job =
      config.requires_keys() ? job_table.Find(item.job) : nullptr;
  const Route* route =
      job == nullptr ? nullptr : RouteOfJob(config, job->record);
  if (route == nullptr) {
    return;
  }
  const auto found = this->progress.find(item);
  const double remaining = this->RemainingPart(
      found == this->progress.end() ? nullptr : &found->second);
  this->shares.OnStarted(item,
                         {.endpoint = EndpointOfJob(*route, item.job),
                          .workspace = job->workspace,
                          .priority = EffectivePriority(
                              *route, config.FindWorkspace(job->workspace))},
                         remaining * seconds);
}

std::vector<ItemReference> BatchQueue::RunsAt(
    const std::string& endpoint,
    const BatchJobTable& job_table,
    const RoutingConfig& config) const {
  std::vector<ItemReference> items;
  for (const auto& item : this->running) {
    const BatchJobEntry* job = job_table.Find(item.job);
    const Route* route =
        job == nullptr ? nullptr : RouteOfJob(config, job->record);
    if (route != nullptr && EndpointOfJob(*route, item.job) == endpoint) {
      items.push_back(item);
    }
  }
  std::stable_partition(items.begin(), items.end(), [&](const auto& item) {
    return this->IsAboveShare(job_table, config, item);
  });
  return items;
}

std::optional<ItemReference> BatchQueue::RunToPreempt(
    const std::string& endpoint,
    const BatchJobTable& job_table,
    const RoutingConfig& config,
    const FailureAttribution& failures,
    std::int64_t unix_milliseconds) const {
  const auto items = this->RunsAt(endpoint, job_table, config);
  auto found =
      std::find_if(items.begin(), items.end(), [&](const ItemReference& item) {
        return this->IsLate(job_table, config, item, unix_milliseconds);
      });
  if (found == items.end()) {
    found = std::find_if(
        items.begin(), items.end(), [&](const ItemReference& item) {
          const auto progress = this->progress.find(item);
          return progress != this->progress.end() &&
                 progress->second.events == progress->second.events_at_start &&
                 failures.BeliefOf(item.Hash()).is_failing;
        });
  }
  return found == items.end() ? std::nullopt : std::optional(*found);
}

bool BatchQueue::HasBody(const BatchJobTable& job_table,
                         const ItemReference& item) const {
  const BatchJobEntry* job = job_table.Find(item.job);
  if (job == nullptr || job->items[item.item].stored_body.parts == 0) {
    return true;
  }
  const auto found = this->progress.find(item);
  return found != this->progress.end() && found->second.body.has_value();
}

std::vector<ItemToAbandon> BatchQueue::ItemsToAbandon(
    const BatchJobTable& job_table,
    const RoutingConfig& config,
    const DroppedRoutes& dropped_routes,
    const PeerItems& peers,
    TimePoint now,
    std::int64_t unix_milliseconds) const {
  std::vector<ItemToAbandon> items;
  for (const auto& [id, job] : job_table.jobs()) {
    if (job.finished_items.size() == job.items.size() || !this->OwnsJob(id)) {
      continue;
    }
    const Route* route = RouteOfJob(config, job.record);
    const bool is_expired =
        route != nullptr && route->retention > Duration::zero() &&
        unix_milliseconds >
            job.record.submitted_ms +
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    route->retention)
                    .count();
    const bool is_dropped = dropped_routes.IsDropped(id);
    if (!is_expired && !job.is_ended && !is_dropped) {
      continue;
    }
    const std::string reason = job.is_ended ? "job ended"
                               : is_expired ? "retention"
                                            : "route dropped";
    for (std::uint32_t i = 0; i < job.items.size(); ++i) {
      const ItemReference item{.job = id, .item = i};
      if (job.items[i].state != ItemState::kOpen ||
          this->finished.contains(item)) {
        continue;
      }
      const bool may_finish =
          !is_expired && !job.is_ended &&
          (this->running.contains(item) || peers.IsRunning(item, now));
      if (!may_finish) {
        items.push_back({.item = item, .reason = reason});
      }
    }
  }
  return items;
}

ItemProgress& BatchQueue::Progress(const ItemReference& item) {
  return this->progress[item];
}

std::size_t BatchQueue::FailureCount(const BatchJobTable& job_table,
                                     const ItemReference& item) const {
  std::set<std::string> failures;
  if (const BatchJobEntry* job = job_table.Find(item.job)) {
    failures = job->items[item.item].failures;
  }
  if (const auto found = this->progress.find(item);
      found != this->progress.end()) {
    failures.insert(found->second.failures.begin(),
                    found->second.failures.end());
  }
  return failures.size();
}

void BatchQueue::SetRunning(const ItemReference& item, bool is_running) {
  if (is_running) {
    this->running.insert(item);
  } else {
    this->running.erase(item);
  }
}

void BatchQueue::SetFinished(const ItemReference& item) {
  this->finished.insert(item);
  this->progress.erase(item);
}

bool BatchQueue::IsFinished(const ItemReference& item) const {
  return this->finished.contains(item);
}

void BatchQueue::Prune(const BatchJobTable& job_table) {
  const auto is_closed = [&job_table](const ItemReference& item) {
    const BatchJobEntry* job = job_table.Find(item.job);
    return job == nullptr || job->items[item.item].state != ItemState::kOpen;
  };
  std::erase_if(this->finished, is_closed);
  std::erase_if(this->progress, [&is_closed](const auto& entry) {
    return is_closed(entry.first);
  });
}

}  // namespace crocus
