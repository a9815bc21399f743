#include "LibServing/batch_queue.h"

#include <limits>

#include "LibCore/hashing.h"

namespace crocus {

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

std::string EndpointOfJob(const Route& route, const std::string& job) {
  const double point = static_cast<double>(HashBytes(job) >> 11) * 0x1.0p-53;
  return PickEndpoint(route, point);
}

void BatchQueue::SetPartitions(std::set<std::uint32_t> partitions,
                               std::uint32_t count) {
  this->own = std::move(partitions);
  this->partition_count = count;
}

bool BatchQueue::IsOwn(const std::string& job) const {
  return this->own.contains(
      static_cast<std::uint32_t>(HashBytes(job) % this->partition_count));
}

std::optional<ItemReference> BatchQueue::Next(const BatchBoard& board,
                                              const RoutingConfig& config,
                                              const PeerItems& peers,
                                              TimePoint now) const {
  std::optional<ItemReference> best;
  std::int64_t best_due = std::numeric_limits<std::int64_t>::max();
  for (const auto& [id, job] : board.jobs()) {
    if (job.is_ended || job.listing.size() == job.items.size() ||
        !this->IsOwn(id)) {
      continue;
    }
    const Route* route = RouteOfJob(config, job.record);
    if (route == nullptr) {
      continue;
    }
    const std::int64_t due =
        job.record.submitted_ms +
        std::chrono::duration_cast<std::chrono::milliseconds>(
            route->completion_target)
            .count();
    if (due >= best_due) {
      continue;
    }
    for (std::uint32_t i = 0; i < job.items.size(); ++i) {
      const ItemReference item{.job = id, .item = i};
      if (job.items[i].state != ItemState::kOpen ||
          this->running.contains(item) || this->finished.contains(item) ||
          peers.IsRunning(item, now)) {
        continue;
      }
      if (const auto known = this->progress.find(item);
          known != this->progress.end() && now < known->second.not_before) {
        continue;
      }
      best = item;
      best_due = due;
      break;
    }
  }
  return best;
}

std::vector<ItemReference> BatchQueue::Overdue(
    const BatchBoard& board,
    const RoutingConfig& config,
    std::int64_t unix_milliseconds) const {
  std::vector<ItemReference> overdue;
  for (const auto& [id, job] : board.jobs()) {
    if (job.listing.size() == job.items.size() || !this->IsOwn(id)) {
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
    if (!is_expired && !job.is_ended) {
      continue;
    }
    for (std::uint32_t i = 0; i < job.items.size(); ++i) {
      const ItemReference item{.job = id, .item = i};
      if (job.items[i].state == ItemState::kOpen &&
          !this->finished.contains(item)) {
        overdue.push_back(item);
      }
    }
  }
  return overdue;
}

ItemProgress& BatchQueue::Progress(const ItemReference& item) {
  return this->progress[item];
}

std::size_t BatchQueue::FailureCount(const BatchBoard& board,
                                     const ItemReference& item) const {
  std::set<std::string> failures;
  if (const BoardJob* job = board.Find(item.job)) {
    failures = job->items[item.item].failures;
  }
  if (const auto known = this->progress.find(item);
      known != this->progress.end()) {
    failures.insert(known->second.failures.begin(),
                    known->second.failures.end());
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

void BatchQueue::Prune(const BatchBoard& board) {
  const auto is_closed = [&board](const ItemReference& item) {
    const BoardJob* job = board.Find(item.job);
    return job == nullptr || job->items[item.item].state != ItemState::kOpen;
  };
  std::erase_if(this->finished, is_closed);
  std::erase_if(this->progress, [&is_closed](const auto& entry) {
    return is_closed(entry.first);
  });
}

}  // namespace crocus
