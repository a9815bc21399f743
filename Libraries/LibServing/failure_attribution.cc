#include "LibServing/failure_attribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocus {

std::string_view ToString(FailureCause cause) {
  switch (cause) {
    case FailureCause::kOpen:
      return "open";
    case FailureCause::kWork:
      return "work";
    case FailureCause::kReplica:
      return "replica";
  }
  return "open";
}

FailureCause FailureAttribution::OnFailure(const WorkRun& run,
                                           FailureKind kind,
                                           TimePoint now) {
  if (kind == FailureKind::kUnreachable) {
    // It has ended, and so have the runs that failed shortly before.
    this->ResetFailures(run.replica);
    Replica& replica = this->ReplicaOf(run);
    replica.is_unreachable = true;
    this->StartBackoff(replica, now);
    return FailureCause::kReplica;
  }
  if (this->works.size() >= this->options.maximum_works &&
      !this->works.contains(run.work)) {
    this->DropOldestWork(now);
  }
  Work& work = this->works[run.work];
  work.failed_at[run.replica] = now;
  ++work.failed_runs;
  work.last_failure = now;
  const bool is_any_proven = std::any_of(
      work.failed_at.begin(), work.failed_at.end(), [&](const auto& entry) {
        return this->IsProven(entry.first, run.work, now);
      });
  if (work.failures >= this->options.failures_of_failing_work) {
    ++work.failures;
    return FailureCause::kWork;
  }
  if ((work.failed_at.size() > 1 || work.failures > 0) && is_any_proven) {
    this->BlameWork(run.work, work);
    return FailureCause::kWork;
  }
  return this->AddFailure(run, kind, now) ? FailureCause::kReplica
                                          : FailureCause::kOpen;
}

bool FailureAttribution::AddFailure(const WorkRun& run,
                                    FailureKind kind,
                                    TimePoint now) {
  Replica& replica = this->ReplicaOf(run);
  const bool is_new = !replica.failures.contains(run.work);
  RemoveFailure(replica, run.work);
  if (replica.failures.size() < this->options.maximum_failures) {
    replica.failures.emplace(run.work, kind);
    replica.broken += kind == FailureKind::kBroken ? 1 : 0;
  }
  if (kind != FailureKind::kBroken) {
    return false;
  }
  if (is_new) {
    replica.failed_share +=
        this->options.share_weight * (1 - replica.failed_share);
  }
  if (!this->IsFailing(run.replica, replica)) {
    return false;
  }
  this->StartBackoff(replica, now);
  return true;
}

void FailureAttribution::OnSuccess(const WorkRun& run, TimePoint now) {
  Replica& replica = this->ReplicaOf(run);
  replica.failed_share -= this->options.share_weight * replica.failed_share;
  replica.is_unreachable = false;
  replica.backoff = {};
  replica.backoff_until = {};
  replica.last_success = now;
  replica.broken = 0;
  for (const auto& [id, kind] : std::exchange(replica.failures, {})) {
    const auto found = this->works.find(id);
    if (found == this->works.end() || id == run.work) {
      continue;
    }
    if (found->second.failed_at.size() > 1) {
      this->BlameWork(id, found->second);
    } else {
      ++found->second.failures;
    }
  }
  const auto work = this->works.extract(run.work);
  if (work.empty()) {
    return;
  }
  for (const auto& [name, failed] : work.mapped().failed_at) {
    const auto other = this->replicas.find(name);
    if (name != run.replica && other != this->replicas.end() &&
        other->second.last_success < failed) {
      this->AddFailure(
          {.endpoint = run.endpoint, .replica = name, .work = run.work},
          FailureKind::kBroken, now);
    }
  }
}

void FailureAttribution::ResetReplica(const std::string& name) {
  this->ResetFailures(name);
  if (const auto found = this->replicas.find(name);
      found != this->replicas.end()) {
    this->endpoints[found->second.endpoint].erase(name);
    this->replicas.erase(found);
  }
}

FailureAttribution::Replica& FailureAttribution::ReplicaOf(const WorkRun& run) {
  Replica& replica = this->replicas[run.replica];
  if (replica.endpoint != run.endpoint) {
    this->endpoints[replica.endpoint].erase(run.replica);
    replica.endpoint = run.endpoint;
  }
  this->endpoints[run.endpoint].insert(run.replica);
  return replica;
}

void FailureAttribution::ResetFailures(const std::string& name) {
  const auto replica = this->replicas.find(name);
  if (replica == this->replicas.end()) {
    return;
  }
  replica->second.broken = 0;
  for (const auto& [id, kind] : std::exchange(replica->second.failures, {})) {
    if (const auto work = this->works.find(id); work != this->works.end()) {
      work->second.failed_at.erase(name);
    }
  }
}

WorkBelief FailureAttribution::BeliefOf(WorkId id) const {
  const auto found = this->works.find(id);
  if (found == this->works.end()) {
    return {};
  }
  const Work& work = found->second;
  return {
      .failures = work.failures,
      .replicas = work.failed_at.size(),
      .is_failing = work.failures >= this->options.failures_of_failing_work};
}

Duration FailureAttribution::PauseOf(WorkId work) const {
  const auto found = this->works.find(work);
  if (found == this->works.end()) {
    return this->options.minimum_pause;
  }
  constexpr std::uint32_t kMaximumDoublings = 16;
  const std::uint32_t doublings =
      std::min(std::max(found->second.failures,
                        std::min(found->second.failed_runs - 1,
                                 this->options.doublings_of_open_failures)),
               kMaximumDoublings);
  return std::min<Duration>(this->options.maximum_pause,
                            this->options.minimum_pause * (1 << doublings));
}

ReplicaBelief FailureAttribution::BeliefOf(const std::string& name,
                                           TimePoint now) const {
  const auto found = this->replicas.find(name);
  if (found == this->replicas.end()) {
    return ReplicaBelief::kSound;
  }
  const Replica& replica = found->second;
  if (!replica.is_unreachable && !this->IsFailing(name, replica)) {
    return ReplicaBelief::kSound;
  }
  return now >= replica.backoff_until ? ReplicaBelief::kOnTrial
         : replica.is_unreachable     ? ReplicaBelief::kUnreachable
                                      : ReplicaBelief::kFailing;
}

bool FailureAttribution::IsInBackoff(const std::string& replica,
                                     TimePoint now) const {
  const ReplicaBelief belief = this->BeliefOf(replica, now);
  return belief == ReplicaBelief::kUnreachable ||
         belief == ReplicaBelief::kFailing;
}

std::size_t FailureAttribution::failing_works() const {
  return std::count_if(
      this->works.begin(), this->works.end(), [this](const auto& entry) {
        return entry.second.failures >= this->options.failures_of_failing_work;
      });
}

std::size_t FailureAttribution::replicas_in_backoff(TimePoint now) const {
  return std::count_if(this->replicas.begin(), this->replicas.end(),
                       [this, now](const auto& entry) {
                         return this->IsInBackoff(entry.first, now);
                       });
}

void FailureAttribution::StartBackoff(Replica& replica, TimePoint now) const {
  replica.backoff =
      std::clamp(2 * replica.backoff, this->options.minimum_backoff,
                 this->options.maximum_backoff);
  replica.backoff_until = now + replica.backoff;
}

std::uint32_t FailureAttribution::RequiredFailures(
    const std::string& name,
    const Replica& replica) const {
  // Another replica that fails does not excuse this one, unless all others do.
  double sum = 0;
  std::uint32_t count = 0;
  double failing_sum = 0;
  std::uint32_t failing_count = 0;
  const std::uint32_t minimum = this->options.failures_before_backoff;
  for (const auto& other_name : this->endpoints.at(replica.endpoint)) {
    if (other_name == name) {
      continue;
    }
    const Replica& other = this->replicas.at(other_name);
    const bool is_failing = other.broken >= minimum;
    (is_failing ? failing_sum : sum) += other.failed_share;
    ++(is_failing ? failing_count : count);
  }
  const double share = count > 0           ? sum / count
                       : failing_count > 0 ? failing_sum / failing_count
                                           : 0;
  if (share <= 0) {
    return minimum;
  }
  const auto maximum = static_cast<double>(this->options.maximum_failures) + 1;
  const double row = std::ceil(std::log(this->options.chance_of_row) /
                               std::log(std::min(share, 0.999)));
  return std::max(minimum, static_cast<std::uint32_t>(std::min(maximum, row)));
}

bool FailureAttribution::IsFailing(const std::string& name,
                                   const Replica& replica) const {
  return replica.broken >= this->options.failures_before_backoff &&
         replica.broken >= this->RequiredFailures(name, replica);
}

bool FailureAttribution::IsProven(const std::string& name,
                                  WorkId work,
                                  TimePoint now) const {
  const auto found = this->replicas.find(name);
  if (found == this->replicas.end()) {
    return false;
  }
  const Replica& replica = found->second;
  return replica.last_success != TimePoint{} &&
         now - replica.last_success <= this->options.proof_lifetime &&
         replica.failures.size() == (replica.failures.contains(work) ? 1u : 0u);
}

void FailureAttribution::RemoveFailure(Replica& replica, WorkId work) {
  if (const auto found = replica.failures.find(work);
      found != replica.failures.end()) {
    replica.broken -= found->second == FailureKind::kBroken ? 1 : 0;
    replica.failures.erase(found);
  }
}

void FailureAttribution::BlameWork(WorkId id, Work& work) {
  for (const auto& [name, failed] : work.failed_at) {
    if (const auto found = this->replicas.find(name);
        found != this->replicas.end()) {
      RemoveFailure(found->second, id);
    }
  }
  work.failures =
      std::max(work.failures + 1, this->options.failures_of_failing_work);
}

void FailureAttribution::Expire(TimePoint now) {
  std::erase_if(this->works, [this, now](const auto& entry) {
    return now - entry.second.last_failure > this->options.work_lifetime;
  });
}

void FailureAttribution::DropOldestWork(TimePoint now) {
  this->Expire(now);
  if (this->works.size() < this->options.maximum_works) {
    return;
  }
  const auto oldest = std::min_element(this->works.begin(), this->works.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.last_failure <
                                                right.second.last_failure;
                                       });
  if (oldest != this->works.end()) {
    this->works.erase(oldest);
  }
}

}  // namespace crocus
