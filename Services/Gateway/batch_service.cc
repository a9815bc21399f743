#include "Gateway/batch_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibAsyncHttp/http_status.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "platform/request_headers.h"

namespace crocus {

namespace {

/// Topic of the system's lasting state: jobs, results and peer addresses.
const std::string kTopic = "keyed.crocus";
/// Topic whose partitions stand for parts of the batch jobs. It has no records.
const std::string kWorkTopic = "crocus.work";
const std::string kGroup = "crocus.batch";
constexpr std::string_view kPeerPrefix = "peer/";

/// Waiting reads are looked at this often for those whose wait is over.
constexpr Duration kWaitTick = std::chrono::milliseconds(50);
/// Age of the board up to which items are started by it. A read of the log
/// waits up to 1 s for records; an ended job's items must not reach a replica
/// 3 s after the end (`cancel_ms`).
constexpr Duration kBoardAge = std::chrono::milliseconds(2000);
/// When a caller should send a submission again that was refused.
constexpr Duration kSubmitRetryAfter = std::chrono::milliseconds(700);
/// Lasting records outlive the readable time by this much, since clocks of
/// hosts differ.
constexpr Duration kExpiryMargin = std::chrono::seconds(30);

}  // namespace

BatchService::BatchService(ForwardingContext& context,
                           platform::StoreClient& store,
                           const PeerItems& peer_items,
                           ConfigSource config,
                           BatchServiceOptions options)
    : store(store),
      config(config),
      options(std::move(options)),
      writer(context.loop,
             store,
             {.topic = kTopic,
              .record_bytes = this->options.record_bytes,
              .call_bytes = this->options.call_bytes,
              .writer = MakeIdentifier("w").substr(0, 14)}),
      batch_runner(context,
                   this->job_table,
                   peer_items,
                   this->writer,
                   config,
                   [this] { return this->may_start_items(); }),
      follower(
          context.loop,
          store,
          {.topic = kTopic,
           .on_snapshot =
               [this](const auto& records) {
                 for (const auto& record : records) {
                   this->OnRecord(record);
                 }
                 this->AnnouncePeer();
               },
           .on_record = [this](const auto& record) { this->OnRecord(record); },
           .on_lost = [] {},
           .on_regained = [] {}}),
      join_timer(context.loop),
      wait_timer(context.loop) {
  this->membership = {.group = kGroup,
                      // A restarted process is another member, so that it does
                      // not inherit what its predecessor was dealt.
                      .member = this->options.host_name + "-" +
                                MakeIdentifier("m").substr(0, 10),
                      .topic = kWorkTopic,
                      .time_to_live = this->options.member_life};
}

void BatchService::Start() {
  this->follower.Start();
  this->batch_runner.Start();
  this->JoinGroup();
  this->ScheduleDueWaiters();
}

void BatchService::Stop() {
  this->is_stopped = true;
  this->join_timer.cancel();
  this->batch_runner.StopStarting();
  this->store.Leave(this->membership, [] {});
}

void BatchService::OnRecord(const KeyedRecord& record) {
  if (record.key.rfind(kPeerPrefix, 0) == 0) {
    const std::string address = record.key.substr(kPeerPrefix.size());
    this->announced_peers.insert(address);
    this->options.on_peer(address);
    return;
  }
  if (const auto applied = this->job_table.Apply(record); !applied) {
    LogEvent(Event::kBatchRecordRejected,
             {{"key", record.key},
              {"offset", std::to_string(record.offset)},
              {"reason", applied.error().message}});
    return;
  }
  const auto first = record.key.find('/');
  const auto second = record.key.find('/', first + 1);
  this->AnswerWaiters(record.key.substr(first + 1, second - first - 1));
}

void BatchService::AnnouncePeer() {
  if (this->announced_peers.contains(this->options.peer_address)) {
    return;
  }
  this->store.Append(
      kTopic,
      {{.key = std::string(kPeerPrefix) + this->options.peer_address,
        .value = this->options.host_name}},
      [](auto reply) {
        if (!reply) {
          // Peers learn the address from this host's reports as well.
          LogEvent(Event::kBatchAppendFailed,
                   {{"records", "peer"},
                    {"reason", reply.error().message},
                    {"verdict", std::string(ToString(reply.error().verdict))}});
        }
      });
}

bool BatchService::may_start_items() const {
  const TimePoint as_of = this->follower.current_as_of();
  return as_of != TimePoint{} &&
         (this->follower.is_lost() || BootTimeNow() - as_of < kBoardAge);
}

bool BatchService::is_current() const {
  return this->follower.has_snapshot() &&
         BootTimeNow() - this->follower.current_as_of() <
             this->options.current_window + std::chrono::seconds(1);
}

void BatchService::HandleSubmission(
    const std::shared_ptr<ServerSession>& session,
    const Request& request,
    const Route& route) {
  const auto metadata = platform::DecodeRequestMetadata(request.head.fields);
  records::BatchJobAccepted job{.job = metadata.attempt_id,
                                .route = route.name,
                                .host = route.host,
                                .path = std::string(request.head.path()),
                                .submitted_ms = UnixMilliseconds()};
  auto items = platform::DecodeSubmission(request.body);
  if (!items || job.job.empty() || job.job.find('/') != std::string::npos) {
    this->FinishSubmission(session, job, 0, http_status::kBadRequest,
                           items ? "no id" : items.error().message, 0);
    return;
  }
  if (this->is_current()) {
    this->Submit(session, std::move(job), std::move(*items),
                 route.waiting_token_limit);
    return;
  }
  // Without a current view, a job that was accepted elsewhere could be
  // accepted twice, or too many tokens could wait.
  this->follower.CatchUp([this, session, job = std::move(job),
                          items = std::move(*items),
                          limit = route.waiting_token_limit](bool is_current) {
    if (!is_current) {
      this->FinishSubmission(session, job, items.size(),
                             http_status::kUnavailable, "store away", 0);
      return;
    }
    this->Submit(session, job, items, limit);
  });
}

void BatchService::Submit(const std::shared_ptr<ServerSession>& session,
                          records::BatchJobAccepted job,
                          std::vector<platform::SubmittedItem> items,
                          std::uint64_t limit) {
  std::uint64_t tokens = 0;
  for (const auto& item : items) {
    tokens += item.spec.tokens;
  }
  const std::size_t count = items.size();
  if (this->job_table.Find(job.job) != nullptr) {
    this->FinishSubmission(session, job, count, http_status::kAccepted, "known",
                           tokens);
    return;
  }
  if (this->submitting.contains(job.job)) {
    // The other copy may be accepted, so neither refusal nor consent is true.
    this->FinishSubmission(session, job, count, http_status::kGatewayTimeout,
                           "in progress", tokens);
    return;
  }
  auto& reserved = this->reserved_tokens[job.route];
  const std::uint64_t waiting =
      this->job_table.OpenTokens(job.route) + reserved;
  if (limit > 0 && waiting + tokens > limit) {
    this->FinishSubmission(session, job, count, http_status::kTooManyRequests,
                           "token limit", tokens);
    return;
  }
  reserved += tokens;
  this->submitting.insert(job.job);
  records::BatchJobAccepted copy = job;
  this->writer.AppendJob(
      std::move(copy), std::move(items),
      [this, session, job = std::move(job), tokens, count](auto result) {
        this->submitting.erase(job.job);
        this->reserved_tokens[job.route] -= tokens;
        if (result) {
          this->FinishSubmission(session, job, count, http_status::kAccepted,
                                 "accepted", tokens);
        } else if (result.error().verdict == Verdict::kNotRun) {
          this->FinishSubmission(session, job, count, http_status::kUnavailable,
                                 result.error().message, tokens);
        } else {
          this->FinishSubmission(session, job, count,
                                 http_status::kGatewayTimeout,
                                 result.error().message, tokens);
        }
      });
}

void BatchService::FinishSubmission(
    const std::shared_ptr<ServerSession>& session,
    const records::BatchJobAccepted& job,
    std::size_t items,
    std::uint32_t status,
    const std::string& outcome,
    std::uint64_t tokens) {
  const bool is_refusal = status == http_status::kTooManyRequests ||
                          status == http_status::kUnavailable;
  session->Respond(
      status,
      is_refusal ? platform::RefusalFields(kSubmitRetryAfter) : HeaderFields(),
      "");
  LogEvent(Event::kJobSubmissionEnded,
           {{"request", job.job},
            {"route", job.route},
            {"outcome", outcome},
            {"status", std::to_string(status)},
            {"items", std::to_string(items)},
            {"tokens", std::to_string(tokens)},
            {"waiting_tokens",
             std::to_string(this->job_table.OpenTokens(job.route))},
            {"total_ms",
             MillisecondsText(BootTimeNow() - session->request_started())}});
}

void BatchService::HandleCall(const std::shared_ptr<ServerSession>& session,
                              const platform::BatchCall& call) {
  if (call.kind == platform::BatchCallKind::kEndJob) {
    this->EndJob(session, call);
    return;
  }
  if (this->job_table.Find(call.job) != nullptr &&
      this->AnswerCall(session, call)) {
    return;
  }
  // Only a read that reaches the end now can tell that there is no such job.
  this->follower.CatchUp([this, session, call](bool is_current) {
    if (!is_current) {
      this->RefuseUnsure(session, call);
    } else if (!this->AnswerCall(session, call)) {
      session->Respond(http_status::kNotFound, {}, "");
    }
  });
}

bool BatchService::AnswerCall(const std::shared_ptr<ServerSession>& session,
                              const platform::BatchCall& call) {
  const BatchJobEntry* job = this->job_table.Find(call.job);
  if (job == nullptr) {
    return false;
  }
  if (call.kind == platform::BatchCallKind::kReadBody) {
    this->AnswerBody(session, call, *job);
  } else {
    this->AnswerRead(session, call, *job);
  }
  return true;
}

void BatchService::AnswerBody(const std::shared_ptr<ServerSession>& session,
                              const platform::BatchCall& call,
                              const BatchJobEntry& job) {
  const auto found = std::find_if(job.items.begin(), job.items.end(),
                                  [&call](const BatchItemEntry& item) {
                                    return item.spec.id == call.item;
                                  });
  if (found == job.items.end() || found->state != ItemState::kOpen ||
      job.is_ended) {
    session->Respond(http_status::kNotFound, {}, "");
    return;
  }
  session->Respond(http_status::kOk,
                   HeaderFields::WithContentType("application/octet-stream"),
                   found->body);
}

void BatchService::AnswerRead(const std::shared_ptr<ServerSession>& session,
                              const platform::BatchCall& call,
                              const BatchJobEntry& job) {
  const bool has_results = job.finished_items.size() > call.first_position;
  const bool is_closed = job.finished_items.size() == job.items.size();
  if (!has_results && !is_closed && call.wait > Duration::zero()) {
    auto waiter =
        std::make_shared<Waiter>(Waiter{.session = session,
                                        .call = call,
                                        .deadline = BootTimeNow() + call.wait});
    waiter->call.wait = Duration::zero();
    this->waiters[call.job].push_back(waiter);
    session->set_caller_left(
        [this, waiter] { this->waiters[waiter->call.job].remove(waiter); });
    return;
  }
  if (!has_results && !is_closed && !this->is_current()) {
    this->RefuseUnsure(session, call);
    return;
  }
  session->Respond(http_status::kOk,
                   HeaderFields::WithContentType("application/json"),
                   platform::EncodeResults(job, call.first_position));
}

void BatchService::AnswerWaiters(const std::string& job) {
  const auto found = this->waiters.find(job);
  const BatchJobEntry* known = this->job_table.Find(job);
  if (found == this->waiters.end() || known == nullptr) {
    return;
  }
  Waiters ready;
  for (const auto& waiter : found->second) {
    if (known->finished_items.size() > waiter->call.first_position) {
      ready.push_back(waiter);
    }
  }
  for (const auto& waiter : ready) {
    found->second.remove(waiter);
    this->AnswerRead(waiter->session, waiter->call, *known);
  }
}

void BatchService::ScheduleDueWaiters() {
  this->wait_timer.expires_after(kWaitTick);
  this->wait_timer.async_wait([this](const auto& error) {
    if (!error && !this->is_stopped) {
      this->AnswerDueWaiters();
      this->ScheduleDueWaiters();
    }
  });
}

void BatchService::AnswerDueWaiters() {
  const TimePoint now = BootTimeNow();
  Waiters due;
  for (const auto& [job, list] : this->waiters) {
    for (const auto& waiter : list) {
      if (waiter->deadline <= now) {
        due.push_back(waiter);
      }
    }
  }
  for (const auto& waiter : due) {
    this->waiters[waiter->call.job].remove(waiter);
    if (!this->AnswerCall(waiter->session, waiter->call)) {
      this->RefuseUnsure(waiter->session, waiter->call);
    }
  }
  std::erase_if(this->waiters,
                [](const auto& entry) { return entry.second.empty(); });
}

void BatchService::RefuseUnsure(const std::shared_ptr<ServerSession>& session,
                                const platform::BatchCall& call) {
  LogEvent(Event::kJobReadRefused,
           {{"request", call.job},
            {"reason", "store away"},
            {"age_ms", MillisecondsText(BootTimeNow() -
                                        this->follower.current_as_of())}});
  session->Respond(http_status::kUnavailable,
                   platform::RefusalFields(kSubmitRetryAfter), "");
}

void BatchService::EndJob(const std::shared_ptr<ServerSession>& session,
                          const platform::BatchCall& call) {
  const BatchJobEntry* job = this->job_table.Find(call.job);
  if (job == nullptr) {
    this->follower.CatchUp([this, session, call](bool is_current) {
      if (this->job_table.Find(call.job) != nullptr) {
        this->EndJob(session, call);
      } else if (is_current) {
        session->Respond(http_status::kNotFound, {}, "");
      } else {
        this->RefuseUnsure(session, call);
      }
    });
    return;
  }
  if (job->is_ended) {
    session->Respond(http_status::kOk, {}, "");
    return;
  }
  this->writer.AppendEnd(call.job, [session](auto result) {
    if (result) {
      session->Respond(http_status::kOk, {}, "");
    } else if (result.error().verdict == Verdict::kNotRun) {
      session->Respond(http_status::kUnavailable,
                       platform::RefusalFields(kSubmitRetryAfter), "");
    } else {
      session->Respond(http_status::kGatewayTimeout, {}, "");
    }
  });
}

void BatchService::JoinGroup() {
  this->store.Join(this->membership, [this](auto assignment) {
    if (this->is_stopped) {
      return;
    }
    const TimePoint now = BootTimeNow();
    if (!assignment) {
      if (!std::exchange(this->is_join_failing, true)) {
        LogEvent(Event::kGroupJoinFailed,
                 {{"group", kGroup},
                  {"reason", assignment.error().message},
                  {"since_ms", MillisecondsText(now - this->joined)}});
      }
      this->ScheduleJoin();
      return;
    }
    this->is_join_failing = false;
    this->joined = now;
    std::set<std::uint32_t> partitions(assignment->partitions.begin(),
                                       assignment->partitions.end());
    if (assignment->generation != this->membership.generation) {
      std::string text;
      for (const auto partition : partitions) {
        text += (text.empty() ? "" : ",") + std::to_string(partition);
      }
      LogEvent(Event::kBatchPartitionsChanged,
               {{"generation", std::to_string(assignment->generation)},
                {"partitions", text}});
      this->membership.generation = assignment->generation;
      this->batch_runner.SetPartitions(std::move(partitions),
                                       this->options.partitions);
    }
    this->DropExpiredJobs();
    this->ScheduleJoin();
  });
}

void BatchService::ScheduleJoin() {
  // Two calls may be lost before the store takes this member to be gone.
  this->join_timer.expires_after(this->options.member_life / 3);
  this->join_timer.async_wait([this](const auto& error) {
    if (!error && !this->is_stopped) {
      this->JoinGroup();
    }
  });
}

void BatchService::DropExpiredJobs() {
  const auto life = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->options.result_life + kExpiryMargin);
  const std::int64_t oldest = UnixMilliseconds() - life.count();
  for (const auto& [id, job] : this->job_table.jobs()) {
    const bool is_open =
        !job.is_ended && job.finished_items.size() < job.items.size();
    if (job.record.submitted_ms < oldest && !is_open &&
        this->batch_runner.OwnsJob(id)) {
      this->writer.DropKeys(this->job_table.KeysOf(id));
      // One job a call; the next join goes on.
      return;
    }
  }
}

}  // namespace crocus
