#include "Gateway/batch_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibAsyncHttp/http_status.h"
#include "LibCore/random.h"
#include "LibEvents/event_log.h"
#include "LibServing/token_limit.h"
#include "platform/request_headers.h"

namespace crocus {

namespace {

/// Topic of the system's persistent state: jobs, final states of items and peer
/// addresses. All hosts read it.
const std::string kStateTopic = "keyed.crocus";
/// Topics of bodies and texts, and of the progress of items. A host reads their
/// records on need.
const std::string kDataTopic = "keyed.crocus.data";
const std::string kProgressTopic = "keyed.crocus.progress";
/// Topic without records. The store assigns its partitions to hosts, and each
/// partition represents a part of the batch jobs.
const std::string kAssignmentTopic = "crocus.work";
const std::string kGroup = "crocus.batch";
constexpr std::string_view kPeerPrefix = "peer/";
/// Separates the host name and the availability zone in the record of a peer
/// address. Earlier versions wrote the host name only.
constexpr char kPeerFieldSeparator = ' ';

/// Interval of the checks for pending reads whose wait is over.
constexpr Duration kPendingReadCheckInterval = std::chrono::milliseconds(50);
/// Greatest age of the job table at which items are started from it. A read of
/// the log waits up to 1 s for records, and the platform requires that no item
/// of an ended job reaches a replica more than 3 s after the end.
constexpr Duration kMaximumJobTableAgeToStart = std::chrono::milliseconds(2000);
/// Time after which a caller should repeat a submission or call that was
/// refused.
constexpr Duration kRefusalRetryAfter = std::chrono::milliseconds(700);
/// Time for which the recorded progress of a new partition is tried to read.
/// Then its items run without: their earlier work is repeated.
constexpr Duration kProgressReadTime = std::chrono::milliseconds(2000);
constexpr Duration kProgressPageTimeout = std::chrono::milliseconds(1000);
constexpr Duration kProgressRetryDelay = std::chrono::milliseconds(200);
/// Results in one response at most.
constexpr std::size_t kMaximumResults = 24;
/// Bytes of the id of a workspace's job at most. A key of the store has at most
/// 255 bytes and contains the id, the workspace, and up to 50 bytes more.
constexpr std::size_t kMaximumJobIdBytes = 160;
/// Records of a job are kept for this long after the retention of its results,
/// since the clocks of hosts differ by up to 6 s. It must be longer than that
/// and kReservationUse together: until then, another copy of the submission may
/// be appended.
constexpr Duration kExpiryMargin = std::chrono::seconds(30);

/// The availability zone in the record of a peer address; empty if there is
/// none.
std::string ZoneOfPeerRecord(const std::string& value) {
  const auto separator = value.rfind(kPeerFieldSeparator);
  return separator == std::string::npos ? std::string()
                                        : value.substr(separator + 1);
}

}  // namespace

BatchService::BatchService(ForwardingContext& context,
                           platform::StoreClient& store,
                           const PeerItems& peer_items,
                           ConfigSource config,
                           BatchServiceOptions options)
    : loop(context.loop),
      store(store),
      config(config),
      options(std::move(options)),
      writer(context.loop,
             store,
             {.topic = kStateTopic,
              .data_topic = kDataTopic,
              .progress_topic = kProgressTopic,
              .partitions = this->options.partitions,
              .record_bytes = this->options.record_bytes,
              .call_bytes = this->options.call_bytes,
              .writer = MakeIdentifier("w").substr(0, 14)}),
      data_reader(context.loop, store, {.topic = kDataTopic}),
      batch_runner(context,
                   this->job_table,
                   peer_items,
                   this->writer,
                   this->data_reader,
                   config,
                   [this] { return this->may_start_items(); }),
      follower(
          context.loop,
          store,
          {.topic = kStateTopic,
           .on_snapshot =
               [this](const auto& records) {
                 for (const auto& record : records) {
                   this->OnRecord(record);
                 }
                 this->AnnounceOwnAddress();
               },
           .on_record = [this](const auto& record) { this->OnRecord(record); },
           .on_unavailable = [] {},
           .on_recovered = [] {}}),
      join_timer(context.loop),
      pending_read_timer(context.loop) {
  this->membership = {.group = kGroup,
                      // A restarted process joins as a new member, so that it
                      // does not inherit the partitions of its predecessor.
                      .member = this->options.host_name + "-" +
                                MakeIdentifier("m").substr(0, 10),
                      .topic = kAssignmentTopic,
                      .time_to_live = this->options.member_lifetime};
}

void BatchService::Start() {
  this->follower.Start();
  this->batch_runner.Start();
  this->JoinGroup();
  this->SchedulePendingReadCheck();
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
    const std::string& value = this->announced_peers[address] =
        record.value.value_or("");
    this->options.on_peer(address, ZoneOfPeerRecord(value));
    return;
  }
  if (const auto applied = this->job_table.Apply(
          record, {.applied = BootTimeNow(),
                   .appended_after = this->follower.current_as_of()});
      !applied) {
    LogEvent(Event::kBatchRecordRejected,
             {{"key", record.key},
              {"offset", std::to_string(record.offset)},
              {"reason", applied.error().message}});
    return;
  }
  const auto first = record.key.find('/');
  const auto second = record.key.find('/', first + 1);
  this->RespondToPendingReads(record.key.substr(first + 1, second - first - 1));
}

void BatchService::AnnounceOwnAddress() {
  const std::string value = this->options.host_name + kPeerFieldSeparator +
                            this->options.availability_zone;
  if (const auto found = this->announced_peers.find(this->options.peer_address);
      found != this->announced_peers.end() && found->second == value) {
    return;
  }
  this->store.Append(
      {.topic = kStateTopic},
      {{.key = std::string(kPeerPrefix) + this->options.peer_address,
        .value = value}},
      [](auto reply) {
        if (!reply) {
          // Peers also obtain the address from this host's reports.
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
         (this->follower.is_unavailable() ||
          BootTimeNow() - as_of < kMaximumJobTableAgeToStart);
}

bool BatchService::is_job_table_current() const {
  return this->follower.has_snapshot() &&
         BootTimeNow() - this->follower.current_as_of() <
             this->options.maximum_job_table_age + std::chrono::seconds(1);
}

void BatchService::HandleSubmission(
    const std::shared_ptr<ServerSession>& session,
    const Request& request,
    const Route& route,
    const std::optional<std::string>& workspace) {
  const auto metadata = platform::DecodeRequestMetadata(request.head.fields);
  Submission submission{
      .job = {.job =
                  MakeJobIdentity(workspace.value_or(""), metadata.attempt_id),
              .route = route.name,
              .host = route.host,
              .path = std::string(request.head.path()),
              .submitted_ms = UnixMilliseconds()},
      .workspace = workspace.value_or(""),
      .token_limit = route.waiting_token_limit,
      .deadline = session->request_started() + CallerTimeout(route, metadata)};
  auto items = platform::DecodeSubmission(request.body);
  if (!items || !IsJobId(metadata.attempt_id) ||
      (!submission.workspace.empty() &&
       metadata.attempt_id.size() > kMaximumJobIdBytes)) {
    this->FinishSubmission(
        session, submission, http_status::kBadRequest,
        items ? "missing or invalid job id" : items.error().message);
    return;
  }
  submission.items = items->size();
  for (auto& item : *items) {
    submission.tokens += item.spec.tokens;
    if (workspace) {
      platform::RemoveCallerIdentity(item.spec.fields);
    }
  }
  if (this->is_job_table_current()) {
    this->Submit(session, std::move(submission), std::move(*items));
    return;
  }
  // With an outdated job table, a job that another host has accepted could be
  // accepted again, or too many tokens could wait.
  this->follower.CatchUp([this, session, submission = std::move(submission),
                          items = std::move(*items)](bool is_caught_up) {
    if (!is_caught_up) {
      this->FinishSubmission(session, submission, http_status::kUnavailable,
                             "store unavailable");
      return;
    }
    this->Submit(session, submission, items);
  });
}

TokenRequest BatchService::DescribeTokens(const std::string& route,
                                          const std::string& workspace,
                                          std::uint64_t limit,
                                          std::uint64_t tokens) const {
  const auto reserved = this->reserved_tokens.find({workspace, route});
  const std::uint64_t appending =
      reserved == this->reserved_tokens.end() ? 0 : reserved->second;
  return {.limit = limit,
          .waiting = this->job_table.OpenTokens(route, workspace),
          .reserved = appending + this->job_table.reservations().PendingTokens(
                                      workspace, route, BootTimeNow()),
          .tokens = tokens,
          .has_workspace = !workspace.empty()};
}

void BatchService::Submit(const std::shared_ptr<ServerSession>& session,
                          Submission submission,
                          std::vector<platform::SubmittedItem> items) {
  const std::string& identity = submission.job.job;
  if (this->job_table.Find(identity) != nullptr) {
    this->FinishSubmission(session, submission, http_status::kAccepted,
                           "known");
    return;
  }
  if (this->submitting_jobs.contains(identity)) {
    // The job is being appended for an earlier copy of the submission, and it
    // is not known yet whether it will be accepted.
    this->FinishSubmission(session, submission, http_status::kGatewayTimeout,
                           "in progress");
    return;
  }
  const auto decision = DecideOnTokens(
      this->DescribeTokens(submission.job.route, submission.workspace,
                           submission.token_limit, submission.tokens));
  if (decision == TokenDecision::kRefuse) {
    this->FinishSubmission(session, submission, http_status::kTooManyRequests,
                           "token limit");
    return;
  }
  this->reserved_tokens[{submission.workspace, submission.job.route}] +=
      submission.tokens;
  this->submitting_jobs.insert(identity);
  submission.job.tag = this->writer.NextTag();
  const auto pending = std::make_shared<PendingSubmission>(
      PendingSubmission{.session = session,
                        .submission = std::move(submission),
                        .items = std::move(items)});
  if (decision == TokenDecision::kReserve) {
    this->Reserve(pending);
  } else {
    this->AppendSubmission(pending);
  }
}

std::string BatchService::PendingSubmission::ReservationKey() const {
  return crocus::ReservationKey(this->submission.job.job,
                                this->submission.job.tag);
}

TimePoint BatchService::PendingSubmission::DecisionDeadline() const {
  return std::min(this->submission.deadline,
                  this->reserved_at.value_or(TimePoint{}) + kReservationUse);
}

void BatchService::Reserve(const std::shared_ptr<PendingSubmission>& pending) {
  const Submission& submission = pending->submission;
  pending->reserved_at = BootTimeNow();
  this->writer.AppendReservation(
      {.workspace = submission.workspace,
       .route = submission.job.route,
       .job = submission.job.job,
       .tag = submission.job.tag,
       .tokens = submission.tokens,
       .limit = submission.token_limit},
      pending->DecisionDeadline(), [this, pending](auto result) {
        if (result) {
          this->DecideOnReservation(pending);
        } else {
          this->FinishPending(*pending, http_status::kUnavailable,
                              result.error().message);
        }
      });
}

void BatchService::DecideOnReservation(
    const std::shared_ptr<PendingSubmission>& pending) {
  if (this->job_table.Find(pending->submission.job.job) != nullptr) {
    // Another copy of the submission was accepted. The reservation ends with
    // the job's record.
    this->FinishPending(*pending, http_status::kAccepted, "known");
    return;
  }
  if (const auto fits =
          this->job_table.reservations().Fits(pending->ReservationKey())) {
    this->ReleaseTokens(*pending);
    if (*fits) {
      this->AppendSubmission(pending);
    } else {
      this->RefuseReserved(pending, http_status::kTooManyRequests,
                           "token limit");
    }
    return;
  }
  if (BootTimeNow() >= pending->DecisionDeadline()) {
    this->RefuseReserved(pending, http_status::kUnavailable,
                         "store unavailable");
    return;
  }
  this->follower.CatchUp([this, pending](bool is_caught_up) {
    if (is_caught_up &&
        (this->job_table.Find(pending->submission.job.job) != nullptr ||
         this->job_table.reservations().Fits(pending->ReservationKey()))) {
      this->DecideOnReservation(pending);
      return;
    }
    if (is_caught_up) {
      // A snapshot has taken the place of the log since the append.
      this->RefuseReserved(pending, http_status::kUnavailable,
                           "reservation not in the log");
      return;
    }
    const auto wait = std::make_shared<boost::asio::steady_timer>(
        this->loop, kReservationRetryDelay);
    wait->async_wait([this, pending, wait](const auto& error) {
      if (!error) {
        this->DecideOnReservation(pending);
      }
    });
  });
}

void BatchService::RefuseReserved(
    const std::shared_ptr<PendingSubmission>& pending,
    std::uint32_t status,
    const std::string& outcome) {
  this->writer.DeleteKeys({pending->ReservationKey()});
  this->FinishPending(*pending, status, outcome);
}

void BatchService::AppendSubmission(
    const std::shared_ptr<PendingSubmission>& pending) {
  JobOwner owner{.workspace = pending->submission.workspace};
  if (pending->reserved_at) {
    owner.give_up_at = *pending->reserved_at + kReservationUse;
  }
  this->writer.AppendJob(
      pending->submission.job, std::exchange(pending->items, {}),
      std::move(owner), [this, pending](auto result) {
        if (result) {
          this->FinishPending(*pending, http_status::kAccepted, "accepted");
        } else if (result.error().verdict != Verdict::kNotRun) {
          // The job's record may be in the store, so its reservation stays.
          this->FinishPending(*pending, http_status::kGatewayTimeout,
                              result.error().message);
        } else if (pending->reserved_at) {
          this->RefuseReserved(pending, http_status::kUnavailable,
                               result.error().message);
        } else {
          this->FinishPending(*pending, http_status::kUnavailable,
                              result.error().message);
        }
      });
}

void BatchService::ReleaseTokens(PendingSubmission& pending) {
  if (std::exchange(pending.holds_tokens, false)) {
    const Submission& submission = pending.submission;
    this->reserved_tokens[{submission.workspace, submission.job.route}] -=
        submission.tokens;
  }
}

void BatchService::FinishPending(PendingSubmission& pending,
                                 std::uint32_t status,
                                 const std::string& outcome) {
  this->ReleaseTokens(pending);
  this->submitting_jobs.erase(pending.submission.job.job);
  this->FinishSubmission(pending.session, pending.submission, status, outcome);
}

void BatchService::FinishSubmission(
    const std::shared_ptr<ServerSession>& session,
    const Submission& submission,
    std::uint32_t status,
    const std::string& outcome) {
  const bool is_refusal = status == http_status::kTooManyRequests ||
                          status == http_status::kUnavailable;
  session->Respond(
      status,
      is_refusal ? platform::RefusalFields(kRefusalRetryAfter) : HeaderFields(),
      status == http_status::kBadRequest ? outcome + "\n" : "");
  LogEvent(
      Event::kJobSubmissionEnded,
      {{"request", JobIdOf(submission.job.job)},
       {"route", submission.job.route},
       {"workspace", submission.workspace},
       {"outcome", outcome},
       {"status", std::to_string(status)},
       {"items", std::to_string(submission.items)},
       {"tokens", std::to_string(submission.tokens)},
       {"waiting_tokens", std::to_string(this->job_table.OpenTokens(
                              submission.job.route, submission.workspace))},
       {"limit", std::to_string(submission.token_limit)},
       {"total_ms",
        MillisecondsText(BootTimeNow() - session->request_started())}});
}

void BatchService::HandleCall(const std::shared_ptr<ServerSession>& session,
                              platform::BatchCall call,
                              const BatchCaller& caller) {
  call.job = MakeJobIdentity(caller.workspace, call.job);
  if (call.kind == platform::BatchCallKind::kEndJob) {
    this->EndJob(session, call, caller);
    return;
  }
  if (this->job_table.Find(call.job) != nullptr &&
      this->RespondToCall(session, call)) {
    return;
  }
  // Only a read to the present end of the topic can show that there is no such
  // job.
  this->CatchUpFor(caller, [this, session, call, caller](bool is_caught_up) {
    if (!is_caught_up) {
      this->RespondUnavailable(session, call);
    } else if (!this->RespondToCall(session, call)) {
      caller.on_unknown_job();
    }
  });
}

void BatchService::CatchUpFor(const BatchCaller& caller,
                              std::function<void(bool)> on_done) {
  if (!caller.may_have_new_jobs && this->is_job_table_current()) {
    on_done(true);
    return;
  }
  this->follower.CatchUp(std::move(on_done));
}

bool BatchService::RespondToCall(const std::shared_ptr<ServerSession>& session,
                                 const platform::BatchCall& call) {
  const BatchJobEntry* job = this->job_table.Find(call.job);
  if (job == nullptr) {
    return false;
  }
  if (call.kind == platform::BatchCallKind::kReadBody) {
    this->RespondWithBody(session, call, *job);
  } else {
    this->RespondToRead(session, call, *job);
  }
  return true;
}

void BatchService::RespondWithBody(
    const std::shared_ptr<ServerSession>& session,
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
  const auto respond = [session](const std::string& body) {
    session->Respond(http_status::kOk,
                     HeaderFields::WithContentType("application/octet-stream"),
                     body);
  };
  if (found->stored_body.parts == 0) {
    respond(found->body);
    return;
  }
  this->data_reader.Read(
      found->stored_body,
      BodyKeyPrefix(call.job, job.record.tag,
                    static_cast<std::size_t>(found - job.items.begin())),
      [this, session, call, respond](auto body) {
        if (body) {
          respond(*body);
          return;
        }
        // The body of an item that has just been finished is deleted. A later
        // call finds the item's final state.
        LogEvent(Event::kBatchDataReadFailed,
                 {{"request", call.item},
                  {"job", JobIdOf(call.job)},
                  {"data", "body"},
                  {"reason", body.error().message}});
        this->RespondUnavailable(session, call);
      });
}

void BatchService::RespondToRead(const std::shared_ptr<ServerSession>& session,
                                 const platform::BatchCall& call,
                                 const BatchJobEntry& job) {
  const bool has_results = job.finished_items.size() > call.first_position;
  const bool is_closed = job.finished_items.size() == job.items.size();
  if (!has_results && !is_closed && call.wait > Duration::zero()) {
    auto pending_read = std::make_shared<PendingRead>(
        PendingRead{.session = session,
                    .call = call,
                    .deadline = BootTimeNow() + call.wait});
    pending_read->call.wait = Duration::zero();
    this->pending_reads[call.job].push_back(pending_read);
    session->set_on_disconnect([this, pending_read] {
      this->pending_reads[pending_read->call.job].remove(pending_read);
    });
    return;
  }
  if (!has_results && !is_closed && !this->is_job_table_current()) {
    this->RespondUnavailable(session, call);
    return;
  }
  this->RespondWithResults(session, call, job);
}

void BatchService::RespondWithResults(
    const std::shared_ptr<ServerSession>& session,
    const platform::BatchCall& call,
    const BatchJobEntry& job) {
  struct PendingPage {
    platform::BatchResultPage page;
    /// Results without their text so far.
    std::set<std::size_t> missing;
    std::size_t reads = 0;
  };
  const auto pending = std::make_shared<PendingPage>();
  pending->page = {.total = job.items.size(),
                   .first_position = call.first_position};
  struct TextRead {
    std::size_t result = 0;
    records::DataPlace place;
    std::string key_prefix;
  };
  std::vector<TextRead> reads;
  std::uint64_t bytes = 0;
  for (std::uint64_t position = call.first_position;
       position < job.finished_items.size() &&
       pending->page.results.size() < kMaximumResults;
       ++position) {
    const std::uint32_t index = job.finished_items[position];
    const BatchItemEntry& item = job.items[index];
    bytes += item.text.size() + item.stored_text.bytes;
    if (bytes > platform::kResultPageBytes && !pending->page.results.empty()) {
      break;
    }
    if (item.stored_text.parts > 0) {
      reads.push_back(
          {.result = pending->page.results.size(),
           .place = item.stored_text,
           .key_prefix = TextKeyPrefix(call.job, index, item.text_writer)});
    }
    pending->page.results.push_back(
        {.id = item.spec.id,
         .is_completed = item.state == ItemState::kCompleted,
         .text = item.text});
  }
  // Each text is held as it was read, then as JSON.
  if (!session->ReserveResponse(2 * bytes)) {
    this->RespondUnavailable(session, call);
    return;
  }
  const auto finish = [this, session, call, pending] {
    // Results before the first missing text are returned. The caller reads on
    // from there.
    if (!pending->missing.empty()) {
      pending->page.results.resize(*pending->missing.begin());
      if (pending->page.results.empty()) {
        this->RespondUnavailable(session, call);
        return;
      }
    }
    session->Respond(http_status::kOk,
                     HeaderFields::WithContentType("application/json"),
                     platform::EncodeResults(pending->page));
  };
  if (reads.empty()) {
    finish();
    return;
  }
  pending->reads = reads.size();
  for (const auto& read : reads) {
    this->data_reader.Read(
        read.place, read.key_prefix,
        [pending, finish, result = read.result, job_id = call.job](auto text) {
          if (text) {
            pending->page.results[result].text = std::move(*text);
          } else {
            pending->missing.insert(result);
            LogEvent(Event::kBatchDataReadFailed,
                     {{"request", pending->page.results[result].id},
                      {"job", JobIdOf(job_id)},
                      {"data", "text"},
                      {"reason", text.error().message}});
          }
          if (--pending->reads == 0) {
            finish();
          }
        });
  }
}

void BatchService::RespondToPendingReads(const std::string& job) {
  const auto found = this->pending_reads.find(job);
  const BatchJobEntry* job_entry = this->job_table.Find(job);
  if (found == this->pending_reads.end() || job_entry == nullptr) {
    return;
  }
  PendingReads ready;
  for (const auto& pending_read : found->second) {
    if (job_entry->finished_items.size() > pending_read->call.first_position) {
      ready.push_back(pending_read);
    }
  }
  for (const auto& pending_read : ready) {
    found->second.remove(pending_read);
    this->RespondToRead(pending_read->session, pending_read->call, *job_entry);
  }
}

void BatchService::SchedulePendingReadCheck() {
  this->pending_read_timer.expires_after(kPendingReadCheckInterval);
  this->pending_read_timer.async_wait([this](const auto& error) {
    // Goes on after Stop: reads that wait are still answered.
    if (!error) {
      this->RespondToExpiredReads();
      this->SchedulePendingReadCheck();
    }
  });
}

void BatchService::RespondToExpiredReads() {
  const TimePoint now = BootTimeNow();
  PendingReads expired_reads;
  for (const auto& [job, list] : this->pending_reads) {
    for (const auto& pending_read : list) {
      if (pending_read->deadline <= now) {
        expired_reads.push_back(pending_read);
      }
    }
  }
  for (const auto& pending_read : expired_reads) {
    this->pending_reads[pending_read->call.job].remove(pending_read);
    if (!this->RespondToCall(pending_read->session, pending_read->call)) {
      this->RespondUnavailable(pending_read->session, pending_read->call);
    }
  }
  std::erase_if(this->pending_reads,
                [](const auto& entry) { return entry.second.empty(); });
}

void BatchService::RespondUnavailable(
    const std::shared_ptr<ServerSession>& session,
    const platform::BatchCall& call) {
  LogEvent(Event::kJobReadRefused,
           {{"request", JobIdOf(call.job)},
            {"reason", "store unavailable"},
            {"age_ms", MillisecondsText(BootTimeNow() -
                                        this->follower.current_as_of())}});
  session->Respond(http_status::kUnavailable,
                   platform::RefusalFields(kRefusalRetryAfter), "");
}

void BatchService::EndJob(const std::shared_ptr<ServerSession>& session,
                          const platform::BatchCall& call,
                          const BatchCaller& caller) {
  const BatchJobEntry* job = this->job_table.Find(call.job);
  if (job == nullptr) {
    this->CatchUpFor(caller, [this, session, call, caller](bool is_caught_up) {
      if (this->job_table.Find(call.job) != nullptr) {
        this->EndJob(session, call, caller);
      } else if (is_caught_up) {
        caller.on_unknown_job();
      } else {
        this->RespondUnavailable(session, call);
      }
    });
    return;
  }
  if (job->is_ended) {
    session->Respond(http_status::kOk, {}, "");
    return;
  }
  this->writer.AppendJobEnd(call.job, [session](auto result) {
    if (result) {
      session->Respond(http_status::kOk, {}, "");
    } else if (result.error().verdict == Verdict::kNotRun) {
      session->Respond(http_status::kUnavailable,
                       platform::RefusalFields(kRefusalRetryAfter), "");
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
                  {"since_ms", MillisecondsText(now - this->last_join)}});
      }
      this->ScheduleJoin();
      return;
    }
    this->is_join_failing = false;
    this->last_join = now;
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
      this->TakePartitions(partitions);
    }
    this->DeleteExpiredReservations();
    this->DeleteExpiredJobs();
    this->ScheduleJoin();
  });
}

void BatchService::TakePartitions(const std::set<std::uint32_t>& assigned) {
  this->assigned_partitions = assigned;
  std::erase_if(this->loaded_partitions, [&assigned](std::uint32_t partition) {
    return !assigned.contains(partition);
  });
  this->batch_runner.SetPartitions(this->loaded_partitions,
                                   this->options.partitions);
  for (const std::uint32_t partition : assigned) {
    if (!this->loaded_partitions.contains(partition)) {
      this->LoadProgress(partition, "", BootTimeNow() + kProgressReadTime);
    }
  }
}

void BatchService::LoadProgress(std::uint32_t partition,
                                const std::string& after_key,
                                TimePoint give_up_at) {
  this->store.ReadNewest(
      {.topic = kProgressTopic, .partition = partition}, after_key,
      kProgressPageTimeout,
      [this, partition, after_key, give_up_at](auto page) {
        if (this->is_stopped ||
            !this->assigned_partitions.contains(partition)) {
          return;
        }
        if (!page) {
          LogEvent(
              Event::kBatchDataReadFailed,
              {{"data", "progress of partition " + std::to_string(partition)},
               {"reason", page.error().message}});
        }
        // Progress is of use only for jobs that this host knows.
        if (!page || !this->follower.has_snapshot()) {
          if (page || BootTimeNow() < give_up_at) {
            const auto wait = std::make_shared<boost::asio::steady_timer>(
                this->loop, kProgressRetryDelay);
            wait->async_wait([this, partition, after_key, give_up_at,
                              wait](const auto& error) {
              if (!error && !this->is_stopped) {
                this->LoadProgress(partition, after_key, give_up_at);
              }
            });
            return;
          }
          this->OnProgressLoaded(partition);
          return;
        }
        for (const auto& record : page->records) {
          if (const auto applied =
                  this->job_table.ApplyProgress(record.value.value_or(""));
              !applied) {
            LogEvent(Event::kBatchRecordRejected,
                     {{"key", record.key},
                      {"offset", std::to_string(record.offset)},
                      {"reason", applied.error().message}});
          }
        }
        if (page->has_more && !page->last_key.empty()) {
          this->LoadProgress(partition, page->last_key, give_up_at);
          return;
        }
        this->OnProgressLoaded(partition);
      });
}

void BatchService::OnProgressLoaded(std::uint32_t partition) {
  if (this->loaded_partitions.insert(partition).second) {
    this->batch_runner.SetPartitions(this->loaded_partitions,
                                     this->options.partitions);
  }
}

void BatchService::ScheduleJoin() {
  // Two calls in succession may fail before the store removes this member.
  this->join_timer.expires_after(this->options.member_lifetime / 3);
  this->join_timer.async_wait([this](const auto& error) {
    if (!error && !this->is_stopped) {
      this->JoinGroup();
    }
  });
}

void BatchService::DeleteExpiredReservations() {
  for (const auto& [key, reservation] :
       this->job_table.reservations().ExpiredAt(BootTimeNow())) {
    if (!this->batch_runner.OwnsJob(reservation.job)) {
      continue;
    }
    LogEvent(Event::kTokenReservationExpired,
             {{"request", JobIdOf(reservation.job)},
              {"route", reservation.route},
              {"workspace", reservation.workspace},
              {"tokens", std::to_string(reservation.tokens)}});
    this->writer.DeleteKeys({key});
  }
}

void BatchService::DeleteExpiredJobs() {
  const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->options.result_retention + kExpiryMargin);
  const std::int64_t oldest = UnixMilliseconds() - retention.count();
  for (const auto& [id, job] : this->job_table.jobs()) {
    const bool is_open =
        !job.is_ended && job.finished_items.size() < job.items.size();
    if (job.record.submitted_ms < oldest && !is_open &&
        this->batch_runner.OwnsJob(id)) {
      std::vector<std::string> data_keys;
      for (std::size_t i = 0; i < job.items.size(); ++i) {
        const BatchItemEntry& item = job.items[i];
        const auto add = [&data_keys](const std::string& prefix,
                                      std::uint32_t parts) {
          for (std::uint32_t part = 0; part < parts; ++part) {
            data_keys.push_back(prefix + std::to_string(part));
          }
        };
        add(BodyKeyPrefix(id, job.record.tag, i), item.stored_body.parts);
        add(TextKeyPrefix(id, i, item.text_writer), item.stored_text.parts);
      }
      this->writer.DeleteData(id, data_keys);
      this->writer.DeleteKeys(this->job_table.KeysOf(id));
      // Deletes at most one job after each join.
      return;
    }
  }
}

}  // namespace crocus
