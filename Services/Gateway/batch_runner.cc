#include "Gateway/batch_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibAsyncHttp/http_status.h"
#include "LibEvents/event_log.h"
#include "platform/request_headers.h"

namespace crocus {

namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/// Size of an item's text above which its replica is considered malformed.
constexpr std::size_t kMaximumTextBytes = 4u << 20;
/// A run that receives no event for this long is stopped, and its item is
/// resumed at another replica. It is longer than the longest wait in an
/// engine's queue.
constexpr Duration kIdleRunTimeout = std::chrono::seconds(4);
/// If a host fails, at most this much of the work on an item is lost. Records
/// cost bytes at the store and at each reader.
constexpr Duration kProgressRecordInterval = std::chrono::milliseconds(2000);
/// Slots of a replica that a host keeps free for hosts with more urgent items.
constexpr std::uint32_t kUrgencyReserve = 1;
/// Due times that differ by less count as equal.
constexpr std::int64_t kUrgencySlackMilliseconds = 500;
/// Time before an item may be sent again that was not run, because the replica
/// refused it or could not be reached.
constexpr Duration kRefusedBackoff = std::chrono::milliseconds(200);
/// Time before an item whose run was stopped may run again. If the replica was
/// full, several load reports of the peers arrive within this time.
constexpr Duration kStoppedBackoff = std::chrono::milliseconds(300);
/// Time before an item is looked at again whose prompt has a part that crashes
/// replicas. It waits for the end of the block, at most for its retention.
constexpr Duration kBlockedBackoff = std::chrono::milliseconds(1000);
/// Time before the body of an item is read again after a failed read. It
/// doubles, up to a limit, with each read that finds nothing: few reads are in
/// progress at once, and items without a body must not take all of them.
constexpr Duration kBodyReadBackoff = std::chrono::milliseconds(300);
constexpr Duration kMaximumBodyReadBackoff = std::chrono::seconds(10);
/// Time for which other hosts do not run an item whose result this host could
/// not write yet, because it cannot reach the store. A further run takes about
/// as long.
constexpr Duration kUnconfirmedResultHold = std::chrono::milliseconds(5000);
/// Reads of bodies in progress at once. More would delay other calls to the
/// store behind them.
constexpr std::uint32_t kMaximumBodyReads = 8;

}  // namespace

BatchRunner::BatchRunner(ForwardingContext& context,
                         const BatchJobTable& job_table,
                         const PeerItems& peer_items,
                         BatchWriter& writer,
                         BatchDataReader& data_reader,
                         ConfigSource config,
                         std::function<bool()> may_start)
    : context(context),
      job_table(job_table),
      peer_items(peer_items),
      writer(writer),
      data_reader(data_reader),
      config(std::move(config)),
      may_start(std::move(may_start)),
      timer(context.loop) {}

void BatchRunner::Start() {
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const auto& error) {
    if (!error) {
      this->Tick();
      this->Start();
    }
  });
}

void BatchRunner::StopRuns() {
  const TimePoint now = BootTimeNow();
  while (!this->runs.empty()) {
    const ItemReference item = this->runs.begin()->first;
    this->StopRun(item, "shutdown");
    this->RecordProgressOf(item, now);
  }
}

std::vector<std::uint64_t> BatchRunner::RunningItemHashes() const {
  std::vector<std::uint64_t> items;
  for (const auto& [item, run] : this->runs) {
    items.push_back(item.Hash());
  }
  for (const auto& item :
       this->writer.UnconfirmedItems(BootTimeNow() - kUnconfirmedResultHold)) {
    items.push_back(item.Hash());
  }
  return items;
}

void BatchRunner::SetPartitions(std::set<std::uint32_t> partitions,
                                std::uint32_t count) {
  this->queue.SetPartitions(std::move(partitions), count);
  this->PreemptRuns();
}

void BatchRunner::Tick() {
  const TimePoint now = BootTimeNow();
  std::vector<ItemReference> idle_items;
  for (const auto& [item, run] : this->runs) {
    if (now - run.last_event_received > kIdleRunTimeout) {
      idle_items.push_back(item);
    }
  }
  for (const auto& item : idle_items) {
    const Run& run = this->runs.at(item);
    const bool has_progress = run.events > 0;
    const std::string replica = run.attempt->replica();
    this->queue.Progress(item).avoided.insert(replica);
    const ReplicaRecord* record = this->context.directory.Find(replica);
    // With more requests than slots, the item may have been waiting for one.
    const bool had_slot =
        record != nullptr &&
        this->context.loads.Total(replica).total() <= record->slots;
    if (had_slot) {
      run.attempt->OnFailure(FailureKind::kUnusable, "no event received");
    }
    this->StopRun(item, "no event received");
    if (had_slot) {
      this->DelayFailedItem(item, has_progress);
    }
  }
  this->queue.Prune(this->job_table);
  this->AbandonItems();
  this->RecordProgress(now);
  this->PreemptRuns();
  this->StartItems();
}

void BatchRunner::AbandonItems() {
  const auto routing_config = this->config.current();
  if (!routing_config) {
    return;
  }
  const TimePoint now = BootTimeNow();
  this->dropped_routes.Update(this->job_table, *routing_config,
                              this->config.as_of(), now);
  for (const auto& [item, reason] : this->queue.ItemsToAbandon(
           this->job_table, *routing_config, this->dropped_routes,
           this->peer_items, now, UnixMilliseconds())) {
    this->StopRun(item, "abandoned");
    this->FinishItem(item, false, reason);
  }
}

void BatchRunner::PreemptRuns() {
  std::vector<std::pair<ItemReference, std::string>> items_to_stop;
  // Number of runs to stop at each replica.
  std::map<std::string, std::uint32_t> excess;
  for (const auto& [replica, own] : this->context.loads.OwnLoads()) {
    const ReplicaRecord* record = this->context.directory.Find(replica);
    if (record == nullptr || own.batch == 0) {
      continue;
    }
    const OutstandingRequests total = this->context.loads.Total(replica);
    const std::uint32_t allowed =
        record->slots - this->context.placement.PreemptionMargin(record->slots);
    if (total.total() > allowed && total.batch > 0) {
      excess[replica] = this->context.loads.OwnShareOfExcess(
          total.total() - allowed, replica);
    }
  }
  const auto routing_config = this->config.current();
  const std::int64_t unix_now = UnixMilliseconds();
  auto runs_in_order = this->RunsByLoss();
  if (!excess.empty()) {
    std::stable_partition(runs_in_order.begin(), runs_in_order.end(),
                          [&](const auto& item) {
                            return this->queue.IsAboveShare(
                                this->job_table, *routing_config, item);
                          });
  }
  // Runs of late items are stopped first, then those of workspaces above their
  // share.
  for (const bool is_late : {true, false}) {
    for (const auto& item : runs_in_order) {
      const Run& run = this->runs.at(item);
      const BatchJobEntry* job = this->job_table.Find(item.job);
      if (job == nullptr || job->is_ended ||
          job->items[item.item].state != ItemState::kOpen) {
        if (is_late) {
          items_to_stop.emplace_back(item, "ended");
        }
        continue;
      }
      const auto found = excess.find(run.attempt->replica());
      if (found != excess.end() && found->second > 0 &&
          this->queue.IsLate(this->job_table, *routing_config, item,
                             unix_now) == is_late) {
        --found->second;
        items_to_stop.emplace_back(item, "slot needed for online requests");
      }
    }
  }
  for (const auto& [item, reason] : items_to_stop) {
    this->StopRun(item, reason);
  }
}

std::vector<ItemReference> BatchRunner::RunsByLoss() {
  std::vector<ItemReference> items;
  items.reserve(this->runs.size());
  for (const auto& [item, run] : this->runs) {
    items.push_back(item);
  }
  if (this->context.placement.policy() == PlacementPolicy::kWork) {
    std::stable_sort(items.begin(), items.end(),
                     [this](const auto& left, const auto& right) {
                       return this->queue.Progress(left).events <
                              this->queue.Progress(right).events;
                     });
  }
  return items;
}

void BatchRunner::StartItems() {
  const auto routing_config = this->config.current();
  this->waiting_due_ms = 0;
  if (!routing_config || this->is_stopping || !this->may_start()) {
    return;
  }
  const TimePoint now = BootTimeNow();
  const std::int64_t unix_now = UnixMilliseconds();
  // Replicas at which this call has started an item.
  std::set<std::string> started;
  const auto peer_due = this->peer_items.EarliestDue(now);
  ItemFilter filter;
  this->queue.UpdateShares(this->job_table, *routing_config, this->peer_items,
                           this->context.failures, now, unix_now);
  while (const auto next = this->queue.Next(
             this->job_table, *routing_config, this->peer_items,
             this->context.failures, now, unix_now, filter)) {
    const ItemReference& item = next->item;
    const BatchJobEntry* job = this->job_table.Find(item.job);
    const Route* route = RouteOfJob(*routing_config, job->record);
    const std::string endpoint = EndpointOfJob(*route, item.job);
    const bool has_replicas =
        !this->context.directory.Available(endpoint).empty();
    if (!has_replicas) {
      filter.full_endpoints.insert(endpoint);
      continue;
    }
    if (!this->queue.HasBody(this->job_table, item)) {
      filter.only_with_body = !this->LoadBody(item);
      continue;
    }
    const bool is_most_urgent =
        next->is_sound_and_in_time() &&
        (!peer_due || next->due_ms <= *peer_due + kUrgencySlackMilliseconds);
    const std::uint32_t reserve = is_most_urgent ? 0 : kUrgencyReserve;
    auto& progress = this->queue.Progress(item);
    const auto choice =
        ChooseReplica(this->context.placement, progress,
                      {.endpoint = endpoint,
                       .excluded = started,
                       .extra_reserve = reserve,
                       .work = item.Hash(),
                       .tokens = this->context.estimator
                                     .Estimate(this->SizeOfItem(item, *route))
                                     .tokens},
                      now);
    if (!choice) {
      if (next->is_sound_and_in_time()) {
        // The first one in the order counts, since it would start next.
        if (this->waiting_due_ms == 0) {
          this->waiting_due_ms = next->due_ms;
        }
        this->PreemptForSoundItem(endpoint, *routing_config, unix_now);
      }
      this->queue.SetFull(endpoint, now);
      filter.full_endpoints.insert(endpoint);
      continue;
    }
    const auto shared_parts = this->SharedPartsOf(item);
    if (this->context.crash_evidence.Check(shared_parts, now,
                                           this->context.running_hosts(),
                                           this->context.draw())) {
      progress.not_before = now + kBlockedBackoff;
      continue;
    }
    started.insert(choice->replica);
    this->StartItem(item, *route, *choice, shared_parts);
  }
}

RequestMetadata BatchRunner::MetadataOf(const ItemReference& item) const {
  std::vector<HeaderField> fields;
  for (const auto& field :
       this->job_table.Find(item.job)->items[item.item].spec.fields) {
    fields.push_back({.name = field.name, .value = field.value});
  }
  return platform::DecodeRequestMetadata(HeaderFields(std::move(fields)));
}

std::vector<std::string> BatchRunner::SharedPartsOf(
    const ItemReference& item) const {
  return SharedPartIds(this->MetadataOf(item).prompt_parts);
}

RequestSize BatchRunner::SizeOfItem(const ItemReference& item,
                                    const Route& route) const {
  return SizeOf(route.name, this->MetadataOf(item));
}

void BatchRunner::PreemptForSoundItem(const std::string& endpoint,
                                      const RoutingConfig& routing_config,
                                      std::int64_t unix_milliseconds) {
  const auto item =
      this->queue.RunToPreempt(endpoint, this->job_table, routing_config,
                               this->context.failures, unix_milliseconds);
  if (!item) {
    return;
  }
  this->StopRun(*item, "slot needed for an item that can meet its due time");
  if (this->context.failures.BeliefOf(item->Hash()).is_failing) {
    this->DelayFailedItem(*item, false);
  }
}

void BatchRunner::DelayFailedItem(const ItemReference& item,
                                  bool has_progress) {
  if (has_progress) {
    // The item has got further, so it does not fail wherever it runs.
    this->context.failures.Forget(item.Hash());
  }
  const Duration pause = this->context.failures.PauseOf(item.Hash());
  this->queue.Progress(item).not_before = BootTimeNow() + pause;
  const auto belief = this->context.failures.BeliefOf(item.Hash());
  const BatchJobEntry* job = this->job_table.Find(item.job);
  if (belief.is_failing && job != nullptr) {
    LogEvent(Event::kBatchItemFailing,
             {{"request", job->items[item.item].spec.id},
              {"job", JobIdOf(item.job)},
              {"failures", std::to_string(belief.failures)},
              {"replicas", std::to_string(belief.replicas)},
              {"pause_ms", MillisecondsText(pause)}});
  }
}

bool BatchRunner::LoadBody(const ItemReference& item) {
  if (this->body_reads >= kMaximumBodyReads) {
    return false;
  }
  const BatchJobEntry* job = this->job_table.Find(item.job);
  ++this->body_reads;
  // The callback, which the store client calls in any case, sets a new time.
  this->queue.Progress(item).not_before = TimePoint::max();
  this->data_reader.Read(
      job->items[item.item].stored_body,
      BodyKeyPrefix(item.job, job->record.tag, item.item),
      [this, item](auto body) {
        --this->body_reads;
        const BatchJobEntry* current = this->job_table.Find(item.job);
        if (current == nullptr ||
            current->items[item.item].state != ItemState::kOpen ||
            this->queue.IsFinished(item)) {
          return;
        }
        auto& progress = this->queue.Progress(item);
        if (body) {
          progress.not_before = {};
          progress.body = std::move(*body);
          return;
        }
        Duration backoff = kBodyReadBackoff;
        if (body.error().code == ErrorCode::kNotFound) {
          constexpr std::uint32_t kMaximumDoublings = 6;
          backoff = std::min<Duration>(
              kBodyReadBackoff * (1 << std::min(progress.missing_body_reads++,
                                                kMaximumDoublings)),
              kMaximumBodyReadBackoff);
        }
        progress.not_before = BootTimeNow() + backoff;
        LogEvent(Event::kBatchDataReadFailed,
                 {{"request", current->items[item.item].spec.id},
                  {"job", JobIdOf(item.job)},
                  {"data", "body"},
                  {"reason", body.error().message}});
      });
  return true;
}

void BatchRunner::StartItem(const ItemReference& item,
                            const Route& route,
                            const PlacementChoice& choice,
                            const std::vector<std::string>& shared_parts) {
  const BatchJobEntry* job = this->job_table.Find(item.job);
  const BatchItemEntry& spec = job->items[item.item];
  this->LoadRecordedProgress(item);
  auto& progress = this->queue.Progress(item);
  ++progress.attempts;
  progress.events_at_start = progress.events;
  const TimePoint now = BootTimeNow();
  if (progress.attempts == 1) {
    progress.first_started = now;
  }
  std::vector<HeaderField> fields;
  for (const auto& field : spec.spec.fields) {
    fields.push_back({.name = field.name, .value = field.value});
  }
  auto head = platform::ItemHead(route.host, spec.spec.path, spec.spec.id,
                                 choice.replica, progress.last_event, fields,
                                 this->WorkspaceInRequest(*job));
  const std::string address =
      this->context.directory.Find(choice.replica)->address;
  this->queue.SetRunning(item, true);
  const RequestSize size = this->SizeOfItem(item, route);
  const WorkEstimate cost = this->context.estimator.Estimate(size);
  this->queue.CountStart(this->job_table, *this->config.current(), item,
                         cost.seconds());
  auto attempt = std::make_shared<ReplicaAttempt>(
      this->context,
      AttemptOptions{
          .replica = choice.replica,
          .address = address,
          .attempt_id = spec.spec.id,
          .work_id = item.Hash(),
          .work = WorkClass::kBatch,
          .cost = cost,
          .is_repeated = !progress.tried.insert(choice.replica).second,
          .shared_parts = shared_parts,
          .head = std::move(head),
          .body = progress.body.value_or(spec.body),
          .on_head =
              [this, item](const auto& response,
                           const auto& response_metadata) {
                auto& run = this->runs.at(item);
                run.status = response.status;
                const std::string media_type = response.fields.MediaType();
                run.is_usable =
                    response.status == http_status::kOk &&
                    response_metadata.is_signed &&
                    (media_type.empty() || media_type == kEventStreamType);
                run.last_event_received = BootTimeNow();
              },
          .on_body = [this, item](auto bytes) { this->OnBody(item, bytes); },
          .is_body_complete =
              [this, item](bool ends_with_connection) {
                const Run& run = this->runs.at(item);
                return !run.is_usable ||
                       run.event_parser.IsCompleteAtEnd(ends_with_connection);
              },
          .is_usable =
              [this, item] {
                const Run& run = this->runs.at(item);
                return run.is_usable && run.is_in_order && run.events > 0;
              },
          .on_end = [this, item](const auto& end) { this->OnEnd(item, end); }});
  this->runs[item] = Run{.attempt = attempt,
                         .shared_parts = shared_parts,
                         .size = size,
                         .cost = cost,
                         .last_event_received = now};
  attempt->Start();
}

std::optional<std::string> BatchRunner::WorkspaceInRequest(
    const BatchJobEntry& job) const {
  const auto routing_config = this->config.current();
  const bool is_named = !job.workspace.empty() ||
                        (routing_config && routing_config->requires_keys());
  return is_named ? std::optional(job.workspace) : std::nullopt;
}

void BatchRunner::LoadRecordedProgress(const ItemReference& item) {
  const auto& recorded =
      this->job_table.Find(item.job)->items[item.item].progress;
  auto& progress = this->queue.Progress(item);
  if (!progress.is_restarted && recorded.events > progress.events) {
    progress.text = recorded.text;
    progress.events = recorded.events;
    progress.last_event = recorded.last_event;
    progress.recorded_events = recorded.events;
  }
}

void BatchRunner::RecordProgress(TimePoint now) {
  for (const auto& [item, run] : this->runs) {
    const auto& progress = this->queue.Progress(item);
    if (now - std::max(progress.recorded, run.attempt->started()) >
        kProgressRecordInterval) {
      this->RecordProgressOf(item, now);
    }
  }
}

void BatchRunner::RecordProgressOf(const ItemReference& item, TimePoint now) {
  auto& progress = this->queue.Progress(item);
  if (!progress.last_event || progress.events <= progress.recorded_events ||
      this->queue.IsFinished(item)) {
    return;
  }
  progress.recorded = now;
  progress.recorded_events = progress.events;
  this->writer.AppendProgress({.job = item.job,
                               .item = item.item,
                               .last_event = *progress.last_event,
                               .events = progress.events,
                               .text = progress.text});
}

void BatchRunner::OnBody(const ItemReference& item, std::string_view bytes) {
  Run& run = this->runs.at(item);
  run.received_bytes += bytes.size();
  if (!run.is_usable) {
    return;
  }
  auto& progress = this->queue.Progress(item);
  const auto events = run.event_parser.Feed(bytes);
  run.attempt->OnEvents(events.size());
  for (const auto& event : events) {
    if (event.is_malformed || !event.id || !event.has_data ||
        (progress.last_event && *event.id != *progress.last_event + 1)) {
      run.is_in_order = false;
    }
    if (!run.is_in_order) {
      return;
    }
    // Bytes that complete no event do not count: a stalled replica may send
    // some now and then.
    run.last_event_received = BootTimeNow();
    if (progress.events > 0) {
      progress.text += '\n';
    }
    progress.text += event.data;
    progress.last_event = event.id;
    ++progress.events;
    ++run.events;
  }
  if (run.event_parser.is_overlong() ||
      progress.text.size() > kMaximumTextBytes) {
    progress.avoided.insert(run.attempt->replica());
    if (progress.text.size() > kMaximumTextBytes) {
      progress.Restart();
    }
    run.attempt->OnFailure(FailureKind::kUnusable, "malformed output");
    this->StopRun(item, "malformed output");
    this->DelayFailedItem(item, false);
  }
}

void BatchRunner::OnEnd(const ItemReference& item, const AttemptEnd& end) {
  const Run run = std::move(this->runs.at(item));
  this->runs.erase(item);
  this->queue.SetRunning(item, false);
  auto& progress = this->queue.Progress(item);
  const TimePoint now = BootTimeNow();
  this->queue.CountEnd(item, now - run.attempt->started());
  // The time of items that fail for their own sake says nothing about others.
  if (end.cause != FailureCause::kWork) {
    progress.run_time += now - run.attempt->started();
  }
  const bool is_complete =
      end.end == ExchangeEnd::kComplete && end.verdict == Verdict::kRan;
  if (is_complete && run.is_usable && run.is_in_order && run.events > 0) {
    this->queue.OnItemDone(progress.run_time, progress.events);
    // A resumed item has its events from several runs.
    if (run.events == progress.events) {
      this->context.estimator.OnCompleted(
          {.size = run.size,
           .estimate = run.cost,
           .events = run.events,
           .first_event = run.attempt->time_to_first_event(),
           .total = now - run.attempt->started()});
    }
    this->FinishItem(item, true, "");
    return;
  }
  LogEvent(
      Event::kReplicaAttemptFailed,
      {{"request", this->job_table.Find(item.job)->items[item.item].spec.id},
       {"replica", run.attempt->replica()},
       {"end", std::to_string(static_cast<int>(end.end))},
       {"reason", end.reason.empty()
                      ? "replica returned status " + std::to_string(run.status)
                      : end.reason},
       {"verdict", std::string(ToString(end.verdict))},
       {"cause", std::string(ToString(end.cause))},
       {"next", "resume"},
       {"attempt_ms", MillisecondsText(now - run.attempt->started())},
       {"parts", PartsText(run.shared_parts)},
       {"received_bytes", std::to_string(run.received_bytes)}});
  if (is_complete && run.is_usable && run.events == 0 && progress.events > 0) {
    // The end of the item, or nothing at all: only a whole run shows it.
    progress.Restart();
  }
  if (end.verdict == Verdict::kNotRun) {
    progress.not_before = now + kRefusedBackoff;
  } else {
    this->DelayFailedItem(item, run.events > 0);
  }
  progress.avoided.insert(run.attempt->replica());
  if (is_complete && run.status == http_status::kUnprocessable) {
    this->FinishItem(item, false, "replica returned status 422");
  } else if (is_complete && run.status == http_status::kServerError) {
    progress.failures.insert(this->writer.AppendItemFailure(item));
    const auto routing_config = this->config.current();
    const Route* route =
        RouteOfJob(*routing_config, this->job_table.Find(item.job)->record);
    if (route != nullptr && this->queue.FailureCount(this->job_table, item) >=
                                route->maximum_attempts) {
      this->FinishItem(item, false, "too many failures");
    }
  }
}

void BatchRunner::StopRun(const ItemReference& item,
                          const std::string& reason) {
  const auto found = this->runs.find(item);
  if (found == this->runs.end()) {
    return;
  }
  const auto attempt = found->second.attempt;
  this->runs.erase(found);
  this->queue.SetRunning(item, false);
  auto& progress = this->queue.Progress(item);
  progress.not_before = BootTimeNow() + kStoppedBackoff;
  progress.run_time += BootTimeNow() - attempt->started();
  this->queue.CountEnd(item, BootTimeNow() - attempt->started());
  const BatchJobEntry* job = this->job_table.Find(item.job);
  LogEvent(Event::kBatchItemStopped,
           {{"request", job == nullptr ? "" : job->items[item.item].spec.id},
            {"job", JobIdOf(item.job)},
            {"replica", attempt->replica()},
            {"reason", reason},
            {"events", std::to_string(progress.events)}});
  attempt->Cancel();
}

void BatchRunner::FinishItem(const ItemReference& item,
                             bool is_completed,
                             const std::string& reason) {
  const auto& progress = this->queue.Progress(item);
  LogEvent(
      Event::kBatchItemEnded,
      {{"request", this->job_table.Find(item.job)->items[item.item].spec.id},
       {"job", JobIdOf(item.job)},
       {"workspace", this->job_table.Find(item.job)->workspace},
       {"outcome", is_completed ? "completed" : "abandoned"},
       {"reason", reason},
       {"attempts", std::to_string(progress.attempts)},
       {"failures",
        std::to_string(this->queue.FailureCount(this->job_table, item))},
       {"total_ms", MillisecondsText(BootTimeNow() - progress.first_started)}});
  const BatchJobEntry* job = this->job_table.Find(item.job);
  std::vector<std::string> obsolete_body;
  const std::string prefix =
      BodyKeyPrefix(item.job, job->record.tag, item.item);
  for (std::uint32_t part = 0; part < job->items[item.item].stored_body.parts;
       ++part) {
    obsolete_body.push_back(prefix + std::to_string(part));
  }
  this->writer.AppendFinished({.job = item.job,
                               .item = item.item,
                               .completed = is_completed,
                               .text = is_completed ? progress.text : ""},
                              std::move(obsolete_body));
  this->queue.SetFinished(item);
  this->context.failures.Forget(item.Hash());
}

}  // namespace crocus
