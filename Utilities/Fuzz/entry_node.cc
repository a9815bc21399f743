#include "entry_node.h"

#include <algorithm>
#include <utility>

#include "LibCore/hashing.h"
#include "LibLedger/append.h"
#include "LibMessages/codec.h"

namespace crocus {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kReadInterval = std::chrono::milliseconds(60);
constexpr Duration kRulesReadInterval = std::chrono::milliseconds(400);
constexpr Duration kHeartbeatTimeout = std::chrono::seconds(2);
constexpr Duration kHandOverTimeout = std::chrono::seconds(30);
constexpr std::uint32_t kPageRecords = 16;
constexpr std::uint64_t kSnapshotBytes = 16 << 10;
constexpr std::size_t kSnapshotPartBytes = 2 << 10;
constexpr std::uint64_t kTimeoutRangeMilliseconds = 2000;

}  // namespace

EntryNode::EntryNode(EventLoop& loop,
                     InvariantChecker& checker,
                     VirtualLog& log,
                     std::string name,
                     std::uint32_t partitions,
                     std::uint64_t seed,
                     Sender sender)
    : loop(loop),
      checker(checker),
      log(log),
      own_name(std::move(name)),
      partition_count(partitions),
      random(seed),
      sender(std::move(sender)) {
  this->Start();
}

void EntryNode::Start() {
  ++this->state.incarnation;
  this->state.is_alive = true;
  this->state.paused_until = {};
  const std::uint64_t incarnation = this->state.incarnation;
  this->partitions.clear();
  for (std::uint32_t i = 0; i < this->partition_count; ++i) {
    const std::string writer = this->own_name + "-" +
                               std::to_string(incarnation) + "-" +
                               std::to_string(i);
    this->partitions.push_back(std::make_unique<Partition>(Partition{
        .number = i,
        .reader = LedgerReader(kPageRecords),
        .owner = PartitionOwner({.partition = i,
                                 .name = this->own_name,
                                 .incarnation = incarnation,
                                 .heartbeat_timeout = kHeartbeatTimeout},
                                ChooseFairEarliestDue, this->random.Next(),
                                this->loop.now()),
        .queue = AppendQueue({.writer = this->own_name,
                              .append_bytes = 4 << 10,
                              .page_records = kPageRecords},
                             writer, this->random.Next())}));
  }
  this->rules = std::make_unique<RulesLedger>();
  this->is_reading_rules = false;
  this->loop.Post(this->state, kTickInterval, [this] { this->Tick(); });
}

void EntryNode::Crash() {
  this->state.is_alive = false;
  this->partitions.clear();
  this->pending_acknowledgements.clear();
  this->peers.clear();
  this->daemons.clear();
  this->batch_attempts.clear();
  this->attempt_requests.clear();
  this->online_requests.clear();
  this->pending_revokes.clear();
}

void EntryNode::Tick() {
  for (auto& partition : this->partitions) {
    if (!partition->is_reading && partition->next_read <= this->loop.now()) {
      this->ReadPartition(*partition);
    }
    partition->owner.OnReplay(partition->reader.ledger(),
                              partition->reader.is_current(), this->loop.now());
    this->Claim(*partition);
    this->HandOver(*partition);
    this->Dispatch(*partition);
    this->WriteOutput(*partition);
    this->WriteSnapshot(*partition);
    this->RunAppendQueue(*partition);
  }
  this->RevokeExpiredRequests();
  if (!this->is_reading_rules && this->next_rules_read <= this->loop.now()) {
    this->ReadRules();
  }
  this->loop.Post(this->state, kTickInterval, [this] { this->Tick(); });
}

void EntryNode::ReadPartition(Partition& partition) {
  partition.is_reading = true;
  this->log.Read(
      this->state, PartitionStream(partition.number), partition.reader.from(),
      partition.reader.limit(), [this, &partition](const auto& page) {
        partition.is_reading = false;
        partition.is_log_available = page.has_value();
        partition.next_read = this->loop.now() + kReadInterval;
        if (!page) {
          return;
        }
        const auto applied = partition.reader.OnPage(
            *page, [&partition](const LogRecord& record) {
              partition.bytes_since_snapshot += record.data.size();
            });
        this->checker.Check(applied.has_value(),
                            "a reader found no snapshot that covers the "
                            "trimmed head of a stream");
        if (!partition.reader.is_current()) {
          partition.next_read = this->loop.now();
        }
        this->checker.CheckEntryLedger(partition.number,
                                       partition.reader.ledger());
        this->AcknowledgeCallers(partition);
      });
}

void EntryNode::AcknowledgeCallers(Partition& partition) {
  std::erase_if(
      this->pending_acknowledgements,
      [&](const PendingAcknowledgement& pending) {
        if (PartitionOf(pending.job, this->partition_count) !=
                partition.number ||
            partition.reader.ledger().next_offset() <= pending.offset) {
          return false;
        }
        const Job* job = partition.reader.ledger().FindJob(pending.job);
        if (pending.is_cancel) {
          if (job != nullptr && job->is_closed()) {
            this->checker.OnCancelAcknowledged(pending.job);
          }
        } else if (job != nullptr && job->state != JobState::kReceiving) {
          this->checker.OnJobAcknowledged(pending.job);
        }
        return true;
      });
}

std::optional<std::uint64_t> EntryNode::Add(
    Partition& partition,
    records::Envelope envelope,
    std::function<void(std::uint64_t)> on_written) {
  const std::uint64_t token = this->next_token++;
  if (!partition.queue.Add(token, std::move(envelope), this->loop.now())) {
    return std::nullopt;
  }
  partition.callbacks[token] = std::move(on_written);
  return token;
}

void EntryNode::RunAppendQueue(Partition& partition) {
  if (partition.is_writing) {
    return;
  }
  const AppendStep step = partition.queue.Next(this->loop.now());
  if (step.kind == AppendStep::Kind::kWait) {
    return;
  }
  partition.is_writing = true;
  const std::string stream = PartitionStream(partition.number);
  const auto finish = [this,
                       &partition](const std::vector<AppendedEntry>& appended) {
    partition.is_writing = false;
    for (const auto& entry : appended) {
      const auto callback = partition.callbacks.extract(entry.token);
      if (!callback.empty() && callback.mapped()) {
        callback.mapped()(entry.offset);
      }
    }
    this->RunAppendQueue(partition);
  };
  if (step.kind == AppendStep::Kind::kAppend) {
    this->log.Append(
        this->state, stream, step.data,
        [this, &partition, finish](const auto& outcome) {
          finish(partition.queue.OnAppend(outcome, this->loop.now()));
        });
  } else {
    this->log.Read(this->state, stream, step.from, step.limit,
                   [this, &partition, finish](const auto& page) {
                     finish(partition.queue.OnRead(page, this->loop.now()));
                   });
  }
}

std::vector<PeerView> EntryNode::PeerViews() const {
  std::vector<PeerView> views;
  for (const auto& [name, peer] : this->peers) {
    views.push_back(peer);
  }
  return views;
}

void EntryNode::HandOver(Partition& partition) {
  const TimePoint now = this->loop.now();
  if (this->hand_over_deadline <= now &&
      partition.owner.ShouldHandOver(this->PeerViews(), now)) {
    this->hand_over_deadline = now + kHandOverTimeout;
    partition.owner.StartHandOver(this->hand_over_deadline);
  }
  const std::uint64_t epoch = partition.owner.owned_epoch();
  if (partition.owner.IsHandOverDue(now) && partition.released_epoch != epoch) {
    partition.released_epoch = epoch;
    this->hand_over_deadline = {};
    this->Add(partition, MakeEnvelope(records::Release{.epoch = epoch}));
  }
}

void EntryNode::Claim(Partition& partition) {
  const auto views = this->PeerViews();
  const auto& ledger = partition.reader.ledger();
  const TimePoint now = this->loop.now();
  if (partition.claim_token &&
      partition.owner.IsClaimObsolete(ledger, views, now)) {
    if (partition.queue.Withdraw(*partition.claim_token)) {
      partition.owner.OnClaimWithdrawn();
    }
    partition.claim_token.reset();
  }
  const auto claim = partition.owner.ClaimIfDue(ledger, views, now);
  if (!claim) {
    return;
  }
  if (partition.is_log_available) {
    partition.claim_token = this->Add(partition, MakeEnvelope(*claim));
  }
  if (!partition.claim_token) {
    partition.owner.OnClaimWithdrawn();
  }
}

std::vector<ReplicaCapacity> EntryNode::MakeReplicaCapacities() const {
  std::vector<ReplicaCapacity> capacities;
  for (const auto& [name, daemon] : this->daemons) {
    for (const auto& load : daemon.replicas) {
      if (load.leaving) {
        continue;
      }
      const auto sent = static_cast<std::uint32_t>(
          std::count_if(this->batch_attempts.begin(),
                        this->batch_attempts.end(), [&load](const auto& item) {
                          return item.second.replica == load.replica;
                        }));
      const bool is_reserved =
          std::any_of(this->batch_attempts.begin(), this->batch_attempts.end(),
                      [&load](const auto& item) {
                        return item.second.replica == load.replica &&
                               item.second.is_isolated;
                      });
      const std::uint32_t occupied = std::max(load.batch_running, sent);
      const std::uint32_t capacity = load.batch_running + load.batch_room;
      capacities.push_back(
          {.daemon = name,
           .endpoint = load.endpoint,
           .replica = load.replica,
           .models = load.models,
           .capacity = capacity > occupied ? capacity - occupied : 0,
           .occupied = occupied,
           .is_reserved = is_reserved});
    }
  }
  return capacities;
}

void EntryNode::Dispatch(Partition& partition) {
  if (!partition.owner.is_owner()) {
    return;
  }
  auto capacities = this->MakeReplicaCapacities();
  for (const auto& item : partition.owner.Dispatch(
           partition.reader.ledger(), capacities, this->loop.now())) {
    this->batch_attempts[item.attempt] = {.daemon = item.daemon,
                                          .replica = item.replica,
                                          .partition = partition.number,
                                          .is_isolated = item.is_isolated};
    this->attempt_requests[item.attempt] = FormatItemRequest(item.item);
    this->SendItem(partition, item);
  }
}

void EntryNode::SendItem(Partition& partition, const ItemDispatch& dispatch) {
  this->log.Read(
      this->state, PartitionStream(partition.number), dispatch.body_offset, 1,
      [this, &partition, dispatch](const auto& page) {
        std::optional<records::ItemBody> body;
        if (page && !page->records.empty() &&
            page->records[0].offset == dispatch.body_offset) {
          if (const auto append =
                  Decode<records::Append>(page->records[0].data)) {
            body =
                FindItemBody(*append, dispatch.item.job, dispatch.item.index);
          }
        }
        const bool is_sent =
            body &&
            this->sender(dispatch.daemon,
                         {.execute = messages::Execute{
                              .attempt = dispatch.attempt,
                              .request = FormatItemRequest(dispatch.item),
                              .kind = messages::WorkKind::kBatch,
                              .endpoint = dispatch.endpoint,
                              .replica = dispatch.replica,
                              .model = "proof",
                              .prompt = body->prompt,
                              .max_tokens = body->max_tokens,
                              .repeatable = true,
                              .epoch = dispatch.epoch}});
        if (!is_sent) {
          this->batch_attempts.erase(dispatch.attempt);
          partition.owner.OnFailed(dispatch.attempt, Verdict::kNotRun,
                                   this->loop.now());
        }
      });
}

void EntryNode::WriteOutput(Partition& partition) {
  auto output =
      partition.owner.TakeOutput(partition.reader.ledger(), this->loop.now());
  if (!output.results.results.empty()) {
    this->Add(partition, MakeEnvelope(output.results));
  }
  if (!output.failures.failures.empty()) {
    this->Add(partition, MakeEnvelope(output.failures));
  }
  for (const auto& location : output.confirm) {
    if (const auto request = this->attempt_requests.find(location.attempt);
        request != this->attempt_requests.end()) {
      this->checker.OnConfirm(location.attempt, request->second);
    }
    this->sender(
        location.daemon,
        {.confirm = messages::ConfirmResults{.attempts = {location.attempt}}});
  }
  for (const auto& location : output.revoke) {
    const std::uint64_t correlation = this->next_correlation++;
    this->pending_revokes[correlation] = location.attempt;
    this->sender(location.daemon,
                 {.revoke = messages::Revoke{.attempt = location.attempt},
                  .correlation = correlation});
  }
}

void EntryNode::WriteSnapshot(Partition& partition) {
  if (!partition.owner.is_owner() || !partition.reader.is_current() ||
      partition.bytes_since_snapshot < kSnapshotBytes) {
    return;
  }
  partition.bytes_since_snapshot = 0;
  for (const auto& part :
       partition.reader.ledger().MakeSnapshot(kSnapshotPartBytes)) {
    this->Add(partition, MakeEnvelope(part));
  }
}

void EntryNode::OnConnected(const std::string& daemon) {
  this->daemons[daemon] = {};
  if (this->rules->version() > 0) {
    this->sender(
        daemon, {.rules = messages::RulesPush{.version = this->rules->version(),
                                              .text = this->rules->text()}});
  }
}

void EntryNode::OnDisconnected(const std::string& daemon) {
  this->daemons.erase(daemon);
  std::vector<std::string> interrupted;
  for (const auto& [attempt, location] : this->batch_attempts) {
    if (location.daemon == daemon) {
      interrupted.push_back(attempt);
    }
  }
  for (const auto& [attempt, call] : this->online_requests) {
    if (call.daemon == daemon) {
      interrupted.push_back(attempt);
    }
  }
  for (const auto& attempt : interrupted) {
    this->OnAttemptDone({.attempt = attempt,
                         .verdict = Verdict::kMayHaveRun,
                         .reason = "connection_lost"});
  }
}

void EntryNode::OnHeartbeat(const std::string& name,
                            std::uint64_t incarnation) {
  this->peers[name] = {.name = name,
                       .incarnation = incarnation,
                       .last_heartbeat = this->loop.now()};
}

void EntryNode::OnMessage(const std::string& daemon,
                          const OutgoingMessage& message) {
  auto& view = this->daemons[daemon];
  if (const auto* report =
          std::get_if<messages::LoadReport>(&message.message)) {
    view.replicas = report->replicas;
  } else if (const auto* change =
                 std::get_if<messages::LoadChange>(&message.message)) {
    for (auto& load : view.replicas) {
      load.leaving = change->leaving;
    }
    for (const auto& replica_change : change->replicas) {
      auto& load = view.replicas.at(replica_change.index);
      load.online_running = replica_change.online_running;
      load.batch_running = replica_change.batch_running;
      load.batch_room = replica_change.batch_room;
    }
  } else if (const auto* offer =
                 std::get_if<messages::OfferResults>(&message.message)) {
    for (const auto& held : offer->results) {
      if (held.execute.kind == messages::WorkKind::kBatch) {
        const auto item = ParseItemRequest(held.execute.request);
        this->attempt_requests[held.execute.attempt] = held.execute.request;
        auto& partition =
            *this->partitions[PartitionOf(item->job, this->partition_count)];
        partition.owner.OnOffer(daemon, held, this->loop.now());
        this->batch_attempts.erase(held.execute.attempt);
      } else {
        this->OnAttemptDone(held.done);
        // The real entry first writes the result of an online request to the
        // log.
        this->sender(daemon, {.confirm = messages::ConfirmResults{
                                  .attempts = {held.execute.attempt}}});
      }
    }
  } else if (const auto* chunk =
                 std::get_if<messages::TokenChunk>(&message.message)) {
    const auto found = this->online_requests.find(chunk->attempt);
    if (found != this->online_requests.end() &&
        chunk->first_index == found->second.received) {
      found->second.text += chunk->text;
      found->second.received += chunk->count;
    }
  } else if (const auto* done =
                 std::get_if<messages::AttemptDone>(&message.message)) {
    this->OnAttemptDone(*done);
  } else if (const auto* reply =
                 std::get_if<messages::RevokeReply>(&message.message)) {
    const auto revoke = this->pending_revokes.extract(message.correlation);
    if (!revoke.empty() && reply->verdict == Verdict::kNotRun) {
      this->OnAttemptDone({.attempt = revoke.mapped(),
                           .verdict = Verdict::kNotRun,
                           .reason = "revoked"});
    }
  }
}

void EntryNode::OnAttemptDone(const messages::AttemptDone& done) {
  if (const auto batch = this->batch_attempts.extract(done.attempt);
      !batch.empty()) {
    if (done.verdict == Verdict::kNotRun) {
      this->checker.OnNotRun(done.attempt);
    }
    if (!done.complete) {
      this->partitions[batch.mapped().partition]->owner.OnFailed(
          done.attempt, done.verdict, this->loop.now());
    }
    return;
  }
  auto node = this->online_requests.extract(done.attempt);
  if (node.empty()) {
    return;
  }
  OnlineRequest call = std::move(node.mapped());
  if (done.verdict == Verdict::kNotRun) {
    this->checker.OnNotRun(done.attempt);
  }
  if (done.complete && done.token_count == call.received &&
      done.checksum == HashBytes(call.text)) {
    this->checker.OnOnlineAnswer(call.request, call.prompt, call.tokens,
                                 call.text);
    return;
  }
  // A retry is allowed only if the daemon reported that the attempt did not
  // run, or if the request is repeatable.
  if (done.verdict == Verdict::kNotRun || call.is_repeatable) {
    call.text.clear();
    call.received = 0;
    this->StartOnlineAttempt(std::move(call));
  }
}

void EntryNode::RunOnlineRequest(const std::string& request,
                                 bool is_repeatable) {
  const Duration timeout = std::chrono::milliseconds(
      20 + this->random.Below(kTimeoutRangeMilliseconds));
  this->StartOnlineAttempt(
      {.request = request,
       .prompt = "online " + request,
       .tokens = static_cast<std::uint32_t>(1 + this->random.Below(20)),
       .is_repeatable = is_repeatable,
       .deadline = this->loop.now() + timeout});
}

void EntryNode::StartOnlineAttempt(OnlineRequest call) {
  if (call.deadline <= this->loop.now() || this->daemons.empty()) {
    return;
  }
  auto chosen = this->daemons.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(
                           this->random.Below(this->daemons.size())));
  if (chosen->second.replicas.empty()) {
    return;
  }
  const auto& load =
      chosen->second
          .replicas[this->random.Below(chosen->second.replicas.size())];
  const std::string attempt = this->own_name + "-" +
                              std::to_string(this->state.incarnation) + "-" +
                              std::to_string(this->next_attempt++);
  call.daemon = chosen->first;
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      call.deadline - this->loop.now());
  const messages::Execute execute{
      .attempt = attempt,
      .request = call.request,
      .kind = messages::WorkKind::kOnline,
      .endpoint = load.endpoint,
      .replica = load.replica,
      .model = "proof",
      .prompt = call.prompt,
      .max_tokens = call.tokens,
      .repeatable = call.is_repeatable,
      .patience_ms = static_cast<std::uint32_t>(remaining.count())};
  if (this->sender(call.daemon, {.execute = execute})) {
    // A connection never delivers a message twice, but a peer may send the same
    // message again.
    if (this->random.Chance(0.05)) {
      this->sender(call.daemon, {.execute = execute});
    }
    this->online_requests[attempt] = std::move(call);
  }
}

void EntryNode::RevokeExpiredRequests() {
  for (auto& [attempt, call] : this->online_requests) {
    if (call.is_revoked || call.deadline > this->loop.now()) {
      continue;
    }
    call.is_revoked = true;
    const std::uint64_t correlation = this->next_correlation++;
    this->pending_revokes[correlation] = attempt;
    this->sender(call.daemon, {.revoke = messages::Revoke{.attempt = attempt},
                               .correlation = correlation});
  }
}

void EntryNode::Submit(const std::string& job,
                       const std::vector<InvariantChecker::Item>& items) {
  auto& partition = *this->partitions[PartitionOf(job, this->partition_count)];
  this->checker.AddJob(job, items);
  this->Add(partition, MakeEnvelope(records::JobBegin{
                           .job = job, .workspace = "mats", .model = "proof"}));
  for (std::uint32_t i = 0; i < items.size(); ++i) {
    this->Add(partition, MakeEnvelope(records::JobItems{
                             .job = job,
                             .items = {{.index = i,
                                        .prompt = items[i].prompt,
                                        .max_tokens = items[i].max_tokens}}}));
  }
  this->Add(
      partition,
      MakeEnvelope(records::JobCommit{
          .job = job, .item_count = static_cast<std::uint32_t>(items.size())}),
      [this, job](std::uint64_t offset) {
        this->pending_acknowledgements.push_back(
            {.offset = offset, .job = job});
      });
}

void EntryNode::Cancel(const std::string& job) {
  auto& partition = *this->partitions[PartitionOf(job, this->partition_count)];
  this->Add(partition, MakeEnvelope(records::JobCancel{.job = job}),
            [this, job](std::uint64_t offset) {
              this->pending_acknowledgements.push_back(
                  {.offset = offset, .job = job, .is_cancel = true});
            });
}

void EntryNode::ReadRules() {
  this->is_reading_rules = true;
  this->log.Read(
      this->state, kRulesStream, this->rules->next_offset(), kPageRecords,
      [this](const auto& page) {
        this->is_reading_rules = false;
        this->next_rules_read = this->loop.now() + kRulesReadInterval;
        if (!page) {
          return;
        }
        const std::uint64_t before = this->rules->version();
        this->rules->Apply(*page);
        if (this->rules->version() == before) {
          return;
        }
        this->checker.OnRulesVersion(this->own_name, this->state.incarnation,
                                     this->rules->version());
        for (const auto& [daemon, view] : this->daemons) {
          this->sender(daemon, {.rules = messages::RulesPush{
                                    .version = this->rules->version(),
                                    .text = this->rules->text()}});
        }
      });
}

}  // namespace crocus
