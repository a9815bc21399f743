#include "Gateway/replica_attempt.h"

#include <utility>

#include "LibAsyncHttp/http_serialization.h"
#include "LibAsyncHttp/http_status.h"
#include "LibEvents/event_log.h"
#include "LibNetwork/peer_address.h"
#include "platform/request_headers.h"

namespace crocus {

namespace {

/// Time for which a response must have been arriving before its request counts
/// as served. Requests that crash replicas do so as their response begins.
constexpr Duration kServedTime = std::chrono::milliseconds(250);

/// Minimum time over which the pace of events is observed. Events that arrive
/// together, in several reads, say nothing about it.
constexpr Duration kMinimumPaceTime = std::chrono::milliseconds(5);

/// Body bytes of a refusal after which its connection is closed. The head has
/// said all that is needed; a short body is read so that the connection can be
/// used again.
constexpr std::size_t kMaximumRefusalBytes = 16u << 10;

}  // namespace

ReplicaAttempt::ReplicaAttempt(ForwardingContext& context,
                               AttemptOptions options)
    : context(context), options(std::move(options)) {}

ReplicaAttempt::~ReplicaAttempt() {
  this->Release();
}

void ReplicaAttempt::Start() {
  this->start_time = BootTimeNow();
  if (const auto* record =
          this->context.directory.Find(this->options.replica)) {
    this->boot = BootOf(*record);
    this->run = {.endpoint = record->endpoint,
                 .replica = this->options.replica,
                 .work = this->options.work_id};
  }
  const auto address = ParsePeerAddress(this->options.address);
  if (!address) {
    boost::asio::post(this->context.loop, [self = this->shared_from_this(),
                                           reason = address.error().message] {
      self->OnExchangeEnd(ExchangeEnd::kNotConnected, reason);
    });
    return;
  }
  this->endpoint = {address->address, address->port};
  this->is_counted = true;
  this->context.loads.OnSent(this->options.replica, this->options.work);
  this->context.work.Add(this->options.replica, this->Left());
  this->context.on_load_change();
  const auto self = this->shared_from_this();
  ExchangeEvents events{
      .on_head = [self](const auto& head) { return self->OnHead(head); },
      .on_body = [self](auto bytes) { self->OnBody(bytes); },
      .on_end = [self](
                    auto end,
                    const auto& reason) { self->OnExchangeEnd(end, reason); }};
  this->connection = this->context.pool.Start(
      this->options.replica, this->endpoint,
      SerializeRequest(this->options.head, this->options.body),
      std::move(events),
      {.connect_timeout = this->context.connect_timeout,
       .is_head_request = this->options.head.method == "HEAD",
       .needs_new_connection = this->options.is_repeated});
}

HeadDecision ReplicaAttempt::OnHead(const ResponseHead& head) {
  const auto response_metadata =
      platform::DecodeResponseMetadata(head, this->options.attempt_id);
  if (response_metadata.is_mismatched) {
    return HeadDecision::kSkip;
  }
  if (!response_metadata.is_matched && !this->options.attempt_id.empty() &&
      this->connection->is_reused()) {
    // It may be a copy of an earlier response.
    return HeadDecision::kReject;
  }
  if (response_metadata.is_leaving && !response_metadata.is_misdirected) {
    this->OnLeaving();
  }
  if (response_metadata.time_percent.value_or(0) > 0) {
    constexpr double kUsualPercent = 100;
    this->context.speed.Observe(this->options.replica,
                                kUsualPercent / *response_metadata.time_percent,
                                BootTimeNow());
  }
  if (response_metadata.is_not_run) {
    this->refusal_reason =
        "replica returned status " + std::to_string(head.status);
    return HeadDecision::kAccept;
  }
  this->ends_with_connection = head.framing == BodyFraming::kConnectionClose;
  this->is_success =
      http_status::IsSuccess(head.status) && response_metadata.is_signed;
  this->options.on_head(head, response_metadata);
  return HeadDecision::kAccept;
}

void ReplicaAttempt::OnLeaving() {
  const TimePoint now = BootTimeNow();
  if (!this->context.directory.OnLeavingAnnounced(this->boot, now)) {
    return;
  }
  LogEvent(Event::kReplicaLeaving, {{"replica", this->options.replica},
                                    {"state", "began"},
                                    {"reason", "announced in an answer"},
                                    {"age_ms", "0"}});
  this->context.pool.CloseIdle(this->options.replica);
}

void ReplicaAttempt::OnBody(std::string_view bytes) {
  if (this->is_ended) {
    return;
  }
  if (!this->refusal_reason.empty()) {
    this->refusal_bytes += bytes.size();
    if (this->refusal_bytes > kMaximumRefusalBytes) {
      this->connection->Cancel();
      this->OnExchangeEnd(ExchangeEnd::kBrokenInBody, "refusal too large");
    }
    return;
  }
  if (this->is_success && !this->is_noted_as_served) {
    const TimePoint now = BootTimeNow();
    this->body_started = this->body_started.value_or(now);
    if (now - *this->body_started >= kServedTime) {
      this->is_noted_as_served = true;
      this->context.crash_evidence.OnServed(this->options.shared_parts, now);
    }
  }
  this->options.on_body(bytes);
}

void ReplicaAttempt::OnExchangeEnd(ExchangeEnd end, const std::string& reason) {
  if (this->is_ended) {
    return;
  }
  this->is_ended = true;
  this->Release();
  const TimePoint now = BootTimeNow();
  AttemptEnd result{.end = end, .reason = reason};
  if (end == ExchangeEnd::kComplete && this->refusal_reason.empty() &&
      this->options.is_body_complete &&
      !this->options.is_body_complete(this->ends_with_connection)) {
    result.end = ExchangeEnd::kBrokenInBody;
    result.reason = "response ended before its body was complete";
  }
  if (!this->refusal_reason.empty()) {
    result.verdict = Verdict::kNotRun;
    result.reason = this->refusal_reason;
  } else if (result.end == ExchangeEnd::kNotConnected) {
    result.verdict = Verdict::kNotRun;
    result.cause = this->OnFailure(FailureKind::kUnreachable, reason);
  } else if (result.end != ExchangeEnd::kComplete) {
    result.verdict = Verdict::kMayHaveRun;
    result.cause = this->OnFailure(FailureKind::kBroken, result.reason);
    this->context.crash_watch.OnBrokenAttempt(
        this->options.replica, this->endpoint, this->options.shared_parts);
  } else {
    if (this->options.is_usable()) {
      this->context.failures.OnSuccess(this->run, now);
    } else {
      result.cause = this->OnFailure(FailureKind::kUnusable, "");
    }
    if (this->is_success) {
      this->context.crash_evidence.OnServed(this->options.shared_parts, now);
    }
  }
  const auto on_end = std::move(this->options.on_end);
  this->options.on_head = nullptr;
  this->options.on_body = nullptr;
  this->options.is_body_complete = nullptr;
  this->options.is_usable = nullptr;
  on_end(result);
}

FailureCause ReplicaAttempt::OnFailure(FailureKind kind,
                                       const std::string& reason) {
  const TimePoint now = BootTimeNow();
  const FailureCause cause =
      this->context.failures.OnFailure(this->run, kind, now);
  if (cause == FailureCause::kReplica) {
    LogEvent(Event::kReplicaPaused, {{"replica", this->options.replica},
                                     {"reason", reason},
                                     {"request", this->options.attempt_id}});
  }
  return cause;
}

void ReplicaAttempt::Cancel() {
  if (this->is_ended) {
    return;
  }
  this->is_ended = true;
  if (this->connection) {
    this->connection->Cancel();
  }
  this->Release();
}

WorkLeft ReplicaAttempt::Left() const {
  return {.seconds = this->options.work == WorkClass::kOnline
                         ? this->options.cost.SecondsLeft(this->event_count)
                         : 0,
          .tokens = this->options.cost.tokens};
}

void ReplicaAttempt::OnEvents(std::uint64_t count) {
  if (this->is_ended || count == 0) {
    return;
  }
  const TimePoint now = BootTimeNow();
  if (this->event_count == 0) {
    this->first_event_time = now - this->start_time;
  }
  const double seconds_before = this->Left().seconds;
  this->event_count += count;
  this->context.work.Remove(this->options.replica,
                            {.seconds = seconds_before - this->Left().seconds});
  if (!this->pace_start) {
    this->pace_start = now;
    this->pace_events = 0;
    return;
  }
  this->pace_events += count;
  if (const Duration time = now - *this->pace_start; time >= kMinimumPaceTime) {
    this->context.speed.OnEvents(
        this->run.endpoint, this->options.replica,
        this->context.loads.Total(this->options.replica).total(),
        ToSeconds(time) / static_cast<double>(this->pace_events), now);
    this->pace_start = now;
    this->pace_events = 0;
  }
}

void ReplicaAttempt::set_paused(bool paused) {
  this->pace_start.reset();
  if (this->connection) {
    this->connection->set_paused(paused);
  }
}

void ReplicaAttempt::Release() {
  this->connection.reset();
  if (std::exchange(this->is_counted, false)) {
    this->context.loads.OnEnded(this->options.replica, this->options.work);
    this->context.work.Remove(this->options.replica, this->Left());
    this->context.on_load_change();
  }
}

}  // namespace crocus
