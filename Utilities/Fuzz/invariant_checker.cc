#include "invariant_checker.h"

#include "LibCore/hashing.h"
#include "LibLedger/partition_owner.h"
#include "LibMessages/codec.h"

namespace crocus {

std::string ExpectedToken(const std::string& prompt, std::uint32_t index) {
  return "t" + std::to_string(HashBytes(prompt, index) % 10000) + " ";
}

std::string ExpectedAnswer(const std::string& prompt, std::uint32_t tokens) {
  std::string text;
  for (std::uint32_t i = 0; i < tokens; ++i) {
    text += ExpectedToken(prompt, i);
  }
  return text;
}

void InvariantChecker::OnRecord(const std::string& stream,
                                const LogRecord& record) {
  this->records[stream].push_back(record);
  if (stream == kRulesStream) {
    const std::uint64_t before = this->rules.version();
    this->rules.Apply(
        {.first = 1, .next = record.offset + 1, .records = {record}},
        [this](const PublishOutcome& outcome) {
          if (outcome.is_accepted) {
            this->Check(++this->accepted_publishes[outcome.version] == 1,
                        "two publishes created rules version " +
                            std::to_string(outcome.version));
          }
        });
    if (this->rules.version() != before) {
      this->accepted_texts.insert(this->rules.text());
    }
    return;
  }
  for (std::uint32_t i = 0; i < this->partition_count; ++i) {
    if (stream == PartitionStream(i)) {
      this->ApplyBatchRecord(i, record);
    }
  }
}

std::uint64_t InvariantChecker::CountFinishedItems(
    std::uint32_t partition) const {
  std::uint64_t count = 0;
  for (const auto& [id, job] : this->ledgers.at(partition).jobs()) {
    count += job.finished_count;
  }
  return count;
}

void InvariantChecker::ApplyBatchRecord(std::uint32_t partition,
                                        const LogRecord& record) {
  auto& ledger = this->ledgers[partition];
  auto& epoch = this->claimed_epochs[partition];
  bool is_stale = false;
  const auto append = Decode<records::Append>(record.data);
  for (const auto& envelope : append->records) {
    const auto type = static_cast<records::RecordType>(envelope.type);
    if (type == records::RecordType::kClaim) {
      const auto claim = Decode<records::Claim>(envelope.body);
      epoch = claim->replaced_epoch == epoch ? record.offset : epoch;
    } else if (type == records::RecordType::kItemResults) {
      is_stale = Decode<records::ItemResults>(envelope.body)->epoch != epoch;
    }
  }
  const std::uint64_t before =
      is_stale ? this->CountFinishedItems(partition) : 0;
  ledger.Apply(record.offset, record.data);
  this->Check(!is_stale || this->CountFinishedItems(partition) == before,
              "results of an earlier owner were counted in partition " +
                  std::to_string(partition));
  this->Check(ledger.epoch() == epoch,
              "partition " + std::to_string(partition) +
                  " has an epoch other than that of its newest valid claim");
}

void InvariantChecker::AddJob(const std::string& job, std::vector<Item> items) {
  this->jobs.try_emplace(job, std::move(items));
}

const Job* InvariantChecker::FindJob(const std::string& job) {
  return this->ledgers[PartitionOf(job, this->partition_count)].FindJob(job);
}

void InvariantChecker::OnJobAcknowledged(const std::string& job) {
  this->acknowledged_jobs.insert(job);
  const Job* found = this->FindJob(job);
  this->Check(found != nullptr && found->state != JobState::kReceiving,
              "job " + job + " was acknowledged but is not in the log");
}

void InvariantChecker::OnCancelAcknowledged(const std::string& job) {
  this->cancelled_jobs.insert(job);
  const Job* found = this->FindJob(job);
  this->Check(
      found != nullptr && found->is_closed(),
      "the cancel of job " + job + " was acknowledged but is not in the log");
}

void InvariantChecker::CheckEntryLedger(std::uint32_t partition,
                                        const PartitionLedger& entry_ledger) {
  const auto& stream_records = this->records[PartitionStream(partition)];
  if (entry_ledger.next_offset() == this->ledgers[partition].next_offset()) {
    this->Check(entry_ledger == this->ledgers[partition],
                "an entry's ledger of partition " + std::to_string(partition) +
                    " differs from the log at offset " +
                    std::to_string(entry_ledger.next_offset()));
    return;
  }
  this->Check(entry_ledger.next_offset() <= stream_records.size() + 1,
              "an entry's ledger is ahead of the log");
}

void InvariantChecker::OnConfirm(const std::string& attempt,
                                 const std::string& request) {
  const auto item = ParseItemRequest(request);
  if (!item) {
    return;
  }
  const Job* job = this->FindJob(item->job);
  this->Check(
      job == nullptr || job->is_closed() || job->IsFinished(item->index),
      "attempt " + attempt + " of " + request +
          " was confirmed before its result was in the log");
}

void InvariantChecker::OnEngineBegin(const messages::Execute& execute) {
  this->Check(
      !this->not_run_attempts.contains(execute.attempt),
      "attempt " + execute.attempt + " ran after it was reported as not run");
  this->engine_runs[execute.attempt] = execute.request;
  this->running_attempts.insert(execute.attempt);
  this->attempt_requests[execute.attempt] = execute.request;
  if (!execute.repeatable) {
    this->Check(
        ++this->non_repeatable_runs[execute.request] == 1,
        "request " + execute.request + " is not repeatable but ran twice");
  }
}

void InvariantChecker::OnEngineEnd(const std::string& attempt) {
  this->running_attempts.erase(attempt);
}

void InvariantChecker::OnDaemonCrash(const std::set<std::string>& attempts) {
  for (const auto& attempt : attempts) {
    this->running_attempts.erase(attempt);
  }
}

void InvariantChecker::OnNotRun(const std::string& attempt) {
  this->not_run_attempts.insert(attempt);
  this->Check(!this->engine_runs.contains(attempt),
              "attempt " + attempt + " was reported as not run but has run");
}

void InvariantChecker::OnOnlineAnswer(const std::string& request,
                                      const std::string& prompt,
                                      std::uint32_t tokens,
                                      const std::string& text) {
  ++this->online_answers;
  this->Check(
      text == ExpectedAnswer(prompt, tokens),
      "request " + request + " received a text other than the expected one");
}

void InvariantChecker::OnRulesVersion(const std::string& process,
                                      std::uint64_t incarnation,
                                      std::uint64_t version) {
  auto& newest_version =
      this->process_rules_versions[process + "#" + std::to_string(incarnation)];
  this->Check(version >= newest_version,
              "the rules version of " + process + " decreased");
  this->Check(version <= this->rules.version(),
              process + " runs a rules version that is not in the log");
  newest_version = version;
}

void InvariantChecker::OnPublishReported(std::uint64_t base,
                                         const std::string& text,
                                         bool is_accepted) {
  this->Check(is_accepted == this->accepted_texts.contains(text),
              "the reported outcome of a publish differs from that in the log");
  if (is_accepted) {
    this->Check(this->accepted_publishes[base + 1] == 1,
                "a publish was reported as accepted, but its version does not "
                "have exactly one accepted publish");
  }
}

void InvariantChecker::CheckJob(const std::string& id,
                                const std::vector<Item>& items) {
  const Job* job = this->FindJob(id);
  if (job == nullptr) {
    return;
  }
  const auto& stream_records =
      this->records[PartitionStream(PartitionOf(id, this->partition_count))];
  std::set<std::uint32_t> finished;
  for (const auto& run : job->result_runs) {
    const auto append =
        Decode<records::Append>(stream_records[run.offset - 1].data);
    for (const auto& result : ReadResults(*append, id, run)) {
      this->Check(finished.insert(result.index).second,
                  "item " + std::to_string(result.index) + " of job " + id +
                      " has two results");
      const Item& item = items[result.index];
      const bool must_fail =
          item.prompt.find(kFailingPromptMark) != std::string::npos;
      this->Check(
          !result.succeeded ||
              result.text == ExpectedAnswer(item.prompt, item.max_tokens),
          "item " + std::to_string(result.index) + " of job " + id +
              " has a text other than the expected one");
      this->Check(!result.succeeded || !must_fail,
                  "an item succeeded although its prompt always fails");
    }
  }
  this->Check(
      finished.size() == job->finished_count,
      "job " + id + " has a finished count that differs from its results");
}

void InvariantChecker::CheckFinalState() {
  for (const auto& [id, items] : this->jobs) {
    this->CheckJob(id, items);
    const Job* job = this->FindJob(id);
    if (this->acknowledged_jobs.contains(id)) {
      this->Check(
          job != nullptr && job->is_closed(),
          "job " + id +
              " was acknowledged but is neither finished nor cancelled");
    }
    if (job != nullptr && job->state == JobState::kFinished) {
      this->Check(job->finished_count == items.size(),
                  "job " + id + " is finished but not all of its items are");
    }
  }
  for (const auto& attempt : this->running_attempts) {
    const auto item = ParseItemRequest(this->attempt_requests[attempt]);
    const Job* job = item ? this->FindJob(item->job) : nullptr;
    this->Check(job == nullptr || job->state != JobState::kCancelled,
                "attempt " + attempt + " still runs for a cancelled job");
  }
}

std::map<std::string, std::uint64_t> InvariantChecker::Counts() {
  std::map<std::string, std::uint64_t> counts = {
      {"jobs", this->acknowledged_jobs.size()},
      {"cancels", this->cancelled_jobs.size()},
      {"engine_runs", this->engine_runs.size()},
      {"single_runs", this->non_repeatable_runs.size()},
      {"not_run_promises", this->not_run_attempts.size()},
      {"online_answers", this->online_answers},
      {"rules_versions", this->rules.version()}};
  for (const auto& [id, items] : this->jobs) {
    if (const Job* job = this->FindJob(id)) {
      counts["items_finished"] += job->finished_count;
      counts["items_failed"] += job->failed_count;
    }
  }
  return counts;
}

}  // namespace crocus
