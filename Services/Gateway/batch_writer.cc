#include "Gateway/batch_writer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "LibEvents/event_log.h"
#include "LibMessages/codec.h"
#include "LibServing/batch_job_table.h"

namespace crocus {

namespace {

/// Queued records wait this long for others to share an append.
constexpr Duration kFlushDelay = std::chrono::milliseconds(100);
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
/// Allowance for the key and the length fields of a record, in bytes.
constexpr std::uint64_t kRecordOverhead = 300;

}  // namespace

BatchWriter::BatchWriter(boost::asio::io_context& loop,
                         platform::StoreClient& store,
                         BatchWriterOptions options)
    : store(store), options(std::move(options)), timer(loop) {}

std::string BatchWriter::NextTag() {
  return this->options.writer + "-" + std::to_string(this->next_tag++);
}

void BatchWriter::AppendJob(records::BatchJobAccepted job,
                            std::vector<platform::SubmittedItem> items,
                            std::function<void(Result<void>)> on_done) {
  job.tag = this->NextTag();
  auto calls = std::make_shared<std::deque<std::vector<KeyedWrite>>>(1);
  std::uint64_t bytes = 0;
  const auto add = [&](KeyedWrite write) {
    const std::uint64_t size = write.value->size() + kRecordOverhead;
    if (bytes + size > this->options.call_bytes) {
      calls->emplace_back();
      bytes = 0;
    }
    bytes += size;
    calls->back().push_back(std::move(write));
  };
  for (std::size_t i = 0; i < items.size(); ++i) {
    std::string_view body = items[i].body;
    std::uint32_t parts = 0;
    while (!body.empty()) {
      const std::string_view part = body.substr(0, this->MaximumPartBytes());
      add({.key = BodyKey(job.job, job.tag, i, parts++),
           .value = std::string(part)});
      body.remove_prefix(part.size());
    }
    items[i].spec.body_parts = parts;
    job.items.push_back(std::move(items[i].spec));
  }
  // The job exists once its own record is appended, so that record comes last.
  add({.key = JobKey(job.job, job.tag), .value = Encode(job)});
  this->AppendInSequence(std::move(calls), std::move(on_done));
}

void BatchWriter::AppendInSequence(
    std::shared_ptr<std::deque<std::vector<KeyedWrite>>> calls,
    std::function<void(Result<void>)> on_done) {
  const auto records = std::move(calls->front());
  calls->pop_front();
  const bool is_last = calls->empty();
  this->store.Append(
      this->options.topic, records,
      [this, calls = std::move(calls), is_last,
       on_done = std::move(on_done)](auto reply) {
        if (!reply) {
          Error error = reply.error();
          // The job exists only after the last append.
          if (!is_last) {
            error.verdict = Verdict::kNotRun;
          }
          LogEvent(Event::kBatchAppendFailed,
                   {{"records", "job"},
                    {"reason", error.message},
                    {"verdict", std::string(ToString(error.verdict))}});
          on_done(tl::unexpected(error));
          return;
        }
        if (is_last) {
          on_done({});
          return;
        }
        this->AppendInSequence(calls, on_done);
      });
}

void BatchWriter::AppendJobEnd(const std::string& job,
                               std::function<void(Result<void>)> on_done) {
  const records::BatchJobEnded ended{.job = job};
  this->store.Append(
      this->options.topic,
      {{.key = EndedKey(job, this->NextTag()), .value = Encode(ended)}},
      [on_done = std::move(on_done)](auto reply) {
        if (reply) {
          on_done({});
        } else {
          on_done(tl::unexpected(reply.error()));
        }
      });
}

void BatchWriter::AppendFinished(records::BatchItemFinished item) {
  this->pending.push_back(
      {.key = std::nullopt, .value = "", .finished = std::move(item)});
  this->ScheduleFlush(kFlushDelay);
}

std::uint64_t BatchWriter::MaximumPartBytes() const {
  return this->options.record_bytes - kRecordOverhead;
}

std::vector<KeyedWrite> BatchWriter::EncodeFinishedItem(
    records::BatchItemFinished finished) {
  finished.tag = this->NextTag();
  std::vector<KeyedWrite> writes;
  if (finished.text.size() > this->MaximumPartBytes()) {
    std::string_view text = finished.text;
    while (!text.empty()) {
      const std::string_view part = text.substr(0, this->MaximumPartBytes());
      writes.push_back({.key = TextKey(finished.job, finished.item,
                                       finished.tag, finished.text_parts++),
                        .value = std::string(part)});
      text.remove_prefix(part.size());
    }
    finished.text.clear();
  }
  writes.push_back(
      {.key = FinishedKey(finished.job, finished.item, finished.tag),
       .value = Encode(finished)});
  return writes;
}

std::string BatchWriter::AppendItemFailure(const ItemReference& item) {
  std::string key = FailedKey(item.job, item.item, this->NextTag());
  const records::BatchItemFailed failed{.job = item.job, .item = item.item};
  this->pending.push_back(
      {.key = key, .value = Encode(failed), .finished = {}});
  this->ScheduleFlush(kFlushDelay);
  return key;
}

void BatchWriter::AppendProgress(const records::BatchItemProgress& progress) {
  if (progress.text.size() > this->MaximumPartBytes()) {
    // Too long for one record. Without the record, another host starts the item
    // from its beginning.
    return;
  }
  this->pending.push_back(
      {.key = ProgressKey(progress.job, progress.item, this->options.writer),
       .value = Encode(progress),
       .finished = {}});
  this->ScheduleFlush(kFlushDelay);
}

void BatchWriter::ScheduleFlush(Duration delay) {
  if (this->is_flush_scheduled || this->is_flushing) {
    return;
  }
  this->is_flush_scheduled = true;
  this->timer.expires_after(delay);
  this->timer.async_wait([this](const auto& error) {
    this->is_flush_scheduled = false;
    if (!error) {
      this->Flush();
    }
  });
}

void BatchWriter::Flush() {
  if (this->pending.empty()) {
    return;
  }
  std::vector<KeyedWrite> writes;
  std::uint64_t bytes = 0;
  std::size_t count = 0;
  for (const auto& record : this->pending) {
    const auto added = record.key
                           ? std::vector<KeyedWrite>{{.key = *record.key,
                                                      .value = record.value}}
                           : this->EncodeFinishedItem(record.finished);
    std::uint64_t size = 0;
    for (const auto& write : added) {
      size += write.value->size() + kRecordOverhead;
    }
    if (!writes.empty() && bytes + size > this->options.call_bytes) {
      break;
    }
    bytes += size;
    ++count;
    writes.insert(writes.end(), added.begin(), added.end());
  }
  this->is_flushing = true;
  this->store.Append(this->options.topic, writes, [this, count](auto reply) {
    this->is_flushing = false;
    if (!reply) {
      // If only the response was lost, the next try appends the records a
      // second time. This does no harm: the first final state of an item
      // counts, and each copy of it has its own key.
      LogEvent(Event::kBatchAppendFailed,
               {{"records", std::to_string(count)},
                {"reason", reply.error().message},
                {"verdict", std::string(ToString(reply.error().verdict))}});
      this->ScheduleFlush(kRetryDelay);
      return;
    }
    this->pending.erase(
        this->pending.begin(),
        this->pending.begin() + static_cast<std::ptrdiff_t>(count));
    if (!this->pending.empty()) {
      this->ScheduleFlush(kFlushDelay);
    }
  });
}

void BatchWriter::DeleteKeys(const std::vector<std::string>& keys) {
  std::vector<KeyedWrite> writes;
  for (const auto& key : keys) {
    writes.push_back({.key = key, .value = std::nullopt});
  }
  this->store.Append(
      this->options.topic, writes, [count = keys.size()](auto reply) {
        if (!reply) {
          LogEvent(Event::kBatchAppendFailed,
                   {{"records", std::to_string(count)},
                    {"reason", reply.error().message},
                    {"verdict", std::string(ToString(reply.error().verdict))}});
        }
      });
}

}  // namespace crocus
