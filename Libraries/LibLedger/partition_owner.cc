#include "LibLedger/partition_owner.h"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

#include "LibCore/assertions.h"
#include "LibCore/hashing.h"

namespace crocus {

std::size_t ChooseFairEarliestDue(const std::vector<JobView>& jobs) {
  const auto chosen = std::min_element(
      jobs.begin(), jobs.end(), [](const JobView& a, const JobView& b) {
        return std::tie(a.workspace_running, a.due_ms, a.id) <
               std::tie(b.workspace_running, b.due_ms, b.id);
      });
  return static_cast<std::size_t>(chosen - jobs.begin());
}

std::string FormatItemRequest(const ItemKey& item) {
  return item.job + "/" + std::to_string(item.index);
}

std::optional<ItemKey> ParseItemRequest(const std::string& request) {
  const auto slash = request.rfind('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  ItemKey item{.job = request.substr(0, slash)};
  const char* end = request.data() + request.size();
  const auto parsed =
      std::from_chars(request.data() + slash + 1, end, item.index);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return item;
}

PartitionOwner::PartitionOwner(PartitionOwnerOptions options,
                               JobSelector select_job,
                               std::uint64_t seed,
                               TimePoint now)
    : options(std::move(options)),
      select_job(std::move(select_job)),
      random(seed),
      started(now),
      observed_since(now),
      last_check(now),
      earliest_gap_start(now),
      jitter(this->random.Unit()) {}

std::uint32_t PartitionOwner::RankAmong(const std::vector<PeerView>& peers,
                                        TimePoint now) const {
  // The rank of an entry differs between partitions, so that the entries share
  // the partitions and seldom claim the same one.
  const auto weight = [this](const std::string& name) {
    return HashBytes(name, this->options.partition + 1);
  };
  return static_cast<std::uint32_t>(std::count_if(
      peers.begin(), peers.end(), [this, now, &weight](const PeerView& peer) {
        return peer.last_heartbeat + this->options.heartbeat_timeout > now &&
               weight(peer.name) > weight(this->options.name);
      }));
}

bool PartitionOwner::ShouldHandOver(const std::vector<PeerView>& peers,
                                    TimePoint now) const {
  const TimePoint cutoff = now - this->options.hand_over_after;
  std::vector<PeerView> stable_peers;
  for (const auto& peer : peers) {
    if (peer.alive_since <= cutoff) {
      stable_peers.push_back(peer);
    }
  }
  // Because of the wait of hand_over_after since the deadline of the previous
  // handover, the dispatch of a partition with long-running items is not
  // stopped again and again.
  return this->is_owner() && !this->is_leaving &&
         this->observed_since <= cutoff && this->hand_over_deadline <= cutoff &&
         this->RankAmong(stable_peers, now) > 0;
}

TimePoint PartitionOwner::ClaimTime(const PartitionLedger& ledger,
                                    const std::vector<PeerView>& peers,
                                    TimePoint now) const {
  const Duration timeout = this->options.heartbeat_timeout;
  const std::uint32_t rank = this->RankAmong(peers, now);
  const PeerView* owner = nullptr;
  bool has_restarted = ledger.owner() == this->options.name;
  for (const auto& peer : peers) {
    if (peer.name == ledger.owner()) {
      if (peer.incarnation == ledger.owner_incarnation()) {
        owner = &peer;
      } else if (peer.last_heartbeat > this->observed_since) {
        has_restarted = true;
      }
    }
  }
  const auto delay = Duration(static_cast<Duration::rep>(
      (rank + this->jitter) * static_cast<double>(timeout.count()) / 4));
  if (ledger.owner().empty()) {
    // Leaves time for the heartbeats of other entries to arrive after a start.
    const Duration heartbeat_wait = peers.empty() ? Duration(0) : timeout / 2;
    return std::max(this->observed_since, this->started + heartbeat_wait) +
           delay;
  }
  if (has_restarted) {
    return this->observed_since + delay;
  }
  TimePoint gap_start =
      std::max(this->observed_since, this->earliest_gap_start);
  if (owner != nullptr) {
    gap_start = std::max(gap_start, owner->last_heartbeat);
  }
  return gap_start + timeout + delay;
}

std::optional<records::Claim> PartitionOwner::ClaimIfDue(
    const PartitionLedger& ledger,
    const std::vector<PeerView>& peers,
    TimePoint now) {
  if (now - this->last_check > this->options.heartbeat_timeout / 2) {
    this->earliest_gap_start = now;
  }
  this->last_check = now;
  if (this->is_leaving || !this->has_reached_end || this->is_owner() ||
      this->claimed_epoch == ledger.epoch() ||
      now < this->ClaimTime(ledger, peers, now)) {
    return std::nullopt;
  }
  this->claimed_epoch = ledger.epoch();
  return records::Claim{.replaced_epoch = ledger.epoch(),
                        .owner = this->options.name,
                        .incarnation = this->options.incarnation};
}

bool PartitionOwner::IsClaimObsolete(const PartitionLedger& ledger,
                                     const std::vector<PeerView>& peers,
                                     TimePoint now) const {
  return this->claimed_epoch &&
         (this->is_leaving || *this->claimed_epoch != ledger.epoch() ||
          now < this->ClaimTime(ledger, peers, now));
}

void PartitionOwner::OnReplay(PartitionLedger& ledger,
                              bool is_current,
                              TimePoint now) {
  this->must_check = this->must_check || this->has_reached_end != is_current;
  this->has_reached_end = is_current;
  if (ledger.epoch() != this->observed_epoch ||
      ledger.owner() != this->observed_owner) {
    this->observed_epoch = ledger.epoch();
    this->observed_owner = ledger.owner();
    this->observed_since = now;
    this->jitter = this->random.Unit();
    this->claimed_epoch.reset();
  }
  const bool is_own_claim =
      ledger.owner() == this->options.name &&
      ledger.owner_incarnation() == this->options.incarnation;
  const auto changed = ledger.TakeChangedJobs();
  if (this->is_owner() &&
      (!is_own_claim || ledger.epoch() != this->own_epoch)) {
    this->Stop();
  }
  if (is_own_claim && !this->is_owner()) {
    this->own_epoch = ledger.epoch();
    this->must_check = true;
    this->Start(ledger);
  } else if (this->is_owner()) {
    for (const auto& id : changed) {
      const Job* job = ledger.FindJob(id);
      if (job == nullptr || job->is_closed()) {
        this->job_queues.erase(id);
      } else if (job->state == JobState::kAccepted) {
        this->job_queues.try_emplace(id);
      }
    }
  }
  if (this->must_check || this->checked_offset != ledger.next_offset()) {
    this->must_check = false;
    this->checked_offset = ledger.next_offset();
    this->CheckPendingFailures(ledger);
    this->CheckOffers(ledger);
    this->CheckRunning(ledger);
  }
}

void PartitionOwner::Start(const PartitionLedger& ledger) {
  for (const auto& [id, job] : ledger.jobs()) {
    if (job.state == JobState::kAccepted) {
      this->job_queues.try_emplace(id);
    }
  }
  for (auto& [attempt, offer] : this->offers) {
    offer.is_written = false;
    this->MarkInProgress(offer.item);
  }
}

void PartitionOwner::Stop() {
  // The successor runs these items again. Results of attempts that continue are
  // offered to it, and the first result in the log counts.
  for (const auto& [attempt, item] : this->running) {
    this->output.revoke.push_back({.daemon = item.daemon, .attempt = attempt});
  }
  this->own_epoch = 0;
  this->job_queues.clear();
  this->running.clear();
  this->pending_failures.clear();
  this->output.results = {};
  this->output.failures = {};
  for (auto& [attempt, offer] : this->offers) {
    offer.is_written = false;
  }
  std::erase_if(this->offers, [this](const auto& item) {
    if (!item.second.daemon.empty()) {
      return false;
    }
    this->offer_bytes -= item.second.result.text.size();
    return true;
  });
}

void PartitionOwner::MarkInProgress(const ItemKey& item) {
  if (const auto queue = this->job_queues.find(item.job);
      queue != this->job_queues.end()) {
    ++queue->second.in_progress[item.index];
  }
}

void PartitionOwner::ReleaseItem(const PartitionLedger& ledger,
                                 const ItemKey& item) {
  const auto found = this->job_queues.find(item.job);
  if (found == this->job_queues.end()) {
    return;
  }
  JobQueue& queue = found->second;
  const auto in_progress = queue.in_progress.find(item.index);
  if (in_progress == queue.in_progress.end() || --in_progress->second > 0) {
    return;
  }
  queue.in_progress.erase(in_progress);
  if (const Job* job = ledger.FindJob(item.job);
      job != nullptr && item.index < queue.cursor) {
    this->Enqueue(*job, queue, item.index);
  }
}

void PartitionOwner::Enqueue(const Job& job,
                             JobQueue& queue,
                             std::uint32_t index) {
  if (job.IsFinished(index) || job.is_closed()) {
    return;
  }
  const std::uint32_t failures = job.FailuresOf(index);
  if (failures < this->options.failure_limit) {
    queue.retries.push_back(index);
  } else if (failures == this->options.failure_limit) {
    queue.isolated.push_back(index);
  } else {
    queue.exhausted.push_back(index);
  }
}

std::optional<std::uint32_t> PartitionOwner::PeekNext(
    const Job& job,
    JobQueue& queue,
    std::uint32_t failure_limit) {
  const auto is_free = [&](std::uint32_t index) {
    return !job.IsFinished(index) && !queue.in_progress.contains(index);
  };
  while (!queue.retries.empty()) {
    if (is_free(queue.retries.front())) {
      return queue.retries.front();
    }
    queue.retries.pop_front();
  }
  for (; queue.cursor < job.item_count; ++queue.cursor) {
    const std::uint32_t index = queue.cursor;
    if (!is_free(index)) {
      continue;
    }
    const std::uint32_t failures = job.FailuresOf(index);
    if (failures < failure_limit) {
      return index;
    }
    (failures == failure_limit ? queue.isolated : queue.exhausted)
        .push_back(index);
  }
  return std::nullopt;
}

ReplicaCapacity* PartitionOwner::FindReplica(
    const Job& job,
    std::vector<ReplicaCapacity>& replicas,
    TimePoint now) {
  ReplicaCapacity* best = nullptr;
  for (auto& target : replicas) {
    const auto backoff = this->backoff_until.find(target.replica);
    if (target.capacity == 0 || target.is_reserved ||
        std::find(target.models.begin(), target.models.end(), job.model) ==
            target.models.end() ||
        (backoff != this->backoff_until.end() && now < backoff->second)) {
      continue;
    }
    if (best == nullptr || target.network_cost < best->network_cost ||
        (target.network_cost == best->network_cost &&
         target.capacity > best->capacity)) {
      best = &target;
    }
  }
  return best;
}

ItemDispatch PartitionOwner::StartAttempt(const Job& job,
                                          std::uint32_t index,
                                          ReplicaCapacity& target,
                                          bool is_isolated) {
  ItemDispatch dispatch{.attempt = MakeIdentifier("b", this->random),
                        .item = {.job = job.id, .index = index},
                        .body_offset = job.BodyOffset(index),
                        .epoch = this->own_epoch,
                        .daemon = target.daemon,
                        .endpoint = target.endpoint,
                        .replica = target.replica,
                        .is_isolated = is_isolated};
  --target.capacity;
  ++target.occupied;
  this->MarkInProgress(dispatch.item);
  this->running[dispatch.attempt] = {.item = dispatch.item,
                                     .daemon = target.daemon,
                                     .replica = target.replica,
                                     .workspace = job.workspace,
                                     .is_isolated = is_isolated};
  return dispatch;
}

void PartitionOwner::DispatchIsolated(const Job& job,
                                      JobQueue& queue,
                                      std::vector<ReplicaCapacity>& replicas,
                                      TimePoint now,
                                      std::vector<ItemDispatch>& sent) {
  while (!queue.isolated.empty() &&
         (job.IsFinished(queue.isolated.front()) ||
          queue.in_progress.contains(queue.isolated.front()))) {
    queue.isolated.pop_front();
  }
  if (queue.isolated.empty()) {
    queue.isolation_wait_start.reset();
    return;
  }
  ReplicaCapacity* best = nullptr;
  for (auto& target : replicas) {
    if (!target.is_reserved &&
        std::find(target.models.begin(), target.models.end(), job.model) !=
            target.models.end() &&
        (best == nullptr || target.occupied < best->occupied)) {
      best = &target;
    }
  }
  if (best == nullptr) {
    return;
  }
  if (!queue.isolation_wait_start) {
    queue.isolation_wait_start = now;
  }
  const bool is_empty = best->occupied == 0;
  if (best->capacity > 0 &&
      (is_empty ||
       *queue.isolation_wait_start + this->options.isolation_timeout < now)) {
    sent.push_back(
        this->StartAttempt(job, queue.isolated.front(), *best, true));
    queue.isolated.pop_front();
    queue.isolation_wait_start.reset();
  }
  best->is_reserved = true;
}

void PartitionOwner::AbandonExhausted(const Job& job, JobQueue& queue) {
  for (; !queue.exhausted.empty(); queue.exhausted.pop_front()) {
    const std::uint32_t index = queue.exhausted.front();
    const ItemKey item{.job = job.id, .index = index};
    if (job.IsFinished(index) || queue.in_progress.contains(index)) {
      continue;
    }
    this->MarkInProgress(item);
    this->offers["give-up " + FormatItemRequest(item)] = {
        .daemon = {},
        .item = item,
        .epoch = this->own_epoch,
        .result = {.job = job.id,
                   .index = index,
                   .succeeded = false,
                   .text = {},
                   .reason = "failed_repeatedly"}};
    this->output.abandoned.push_back(item);
  }
}

std::vector<ItemDispatch> PartitionOwner::Dispatch(
    const PartitionLedger& ledger,
    std::vector<ReplicaCapacity>& replicas,
    TimePoint now) {
  std::vector<ItemDispatch> sent;
  if (!this->is_owner() || this->is_leaving || now < this->hand_over_deadline ||
      this->offer_bytes > this->options.held_bytes) {
    return sent;
  }
  std::erase_if(this->backoff_until,
                [now](const auto& item) { return item.second <= now; });
  std::vector<JobView> views;
  std::set<std::string> models;
  for (auto& view : this->OpenJobs(ledger)) {
    const Job& job = *ledger.FindJob(view.id);
    JobQueue& queue = this->job_queues.at(view.id);
    // Moves items that have failed too often to the isolated or exhausted ones.
    PeekNext(job, queue, this->options.failure_limit);
    this->AbandonExhausted(job, queue);
    this->DispatchIsolated(job, queue, replicas, now, sent);
    if (PeekNext(job, queue, this->options.failure_limit)) {
      models.insert(job.model);
      views.push_back(std::move(view));
    }
  }
  // The selector counts each job that it chooses as served, so it must not
  // receive a job whose item could not be sent.
  const auto drop_without_capacity = [&](const std::string& model) {
    const auto is_of_model = [&](const JobView& view) {
      return ledger.FindJob(view.id)->model == model;
    };
    const auto first_view =
        std::find_if(views.begin(), views.end(), is_of_model);
    if (first_view != views.end() &&
        this->FindReplica(*ledger.FindJob(first_view->id), replicas, now) ==
            nullptr) {
      std::erase_if(views, is_of_model);
    }
  };
  for (const auto& model : models) {
    drop_without_capacity(model);
  }
  while (!views.empty()) {
    const std::size_t chosen = this->select_job(views);
    const Job& job = *ledger.FindJob(views[chosen].id);
    JobQueue& queue = this->job_queues.at(job.id);
    const auto index = PeekNext(job, queue, this->options.failure_limit);
    ReplicaCapacity* target = this->FindReplica(job, replicas, now);
    VERIFY(index.has_value() && target != nullptr);
    sent.push_back(this->StartAttempt(job, *index, *target, false));
    ++views[chosen].running;
    for (auto& view : views) {
      view.workspace_running += view.workspace == job.workspace ? 1 : 0;
    }
    if (!PeekNext(job, queue, this->options.failure_limit)) {
      views.erase(views.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    if (target->capacity == 0) {
      for (const auto& model : target->models) {
        drop_without_capacity(model);
      }
    }
  }
  return sent;
}

std::vector<JobView> PartitionOwner::OpenJobs(
    const PartitionLedger& ledger) const {
  std::map<std::string, std::uint32_t> workspaces;
  std::map<std::string, std::uint32_t> jobs;
  for (const auto& [attempt, item] : this->running) {
    ++workspaces[item.workspace];
    ++jobs[item.item.job];
  }
  std::vector<JobView> views;
  for (const auto& [id, queue] : this->job_queues) {
    const Job& job = *ledger.FindJob(id);
    views.push_back({.id = id,
                     .workspace = job.workspace,
                     .due_ms = job.due_ms,
                     .remaining = job.item_count - job.finished_count,
                     .running = jobs[id],
                     .workspace_running = workspaces[job.workspace]});
  }
  return views;
}

void PartitionOwner::OnFailed(const std::string& attempt,
                              Verdict verdict,
                              TimePoint now) {
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return;
  }
  const RunningItem ended = found->second;
  this->running.erase(found);
  const auto queue = this->job_queues.find(ended.item.job);
  if (queue == this->job_queues.end()) {
    return;
  }
  if (verdict == Verdict::kNotRun) {
    this->backoff_until[ended.replica] = now + this->options.refusal_backoff;
    auto& in_progress = queue->second.in_progress;
    if (--in_progress[ended.item.index] == 0) {
      in_progress.erase(ended.item.index);
      (ended.is_isolated ? queue->second.isolated : queue->second.retries)
          .push_back(ended.item.index);
    }
    return;
  }
  // The item stays in progress until replay contains the counted failure. The
  // next TakeOutput stores the failure count before it.
  if (!this->pending_failures.try_emplace(ended.item).second) {
    // Another attempt of the item has failed too; one counted failure covers
    // both.
    --queue->second.in_progress[ended.item.index];
  }
}

void PartitionOwner::OnOffer(const std::string& daemon,
                             const messages::HeldResult& held,
                             TimePoint now) {
  this->must_check = true;
  auto item = ParseItemRequest(held.execute.request);
  const bool is_complete =
      held.done.complete && held.done.checksum == HashBytes(held.text);
  if (!is_complete) {
    this->OnFailed(held.execute.attempt, Verdict::kRan, now);
  }
  if (!item || !is_complete) {
    this->output.confirm.push_back(
        {.daemon = daemon, .attempt = held.execute.attempt});
    return;
  }
  const auto [entry, is_new] = this->offers.try_emplace(held.execute.attempt);
  if (!is_new) {
    entry->second.daemon = daemon;
    return;
  }
  entry->second = {.daemon = daemon,
                   .item = *item,
                   .epoch = held.execute.epoch,
                   .result = {.job = item->job,
                              .index = item->index,
                              .succeeded = true,
                              .text = held.text,
                              .reason = {},
                              .token_count = held.done.token_count}};
  this->offer_bytes += held.text.size();
  if (const auto found = this->running.find(held.execute.attempt);
      found != this->running.end()) {
    // The item stays in progress, now because of the offer.
    this->running.erase(found);
  } else {
    this->MarkInProgress(*item);
  }
  this->DropExcessOffers();
}

void PartitionOwner::DropExcessOffers() {
  // An owner stops dispatching items instead, which bounds its offers.
  while (!this->is_owner() && this->offer_bytes > this->options.held_bytes &&
         !this->offers.empty()) {
    this->offer_bytes -= this->offers.begin()->second.result.text.size();
    this->offers.erase(this->offers.begin());
  }
}

void PartitionOwner::CheckPendingFailures(const PartitionLedger& ledger) {
  for (auto failure = this->pending_failures.begin();
       failure != this->pending_failures.end();) {
    const auto& [item, state] = *failure;
    const Job* job = ledger.FindJob(item.job);
    const bool is_done = job == nullptr || job->is_closed() ||
                         job->IsFinished(item.index) ||
                         (state.is_written &&
                          job->FailuresOf(item.index) > state.failures_before);
    if (!is_done) {
      ++failure;
      continue;
    }
    const ItemKey key = item;
    failure = this->pending_failures.erase(failure);
    this->ReleaseItem(ledger, key);
  }
}

void PartitionOwner::CheckOffers(const PartitionLedger& ledger) {
  for (auto offer = this->offers.begin(); offer != this->offers.end();) {
    const auto& [attempt, state] = *offer;
    const Job* job = ledger.FindJob(state.item.job);
    // If the ledger does not contain the job, either the job was removed or
    // this process has not replayed it yet. It was removed if the attempt's
    // epoch is not above the own one: jobs of earlier epochs precede this
    // entry's claim in the stream, and jobs of the own epoch were replayed
    // here. An attempt with a higher epoch was sent by a successor whose claim
    // this owner has not read yet, for example because it was paused.
    const bool is_removed = this->is_owner() && this->has_reached_end &&
                            state.epoch <= this->own_epoch;
    const bool is_done =
        job == nullptr ? is_removed
                       : job->is_closed() || job->IsFinished(state.item.index);
    if (!is_done) {
      ++offer;
      continue;
    }
    if (!state.daemon.empty()) {
      this->output.confirm.push_back(
          {.daemon = state.daemon, .attempt = attempt});
    }
    this->offer_bytes -= state.result.text.size();
    const ItemKey key = state.item;
    offer = this->offers.erase(offer);
    this->ReleaseItem(ledger, key);
  }
}

void PartitionOwner::CheckRunning(const PartitionLedger& ledger) {
  for (auto attempt = this->running.begin(); attempt != this->running.end();) {
    const auto& [id, state] = *attempt;
    const Job* job = ledger.FindJob(state.item.job);
    if (job != nullptr && !job->is_closed() &&
        !job->IsFinished(state.item.index)) {
      ++attempt;
      continue;
    }
    this->output.revoke.push_back({.daemon = state.daemon, .attempt = id});
    const ItemKey key = state.item;
    attempt = this->running.erase(attempt);
    this->ReleaseItem(ledger, key);
  }
}

OwnerOutput PartitionOwner::TakeOutput(const PartitionLedger& ledger,
                                       TimePoint now) {
  OwnerOutput taken = std::exchange(this->output, {});
  if (!this->is_owner()) {
    return taken;
  }
  taken.results.epoch = this->own_epoch;
  taken.failures.epoch = this->own_epoch;
  if (now >= this->next_output ||
      this->offer_bytes >= this->options.output_bytes) {
    std::size_t bytes = 0;
    for (auto& [attempt, offer] : this->offers) {
      const Job* job = ledger.FindJob(offer.item.job);
      if (offer.is_written || job == nullptr ||
          job->state != JobState::kAccepted) {
        continue;
      }
      if (bytes > this->options.output_bytes) {
        break;
      }
      bytes += offer.result.text.size();
      offer.is_written = true;
      taken.results.results.push_back(offer.result);
    }
    if (!taken.results.results.empty()) {
      this->next_output = now + this->options.output_interval;
    }
  }
  for (auto& [item, state] : this->pending_failures) {
    const Job* job = ledger.FindJob(item.job);
    if (!state.is_written && job != nullptr) {
      state = {.failures_before = job->FailuresOf(item.index),
               .is_written = true};
      taken.failures.failures.push_back({.job = item.job, .index = item.index});
    }
  }
  return taken;
}

void PartitionOwner::OnWriteRefused(const OwnerOutput& refused) {
  std::set<ItemKey> items;
  for (const auto& result : refused.results.results) {
    items.insert({.job = result.job, .index = result.index});
  }
  for (auto& [attempt, offer] : this->offers) {
    if (items.contains(offer.item)) {
      offer.is_written = false;
    }
  }
  for (const auto& failure : refused.failures.failures) {
    const auto found = this->pending_failures.find(
        {.job = failure.job, .index = failure.index});
    if (found != this->pending_failures.end()) {
      found->second.is_written = false;
    }
  }
}

}  // namespace crocus
