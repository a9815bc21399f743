#include "Entry/request_log.h"

#include <algorithm>
#include <utility>

#include "LibEvents/event_log.h"
#include "LibLedger/append.h"

namespace crocus {

namespace {

const std::string kStream = "requests";

constexpr std::uint32_t kRecordsPerRead = 256;

/// Intervals between reads of the stream; the short one applies while a caller
/// waits for the replay.
constexpr std::chrono::milliseconds kReadInterval{200};
constexpr std::chrono::milliseconds kShortReadInterval{10};

/// Delay after a failed read.
constexpr std::chrono::milliseconds kFailedReadDelay{250};

}  // namespace

RequestLog::RequestLog(const EntrySettings& settings)
    : settings(settings.online),
      ledger_options{.kept_appends = settings.online.kept_appends,
                     .results_without_intent = settings.online.indexed_results},
      log(settings.platform.log_url),
      writer(this->log,
             kStream,
             {.writer = settings.host.name,
              .delay = settings.online.commit_delay,
              .append_bytes = settings.online.commit_bytes,
              .queue_bytes = settings.online.held_result_bytes}),
      ledger(this->ledger_options) {}

RequestLog::~RequestLog() {
  this->Stop(Duration(0));
}

void RequestLog::Start() {
  this->thread = std::thread([this] { this->Follow(); });
}

void RequestLog::Stop(Duration timeout) {
  this->writer.Stop(timeout);
  {
    std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->wake.notify_all();
  this->replay_progressed.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

Result<LoggedRequest> RequestLog::WriteIntent(
    const records::RequestIntent& intent,
    Duration timeout) {
  const TimePoint deadline = MonotonicNow() + timeout;
  TRY_ASSIGN(const std::uint64_t offset,
             this->writer.Append({MakeEnvelope(intent)}, timeout));
  std::unique_lock lock(this->mutex);
  ++this->waiter_count;
  this->wake.notify_all();
  const bool is_replayed =
      this->replay_progressed.wait_until(lock, deadline, [this, offset] {
        return this->is_stopping || this->ledger.next_offset() > offset;
      });
  --this->waiter_count;
  const auto found = this->ledger.Find(intent.request);
  if (!is_replayed || this->is_stopping || !found) {
    return Failure(ErrorCode::kUnavailable,
                   "log: the intent could not be read back",
                   Verdict::kMayHaveRun);
  }
  return *found;
}

bool RequestLog::WriteResult(const records::RequestResult& result,
                             std::function<void()> on_written) {
  const bool is_kept = result.verdict != Verdict::kNotRun;
  if (is_kept) {
    std::lock_guard lock(this->mutex);
    this->held[result.request] = result;
  }
  const auto queued = this->writer.Enqueue(
      MakeEnvelope(result),
      [on_written = std::move(on_written)](const auto& offset) {
        if (offset && on_written) {
          on_written();
        }
      });
  if (!queued) {
    LogEvent(Event::kResultDropped, {{"request", result.request}});
    std::lock_guard lock(this->mutex);
    this->held.erase(result.request);
  }
  return queued.has_value();
}

std::optional<LoggedRequest> RequestLog::Find(
    const std::string& request) const {
  std::lock_guard lock(this->mutex);
  return this->ledger.Find(request);
}

std::optional<records::RequestResult> RequestLog::FindHeld(
    const std::string& request) const {
  std::lock_guard lock(this->mutex);
  const auto found = this->held.find(request);
  return found == this->held.end() ? std::nullopt
                                   : std::optional(found->second);
}

Result<records::RequestResult> RequestLog::ReadResult(
    const std::string& request,
    const LoggedRequest& logged) {
  TRY_ASSIGN(const LogPage page, this->log.Read(kStream, logged.offset, 1));
  if (page.records.empty() || page.records.front().offset != logged.offset) {
    return Failure(ErrorCode::kNotFound,
                   "the log no longer keeps the result of " + request);
  }
  auto result = FindRequestResult(page.records.front().data, request);
  if (!result) {
    return Failure(ErrorCode::kCorrupt, "the log has no result of " + request +
                                            " at offset " +
                                            std::to_string(logged.offset));
  }
  return std::move(*result);
}

void RequestLog::WaitForReplay(TimePoint deadline) {
  std::unique_lock lock(this->mutex);
  ++this->waiter_count;
  this->wake.notify_all();
  const std::uint64_t before = this->ledger.next_offset();
  this->replay_progressed.wait_until(lock, deadline, [this, before] {
    return this->is_stopping || this->ledger.next_offset() != before;
  });
  --this->waiter_count;
}

bool RequestLog::CatchUp(TimePoint deadline) {
  std::unique_lock lock(this->mutex);
  // A read in progress may have reached the end before this call, so the next
  // one is required.
  const std::uint64_t target_read = this->started_reads + 1;
  ++this->waiter_count;
  this->wake.notify_all();
  const bool is_done =
      this->replay_progressed.wait_until(lock, deadline, [this, target_read] {
        return this->is_stopping || this->completed_reads >= target_read;
      });
  --this->waiter_count;
  return is_done && !this->is_stopping;
}

bool RequestLog::is_current() const {
  std::lock_guard lock(this->mutex);
  // The writer's availability is not used because it changes only when the
  // writer sends records.
  return this->has_replayed && this->is_log_readable;
}

bool RequestLog::has_capacity() const {
  return this->writer.queued_bytes() < this->settings.held_result_bytes / 2;
}

void RequestLog::Follow() {
  bool has_failed = false;
  bool is_first = true;
  while (true) {
    {
      std::unique_lock lock(this->mutex);
      // Until the end of the stream is reached, reads follow each other without
      // a delay.
      const bool is_at_end = this->completed_reads == this->started_reads;
      if (!std::exchange(is_first, false) && (is_at_end || has_failed)) {
        auto delay =
            this->waiter_count > 0 ? kShortReadInterval : kReadInterval;
        delay = has_failed ? kFailedReadDelay : delay;
        this->wake.wait_for(lock, delay);
      }
      if (this->is_stopping) {
        return;
      }
      if (is_at_end) {
        ++this->started_reads;
      }
    }
    const bool is_successful = this->ReadOnce();
    has_failed = !is_successful;
    std::lock_guard lock(this->mutex);
    this->is_log_readable = is_successful;
  }
}

bool RequestLog::ReadOnce() {
  if (this->position == 0 && !this->FindStart()) {
    return false;
  }
  const auto page = this->log.Read(kStream, this->position, kRecordsPerRead);
  if (!page) {
    if (this->is_current()) {
      LogEvent(Event::kLogUnavailable,
               {{"stream", kStream}, {"reason", page.error().message}});
    }
    return false;
  }
  {
    std::lock_guard lock(this->mutex);
    for (const auto& record : page->records) {
      this->ledger.Apply(record.offset, record.data);
      this->position = record.offset + 1;
    }
    this->position = std::max(this->position, page->first);
    if (this->position >= page->next) {
      this->completed_reads = this->started_reads;
      this->has_replayed = true;
    }
    this->RemoveReplayedResults();
  }
  this->replay_progressed.notify_all();
  return true;
}

bool RequestLog::FindStart() {
  const auto page = this->log.Read(kStream, 1, 1);
  if (!page) {
    return false;
  }
  this->position =
      RequestLedger::StartOffset(this->ledger_options, page->first, page->next);
  return true;
}

void RequestLog::RemoveReplayedResults() {
  std::erase_if(this->held, [this](const auto& item) {
    const auto found = this->ledger.Find(item.first);
    return found && found->state == RequestState::kFinished;
  });
}

}  // namespace crocus
