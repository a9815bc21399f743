#include "Gateway/batch_writer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "LibCore/time.h"
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
/// Greatest number of bodies of jobs that were not accepted whose deletion
/// waits for the store. Further ones stay in the store, so that submissions
/// during an outage do not fill the memory.
constexpr std::size_t kMaximumQueuedDeletions = 20000;

}  // namespace

BatchWriter::BatchWriter(boost::asio::io_context& loop,
                         platform::StoreClient& store,
                         BatchWriterOptions options)
    : loop(loop),
      store(store),
      options(std::move(options)),
      timer(loop),
      newest_timer(loop) {}

std::string BatchWriter::NextTag() {
  return this->options.writer + "-" + std::to_string(this->next_tag++);
}

TopicPartition BatchWriter::DataPartition(const std::string& job) const {
  return {.topic = this->options.data_topic,
          .partition = PartitionOfJob(job, this->options.partitions)};
}

std::vector<KeyedWrite> BatchWriter::SplitIntoParts(
    const std::string& prefix,
    std::string_view bytes) const {
  std::vector<KeyedWrite> writes;
  while (!bytes.empty()) {
    const std::string_view part = bytes.substr(0, this->MaximumPartBytes());
    writes.push_back({.key = prefix + std::to_string(writes.size()),
                      .value = std::string(part)});
    bytes.remove_prefix(part.size());
  }
  return writes;
}

void BatchWriter::AppendReservation(
    const records::BatchTokenReservation& reservation,
    TimePoint give_up_at,
    std::function<void(Result<void>)> on_done) {
  this->SendReservation(std::make_shared<ReservationAppend>(
      ReservationAppend{.key = ReservationKey(reservation.job, reservation.tag),
                        .value = Encode(reservation),
                        .give_up_at = give_up_at,
                        .on_done = std::move(on_done)}));
}

void BatchWriter::SendReservation(
    const std::shared_ptr<ReservationAppend>& append) {
  this->store.Append({.topic = this->options.topic},
                     {{.key = append->key, .value = append->value}},
                     [this, append](auto reply) {
                       if (reply) {
                         append->on_done({});
                       } else {
                         this->OnReservationFailed(append, reply.error());
                       }
                     });
}

void BatchWriter::OnReservationFailed(
    const std::shared_ptr<ReservationAppend>& append,
    const Error& error) {
  LogEvent(Event::kBatchAppendFailed,
           {{"records", "reservation"},
            {"reason", error.message},
            {"verdict", std::string(ToString(error.verdict))}});
  const bool is_refused = error.verdict == Verdict::kNotRun;
  append->may_be_stored = append->may_be_stored || !is_refused;
  if (is_refused ||
      BootTimeNow() + kReservationRetryDelay >= append->give_up_at) {
    if (append->may_be_stored) {
      this->DeleteKeys({append->key});
    }
    append->on_done(tl::unexpected(error));
    return;
  }
  const auto wait = std::make_shared<boost::asio::steady_timer>(
      this->loop, kReservationRetryDelay);
  wait->async_wait([this, append, wait](const auto& timer_error) {
    if (!timer_error) {
      this->SendReservation(append);
    }
  });
}

void BatchWriter::AppendJob(records::BatchJobAccepted job,
                            std::vector<platform::SubmittedItem> items,
                            JobOwner owner,
                            std::function<void(Result<void>)> on_done) {
  const TopicPartition place = this->DataPartition(job.job);
  auto stored = std::make_shared<records::BatchJobStored>();
  auto calls = std::make_shared<std::deque<std::vector<KeyedWrite>>>(1);
  // Items whose bodies begin in each call, with the index of the first record.
  auto starts = std::make_shared<
      std::deque<std::vector<std::pair<std::size_t, std::size_t>>>>(1);
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < items.size(); ++i) {
    auto writes =
        this->SplitIntoParts(BodyKeyPrefix(job.job, job.tag, i), items[i].body);
    stored->bodies.push_back(
        {.partition = place.partition,
         .parts = static_cast<std::uint32_t>(writes.size()),
         .bytes = items[i].body.size()});
    // The parts of a body stay together, so that one read returns them, unless
    // the body alone is too large for a call. Then readers find them by their
    // keys.
    const auto start_call = [&calls, &starts, &bytes] {
      calls->emplace_back();
      starts->emplace_back();
      bytes = 0;
    };
    const std::uint64_t size =
        items[i].body.size() + writes.size() * kRecordOverhead;
    if (bytes + size > this->options.call_bytes && !calls->back().empty()) {
      start_call();
    }
    starts->back().emplace_back(i, calls->back().size());
    for (auto& write : writes) {
      const std::uint64_t part_size = write.value->size() + kRecordOverhead;
      if (bytes + part_size > this->options.call_bytes) {
        start_call();
      }
      bytes += part_size;
      calls->back().push_back(std::move(write));
    }
    job.items.push_back(std::move(items[i].spec));
  }
  stored->accepted = std::move(job);
  auto keys = std::make_shared<std::vector<std::vector<std::string>>>();
  for (const auto& call : *calls) {
    auto& call_keys = keys->emplace_back();
    for (const auto& write : call) {
      call_keys.push_back(write.key);
    }
  }
  const auto append_job = [this, stored, keys, owner = std::move(owner),
                           on_done] {
    const std::string& identity = stored->accepted.job;
    const std::string& tag = stored->accepted.tag;
    if (owner.give_up_at && BootTimeNow() > *owner.give_up_at) {
      this->DeleteBodies(identity, *keys, keys->size());
      on_done(Failure(ErrorCode::kTimeout, "the store took too long"));
      return;
    }
    this->store.Append(
        {.topic = this->options.topic},
        {owner.workspace.empty()
             ? KeyedWrite{.key = StoredJobKey(identity, tag),
                          .value = Encode(*stored)}
             : KeyedWrite{.key = WorkspaceJobKey(identity, tag),
                          .value = Encode(records::BatchWorkspaceJob{
                              .workspace = owner.workspace,
                              .stored = *stored})}},
        [this, stored, keys, on_done](auto reply) {
          if (reply) {
            on_done({});
            return;
          }
          // FIXME: If the outcome stays unknown and the job was not accepted,
          // its bodies are never deleted, nor are those of a process that ends
          // between the bodies and the job.
          if (reply.error().verdict == Verdict::kNotRun) {
            this->DeleteBodies(stored->accepted.job, *keys, keys->size());
          }
          on_done(tl::unexpected(reply.error()));
        });
  };
  if (calls->front().empty()) {
    append_job();
    return;
  }
  this->AppendInSequence(
      place, std::move(calls),
      [stored, starts](std::uint64_t offset) {
        for (const auto& [item, record] : starts->front()) {
          stored->bodies[item].offset = offset + record;
        }
        starts->pop_front();
      },
      [this, stored, starts, keys, append_job, on_done](auto result) {
        if (result) {
          append_job();
          return;
        }
        // The job exists only after its own record, so it is not accepted. Its
        // bodies have a tag of their own, so no other submission uses them.
        const std::size_t confirmed = keys->size() - starts->size();
        this->DeleteBodies(stored->accepted.job, *keys,
                           result.error().verdict == Verdict::kNotRun
                               ? confirmed
                               : confirmed + 1);
        Error error = result.error();
        error.verdict = Verdict::kNotRun;
        on_done(tl::unexpected(error));
      });
}

void BatchWriter::DeleteBodies(
    const std::string& job,
    const std::vector<std::vector<std::string>>& keys,
    std::size_t calls) {
  for (std::size_t call = 0; call < calls; ++call) {
    if (this->queued_newest[this->DataPartition(job)].size() +
            keys[call].size() >
        kMaximumQueuedDeletions) {
      LogEvent(Event::kBatchAppendFailed,
               {{"records", "deletion of bodies"},
                {"reason", "too many deletions wait for the store"},
                {"verdict", std::string(ToString(Verdict::kNotRun))}});
      return;
    }
    this->DeleteData(job, keys[call]);
  }
}

void BatchWriter::AppendInSequence(
    TopicPartition place,
    std::shared_ptr<std::deque<std::vector<KeyedWrite>>> calls,
    std::function<void(std::uint64_t)> on_offset,
    std::function<void(Result<void>)> on_done) {
  const auto records = std::move(calls->front());
  calls->pop_front();
  this->store.Append(
      place, records,
      [this, place, calls = std::move(calls), on_offset = std::move(on_offset),
       on_done = std::move(on_done)](auto reply) {
        if (!reply) {
          LogEvent(Event::kBatchAppendFailed,
                   {{"records", "job"},
                    {"reason", reply.error().message},
                    {"verdict", std::string(ToString(reply.error().verdict))}});
          on_done(tl::unexpected(reply.error()));
          return;
        }
        on_offset(reply->offset);
        if (calls->empty()) {
          on_done({});
          return;
        }
        this->AppendInSequence(place, calls, on_offset, on_done);
      });
}

void BatchWriter::AppendJobEnd(const std::string& job,
                               std::function<void(Result<void>)> on_done) {
  const records::BatchJobEnded ended{.job = job};
  this->store.Append(
      {.topic = this->options.topic},
      {{.key = EndedKey(job, this->NextTag()), .value = Encode(ended)}},
      [on_done = std::move(on_done)](auto reply) {
        if (reply) {
          on_done({});
        } else {
          on_done(tl::unexpected(reply.error()));
        }
      });
}

void BatchWriter::AppendFinished(records::BatchItemFinished item,
                                 std::vector<std::string> obsolete_body) {
  this->pending.push_back({.key = std::nullopt,
                           .value = "",
                           .finished = std::move(item),
                           .text = std::nullopt,
                           .obsolete_body = std::move(obsolete_body),
                           .queued = BootTimeNow()});
  this->ScheduleFlush(kFlushDelay);
}

std::uint64_t BatchWriter::MaximumPartBytes() const {
  return this->options.record_bytes - kRecordOverhead;
}

std::vector<ItemReference> BatchWriter::UnconfirmedItems(
    TimePoint since) const {
  std::vector<ItemReference> items;
  for (const auto& record : this->pending) {
    if (!record.key && record.queued > since) {
      items.push_back(
          {.job = record.finished.job, .item = record.finished.item});
    }
  }
  return items;
}

std::size_t BatchWriter::unwritten() const {
  std::size_t count = this->pending.size() + this->appending_newest;
  for (const auto& [place, records] : this->queued_newest) {
    count += records.size();
  }
  return count;
}

std::string BatchWriter::AppendItemFailure(const ItemReference& item) {
  std::string key = FailedKey(item.job, item.item, this->NextTag());
  const records::BatchItemFailed failed{.job = item.job, .item = item.item};
  this->pending.push_back({.key = key,
                           .value = Encode(failed),
                           .finished = {},
                           .text = {},
                           .obsolete_body = {}});
  this->ScheduleFlush(kFlushDelay);
  return key;
}

void BatchWriter::AppendProgress(const records::BatchItemProgress& progress) {
  if (progress.text.size() > this->MaximumPartBytes()) {
    // Too long for one record. Without the record, another host starts the item
    // from its beginning.
    return;
  }
  this->QueueNewest(
      {.topic = this->options.progress_topic,
       .partition = PartitionOfJob(progress.job, this->options.partitions)},
      {.key = StoredProgressKey(progress.job, progress.item),
       .value = Encode(progress)});
}

void BatchWriter::QueueNewest(const TopicPartition& place, KeyedWrite write) {
  this->queued_newest[place][write.key] = std::move(write.value);
  this->ScheduleNewestFlush(kFlushDelay);
}

void BatchWriter::ScheduleNewestFlush(Duration delay) {
  if (std::exchange(this->is_newest_flush_scheduled, true)) {
    return;
  }
  this->newest_timer.expires_after(delay);
  this->newest_timer.async_wait([this](const auto& error) {
    this->is_newest_flush_scheduled = false;
    if (!error) {
      this->FlushNewest();
    }
  });
}

void BatchWriter::FlushNewest() {
  for (auto& [place, records] : std::exchange(this->queued_newest, {})) {
    std::vector<KeyedWrite> writes;
    std::uint64_t bytes = 0;
    for (auto& [key, value] : records) {
      const std::uint64_t size = (value ? value->size() : 0) + kRecordOverhead;
      if (!writes.empty() && bytes + size > this->options.call_bytes) {
        this->AppendNewest(place, std::exchange(writes, {}));
        bytes = 0;
      }
      bytes += size;
      writes.push_back({.key = key, .value = std::move(value)});
    }
    this->AppendNewest(place, std::move(writes));
  }
}

void BatchWriter::AppendNewest(const TopicPartition& place,
                               std::vector<KeyedWrite> writes) {
  const auto records =
      std::make_shared<std::vector<KeyedWrite>>(std::move(writes));
  this->appending_newest += records->size();
  this->store.Append(place, *records, [this, place, records](auto reply) {
    this->appending_newest -= records->size();
    if (reply) {
      return;
    }
    LogEvent(Event::kBatchAppendFailed,
             {{"records", std::to_string(records->size())},
              {"reason", reply.error().message},
              {"verdict", std::string(ToString(reply.error().verdict))}});
    NewestRecords& queued = this->queued_newest[place];
    for (auto& write : *records) {
      queued.try_emplace(std::move(write.key), std::move(write.value));
    }
    this->ScheduleNewestFlush(kRetryDelay);
  });
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
  std::uint64_t bytes = 0;
  std::size_t count = 0;
  for (const auto& record : this->pending) {
    const std::uint64_t size = this->AppendBytes(record);
    if (count > 0 && bytes + size > this->options.call_bytes) {
      break;
    }
    bytes += size;
    ++count;
  }
  this->is_flushing = true;
  // Flush takes a record that is too large for a call alone.
  if (bytes > this->options.call_bytes) {
    this->AppendLargeText();
  } else {
    this->AppendTexts(count);
  }
}

std::uint64_t BatchWriter::AppendBytes(const PendingRecord& record) const {
  const std::uint64_t text = record.finished.text.size();
  const std::uint64_t parts = text / this->MaximumPartBytes() + 1;
  return record.value.size() + text + parts * kRecordOverhead;
}

void BatchWriter::AppendLargeText() {
  const PendingRecord& record = this->pending.front();
  if (record.text) {
    this->AppendResults(1);
    return;
  }
  const TopicPartition place = this->DataPartition(record.finished.job);
  auto calls = std::make_shared<std::deque<std::vector<KeyedWrite>>>(1);
  auto text = std::make_shared<records::DataPlace>(records::DataPlace{
      .partition = place.partition, .bytes = record.finished.text.size()});
  const auto first_offset = std::make_shared<std::optional<std::uint64_t>>();
  std::uint64_t bytes = 0;
  for (auto& write : this->SplitIntoParts(
           TextKeyPrefix(record.finished.job, record.finished.item,
                         this->options.writer),
           record.finished.text)) {
    const std::uint64_t size = write.value->size() + kRecordOverhead;
    if (bytes + size > this->options.call_bytes) {
      calls->emplace_back();
      bytes = 0;
    }
    bytes += size;
    ++text->parts;
    calls->back().push_back(std::move(write));
  }
  // Other records may come between the calls. Readers then find the parts by
  // their keys.
  this->AppendInSequence(
      place, std::move(calls),
      [first_offset](std::uint64_t offset) {
        *first_offset = first_offset->value_or(offset);
      },
      [this, text, first_offset](const auto& result) {
        if (!result) {
          this->OnFlushFailed(1, result.error());
          return;
        }
        text->offset = first_offset->value_or(0);
        this->pending.front().text = *text;
        this->AppendResults(1);
      });
}

void BatchWriter::AppendTexts(std::size_t count) {
  std::optional<TopicPartition> place;
  std::vector<KeyedWrite> writes;
  // Index of the first record of each text, by the index of its pending record.
  std::map<std::size_t, std::size_t> starts;
  for (std::size_t i = 0; i < count; ++i) {
    PendingRecord& record = this->pending[i];
    if (record.text || record.finished.text.empty()) {
      continue;
    }
    const TopicPartition own = this->DataPartition(record.finished.job);
    if (!place) {
      place = own;
    } else if (*place != own) {
      continue;
    }
    starts[i] = writes.size();
    const auto parts = this->SplitIntoParts(
        TextKeyPrefix(record.finished.job, record.finished.item,
                      this->options.writer),
        record.finished.text);
    writes.insert(writes.end(), parts.begin(), parts.end());
  }
  if (!place) {
    this->AppendResults(count);
    return;
  }
  this->store.Append(
      *place, writes,
      [this, count, place = *place, starts, end = writes.size()](auto reply) {
        if (!reply) {
          this->OnFlushFailed(count, reply.error());
          return;
        }
        std::size_t next = end;
        for (auto start = starts.rbegin(); start != starts.rend(); ++start) {
          PendingRecord& record = this->pending[start->first];
          record.text = records::DataPlace{
              .partition = place.partition,
              .offset = reply->offset + start->second,
              .parts = static_cast<std::uint32_t>(next - start->second),
              .bytes = record.finished.text.size()};
          next = start->second;
        }
        this->AppendTexts(count);
      });
}

void BatchWriter::AppendResults(std::size_t count) {
  std::vector<KeyedWrite> writes;
  for (std::size_t i = 0; i < count; ++i) {
    const PendingRecord& record = this->pending[i];
    if (record.key) {
      writes.push_back({.key = *record.key, .value = record.value});
      continue;
    }
    // With one initializer for all of it, g++ 12 warns in Release builds that
    // the clean-up after an exception uses `finished.tag` uninitialized.
    records::BatchItemResult result;
    result.finished.job = record.finished.job;
    result.finished.item = record.finished.item;
    result.finished.completed = record.finished.completed;
    result.writer = this->options.writer;
    result.text = record.text.value_or(records::DataPlace{});
    writes.push_back({.key = ResultKey(record.finished.job,
                                       record.finished.item, this->NextTag()),
                      .value = Encode(result)});
  }
  this->store.Append({.topic = this->options.topic}, writes,
                     [this, count](auto reply) {
                       if (!reply) {
                         this->OnFlushFailed(count, reply.error());
                         return;
                       }
                       this->is_flushing = false;
                       for (std::size_t i = 0; i < count; ++i) {
                         this->DeleteObsolete(this->pending.front());
                         this->pending.pop_front();
                       }
                       if (!this->pending.empty()) {
                         this->ScheduleFlush(kFlushDelay);
                       }
                     });
}

void BatchWriter::OnFlushFailed(std::size_t count, const Error& error) {
  // If only the response was lost, the next try appends the records a second
  // time. This does no harm: the first final state of an item counts, and each
  // copy of it has its own key.
  this->is_flushing = false;
  LogEvent(Event::kBatchAppendFailed,
           {{"records", std::to_string(count)},
            {"reason", error.message},
            {"verdict", std::string(ToString(error.verdict))}});
  this->ScheduleFlush(kRetryDelay);
}

void BatchWriter::DeleteObsolete(const PendingRecord& record) {
  if (record.key) {
    return;
  }
  const std::string& job = record.finished.job;
  for (const auto& key : record.obsolete_body) {
    this->QueueNewest(this->DataPartition(job),
                      {.key = key, .value = std::nullopt});
  }
  this->QueueNewest(
      {.topic = this->options.progress_topic,
       .partition = PartitionOfJob(job, this->options.partitions)},
      {.key = StoredProgressKey(job, record.finished.item),
       .value = std::nullopt});
}

void BatchWriter::DeleteData(const std::string& job,
                             const std::vector<std::string>& keys) {
  for (const auto& key : keys) {
    this->QueueNewest(this->DataPartition(job),
                      {.key = key, .value = std::nullopt});
  }
}

void BatchWriter::DeleteKeys(const std::vector<std::string>& keys) {
  for (const auto& key : keys) {
    this->QueueNewest({.topic = this->options.topic},
                      {.key = key, .value = std::nullopt});
  }
}

}  // namespace crocus
