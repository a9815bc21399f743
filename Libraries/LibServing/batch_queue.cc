#include "LibServing/batch_queue.h"

#include <algorithm>
#include <tuple>

#include "LibServing/hash_point.h"

namespace crocus {

namespace {

/// Time from the last event of an item until callers can read its result: the
/// append, the other hosts' reads, and the caller's polling interval.
constexpr Duration kResultDelay = std::chrono::milliseconds(300);
/// Weight of the newest item in the moving averages.
constexpr double kSmoothingFactor = 0.1;

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
  double remaining = 1;
  if (const auto found = this->progress.find(item);
      found != this->progress.end() && this->mean_events > 0) {
    remaining = std::max(
        0.0, 1 - static_cast<double>(found->second.events) / this->mean_events);
  }
  const auto needed_milliseconds = static_cast<std::int64_t>(
      remaining * ToSeconds(this->mean_run_time) * 1000);
  return unix_milliseconds + needed_milliseconds > DueTime(*route, *job);
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

std::optional<NextItem> BatchQueue::Next(const BatchJobTable& job_table,
                                         const RoutingConfig& config,
                                         const PeerItems& peers,
                                         const FailureAttribution& failures,
                                         TimePoint now,
                                         std::int64_t unix_milliseconds,
                                         const ItemFilter& filter) const {
  std::optional<NextItem> best;
  for (const auto& [id, job] : job_table.jobs()) {
    if (job.is_ended || job.finished_items.size() == job.items.size() ||
        !this->OwnsJob(id)) {
      continue;
    }
    const Route* route = RouteOfJob(config, job.record);
    if (route == nullptr ||
        (!filter.full_endpoints.empty() &&
         filter.full_endpoints.contains(EndpointOfJob(*route, id)))) {
      continue;
    }
    for (std::uint32_t i = 0; i < job.items.size(); ++i) {
      const ItemReference item{.job = id, .item = i};
      if (job.items[i].state != ItemState::kOpen ||
          this->running.contains(item) || this->finished.contains(item) ||
          peers.IsRunning(item, now)) {
        continue;
      }
      WorkBelief belief;
      if (const auto found = this->progress.find(item);
          found != this->progress.end()) {
        if (now < found->second.not_before) {
          continue;
        }
        belief = failures.BeliefOf(item.Hash());
        if (found->second.events > 0 && !belief.is_failing) {
          // What it has brought is lost if it comes too late.
          belief = {};
        }
      }
      if (filter.only_with_body && !this->HasBody(job_table, item)) {
        continue;
      }
      const NextItem next{
          .item = item,
          .is_late = this->IsLate(job_table, config, item, unix_milliseconds),
          .belief = belief,
          .due_ms = DueTime(*route, job)};
      const auto rank = [](const NextItem& candidate) {
        const WorkBelief& belief = candidate.belief;
        return std::tuple(belief.is_failing, candidate.is_late,
                          belief.replicas > 0, belief.failures,
                          candidate.due_ms);
      };
      if (!best || rank(next) < rank(*best)) {
        best = next;
      }
    }
  }
  return best;
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
