#include "LibServing/dropped_routes.h"

#include "LibServing/batch_queue.h"

namespace crocus {

namespace {

/// Time for which an operator may remove a route by mistake without the loss of
/// its jobs. Callers wait about 18 s for results.
constexpr Duration kReturnTime = std::chrono::seconds(5);

bool HasOpenItems(const BatchJobEntry& job) {
  return job.finished_items.size() < job.items.size();
}

}  // namespace

void DroppedRoutes::Update(const BatchJobTable& job_table,
                           const RoutingConfig& config,
                           TimePoint config_as_of,
                           TimePoint now) {
  std::map<std::string, Absence> current;
  for (const auto& [id, job] : job_table.jobs()) {
    if (!HasOpenItems(job) || RouteOfJob(config, job.record) != nullptr) {
      continue;
    }
    const auto found = this->absences.find(id);
    Absence absence =
        found == this->absences.end() ? Absence{.since = now} : found->second;
    // The host that accepted the job had read the route's configuration from
    // the store before, so a read that was sent later shows it too.
    absence.is_final =
        config_as_of > absence.since && now - absence.since >= kReturnTime;
    current.emplace(id, absence);
  }
  this->absences = std::move(current);
}

bool DroppedRoutes::IsDropped(const std::string& job) const {
  const auto found = this->absences.find(job);
  return found != this->absences.end() && found->second.is_final;
}

}  // namespace crocus
