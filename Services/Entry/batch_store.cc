#include "Entry/batch_store.h"

#include <algorithm>
#include <utility>

#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibLedger/append.h"

namespace crocus {

namespace {

constexpr std::uint32_t kRecordsPerRead = 256;
constexpr std::size_t kFollowerThreads = 4;
constexpr std::chrono::milliseconds kFirstReadDelay{20};
constexpr std::chrono::milliseconds kMaximumReadDelay{500};
/// Shortest time between two rounds of a follower thread, so that load reports
/// of many daemons are handled together.
constexpr std::chrono::milliseconds kMinimumRoundInterval{5};
/// How long the computed capacities of all replicas are used.
constexpr std::chrono::milliseconds kCapacityInterval{20};
/// Longest time that a follower thread sleeps; claims are checked at least this
/// often.
constexpr std::chrono::milliseconds kMaximumRoundInterval{50};
constexpr std::chrono::seconds kMaintenanceInterval{1};
constexpr std::chrono::seconds kTimeMarkInterval{60};
/// Longest time that a handover waits for the partition's running items.
constexpr std::chrono::seconds kHandOverTimeout{30};
/// Longest time that a shutdown waits for running items.
constexpr std::chrono::seconds kDrainTimeout{5};
constexpr std::chrono::seconds kStopWriteTimeout{3};
constexpr std::size_t kBodyCacheBytes = 32u << 20;
/// Bytes of result texts in one page. The page fits into one frame even after
/// its texts are escaped as JSON.
constexpr std::size_t kMaximumPageBytes = 4u << 20;
/// Largest number of runs of items or results that one maintenance carries
/// forward.
constexpr std::uint32_t kMaximumCarriedRuns = 64;
/// A snapshot is due once the bytes appended after the last one exceed this
/// multiple of its size.
constexpr std::uint64_t kSnapshotRatio = 4;

PartitionOwnerOptions MakeOwnerOptions(const EntrySettings& settings,
                                       std::uint64_t incarnation,
                                       std::uint32_t partition) {
  return {.partition = partition,
          .name = settings.host.name,
          .incarnation = incarnation,
          .heartbeat_timeout = settings.batch.heartbeat_timeout,
          .hand_over_after = settings.batch.hand_over_after,
          .failure_limit = settings.batch.failure_limit,
          .output_bytes = settings.batch.commit_bytes / 2,
          .output_interval = settings.batch.result_delay};
}

std::string ReplicaKey(const std::string& daemon, const std::string& replica) {
  return daemon + " " + replica;
}

std::vector<JobSummary> Summarise(const std::vector<JobView>& jobs) {
  std::vector<JobSummary> summaries;
  for (const auto& job : jobs) {
    summaries.push_back(
        {.job = job.id,
         .workspace = job.workspace,
         .due_ms = job.due_ms,
         .remaining_items =
             job.remaining - std::min(job.remaining, job.running),
         .running_items = job.running});
  }
  return summaries;
}

}  // namespace

BatchStore::Partition::Partition(std::uint32_t number,
                                 std::uint32_t page_records,
                                 PartitionOwnerOptions options,
                                 JobSelector select_job,
                                 std::uint64_t seed,
                                 TimePoint now)
    : number(number),
      reader(page_records),
      owner(std::move(options), std::move(select_job), seed, now) {}

BatchStore::BatchStore(const EntrySettings& settings,
                       std::uint64_t incarnation,
                       DaemonConnections& daemon_connections,
                       PeerLink& peers)
    : settings(settings),
      daemon_connections(daemon_connections),
      peers(peers),
      log(settings.platform.log_url),
      bodies(kBodyCacheBytes) {
  const auto count = settings.batch.partitions;
  for (std::size_t i = 0; i < std::min<std::size_t>(kFollowerThreads, count);
       ++i) {
    this->followers.push_back(std::make_unique<Follower>());
  }
  for (std::uint32_t i = 0; i < count; ++i) {
    this->partitions.push_back(std::make_unique<Partition>(
        i, kRecordsPerRead, MakeOwnerOptions(settings, incarnation, i),
        [this, i](const std::vector<JobView>& jobs) {
          const auto summaries = Summarise(jobs);
          std::lock_guard lock(this->planner_mutex);
          return this->planner.NextJob(i, summaries, MonotonicNow(),
                                       UnixMilliseconds());
        },
        SystemRandom(), MonotonicNow()));
    auto& partition = *this->partitions.back();
    partition.writer = std::make_unique<Writer>(
        this->log, PartitionStream(i),
        AppendQueueOptions{.writer = settings.host.name,
                           .delay = settings.batch.commit_delay,
                           .append_bytes = settings.batch.commit_bytes});
    this->followers[i % this->followers.size()]->partitions.push_back(
        &partition);
  }
}

BatchStore::~BatchStore() {
  this->Stop();
}

void BatchStore::Start() {
  for (auto& follower : this->followers) {
    follower->thread = std::thread([this, &follower] { this->Run(*follower); });
  }
}

void BatchStore::Stop() {
  if (this->is_stopping) {
    return;
  }
  for (auto& partition : this->partitions) {
    std::lock_guard lock(partition->mutex);
    partition->owner.Leave();
  }
  const TimePoint drain_deadline = MonotonicNow() + kDrainTimeout;
  const auto is_drained = [this] {
    return std::all_of(this->partitions.begin(), this->partitions.end(),
                       [](const auto& partition) {
                         std::lock_guard lock(partition->mutex);
                         return !partition->owner.is_owner() ||
                                partition->owner.is_drained();
                       });
  };
  while (!is_drained() && MonotonicNow() < drain_deadline) {
    std::this_thread::sleep_for(kFirstReadDelay);
  }
  this->is_stopping = true;
  for (auto& follower : this->followers) {
    follower->wake.notify_all();
    if (follower->thread.joinable()) {
      follower->thread.join();
    }
  }
  for (auto& partition : this->partitions) {
    std::uint64_t epoch = 0;
    {
      std::lock_guard lock(partition->mutex);
      epoch = partition->owner.owned_epoch();
    }
    if (epoch != 0 &&
        partition->writer->Enqueue(
            MakeEnvelope(records::Release{.epoch = epoch}),
            [number = partition->number, epoch](const auto& written) {
              if (written) {
                LogEvent(Event::kPartitionReleased,
                         {{"partition", std::to_string(number)},
                          {"epoch", std::to_string(epoch)}});
              }
            })) {
      partition->writer->Flush();
    }
  }
  const TimePoint write_deadline = MonotonicNow() + kStopWriteTimeout;
  for (auto& partition : this->partitions) {
    partition->writer->Stop(
        std::max(Duration(0), write_deadline - MonotonicNow()));
  }
}

std::uint32_t BatchStore::PartitionNumberOf(const std::string& job) const {
  return PartitionOf(job, this->settings.batch.partitions);
}

BatchStore::Partition& BatchStore::FindPartition(const std::string& job) const {
  return *this->partitions[this->PartitionNumberOf(job)];
}

std::string BatchStore::OwnerOf(const std::string& job) const {
  const auto& partition = this->FindPartition(job);
  const auto hint = this->peers.OwnerOf(partition.number);
  std::lock_guard lock(partition.mutex);
  const auto& ledger = partition.reader.ledger();
  return hint && hint->epoch > ledger.epoch() ? hint->name : ledger.owner();
}

void BatchStore::SetRules(const std::shared_ptr<const RuleSet>& rules) {
  std::lock_guard lock(this->planner_mutex);
  this->planner.SetRules(*rules);
}

std::optional<FinishEstimate> BatchStore::EstimateFinish(const Job& job) {
  const std::uint32_t number = this->PartitionNumberOf(job.id);
  std::map<std::uint32_t, std::vector<JobSummary>> open;
  for (const auto& partition : this->partitions) {
    std::lock_guard lock(partition->mutex);
    if (partition->owner.is_owner()) {
      open[partition->number] =
          Summarise(partition->owner.OpenJobs(partition->reader.ledger()));
    }
  }
  if (job.is_closed() || !open.contains(number)) {
    return std::nullopt;
  }
  const JobSummary candidate{
      .job = job.id,
      .workspace = job.workspace,
      .due_ms = job.due_ms,
      .remaining_items = job.item_count - job.finished_count};
  std::lock_guard lock(this->planner_mutex);
  return this->planner.EstimateFinish(open, number, candidate, MonotonicNow(),
                                      UnixMilliseconds());
}

std::vector<messages::OwnedPartition> BatchStore::OwnedPartitions() const {
  std::vector<messages::OwnedPartition> owned;
  for (const auto& partition : this->partitions) {
    std::lock_guard lock(partition->mutex);
    if (partition->owner.is_owner()) {
      owned.push_back({.partition = partition->number,
                       .epoch = partition->owner.owned_epoch()});
    }
  }
  return owned;
}

Result<void> BatchStore::Submit(const BatchInput& input) {
  auto& partition = this->FindPartition(input.job);
  const auto is_accepted = [&partition, &input] {
    std::lock_guard lock(partition.mutex);
    const Job* job = partition.reader.ledger().FindJob(input.job);
    return job != nullptr && job->state != JobState::kReceiving;
  };
  if (is_accepted()) {
    return {};
  }
  // An outage of the log is detected only by a read.
  this->RefreshIfStale(partition);
  if (is_accepted()) {
    return {};
  }
  {
    std::lock_guard lock(partition.mutex);
    if (!partition.is_log_available) {
      return Failure(ErrorCode::kUnavailable, "log: unavailable");
    }
  }
  std::vector<records::Envelope> envelopes = {
      MakeEnvelope(records::JobBegin{.job = input.job,
                                     .workspace = input.workspace,
                                     .request_class = input.request_class,
                                     .model = input.model,
                                     .due_ms = input.due_ms})};
  records::JobItems group{.job = input.job};
  std::size_t bytes = 0;
  for (std::uint32_t i = 0; i < input.items.size(); ++i) {
    bytes += input.items[i].prompt.size() + sizeof(records::ItemBody);
    group.items.push_back({.index = i,
                           .prompt = input.items[i].prompt,
                           .max_tokens = input.items[i].max_tokens});
    if (bytes >= this->settings.batch.commit_bytes / 2) {
      envelopes.push_back(MakeEnvelope(group));
      group.items.clear();
      bytes = 0;
      // The job does not exist until its last record, the commit, is written.
      if (auto written =
              partition.writer->Append(std::exchange(envelopes, {}),
                                       this->settings.batch.submit_timeout);
          !written) {
        return Failure(ErrorCode::kUnavailable, written.error().message);
      }
    }
  }
  if (!group.items.empty()) {
    envelopes.push_back(MakeEnvelope(group));
  }
  envelopes.push_back(MakeEnvelope(records::JobCommit{
      .job = input.job,
      .item_count = static_cast<std::uint32_t>(input.items.size())}));
  TRY_ASSIGN(const std::uint64_t offset,
             partition.writer->Append(std::move(envelopes),
                                      this->settings.batch.submit_timeout));
  // Only the replay determines whether the commit is valid.
  const TimePoint deadline =
      MonotonicNow() + this->settings.batch.submit_timeout;
  while (true) {
    const bool has_read = this->Refresh(partition, deadline - MonotonicNow());
    if (is_accepted()) {
      break;
    }
    std::lock_guard lock(partition.mutex);
    if (!has_read) {
      return Failure(ErrorCode::kTimeout,
                     "log: the job was written but could not be read back",
                     Verdict::kMayHaveRun);
    }
    if (partition.reader.ledger().next_offset() > offset) {
      return Failure(ErrorCode::kConflict,
                     "the job already exists with other items");
    }
  }
  LogEvent(Event::kJobAccepted,
           {{"job", input.job}, {"items", std::to_string(input.items.size())}});
  this->peers.Notify(this->OwnerOf(input.job),
                     {.partition = partition.number, .what = "wake"});
  return {};
}

Result<void> BatchStore::Cancel(const std::string& job) {
  TRY(this->Find(job));
  auto& partition = this->FindPartition(job);
  TRY(partition.writer->Append({MakeEnvelope(records::JobCancel{.job = job})},
                               this->settings.batch.submit_timeout));
  this->WakeFollower(partition, true);
  this->peers.Notify(this->OwnerOf(job),
                     {.partition = partition.number, .what = "wake"});
  return {};
}

Result<Job> BatchStore::Find(const std::string& job) {
  auto& partition = this->FindPartition(job);
  const auto find = [&partition, &job]() -> std::optional<Job> {
    std::lock_guard lock(partition.mutex);
    const Job* found = partition.reader.ledger().FindJob(job);
    if (found == nullptr) {
      return std::nullopt;
    }
    Job copy{.id = found->id,
             .workspace = found->workspace,
             .request_class = found->request_class,
             .model = found->model,
             .due_ms = found->due_ms,
             .state = found->state,
             .item_count = found->item_count,
             .received_count = found->received_count,
             .finished_count = found->finished_count,
             .failed_count = found->failed_count,
             .closed_offset = found->closed_offset};
    return copy;
  };
  this->RefreshIfStale(partition);
  if (auto found = find()) {
    return *found;
  }
  // Another entry may have written the job a moment ago.
  const bool has_read =
      this->Refresh(partition, this->settings.batch.heartbeat_timeout);
  if (auto found = find()) {
    return *found;
  }
  if (!has_read) {
    return Failure(ErrorCode::kUnavailable, "log: unavailable");
  }
  return Failure(ErrorCode::kNotFound, "job \"" + job + "\" does not exist");
}

Result<std::vector<records::ItemResult>> BatchStore::ReadPage(
    const std::string& job,
    std::uint64_t first,
    std::uint64_t limit) {
  TRY(this->Find(job));
  auto& partition = this->FindPartition(job);
  std::vector<records::ResultRun> runs;
  {
    std::lock_guard lock(partition.mutex);
    const Job* found = partition.reader.ledger().FindJob(job);
    if (found != nullptr) {
      std::uint64_t count = 0;
      for (const auto& run : found->result_runs) {
        if (run.first + run.count > first && count < limit) {
          count +=
              run.first + run.count - std::max<std::uint64_t>(run.first, first);
          runs.push_back(run);
        }
      }
    }
  }
  std::vector<records::ItemResult> results;
  std::size_t bytes = 0;
  std::uint64_t last_offset = 0;
  records::Append append;
  for (const auto& run : runs) {
    if (run.offset != last_offset) {
      TRY_ASSIGN(
          const LogPage page,
          this->ReadLog(PartitionStream(partition.number), run.offset, 1));
      if (page.records.empty() || page.records[0].offset != run.offset) {
        return Failure(ErrorCode::kUnavailable,
                       "the results are being moved within the log");
      }
      TRY_ASSIGN(append, Decode<records::Append>(page.records[0].data));
      last_offset = run.offset;
    }
    std::uint64_t position = run.first;
    for (auto& result : ReadResults(append, job, run)) {
      if (position++ < first) {
        continue;
      }
      // The caller continues at the position after a page that is shorter than
      // `limit`.
      if (results.size() == limit || bytes > kMaximumPageBytes) {
        return results;
      }
      bytes += result.text.size();
      results.push_back(std::move(result));
    }
  }
  return results;
}

void BatchStore::WakeFollower(Partition& partition, bool must_read) {
  {
    std::lock_guard lock(partition.mutex);
    partition.must_read = partition.must_read || must_read;
    partition.must_tick = true;
  }
  auto& follower = *this->followers[partition.number % this->followers.size()];
  {
    std::lock_guard lock(follower.mutex);
    follower.is_notified = true;
  }
  follower.wake.notify_all();
}

void BatchStore::OnCapacityReported() {
  for (auto& partition : this->partitions) {
    bool is_owner = false;
    {
      std::lock_guard lock(partition->mutex);
      is_owner = partition->owner.is_owner();
    }
    if (is_owner) {
      this->WakeFollower(*partition, false);
    }
  }
}

void BatchStore::OnPartitionWritten(std::uint32_t partition) {
  if (partition < this->partitions.size()) {
    this->WakeFollower(*this->partitions[partition], true);
  }
}

bool BatchStore::Refresh(Partition& partition, Duration timeout) {
  std::uint64_t target_read = 0;
  {
    std::lock_guard lock(partition.mutex);
    target_read = partition.reads_started + 1;
  }
  this->WakeFollower(partition, true);
  std::unique_lock lock(partition.mutex);
  return partition.read_completed.wait_for(
      lock, timeout, [&partition, target_read] {
        return partition.reads_done >= target_read;
      });
}

void BatchStore::RefreshIfStale(Partition& partition) {
  {
    std::lock_guard lock(partition.mutex);
    if (partition.is_up_to_date()) {
      return;
    }
    partition.reader.Resume();
  }
  this->Refresh(partition, this->settings.batch.heartbeat_timeout);
}

void BatchStore::OnOffer(const std::string& daemon,
                         const messages::OfferResults& offer) {
  for (const auto& held : offer.results) {
    if (held.execute.kind != messages::WorkKind::kBatch) {
      continue;
    }
    const auto item = ParseItemRequest(held.execute.request);
    auto& partition = this->FindPartition(item ? item->job : "");
    {
      std::lock_guard lock(partition.mutex);
      partition.owner.OnOffer(daemon, held, MonotonicNow());
    }
    this->WakeFollower(partition, false);
  }
}

void BatchStore::Run(Follower& follower) {
  while (!this->is_stopping) {
    TimePoint next = MonotonicNow() + kMaximumRoundInterval;
    for (Partition* partition : follower.partitions) {
      if (this->UpdateFollowing(*partition)) {
        this->Read(*partition);
      }
      this->Tick(*partition);
      std::lock_guard lock(partition->mutex);
      if (partition->must_read) {
        next = TimePoint();
      } else if (partition->is_followed) {
        next = std::min(next, partition->next_read);
      }
    }
    std::this_thread::sleep_for(kMinimumRoundInterval);
    std::unique_lock lock(follower.mutex);
    follower.wake.wait_until(lock, next, [this, &follower] {
      return follower.is_notified || this->is_stopping;
    });
    follower.is_notified = false;
  }
}

Result<LogPage> BatchStore::ReadLog(const std::string& stream,
                                    std::uint64_t from,
                                    std::uint32_t limit) {
  auto page = this->log.Read(stream, from, limit);
  ++this->read_count;
  if (page) {
    for (const auto& record : page->records) {
      this->read_bytes += record.data.size();
    }
  }
  return page;
}

bool BatchStore::UpdateFollowing(Partition& partition) {
  const auto hint = this->peers.OwnerOf(partition.number);
  const TimePoint now = MonotonicNow();
  std::lock_guard lock(partition.mutex);
  // Half of the timeout leaves time to catch up before a claim is due. A
  // heartbeat with a lower epoch than the replayed one is from an owner that
  // was replaced.
  const bool is_owner_alive =
      hint &&
      now < hint->last_heartbeat + this->settings.batch.heartbeat_timeout / 2 &&
      hint->epoch >= partition.reader.ledger().epoch();
  const bool must_follow = !is_owner_alive || partition.owner.is_owner() ||
                           partition.owner.is_claim_pending() ||
                           partition.owner.has_offers() ||
                           !partition.is_log_available;
  if (must_follow && !partition.is_followed) {
    partition.reader.Resume();
    partition.reads_before_following = partition.reads_started;
    partition.next_read = now;
    partition.read_delay = Duration(0);
  }
  partition.is_followed = must_follow;
  return partition.must_read || (must_follow && partition.next_read <= now);
}

void BatchStore::Read(Partition& partition) {
  std::uint64_t from = 0;
  std::uint32_t limit = 0;
  std::uint64_t number = 0;
  {
    std::lock_guard lock(partition.mutex);
    partition.must_read = false;
    partition.must_tick = true;
    from = partition.reader.from();
    limit = partition.reader.limit();
    number = ++partition.reads_started;
  }
  const auto stream = PartitionStream(partition.number);
  const auto page = this->ReadLog(stream, from, limit);
  std::unique_lock lock(partition.mutex);
  const TimePoint now = MonotonicNow();
  const bool was_available =
      std::exchange(partition.is_log_available, page.has_value());
  partition.read_delay =
      std::clamp(partition.read_delay * 2, Duration(kFirstReadDelay),
                 Duration(kMaximumReadDelay));
  partition.next_read = now + partition.read_delay;
  if (!page) {
    if (was_available) {
      LogEvent(Event::kLogUnavailable,
               {{"stream", stream}, {"reason", page.error().message}});
    }
    return;
  }
  const bool is_owner = partition.owner.is_owner();
  bool has_records = false;
  const auto applied =
      partition.reader.OnPage(*page, [&](const LogRecord& record) {
        has_records = true;
        partition.bytes_since_snapshot += record.data.size();
        if (is_owner) {
          this->bodies.Put(partition.number, record.offset, record.data);
        }
      });
  if (!applied) {
    LogEvent(Event::kStreamHeadLost,
             {{"stream", stream}, {"reason", applied.error().message}});
    return;
  }
  if (has_records) {
    partition.read_delay = kFirstReadDelay;
    partition.next_read = now + partition.read_delay;
  }
  if (partition.reader.is_current()) {
    // Also completes the reads that started before this one.
    partition.reads_done = number;
    partition.read_completed.notify_all();
  } else {
    partition.must_read = true;
  }
}

void BatchStore::Tick(Partition& partition) {
  const TimePoint now = MonotonicNow();
  {
    std::lock_guard lock(partition.mutex);
    const std::uint64_t before = partition.owner.owned_epoch();
    auto& ledger = partition.reader.ledger();
    partition.owner.OnReplay(ledger, partition.is_up_to_date(), now);
    const std::uint64_t after = partition.owner.owned_epoch();
    if (before != after) {
      const bool is_claimed = after != 0;
      LogEvent(
          is_claimed ? Event::kPartitionClaimed : Event::kPartitionLost,
          {{"partition", std::to_string(partition.number)},
           {"epoch", std::to_string(is_claimed ? after : ledger.epoch())}});
      partition.next_time_mark = now;
      partition.carried_through = 0;
      partition.pending_carried_records = 0;
    }
  }
  this->Claim(partition, now);
  this->HandOver(partition, now);
  this->Dispatch(partition);
  this->WriteOutput(partition);
  this->Maintain(partition, now);
}

void BatchStore::Claim(Partition& partition, TimePoint now) {
  const auto peer_views = this->peers.peers();
  std::lock_guard lock(partition.mutex);
  const auto& ledger = partition.reader.ledger();
  if (partition.claim_token &&
      partition.owner.IsClaimObsolete(ledger, peer_views, now)) {
    if (partition.writer->Withdraw(*partition.claim_token)) {
      partition.owner.OnClaimWithdrawn();
    }
    partition.claim_token.reset();
  }
  const auto claim = partition.owner.ClaimIfDue(ledger, peer_views, now);
  if (!claim) {
    return;
  }
  if (!partition.is_log_available) {
    partition.owner.OnClaimWithdrawn();
    return;
  }
  const auto token = partition.writer->Enqueue(
      MakeEnvelope(*claim), [this, &partition](const auto& written) {
        if (written) {
          this->WakeFollower(partition, true);
        }
      });
  if (token) {
    partition.claim_token = *token;
  } else {
    partition.owner.OnClaimWithdrawn();
  }
}

void BatchStore::HandOver(Partition& partition, TimePoint now) {
  const auto peer_views = this->peers.peers();
  std::lock_guard lock(partition.mutex);
  auto until = this->hand_over_deadline.load();
  if (until <= now.time_since_epoch().count() &&
      partition.owner.ShouldHandOver(peer_views, now)) {
    const TimePoint deadline = now + kHandOverTimeout;
    if (this->hand_over_deadline.compare_exchange_strong(
            until, deadline.time_since_epoch().count())) {
      partition.owner.StartHandOver(deadline);
    }
  }
  const std::uint64_t epoch = partition.owner.owned_epoch();
  if (partition.owner.IsHandOverDue(now) && partition.released_epoch != epoch &&
      this->Write(partition, MakeEnvelope(records::Release{.epoch = epoch}))) {
    partition.released_epoch = epoch;
    this->hand_over_deadline = 0;
    LogEvent(Event::kPartitionReleased,
             {{"partition", std::to_string(partition.number)},
              {"epoch", std::to_string(epoch)}});
  }
}

std::vector<ReplicaCapacity> BatchStore::ComputeCapacities() const {
  std::set<std::string> reserved;
  for (const auto& attempt : this->capacities.isolated_attempts) {
    reserved.insert(this->capacities.attempt_replicas.at(attempt));
  }
  std::vector<ReplicaCapacity> all;
  const auto& host = this->settings.host;
  for (const auto& view : this->daemon_connections.AllReplicas()) {
    if (view.load.leaving) {
      continue;
    }
    const std::string key = ReplicaKey(view.daemon, view.load.replica);
    const auto sent = this->capacities.sent_counts.find(key);
    const std::uint32_t occupied =
        std::max(view.load.batch_running,
                 sent == this->capacities.sent_counts.end() ? 0 : sent->second);
    // `occupied` may exceed what the replica reported, because the report can
    // be older than the last items sent.
    const std::uint32_t total = view.load.batch_running + view.load.batch_room;
    all.push_back(
        {.daemon = view.daemon,
         .endpoint = view.load.endpoint,
         .replica = view.load.replica,
         .models = view.load.models,
         .capacity = total > occupied ? total - occupied : 0,
         .occupied = occupied,
         .is_reserved = reserved.contains(key),
         .network_cost = view.availability_zone == host.availability_zone ? 0u
                         : view.region == host.region                     ? 1u
                                                      : 2u});
  }
  return all;
}

void BatchStore::Dispatch(Partition& partition) {
  {
    std::lock_guard lock(partition.mutex);
    if (!partition.owner.is_owner() || !partition.owner.has_open_jobs()) {
      return;
    }
  }
  std::vector<ItemDispatch> items;
  std::map<std::string, Job> jobs;
  {
    std::lock_guard lock(partition.mutex);
    std::lock_guard capacities_lock(this->capacities_mutex);
    const TimePoint now = MonotonicNow();
    if (this->capacities.computed_at + kCapacityInterval < now) {
      this->capacities.free = this->ComputeCapacities();
      this->capacities.computed_at = now;
    }
    const auto& ledger = partition.reader.ledger();
    items = partition.owner.Dispatch(ledger, this->capacities.free, now);
    for (const auto& item : items) {
      const std::string key = ReplicaKey(item.daemon, item.replica);
      this->capacities.attempt_replicas[item.attempt] = key;
      ++this->capacities.sent_counts[key];
      std::lock_guard planner_lock(this->planner_mutex);
      this->planner.OnStarted(item.attempt, partition.number, item.item.job,
                              now);
      if (item.is_isolated) {
        this->capacities.isolated_attempts.insert(item.attempt);
      }
      if (const Job* job = ledger.FindJob(item.item.job);
          job != nullptr && !jobs.contains(job->id)) {
        jobs[job->id] = {.id = job->id,
                         .workspace = job->workspace,
                         .request_class = job->request_class,
                         .model = job->model};
      }
    }
  }
  for (const auto& item : items) {
    this->SendItem(partition, item, jobs.at(item.item.job));
  }
}

void BatchStore::SendItem(Partition& partition,
                          const ItemDispatch& dispatch,
                          const Job& job) {
  auto body =
      this->bodies.Find(partition.number, dispatch.body_offset, dispatch.item);
  Verdict failed_verdict = Verdict::kNotRun;
  if (!body) {
    const auto page = this->ReadLog(PartitionStream(partition.number),
                                    dispatch.body_offset, 1);
    if (page && !page->records.empty() &&
        page->records[0].offset == dispatch.body_offset) {
      this->bodies.Put(partition.number, dispatch.body_offset,
                       page->records[0].data);
      body = this->bodies.Find(partition.number, dispatch.body_offset,
                               dispatch.item);
    } else if (page && page->first > dispatch.body_offset) {
      // The body was trimmed from the log. The attempt counts as failed, so
      // that the item finishes with a failure.
      failed_verdict = Verdict::kRan;
    }
  }
  const auto fail = [this, &partition,
                     attempt = dispatch.attempt](Verdict verdict) {
    this->EndAttempt(attempt, false);
    std::lock_guard lock(partition.mutex);
    partition.owner.OnFailed(attempt, verdict, MonotonicNow());
  };
  if (!body) {
    fail(failed_verdict);
    return;
  }
  const auto sent = this->daemon_connections.Execute(
      dispatch.daemon,
      {.attempt = dispatch.attempt,
       .request = FormatItemRequest(dispatch.item),
       .workspace = job.workspace,
       .request_class = job.request_class,
       .kind = messages::WorkKind::kBatch,
       .endpoint = dispatch.endpoint,
       .replica = dispatch.replica,
       .model = job.model,
       .prompt = body->prompt,
       .max_tokens = body->max_tokens,
       .repeatable = true,
       .epoch = dispatch.epoch},
      {.on_chunk = {},
       .on_done = [this, &partition, fail](const messages::AttemptDone& done) {
         if (done.complete) {
           this->EndAttempt(done.attempt, true);
         } else {
           fail(done.verdict);
         }
         this->WakeFollower(partition, false);
       }});
  if (!sent) {
    fail(Verdict::kNotRun);
  }
}

void BatchStore::EndAttempt(const std::string& attempt, bool is_finished) {
  {
    std::lock_guard lock(this->planner_mutex);
    this->planner.OnEnded(attempt, is_finished, MonotonicNow());
  }
  std::lock_guard lock(this->capacities_mutex);
  const auto found = this->capacities.attempt_replicas.find(attempt);
  if (found == this->capacities.attempt_replicas.end()) {
    return;
  }
  if (--this->capacities.sent_counts[found->second] == 0) {
    this->capacities.sent_counts.erase(found->second);
  }
  this->capacities.attempt_replicas.erase(found);
  this->capacities.isolated_attempts.erase(attempt);
}

bool BatchStore::Write(Partition& partition, records::Envelope envelope) {
  return partition.writer
      ->Enqueue(std::move(envelope),
                [this, &partition](const auto& written) {
                  if (written) {
                    this->WakeFollower(partition, true);
                  }
                })
      .has_value();
}

void BatchStore::WriteOutput(Partition& partition) {
  OwnerOutput output;
  {
    std::lock_guard lock(partition.mutex);
    output =
        partition.owner.TakeOutput(partition.reader.ledger(), MonotonicNow());
  }
  for (const auto& item : output.abandoned) {
    LogEvent(Event::kItemGivenUp,
             {{"job", item.job}, {"item", std::to_string(item.index)}});
  }
  bool is_written = true;
  if (!output.results.results.empty()) {
    is_written = this->Write(partition, MakeEnvelope(output.results));
  }
  if (is_written && !output.failures.failures.empty()) {
    is_written = this->Write(partition, MakeEnvelope(output.failures));
    output.results.results.clear();
  }
  if (!is_written) {
    std::lock_guard lock(partition.mutex);
    partition.owner.OnWriteRefused(output);
  }
  std::map<std::string, messages::ConfirmResults> confirmations;
  for (const auto& location : output.confirm) {
    confirmations[location.daemon].attempts.push_back(location.attempt);
  }
  for (const auto& [daemon, message] : confirmations) {
    this->daemon_connections.Send(daemon, message);
  }
  for (const auto& location : output.revoke) {
    this->daemon_connections.Revoke(
        location.daemon, location.attempt,
        [this, attempt = location.attempt](Verdict verdict) {
          // The daemon sends no end for an attempt that did not start.
          if (verdict == Verdict::kNotRun) {
            this->EndAttempt(attempt, false);
          }
        });
  }
}

void BatchStore::Maintain(Partition& partition, TimePoint now) {
  {
    std::lock_guard lock(partition.mutex);
    if (!partition.owner.is_owner() || !partition.reader.is_current() ||
        now < partition.next_maintenance || !partition.is_log_available) {
      return;
    }
    partition.next_maintenance = now + kMaintenanceInterval;
  }
  const std::int64_t unix_ms = UnixMilliseconds();
  std::vector<records::Envelope> envelopes;
  bool is_snapshot_due = false;
  {
    std::lock_guard lock(partition.mutex);
    const auto& ledger = partition.reader.ledger();
    const std::uint64_t epoch = partition.owner.owned_epoch();
    // Short retention times, as in tests, require more frequent time marks.
    const Duration time_mark_interval =
        std::min(Duration(kTimeMarkInterval),
                 Duration(this->settings.batch.log_retention) / 16);
    if (partition.next_time_mark <= now) {
      partition.next_time_mark = now + time_mark_interval;
      envelopes.push_back(
          MakeEnvelope(records::TimeMark{.epoch = epoch, .unix_ms = unix_ms}));
    }
    // Records up to this offset are older than half of the retention time.
    const std::uint64_t horizon_offset = ledger.OffsetBefore(
        unix_ms - this->settings.batch.log_retention.count() / 2);
    for (const auto& [id, job] : ledger.jobs()) {
      // The submission was interrupted long ago; a resent one starts over.
      const std::uint64_t newest =
          job.state == JobState::kReceiving ? job.NewestBodyOffset() : 0;
      if (newest > 0 && newest <= horizon_offset) {
        envelopes.push_back(
            MakeEnvelope(records::JobForget{.epoch = epoch, .job = id}));
        continue;
      }
      const std::int64_t closed =
          job.is_closed() ? ledger.LatestTimeOf(job.closed_offset) : 0;
      if (closed != 0 &&
          closed + this->settings.batch.result_retention.count() < unix_ms) {
        envelopes.push_back(
            MakeEnvelope(records::JobForget{.epoch = epoch, .job = id}));
      }
    }
    is_snapshot_due = partition.bytes_since_snapshot >
                      std::max(this->settings.batch.snapshot_bytes,
                               kSnapshotRatio * partition.snapshot_bytes);
  }
  for (auto& envelope : envelopes) {
    this->Write(partition, std::move(envelope));
  }
  this->CarryForward(partition, unix_ms);
  if (is_snapshot_due) {
    this->WriteSnapshot(partition);
  }
}

void BatchStore::CarryForward(Partition& partition, std::int64_t unix_ms) {
  struct Move {
    std::string job;
    std::uint64_t offset = 0;
    std::vector<std::uint32_t> items;
    std::optional<records::ResultRun> run;
  };
  std::vector<Move> moves;
  std::uint64_t epoch = 0;
  {
    std::lock_guard lock(partition.mutex);
    const auto& ledger = partition.reader.ledger();
    // Records up to this offset are older than half of the retention time.
    const std::uint64_t horizon_offset = ledger.OffsetBefore(
        unix_ms - this->settings.batch.log_retention.count() / 2);
    if (horizon_offset <= partition.carried_through ||
        partition.pending_carried_records > 0 ||
        ledger.next_offset() <= partition.newest_carried_offset) {
      return;
    }
    epoch = partition.owner.owned_epoch();
    for (const auto& [id, job] : ledger.jobs()) {
      if (job.state == JobState::kReceiving) {
        continue;
      }
      for (const auto& [first, run] : job.item_runs) {
        if (run.offset > horizon_offset ||
            moves.size() >= kMaximumCarriedRuns) {
          continue;
        }
        Move move{.job = id, .offset = run.offset, .items = {}, .run = {}};
        for (std::uint32_t i = first; i < first + run.count; ++i) {
          if (!job.IsFinished(i)) {
            move.items.push_back(i);
          }
        }
        if (!move.items.empty()) {
          moves.push_back(std::move(move));
        }
      }
      for (const auto& run : job.result_runs) {
        if (run.offset <= horizon_offset &&
            moves.size() < kMaximumCarriedRuns) {
          moves.push_back(
              {.job = id, .offset = run.offset, .items = {}, .run = run});
        }
      }
    }
    if (moves.empty()) {
      partition.carried_through = horizon_offset;
      return;
    }
  }
  for (const auto& move : moves) {
    const auto page =
        this->ReadLog(PartitionStream(partition.number), move.offset, 1);
    if (!page || page->records.empty() ||
        page->records[0].offset != move.offset) {
      continue;
    }
    const auto append = Decode<records::Append>(page->records[0].data);
    if (!append) {
      continue;
    }
    records::Envelope envelope;
    if (move.run) {
      envelope = MakeEnvelope(records::CarriedResults{
          .epoch = epoch,
          .job = move.job,
          .first = move.run->first,
          .results = ReadResults(*append, move.job, *move.run)});
    } else {
      records::CarriedItems carried{.epoch = epoch, .job = move.job};
      for (const std::uint32_t index : move.items) {
        if (auto body = FindItemBody(*append, move.job, index)) {
          carried.items.push_back(std::move(*body));
        }
      }
      envelope = MakeEnvelope(carried);
    }
    const auto on_written = [this, &partition](const auto& written) {
      {
        std::lock_guard lock(partition.mutex);
        partition.pending_carried_records -=
            partition.pending_carried_records > 0 ? 1 : 0;
        if (written) {
          partition.newest_carried_offset =
              std::max(partition.newest_carried_offset, *written);
        }
      }
      this->WakeFollower(partition, true);
    };
    std::lock_guard lock(partition.mutex);
    if (partition.writer->Enqueue(std::move(envelope), on_written)) {
      ++partition.pending_carried_records;
    }
  }
}

void BatchStore::WriteSnapshot(Partition& partition) {
  std::vector<records::Snapshot> parts;
  {
    std::lock_guard lock(partition.mutex);
    parts = partition.reader.ledger().MakeSnapshot(
        this->settings.batch.commit_bytes / 2);
    partition.snapshot_bytes = 0;
    for (const auto& part : parts) {
      partition.snapshot_bytes += part.state.size();
    }
    partition.bytes_since_snapshot = 0;
  }
  LogEvent(Event::kSnapshotWritten,
           {{"partition", std::to_string(partition.number)},
            {"through", std::to_string(parts.front().through_offset)},
            {"parts", std::to_string(parts.size())}});
  for (const auto& part : parts) {
    // Readers ignore a snapshot with a missing part.
    if (!this->Write(partition, MakeEnvelope(part))) {
      return;
    }
  }
}

}  // namespace crocus
