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
                               JobSelector order,
                               std::uint64_t seed,
                               TimePoint now)
    : options(std::move(options)),
      order(std::move(order)),
      random(seed),
      started(now),
      seen_since(now),
      last_check(now),
      silence_from(now),
      jitter(this->random.Unit()) {}

std::uint32_t PartitionOwner::RankAmong(const std::vector<PeerView>& peers,
                                        TimePoint now) const {
  // The order differs between partitions, so that entries share them and
  // seldom claim the same one.
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
  const TimePoint old = now - this->options.hand_over_after;
  std::vector<PeerView> steady;
  for (const auto& peer : peers) {
    if (peer.alive_since <= old) {
      steady.push_back(peer);
    }
  }
  // One limit after the last attempt keeps a partition with long items from
  // being paused again and again.
  return this->is_owner() && !this->is_leaving && this->seen_since <= old &&
         this->hand_over_limit <= old && this->RankAmong(steady, now) > 0;
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
      } else if (peer.last_heartbeat > this->seen_since) {
        has_restarted = true;
      }
    }
  }
  const auto delay = Duration(static_cast<Duration::rep>(
      (rank + this->jitter) * static_cast<double>(timeout.count()) / 4));
  if (ledger.owner().empty()) {
    // Gives the heartbeats of the others time to arrive after a start.
    const Duration listen = peers.empty() ? Duration(0) : timeout / 2;
    return std::max(this->seen_since, this->started + listen) + delay;
  }
  if (has_restarted) {
    return this->seen_since + delay;
  }
  TimePoint silent_since = std::max(this->seen_since, this->silence_from);
  if (owner != nullptr) {
    silent_since = std::max(silent_since, owner->last_heartbeat);
  }
  return silent_since + timeout + delay;
}

std::optional<records::Claim> PartitionOwner::ClaimIfDue(
    const PartitionLedger& ledger,
    const std::vector<PeerView>& peers,
    TimePoint now) {
  if (now - this->last_check > this->options.heartbeat_timeout / 2) {
    this->silence_from = now;
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
  if (ledger.epoch() != this->seen_epoch ||
      ledger.owner() != this->seen_owner) {
    this->seen_epoch = ledger.epoch();
    this->seen_owner = ledger.owner();
    this->seen_since = now;
    this->jitter = this->random.Unit();
    this->claimed_epoch.reset();
  }
  const bool owns = ledger.owner() == this->options.name &&
                    ledger.owner_incarnation() == this->options.incarnation;
  const auto changed = ledger.TakeChangedJobs();
  if (this->is_owner() && (!owns || ledger.epoch() != this->own_epoch)) {
    this->Stop();
  }
  if (owns && !this->is_owner()) {
    this->own_epoch = ledger.epoch();
    this->must_check = true;
    this->Start(ledger);
  } else if (this->is_owner()) {
    for (const auto& id : changed) {
      const Job* job = ledger.FindJob(id);
      if (job == nullptr || job->is_closed()) {
        this->works.erase(id);
      } else if (job->state == JobState::kAccepted) {
        this->works.try_emplace(id);
      }
    }
  }
  if (this->must_check || this->checked_offset != ledger.next_offset()) {
    this->must_check = false;
    this->checked_offset = ledger.next_offset();
    this->CheckFailing(ledger);
    this->CheckOffers(ledger);
    this->CheckRunning(ledger);
  }
}

void PartitionOwner::Start(const PartitionLedger& ledger) {
  for (const auto& [id, job] : ledger.jobs()) {
    if (job.state == JobState::kAccepted) {
      this->works.try_emplace(id);
    }
  }
  for (auto& [attempt, offer] : this->offers) {
    offer.is_written = false;
    this->MarkBusy(offer.item);
  }
}

void PartitionOwner::Stop() {
  // The successor runs these items again; results of the attempts that go on
  // are offered to it, and the first one in the log counts.
  for (const auto& [attempt, item] : this->running) {
    this->output.revoke.push_back({.daemon = item.daemon, .attempt = attempt});
  }
  this->own_epoch = 0;
  this->works.clear();
  this->running.clear();
  this->failing.clear();
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

void PartitionOwner::MarkBusy(const ItemKey& item) {
  if (const auto work = this->works.find(item.job); work != this->works.end()) {
    ++work->second.busy[item.index];
  }
}

void PartitionOwner::Free(const PartitionLedger& ledger, const ItemKey& item) {
  const auto found = this->works.find(item.job);
  if (found == this->works.end()) {
    return;
  }
  Work& work = found->second;
  const auto busy = work.busy.find(item.index);
  if (busy == work.busy.end() || --busy->second > 0) {
    return;
  }
  work.busy.erase(busy);
  if (const Job* job = ledger.FindJob(item.job);
      job != nullptr && item.index < work.cursor) {
    this->Queue(*job, work, item.index);
  }
}

void PartitionOwner::Queue(const Job& job, Work& work, std::uint32_t index) {
  if (job.IsFinished(index) || job.is_closed()) {
    return;
  }
  const std::uint32_t failures = job.FailuresOf(index);
  if (failures < this->options.failure_limit) {
    work.again.push_back(index);
  } else if (failures == this->options.failure_limit) {
    work.isolated.push_back(index);
  } else {
    work.hopeless.push_back(index);
  }
}

std::optional<std::uint32_t> PartitionOwner::Peek(const Job& job,
                                                  Work& work,
                                                  std::uint32_t failure_limit) {
  const auto is_free = [&](std::uint32_t index) {
    return !job.IsFinished(index) && !work.busy.contains(index);
  };
  while (!work.again.empty()) {
    if (is_free(work.again.front())) {
      return work.again.front();
    }
    work.again.pop_front();
  }
  for (; work.cursor < job.item_count; ++work.cursor) {
    const std::uint32_t index = work.cursor;
    if (!is_free(index)) {
      continue;
    }
    const std::uint32_t failures = job.FailuresOf(index);
    if (failures < failure_limit) {
      return index;
    }
    (failures == failure_limit ? work.isolated : work.hopeless)
        .push_back(index);
  }
  return std::nullopt;
}

ReplicaCapacity* PartitionOwner::FindRoom(
    const Job& job,
    std::vector<ReplicaCapacity>& replicas,
    TimePoint now) {
  ReplicaCapacity* best = nullptr;
  for (auto& target : replicas) {
    const auto paused = this->paused_replicas.find(target.replica);
    if (target.capacity == 0 || target.is_reserved ||
        std::find(target.models.begin(), target.models.end(), job.model) ==
            target.models.end() ||
        (paused != this->paused_replicas.end() && now < paused->second)) {
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

ItemDispatch PartitionOwner::Send(const Job& job,
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
  this->MarkBusy(dispatch.item);
  this->running[dispatch.attempt] = {.item = dispatch.item,
                                     .daemon = target.daemon,
                                     .replica = target.replica,
                                     .workspace = job.workspace,
                                     .is_isolated = is_isolated};
  return dispatch;
}

void PartitionOwner::DispatchAlone(const Job& job,
                                   Work& work,
                                   std::vector<ReplicaCapacity>& replicas,
                                   TimePoint now,
                                   std::vector<ItemDispatch>& sent) {
  while (!work.isolated.empty() &&
         (job.IsFinished(work.isolated.front()) ||
          work.busy.contains(work.isolated.front()))) {
    work.isolated.pop_front();
  }
  if (work.isolated.empty()) {
    work.alone_since.reset();
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
  if (!work.alone_since) {
    work.alone_since = now;
  }
  const bool is_empty = best->occupied == 0;
  if (best->capacity > 0 &&
      (is_empty || *work.alone_since + this->options.isolation_timeout < now)) {
    sent.push_back(this->Send(job, work.isolated.front(), *best, true));
    work.isolated.pop_front();
    work.alone_since.reset();
  }
  best->is_reserved = true;
}

void PartitionOwner::GiveUpHopeless(const Job& job, Work& work) {
  for (; !work.hopeless.empty(); work.hopeless.pop_front()) {
    const std::uint32_t index = work.hopeless.front();
    const ItemKey item{.job = job.id, .index = index};
    if (job.IsFinished(index) || work.busy.contains(index)) {
      continue;
    }
    this->MarkBusy(item);
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
  if (!this->is_owner() || this->is_leaving || now < this->hand_over_limit ||
      this->offer_bytes > this->options.held_bytes) {
    return sent;
  }
  std::erase_if(this->paused_replicas,
                [now](const auto& item) { return item.second <= now; });
  std::vector<JobView> views;
  std::set<std::string> models;
  for (auto& view : this->OpenJobs(ledger)) {
    const Job& job = *ledger.FindJob(view.id);
    Work& work = this->works.at(view.id);
    // Sorts items that have failed too often into their lists.
    Peek(job, work, this->options.failure_limit);
    this->GiveUpHopeless(job, work);
    this->DispatchAlone(job, work, replicas, now, sent);
    if (Peek(job, work, this->options.failure_limit)) {
      models.insert(job.model);
      views.push_back(std::move(view));
    }
  }
  // The order counts each job that it chooses as served, so it sees no job
  // whose item could not be sent.
  const auto drop_without_room = [&](const std::string& model) {
    const auto is_of_model = [&](const JobView& view) {
      return ledger.FindJob(view.id)->model == model;
    };
    const auto any = std::find_if(views.begin(), views.end(), is_of_model);
    if (any != views.end() &&
        this->FindRoom(*ledger.FindJob(any->id), replicas, now) == nullptr) {
      std::erase_if(views, is_of_model);
    }
  };
  for (const auto& model : models) {
    drop_without_room(model);
  }
  while (!views.empty()) {
    const std::size_t chosen = this->order(views);
    const Job& job = *ledger.FindJob(views[chosen].id);
    Work& work = this->works.at(job.id);
    const auto index = Peek(job, work, this->options.failure_limit);
    ReplicaCapacity* target = this->FindRoom(job, replicas, now);
    VERIFY(index.has_value() && target != nullptr);
    sent.push_back(this->Send(job, *index, *target, false));
    ++views[chosen].running;
    for (auto& view : views) {
      view.workspace_running += view.workspace == job.workspace ? 1 : 0;
    }
    if (!Peek(job, work, this->options.failure_limit)) {
      views.erase(views.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    if (target->capacity == 0) {
      for (const auto& model : target->models) {
        drop_without_room(model);
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
  for (const auto& [id, work] : this->works) {
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
  const auto work = this->works.find(ended.item.job);
  if (work == this->works.end()) {
    return;
  }
  if (verdict == Verdict::kNotRun) {
    this->paused_replicas[ended.replica] = now + this->options.refusal_pause;
    auto& busy = work->second.busy;
    if (--busy[ended.item.index] == 0) {
      busy.erase(ended.item.index);
      (ended.is_isolated ? work->second.isolated : work->second.again)
          .push_back(ended.item.index);
    }
    return;
  }
  // The item stays busy until replay shows the counted failure. The count at
  // this time is read with the next output.
  if (!this->failing.try_emplace(ended.item).second) {
    // Another attempt of the item failed as well and counts for both.
    --work->second.busy[ended.item.index];
  }
}

void PartitionOwner::OnOffer(const std::string& daemon,
                             const messages::HeldResult& held,
                             TimePoint now) {
  this->must_check = true;
  auto item = ParseItemRequest(held.execute.request);
  const bool is_whole =
      held.done.complete && held.done.checksum == HashBytes(held.text);
  if (!is_whole) {
    this->OnFailed(held.execute.attempt, Verdict::kRan, now);
  }
  if (!item || !is_whole) {
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
    // The item stays busy, now because of the offer.
    this->running.erase(found);
  } else {
    this->MarkBusy(*item);
  }
  this->DropExcessOffers();
}

void PartitionOwner::DropExcessOffers() {
  // An owner stops sending items instead, so that its offers are bounded.
  while (!this->is_owner() && this->offer_bytes > this->options.held_bytes &&
         !this->offers.empty()) {
    this->offer_bytes -= this->offers.begin()->second.result.text.size();
    this->offers.erase(this->offers.begin());
  }
}

void PartitionOwner::CheckFailing(const PartitionLedger& ledger) {
  for (auto failure = this->failing.begin(); failure != this->failing.end();) {
    const auto& [item, state] = *failure;
    const Job* job = ledger.FindJob(item.job);
    const bool is_over = job == nullptr || job->is_closed() ||
                         job->IsFinished(item.index) ||
                         (state.is_written &&
                          job->FailuresOf(item.index) > state.failures_before);
    if (!is_over) {
      ++failure;
      continue;
    }
    const ItemKey key = item;
    failure = this->failing.erase(failure);
    this->Free(ledger, key);
  }
}

void PartitionOwner::CheckOffers(const PartitionLedger& ledger) {
  for (auto offer = this->offers.begin(); offer != this->offers.end();) {
    const auto& [attempt, state] = *offer;
    const Job* job = ledger.FindJob(state.item.job);
    // Replay may not know the job yet because this process is behind. The jobs
    // of attempts of earlier epochs lie before the own claim in the stream, and
    // those of the own epoch were replayed here. A later epoch belongs to a
    // successor whose claim an owner that was paused has not read yet.
    const bool is_forgotten = this->is_owner() && this->has_reached_end &&
                              state.epoch <= this->own_epoch;
    const bool is_over =
        job == nullptr ? is_forgotten
                       : job->is_closed() || job->IsFinished(state.item.index);
    if (!is_over) {
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
    this->Free(ledger, key);
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
    this->Free(ledger, key);
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
  for (auto& [item, state] : this->failing) {
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
    const auto found =
        this->failing.find({.job = failure.job, .index = failure.index});
    if (found != this->failing.end()) {
      found->second.is_written = false;
    }
  }
}

}  // namespace crocus
