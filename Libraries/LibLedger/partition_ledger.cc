#include "LibLedger/partition_ledger.h"

#include <algorithm>
#include <utility>

#include "LibCore/assertions.h"
#include "LibCore/hashing.h"
#include "LibMessages/codec.h"

namespace crocus {

using records::RecordType;

namespace {

/// Number of time marks that are kept. At one mark a minute this covers 34
/// hours.
constexpr std::size_t kMaximumTimeMarks = 2048;

}  // namespace

std::uint32_t PartitionOf(const std::string& job, std::uint32_t partitions) {
  return static_cast<std::uint32_t>(HashBytes(job) % partitions);
}

std::string PartitionStream(std::uint32_t partition) {
  return "batch-" + std::to_string(partition);
}

const Job* PartitionLedger::FindJob(const std::string& id) const {
  const auto found = this->all_jobs.find(id);
  return found == this->all_jobs.end() ? nullptr : &found->second;
}

Job* PartitionLedger::FindOpenJob(const std::string& id) {
  const auto found = this->all_jobs.find(id);
  return found == this->all_jobs.end() || found->second.is_closed()
             ? nullptr
             : &found->second;
}

std::set<std::string> PartitionLedger::TakeChangedJobs() {
  return std::exchange(this->changed_jobs, {});
}

void PartitionLedger::Apply(std::uint64_t offset, std::string_view data) {
  VERIFY(offset >= this->next);
  this->next = offset + 1;
  const auto append = Decode<records::Append>(data);
  if (!append || !this->applied.Add(append->id, offset)) {
    return;
  }
  for (std::uint32_t i = 0; i < append->records.size(); ++i) {
    this->ApplyRecord({.offset = offset, .part = i}, append->records[i]);
  }
}

void PartitionLedger::ApplyRecord(RecordPosition position,
                                  const records::Envelope& envelope) {
  const auto apply = [&envelope](auto record, auto handler) {
    if (const auto decoded = Decode<decltype(record)>(envelope.body)) {
      handler(*decoded);
    }
  };
  switch (static_cast<RecordType>(envelope.type)) {
    case RecordType::kClaim:
      return apply(records::Claim(), [&](const auto& record) {
        this->OnClaim(position, record);
      });
    case RecordType::kRelease:
      return apply(records::Release(),
                   [&](const auto& record) { this->OnRelease(record); });
    case RecordType::kJobBegin:
      return apply(records::JobBegin(),
                   [&](const auto& record) { this->OnJobBegin(record); });
    case RecordType::kJobItems:
      return apply(records::JobItems(), [&](const auto& record) {
        this->OnJobItems(position, record);
      });
    case RecordType::kJobCommit:
      return apply(records::JobCommit(), [&](const auto& record) {
        this->OnJobCommit(position, record);
      });
    case RecordType::kItemResults:
      return apply(records::ItemResults(), [&](const auto& record) {
        this->OnItemResults(position, record);
      });
    case RecordType::kItemFailures:
      return apply(records::ItemFailures(),
                   [&](const auto& record) { this->OnItemFailures(record); });
    case RecordType::kJobCancel:
      return apply(records::JobCancel(), [&](const auto& record) {
        this->OnJobCancel(position, record);
      });
    case RecordType::kCarriedItems:
      return apply(records::CarriedItems(), [&](const auto& record) {
        this->OnCarriedItems(position, record);
      });
    case RecordType::kCarriedResults:
      return apply(records::CarriedResults(), [&](const auto& record) {
        this->OnCarriedResults(position, record);
      });
    case RecordType::kJobForget:
      return apply(records::JobForget(),
                   [&](const auto& record) { this->OnJobForget(record); });
    case RecordType::kTimeMark:
      return apply(records::TimeMark(), [&](const auto& record) {
        this->OnTimeMark(position, record);
      });
    default:
      // LedgerReader reads the snapshots; they change nothing here.
      return;
  }
}

void PartitionLedger::OnClaim(RecordPosition position,
                              const records::Claim& claim) {
  // Two claims in one append replace the same epoch; the first one wins.
  if (claim.replaced_epoch != this->current_epoch ||
      this->current_epoch == position.offset) {
    return;
  }
  this->current_epoch = position.offset;
  this->current_owner = claim.owner;
  this->current_incarnation = claim.incarnation;
}

void PartitionLedger::OnRelease(const records::Release& release) {
  if (release.epoch != this->current_epoch) {
    return;
  }
  this->current_owner.clear();
  this->current_incarnation = 0;
}

void PartitionLedger::OnJobBegin(const records::JobBegin& begin) {
  const auto [entry, is_new] = this->all_jobs.try_emplace(begin.job);
  if (!is_new) {
    return;
  }
  Job& job = entry->second;
  job.id = begin.job;
  job.workspace = begin.workspace;
  job.request_class = begin.request_class;
  job.model = begin.model;
  job.due_ms = begin.due_ms;
}

void PartitionLedger::OnJobItems(RecordPosition position,
                                 const records::JobItems& items) {
  Job* job = this->FindOpenJob(items.job);
  if (job == nullptr || job->state != JobState::kReceiving) {
    return;
  }
  for (const auto& body : items.items) {
    job->Receive(body.index, position.offset);
  }
}

void PartitionLedger::OnJobCommit(RecordPosition position,
                                  const records::JobCommit& commit) {
  Job* job = this->FindOpenJob(commit.job);
  if (job == nullptr || job->state != JobState::kReceiving ||
      job->received_count != commit.item_count ||
      job->items.size() != commit.item_count) {
    return;
  }
  job->item_count = commit.item_count;
  job->state = JobState::kAccepted;
  if (commit.item_count == 0) {
    job->Close(JobState::kFinished, position.offset);
  }
  this->changed_jobs.insert(commit.job);
}

void PartitionLedger::OnItemResults(RecordPosition position,
                                    const records::ItemResults& results) {
  if (results.epoch != this->current_epoch) {
    return;
  }
  std::map<std::string, records::ResultRun> runs;
  for (std::uint32_t i = 0; i < results.results.size(); ++i) {
    const auto& result = results.results[i];
    Job* job = this->FindOpenJob(result.job);
    if (job != nullptr && job->state == JobState::kAccepted) {
      auto& run =
          runs.try_emplace(result.job,
                           records::ResultRun{.first = job->finished_count,
                                              .offset = position.offset,
                                              .part = position.part})
              .first->second;
      if (!job->HasReceived(result.index) || job->IsFinished(result.index)) {
        run.skipped.push_back(i);
        continue;
      }
      job->MarkFinished(result.index);
      job->failed_count += result.succeeded ? 0 : 1;
      ++run.count;
    } else if (const auto run = runs.find(result.job); run != runs.end()) {
      run->second.skipped.push_back(i);
    }
  }
  for (auto& [id, run] : runs) {
    Job& job = this->all_jobs.at(id);
    if (run.count > 0) {
      job.result_runs.push_back(std::move(run));
    }
    if (job.finished_count == job.item_count) {
      job.Close(JobState::kFinished, position.offset);
      this->changed_jobs.insert(id);
    }
  }
}

void PartitionLedger::OnItemFailures(const records::ItemFailures& failures) {
  if (failures.epoch != this->current_epoch) {
    return;
  }
  for (const auto& failure : failures.failures) {
    if (Job* job = this->FindOpenJob(failure.job)) {
      job->CountFailure(failure.index);
      this->changed_jobs.insert(failure.job);
    }
  }
}

void PartitionLedger::OnJobCancel(RecordPosition position,
                                  const records::JobCancel& cancel) {
  if (Job* job = this->FindOpenJob(cancel.job)) {
    job->Close(JobState::kCancelled, position.offset);
    this->changed_jobs.insert(cancel.job);
  }
}

void PartitionLedger::OnCarriedItems(RecordPosition position,
                                     const records::CarriedItems& items) {
  Job* job = this->FindOpenJob(items.job);
  if (items.epoch != this->current_epoch || job == nullptr) {
    return;
  }
  for (const auto& body : items.items) {
    if (job->HasReceived(body.index)) {
      job->MoveBody(body.index, position.offset);
    }
  }
}

void PartitionLedger::OnCarriedResults(RecordPosition position,
                                       const records::CarriedResults& results) {
  const auto found = this->all_jobs.find(results.job);
  if (results.epoch != this->current_epoch || found == this->all_jobs.end()) {
    return;
  }
  // Replaces only complete runs, so that no result is lost or returned twice.
  auto& runs = found->second.result_runs;
  const auto count = static_cast<std::uint32_t>(results.results.size());
  const auto begin = std::find_if(
      runs.begin(), runs.end(),
      [&results](const auto& run) { return run.first == results.first; });
  const auto end = std::find_if(begin, runs.end(), [&](const auto& run) {
    return run.first >= results.first + count;
  });
  if (begin == end ||
      std::prev(end)->first + std::prev(end)->count != results.first + count) {
    return;
  }
  *begin = {.first = results.first,
            .count = count,
            .offset = position.offset,
            .part = position.part};
  runs.erase(std::next(begin), end);
}

void PartitionLedger::OnJobForget(const records::JobForget& forget) {
  const auto found = this->all_jobs.find(forget.job);
  if (forget.epoch == this->current_epoch && found != this->all_jobs.end() &&
      found->second.state != JobState::kAccepted) {
    this->all_jobs.erase(found);
    this->changed_jobs.insert(forget.job);
  }
}

void PartitionLedger::OnTimeMark(RecordPosition position,
                                 const records::TimeMark& mark) {
  if (mark.epoch != this->current_epoch) {
    return;
  }
  // A clock that steps back must not make older records appear younger.
  const std::int64_t unix_ms =
      this->times.empty() ? mark.unix_ms
                          : std::max(mark.unix_ms, this->times.back().unix_ms);
  this->times.push_back({.offset = position.offset, .unix_ms = unix_ms});
  if (this->times.size() > kMaximumTimeMarks) {
    this->times.erase(this->times.begin());
  }
}

std::uint64_t PartitionLedger::OffsetBefore(std::int64_t unix_ms) const {
  const auto found = std::partition_point(
      this->times.begin(), this->times.end(),
      [unix_ms](const auto& time) { return time.unix_ms < unix_ms; });
  return found == this->times.begin() ? 0 : std::prev(found)->offset;
}

std::int64_t PartitionLedger::LatestTimeOf(std::uint64_t offset) const {
  const auto found = std::partition_point(
      this->times.begin(), this->times.end(),
      [offset](const auto& time) { return time.offset < offset; });
  return found == this->times.end() ? 0 : found->unix_ms;
}

std::vector<records::Snapshot> PartitionLedger::MakeSnapshot(
    std::size_t part_bytes) const {
  records::LedgerState state{.epoch = this->current_epoch,
                             .owner = this->current_owner,
                             .incarnation = this->current_incarnation,
                             .jobs = {},
                             .writers = this->applied.marks(),
                             .times = this->times};
  for (const auto& [id, job] : this->all_jobs) {
    state.jobs.push_back(job.ToSummary());
  }
  const std::string bytes = Encode(state);
  const auto count = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, (bytes.size() + part_bytes - 1) / part_bytes));
  std::vector<records::Snapshot> parts;
  for (std::uint32_t i = 0; i < count; ++i) {
    parts.push_back({.through_offset = this->next - 1,
                     .part = i,
                     .part_count = count,
                     .state = bytes.substr(i * part_bytes, part_bytes)});
  }
  return parts;
}

Result<PartitionLedger> PartitionLedger::FromSnapshot(
    const std::vector<records::Snapshot>& parts) {
  std::string bytes;
  for (const auto& part : parts) {
    bytes += part.state;
  }
  TRY_ASSIGN(const records::LedgerState state,
             Decode<records::LedgerState>(bytes));
  PartitionLedger ledger;
  ledger.next = parts.front().through_offset + 1;
  ledger.current_epoch = state.epoch;
  ledger.current_owner = state.owner;
  ledger.current_incarnation = state.incarnation;
  ledger.applied.Restore(state.writers);
  ledger.times = state.times;
  for (const auto& summary : state.jobs) {
    ledger.all_jobs[summary.job] = Job::FromSummary(summary);
    ledger.changed_jobs.insert(summary.job);
  }
  return ledger;
}

bool PartitionLedger::operator==(const PartitionLedger& other) const {
  return this->next == other.next &&
         this->current_epoch == other.current_epoch &&
         this->current_owner == other.current_owner &&
         this->current_incarnation == other.current_incarnation &&
         this->all_jobs == other.all_jobs && this->applied == other.applied &&
         this->times == other.times;
}

}  // namespace crocus
