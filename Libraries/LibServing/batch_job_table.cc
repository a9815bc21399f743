#include "LibServing/batch_job_table.h"

#include <utility>

#include "LibCore/hashing.h"
#include "LibCore/text.h"
#include "LibMessages/codec.h"

namespace crocus {

namespace {

constexpr std::string_view kJobKind = "job";
constexpr std::string_view kBodyKind = "body";
constexpr std::string_view kTextKind = "text";
constexpr std::string_view kFinishedKind = "done";
constexpr std::string_view kFailedKind = "fail";
constexpr std::string_view kProgressKind = "part";
constexpr std::string_view kEndedKind = "end";
constexpr std::string_view kStoredJobKind = "stored";
constexpr std::string_view kResultKind = "result";
constexpr std::string_view kWorkspaceJobKind = "owned";
constexpr std::string_view kReservationKind = "reserved";
constexpr char kIdentitySeparator = '\n';
/// Digits of the hash that stands for a workspace in the identity of its jobs.
/// Keys of the store have at most 255 bytes, and names may be long.
constexpr std::size_t kWorkspaceDigits = 16;

std::string MakeKey(std::string_view kind,
                    const std::string& job,
                    const std::string& rest) {
  return std::string(kind) + "/" + job + "/" + rest;
}

/// A job whose bodies are stored in another topic.
Result<BatchJobEntry> MakeStoredJob(records::BatchJobStored stored) {
  if (stored.bodies.size() != stored.accepted.items.size()) {
    return Failure(ErrorCode::kCorrupt, "a job without a body of each item");
  }
  BatchJobEntry job;
  for (std::size_t i = 0; i < stored.bodies.size(); ++i) {
    job.items.push_back({.spec = std::move(stored.accepted.items[i]),
                         .stored_body = stored.bodies[i]});
  }
  stored.accepted.items.clear();
  job.record = std::move(stored.accepted);
  return job;
}

}  // namespace

std::string MakeJobIdentity(const std::string& workspace,
                            const std::string& id) {
  return workspace.empty() ? id
                           : DigestOf(workspace).substr(0, kWorkspaceDigits) +
                                 kIdentitySeparator + id;
}

std::string JobIdOf(const std::string& identity) {
  const auto separator = identity.find(kIdentitySeparator);
  return separator == std::string::npos ? identity
                                        : identity.substr(separator + 1);
}

bool IsJobId(std::string_view id) {
  return !id.empty() && id.find('/') == std::string_view::npos &&
         id.find(kIdentitySeparator) == std::string_view::npos;
}

std::string WorkspaceJobKey(const std::string& job, const std::string& tag) {
  return MakeKey(kWorkspaceJobKind, job, tag);
}

std::string ReservationKey(const std::string& job, const std::string& tag) {
  return MakeKey(kReservationKind, job, tag);
}

std::string JobKey(const std::string& job, const std::string& tag) {
  return MakeKey(kJobKind, job, tag);
}

std::string StoredJobKey(const std::string& job, const std::string& tag) {
  return MakeKey(kStoredJobKind, job, tag);
}

std::string ResultKey(const std::string& job,
                      std::size_t item,
                      const std::string& tag) {
  return MakeKey(kResultKind, job, std::to_string(item) + "/" + tag);
}

std::string BodyKeyPrefix(const std::string& job,
                          const std::string& tag,
                          std::size_t item) {
  return MakeKey(kBodyKind, job, tag + "/" + std::to_string(item) + "/");
}

std::string TextKeyPrefix(const std::string& job,
                          std::size_t item,
                          const std::string& writer) {
  return MakeKey(kTextKind, job, std::to_string(item) + "/" + writer + "/");
}

std::string StoredProgressKey(const std::string& job, std::size_t item) {
  return MakeKey(kProgressKind, job, std::to_string(item));
}

std::uint32_t PartitionOfJob(const std::string& job, std::uint32_t count) {
  return static_cast<std::uint32_t>(HashBytes(job) % count);
}

std::string BodyKey(const std::string& job,
                    const std::string& tag,
                    std::size_t item,
                    std::size_t part) {
  return BodyKeyPrefix(job, tag, item) + std::to_string(part);
}

std::string FinishedKey(const std::string& job,
                        std::size_t item,
                        const std::string& tag) {
  return MakeKey(kFinishedKind, job, std::to_string(item) + "/" + tag);
}

std::string TextKey(const std::string& job,
                    std::size_t item,
                    const std::string& tag,
                    std::size_t part) {
  return TextKeyPrefix(job, item, tag) + std::to_string(part);
}

std::string FailedKey(const std::string& job,
                      std::size_t item,
                      const std::string& tag) {
  return MakeKey(kFailedKind, job, std::to_string(item) + "/" + tag);
}

std::string ProgressKey(const std::string& job,
                        std::size_t item,
                        const std::string& writer) {
  return MakeKey(kProgressKind, job, std::to_string(item) + "/" + writer);
}

std::string EndedKey(const std::string& job, const std::string& tag) {
  return MakeKey(kEndedKind, job, tag);
}

std::uint64_t BatchJobEntry::open_tokens() const {
  std::uint64_t tokens = 0;
  for (const auto& item : this->items) {
    tokens += item.state == ItemState::kOpen ? item.spec.tokens : 0;
  }
  return tokens;
}

Result<void> BatchJobTable::Apply(const KeyedRecord& record,
                                  const RecordTimes& times) {
  if (times.appended_after == TimePoint{}) {
    this->token_reservations.OnSnapshotRecord(times.applied);
  }
  const auto parts = Split(record.key, '/');
  if (parts.size() < 3) {
    return Failure(ErrorCode::kCorrupt, "malformed key");
  }
  const std::string& job = parts[1];
  if (!record.value) {
    this->ApplyDeletion(record.key, parts);
    return {};
  }
  this->keys_by_job[job].insert(record.key);
  if (parts[0] == kBodyKind || parts[0] == kTextKind) {
    this->parts[record.key] = *record.value;
    return {};
  }
  if (parts[0] == kJobKind) {
    return this->AcceptJob(record);
  }
  if (parts[0] == kFinishedKind) {
    return this->FinishItem(record);
  }
  if (parts[0] == kStoredJobKind) {
    return this->AcceptStoredJob(record);
  }
  if (parts[0] == kWorkspaceJobKind) {
    return this->AcceptWorkspaceJob(record);
  }
  if (parts[0] == kReservationKind) {
    return this->AddReservation(record, times);
  }
  if (parts[0] == kResultKind) {
    return this->FinishStoredItem(record);
  }
  if (parts[0] == kProgressKind) {
    return this->ApplyProgress(*record.value);
  }
  if (parts[0] == kFailedKind) {
    return this->RecordFailure(record);
  }
  if (parts[0] == kEndedKind) {
    return this->EndJob(record);
  }
  return Failure(ErrorCode::kCorrupt, "unknown kind of record");
}

void BatchJobTable::ApplyDeletion(const std::string& key,
                                  const std::vector<std::string>& key_parts) {
  const std::string& job = key_parts[1];
  this->parts.erase(key);
  if (key_parts[0] == kReservationKind) {
    this->token_reservations.Remove(key);
    if (const auto found = this->keys_by_job.find(job);
        found != this->keys_by_job.end() && found->second.erase(key) > 0 &&
        found->second.empty()) {
      this->keys_by_job.erase(found);
    }
    return;
  }
  // Other records are deleted only when their job has expired.
  this->entries.erase(job);
  this->keys_by_job.erase(job);
}

template <typename KeyOf>
Result<std::string> BatchJobTable::JoinParts(std::size_t count, KeyOf key_of) {
  std::string joined;
  for (std::size_t part = 0; part < count; ++part) {
    const auto found = this->parts.find(key_of(part));
    if (found == this->parts.end()) {
      return Failure(ErrorCode::kCorrupt,
                     "a part of a body or text is missing");
    }
    joined += found->second;
    this->parts.erase(found);
  }
  return joined;
}

void BatchJobTable::AddJob(BatchJobEntry job) {
  std::string id = job.record.job;
  // Its tokens are open from now on, and further copies of it have none.
  this->token_reservations.RemoveJob(id);
  this->entries.try_emplace(std::move(id), std::move(job));
}

Result<BatchItemEntry*> BatchJobTable::FindItem(const std::string& job,
                                                std::uint32_t item) {
  const auto found = this->entries.find(job);
  if (found == this->entries.end() || item >= found->second.items.size()) {
    return Failure(ErrorCode::kCorrupt, "record of an unknown job or item");
  }
  return &found->second.items[item];
}

Result<void> BatchJobTable::AcceptJob(const KeyedRecord& record) {
  TRY_ASSIGN(auto accepted, Decode<records::BatchJobAccepted>(*record.value));
  // The bodies are joined even if the job was accepted before, so that their
  // parts are removed.
  BatchJobEntry job;
  for (std::size_t i = 0; i < accepted.items.size(); ++i) {
    BatchItemEntry item{.spec = accepted.items[i]};
    TRY_ASSIGN(item.body, this->JoinParts(item.spec.body_parts, [&](auto part) {
      return BodyKey(accepted.job, accepted.tag, i, part);
    }));
    job.items.push_back(std::move(item));
  }
  accepted.items.clear();
  job.record = std::move(accepted);
  this->AddJob(std::move(job));
  return {};
}

Result<void> BatchJobTable::AcceptStoredJob(const KeyedRecord& record) {
  TRY_ASSIGN(auto stored, Decode<records::BatchJobStored>(*record.value));
  TRY_ASSIGN(auto job, MakeStoredJob(std::move(stored)));
  this->AddJob(std::move(job));
  return {};
}

Result<void> BatchJobTable::AcceptWorkspaceJob(const KeyedRecord& record) {
  TRY_ASSIGN(auto owned, Decode<records::BatchWorkspaceJob>(*record.value));
  TRY_ASSIGN(auto job, MakeStoredJob(std::move(owned.stored)));
  job.workspace = std::move(owned.workspace);
  this->AddJob(std::move(job));
  return {};
}

Result<void> BatchJobTable::AddReservation(const KeyedRecord& record,
                                           const RecordTimes& times) {
  TRY_ASSIGN(const auto reservation,
             Decode<records::BatchTokenReservation>(*record.value));
  if (ReservationKey(reservation.job, reservation.tag) != record.key) {
    return Failure(ErrorCode::kCorrupt, "a reservation with another job's key");
  }
  if (!this->entries.contains(reservation.job)) {
    this->token_reservations.Add(
        record.key, reservation,
        this->OpenTokens(reservation.route, reservation.workspace), times);
  }
  return {};
}

bool BatchJobTable::MarkFinished(const records::BatchItemFinished& finished) {
  BatchJobEntry& job = this->entries.at(finished.job);
  BatchItemEntry& item = job.items[finished.item];
  if (item.state != ItemState::kOpen) {
    return false;
  }
  item.state =
      finished.completed ? ItemState::kCompleted : ItemState::kAbandoned;
  item.body = std::string();
  item.spec.fields = {};
  item.progress = {};
  job.finished_items.push_back(finished.item);
  return true;
}

Result<void> BatchJobTable::FinishItem(const KeyedRecord& record) {
  TRY_ASSIGN(auto finished, Decode<records::BatchItemFinished>(*record.value));
  TRY_ASSIGN(BatchItemEntry * item,
             this->FindItem(finished.job, finished.item));
  // The text is joined even if the item is finished already, so that its parts
  // are removed.
  TRY_ASSIGN(auto text, this->JoinParts(finished.text_parts, [&](auto part) {
    return TextKey(finished.job, finished.item, finished.tag, part);
  }));
  if (this->MarkFinished(finished)) {
    item->text =
        finished.text_parts > 0 ? std::move(text) : std::move(finished.text);
  }
  return {};
}

Result<void> BatchJobTable::FinishStoredItem(const KeyedRecord& record) {
  TRY_ASSIGN(auto result, Decode<records::BatchItemResult>(*record.value));
  TRY_ASSIGN(BatchItemEntry * item,
             this->FindItem(result.finished.job, result.finished.item));
  if (this->MarkFinished(result.finished)) {
    item->stored_text = result.text;
    item->text_writer = std::move(result.writer);
  }
  return {};
}

Result<void> BatchJobTable::ApplyProgress(std::string_view content) {
  TRY_ASSIGN(auto progress, Decode<records::BatchItemProgress>(content));
  TRY_ASSIGN(BatchItemEntry * item,
             this->FindItem(progress.job, progress.item));
  if (item->state == ItemState::kOpen &&
      progress.events > item->progress.events) {
    item->progress = std::move(progress);
  }
  return {};
}

Result<void> BatchJobTable::RecordFailure(const KeyedRecord& record) {
  TRY_ASSIGN(const auto failed,
             Decode<records::BatchItemFailed>(*record.value));
  TRY_ASSIGN(BatchItemEntry * item, this->FindItem(failed.job, failed.item));
  item->failures.insert(record.key);
  return {};
}

Result<void> BatchJobTable::EndJob(const KeyedRecord& record) {
  TRY_ASSIGN(const auto ended, Decode<records::BatchJobEnded>(*record.value));
  const auto found = this->entries.find(ended.job);
  if (found == this->entries.end()) {
    return Failure(ErrorCode::kCorrupt, "end of an unknown job");
  }
  found->second.is_ended = true;
  return {};
}

const BatchJobEntry* BatchJobTable::Find(const std::string& job) const {
  const auto found = this->entries.find(job);
  return found == this->entries.end() ? nullptr : &found->second;
}

std::uint64_t BatchJobTable::OpenTokens(const std::string& route,
                                        const std::string& workspace) const {
  std::uint64_t tokens = 0;
  for (const auto& [id, job] : this->entries) {
    if (!job.is_ended && job.record.route == route &&
        job.workspace == workspace) {
      tokens += job.open_tokens();
    }
  }
  return tokens;
}

std::vector<std::string> BatchJobTable::KeysOf(const std::string& job) const {
  const auto found = this->keys_by_job.find(job);
  return found == this->keys_by_job.end()
             ? std::vector<std::string>()
             : std::vector<std::string>(found->second.begin(),
                                        found->second.end());
}

}  // namespace crocus
