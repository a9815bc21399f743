#include "LibLedger/partition_ledger.h"

#include <map>
#include <memory>
#include <set>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "LibLedger/append.h"
#include "LibLedger/ledger_reader.h"

namespace crocus {

namespace {

constexpr std::uint32_t kItems = 3;
constexpr char kSnapshotWriter[] = "snapshots";

/// Oracle that applies the replay rules (section 6.1 of the design) in their
/// simplest form: nothing is removed, and every body is kept.
struct Oracle {
  struct Item {
    std::string prompt;
    std::uint32_t failures = 0;
    std::string result;
  };
  struct OracleJob {
    JobState state = JobState::kReceiving;
    std::map<std::uint32_t, Item> items;
    std::vector<std::string> results;
  };

  std::uint64_t next = 1;
  std::uint64_t epoch = 0;
  std::string owner;
  std::map<std::string, OracleJob> jobs;
  std::set<std::string> ids;
  std::uint64_t sequence = 0;
};

struct System {
  std::vector<std::string> log;
  PartitionLedger ledger;
};

records::Append ReadAppend(const System& system, std::uint64_t offset) {
  return *Decode<records::Append>(system.log.at(offset - 1));
}

/// Compares the ledger with the oracle; the bodies are read from the log.
void CheckAgainst(const Oracle& oracle, const System& system) {
  const auto& ledger = system.ledger;
  RC_ASSERT(ledger.epoch() == oracle.epoch);
  RC_ASSERT(ledger.owner() == oracle.owner);
  RC_ASSERT(ledger.jobs().size() == oracle.jobs.size());
  for (const auto& [id, expected] : oracle.jobs) {
    const Job* job = ledger.FindJob(id);
    RC_ASSERT(job != nullptr);
    RC_ASSERT(job->state == expected.state);
    std::vector<std::string> results;
    for (const auto& run : job->result_runs) {
      RC_ASSERT(run.first == results.size());
      for (const auto& result :
           ReadResults(ReadAppend(system, run.offset), id, run)) {
        results.push_back(result.text);
      }
    }
    RC_ASSERT(results == expected.results);
    RC_ASSERT(job->finished_count == results.size());
    if (job->is_closed()) {
      RC_ASSERT(job->items.empty());
      continue;
    }
    for (const auto& [index, item] : expected.items) {
      RC_ASSERT(job->FailuresOf(index) == item.failures);
      RC_ASSERT(job->IsFinished(index) == !item.result.empty());
      const auto body =
          FindItemBody(ReadAppend(system, job->BodyOffset(index)), id, index);
      RC_ASSERT(body.has_value());
      RC_ASSERT(body->prompt == item.prompt);
    }
  }
}

using LedgerCommand = rc::state::Command<Oracle, System>;

/// Applies one append with one random record, sometimes twice.
struct AppendRecord : LedgerCommand {
  std::uint32_t kind = *rc::gen::inRange(0, 11);
  std::string job = "j" + std::to_string(*rc::gen::inRange(0, 3));
  std::uint32_t index = *rc::gen::inRange<std::uint32_t>(0, kItems);
  /// True if the record has an epoch older than the current one.
  bool is_stale = *rc::gen::inRange(0, 5) == 0;
  bool is_repeated = *rc::gen::inRange(0, 4) == 0;
  std::string text = "t" + std::to_string(*rc::gen::inRange(0, 1000));

  std::uint64_t EpochOf(const Oracle& oracle) const {
    return this->is_stale ? oracle.epoch - 1 : oracle.epoch;
  }

  void show(std::ostream& stream) const override {
    stream << "kind " << this->kind << " " << this->job << "/" << this->index
           << (this->is_stale ? " stale" : "")
           << (this->is_repeated ? " repeated" : "");
  }

  std::vector<records::Envelope> Envelopes(const Oracle& oracle) const {
    const std::uint64_t epoch = this->EpochOf(oracle);
    switch (this->kind) {
      case 0:
        return {MakeEnvelope(
            records::Claim{.replaced_epoch = epoch, .owner = this->text})};
      case 1:
        return {MakeEnvelope(records::Release{.epoch = epoch})};
      case 2:
      case 3: {
        records::JobItems items{.job = this->job};
        for (std::uint32_t i = 0; i < kItems; ++i) {
          items.items.push_back({.index = i, .prompt = this->text});
        }
        return {MakeEnvelope(records::JobBegin{.job = this->job}),
                MakeEnvelope(items),
                MakeEnvelope(records::JobCommit{.job = this->job,
                                                .item_count = kItems})};
      }
      case 4:
        return {MakeEnvelope(records::JobBegin{.job = this->job}),
                MakeEnvelope(records::JobItems{
                    .job = this->job,
                    .items = {{.index = this->index, .prompt = this->text}}})};
      case 5:
      case 6:
      case 7:
        return {MakeEnvelope(records::ItemResults{
            .epoch = epoch,
            .results = {
                {.job = this->job, .index = this->index, .text = "a"},
                {.job = this->job, .index = this->index, .text = this->text},
                {.job = this->job,
                 .index = (this->index + 1) % kItems,
                 .text = this->text}}})};
      case 8:
        return {MakeEnvelope(records::ItemFailures{
            .epoch = epoch,
            .failures = {{.job = this->job, .index = this->index}}})};
      case 9:
        return {MakeEnvelope(records::JobCancel{.job = this->job})};
      default:
        return {MakeEnvelope(records::CarriedItems{
            .epoch = epoch,
            .job = this->job,
            .items = {
                {.index = this->index, .prompt = this->PromptOf(oracle)}}})};
    }
  }

  std::string PromptOf(const Oracle& oracle) const {
    const auto found = oracle.jobs.find(this->job);
    return found == oracle.jobs.end() ||
                   !found->second.items.contains(this->index)
               ? ""
               : found->second.items.at(this->index).prompt;
  }

  void apply(Oracle& oracle) const override {
    const std::uint64_t epoch = this->EpochOf(oracle);
    const std::uint64_t offset = oracle.next;
    oracle.next += this->is_repeated ? 2 : 1;
    ++oracle.sequence;
    auto found = oracle.jobs.find(this->job);
    const bool is_current = epoch == oracle.epoch;
    switch (this->kind) {
      case 0:
        if (is_current) {
          oracle.epoch = offset;
          oracle.owner = this->text;
        }
        return;
      case 1:
        if (is_current) {
          oracle.owner.clear();
        }
        return;
      case 2:
      case 3:
      case 4: {
        auto& job = oracle.jobs[this->job];
        if (job.state != JobState::kReceiving) {
          return;
        }
        for (std::uint32_t i = 0; i < kItems; ++i) {
          if (this->kind != 4 || i == this->index) {
            job.items.try_emplace(i, Oracle::Item{.prompt = this->text});
          }
        }
        if (this->kind != 4) {
          job.state = JobState::kAccepted;
        }
        return;
      }
      case 5:
      case 6:
      case 7:
        if (is_current && found != oracle.jobs.end()) {
          this->Finish(found->second, this->index, "a");
          this->Finish(found->second, (this->index + 1) % kItems, this->text);
        }
        return;
      case 8:
        if (is_current && found != oracle.jobs.end()) {
          if (const auto item = found->second.items.find(this->index);
              item != found->second.items.end() && item->second.failures < 63) {
            ++item->second.failures;
          }
        }
        return;
      case 9:
        if (found != oracle.jobs.end() &&
            found->second.state != JobState::kFinished) {
          found->second.state = JobState::kCancelled;
        }
        return;
      default:
        return;
    }
  }

  static void Finish(Oracle::OracleJob& job,
                     std::uint32_t index,
                     const std::string& text) {
    if (job.state != JobState::kAccepted || !job.items[index].result.empty()) {
      return;
    }
    job.items[index].result = text;
    job.results.push_back(text);
    if (job.results.size() == kItems) {
      job.state = JobState::kFinished;
    }
  }

  void run(const Oracle& before, System& system) const override {
    const std::string data =
        Encode(records::Append{.id = "w." + std::to_string(before.sequence + 1),
                               .writer = "w",
                               .records = this->Envelopes(before)});
    for (int copy = 0; copy < (this->is_repeated ? 2 : 1); ++copy) {
      system.log.push_back(data);
      system.ledger.Apply(system.log.size(), data);
    }
    Oracle after = before;
    this->apply(after);
    CheckAgainst(after, system);
  }
};

/// Replaces the ledger with one restored from its own snapshot.
struct RestoreFromSnapshot : LedgerCommand {
  void run(const Oracle& before, System& system) const override {
    constexpr std::size_t kPartBytes = 64;
    auto restored =
        PartitionLedger::FromSnapshot(system.ledger.MakeSnapshot(kPartBytes));
    RC_ASSERT(restored.has_value());
    RC_ASSERT(*restored == system.ledger);
    system.ledger = std::move(*restored);
    CheckAgainst(before, system);
  }
};

}  // namespace

TEST_GROUP(PartitionLedger_RandomRecords){};

// Guards against replay that breaks a rule: fencing by epoch, the first result
// wins, a cancelled job accepts no results, repeated appends have no effect,
// and bodies are found at their position.
TEST(PartitionLedger_RandomRecords, ReplayAgreesWithTheOracle) {
  CHECK(rc::check([] {
    System system;
    rc::state::check(
        Oracle(), system,
        rc::state::gen::execOneOfWithArgs<AppendRecord, AppendRecord,
                                          AppendRecord, RestoreFromSnapshot>());
  }));
}

TEST_GROUP(LedgerReader_TrimmedStream) {
  std::vector<LogRecord> records;
  std::uint64_t first = 1;

  void Add(const std::string& writer,
           std::vector<records::Envelope> envelopes) {
    this->records.push_back(
        {.offset = this->records.size() + 1,
         .data = Encode(MakeAppend(writer, std::move(envelopes)))});
  }

  void AddJob(const std::string& job) {
    this->Add("w",
              {MakeEnvelope(records::JobBegin{.job = job}),
               MakeEnvelope(records::JobItems{
                   .job = job, .items = {{.index = 0, .prompt = job}}}),
               MakeEnvelope(records::JobCommit{.job = job, .item_count = 1})});
  }

  void AddSnapshot(const PartitionLedger& ledger, std::size_t parts) {
    auto all = ledger.MakeSnapshot(40);
    for (std::size_t i = 0; i < std::min(parts, all.size()); ++i) {
      this->Add(kSnapshotWriter, {MakeEnvelope(all[i])});
    }
  }

  LogPage Read(std::uint64_t from, std::uint32_t limit) const {
    LogPage page{.first = this->first, .next = this->records.size() + 1};
    for (std::uint64_t offset = std::max(from, this->first);
         offset < page.next && page.records.size() < limit; ++offset) {
      page.records.push_back(this->records[offset - 1]);
    }
    return page;
  }

  /// Reads to the end of the stream; returns false if it cannot be replayed.
  bool Follow(LedgerReader & reader) const {
    for (int i = 0; i < 1000 && !reader.is_current(); ++i) {
      if (!reader.OnPage(this->Read(reader.from(), reader.limit()),
                         [](const LogRecord&) {})) {
        return false;
      }
    }
    return reader.is_current();
  }
};

// Guards against a start that loses jobs whose records were trimmed, or that
// uses a snapshot with a missing part.
TEST(LedgerReader_TrimmedStream, StartsFromTheNewestCompleteSnapshot) {
  PartitionLedger full_ledger;
  const auto apply_rest = [this, &full_ledger] {
    for (auto i = full_ledger.next_offset(); i <= this->records.size(); ++i) {
      full_ledger.Apply(i, this->records[i - 1].data);
    }
  };
  this->AddJob("a");
  this->AddJob("b");
  apply_rest();
  this->AddSnapshot(full_ledger, 1000);
  this->AddJob("c");
  apply_rest();
  this->AddSnapshot(full_ledger, 1);
  this->AddJob("d");
  apply_rest();
  this->first = 3;
  for (const std::uint32_t page_records : {1u, 2u, 7u, 100u}) {
    LedgerReader reader(page_records);
    CHECK(this->Follow(reader));
    CHECK(reader.ledger() == full_ledger);
    CHECK_EQUAL(4, reader.ledger().jobs().size());
  }
}

// Guards against silent data loss: without a usable snapshot the reader must
// report an error.
TEST(LedgerReader_TrimmedStream, ReportsATrimmedHeadWithoutASnapshot) {
  this->AddJob("a");
  this->AddJob("b");
  this->first = 2;
  LedgerReader reader(10);
  CHECK_FALSE(this->Follow(reader));
}

// Guards against a reader that skips records which were trimmed while it was
// paused.
TEST(LedgerReader_TrimmedStream, FollowerThatFellBehindStartsOver) {
  LedgerReader reader(10);
  this->AddJob("a");
  CHECK(this->Follow(reader));
  this->AddJob("b");
  this->AddJob("c");
  PartitionLedger full_ledger;
  for (const auto& record : this->records) {
    full_ledger.Apply(record.offset, record.data);
  }
  this->AddSnapshot(full_ledger, 1000);
  this->first = 3;
  reader.OnPage(this->Read(reader.from(), reader.limit()),
                [](const LogRecord&) {});
  CHECK(this->Follow(reader));
  CHECK_EQUAL(3, reader.ledger().jobs().size());
}

// Guards against a reader that replays all records since its pause although
// there is a snapshot, and against one that loses its state because there is
// none.
TEST(LedgerReader_TrimmedStream, ResumedReaderStartsFromANewerSnapshot) {
  for (const bool has_snapshot : {true, false}) {
    this->records.clear();
    this->AddJob("a");
    LedgerReader reader(2);
    CHECK(this->Follow(reader));
    PartitionLedger full_ledger;
    const auto apply_rest = [this, &full_ledger] {
      for (auto i = full_ledger.next_offset(); i <= this->records.size(); ++i) {
        full_ledger.Apply(i, this->records[i - 1].data);
      }
    };
    for (int job = 0; job < 100; ++job) {
      this->AddJob("j" + std::to_string(job));
    }
    apply_rest();
    if (has_snapshot) {
      this->AddSnapshot(full_ledger, 1000);
    }
    this->AddJob("z");
    apply_rest();
    reader.Resume();
    std::vector<std::uint64_t> applied;
    const auto collect_offset = [&applied](const LogRecord& record) {
      applied.push_back(record.offset);
    };
    do {
      CHECK(
          reader
              .OnPage(this->Read(reader.from(), reader.limit()), collect_offset)
              .has_value());
    } while (!reader.is_current());
    CHECK(reader.ledger() == full_ledger);
    // The parts of the snapshot follow the 101 jobs that it covers.
    CHECK_EQUAL(has_snapshot ? 102 : 2, applied.front());
  }
}

// Guards against results that are lost or returned twice when they are written
// again before the log trims them.
TEST(LedgerReader_TrimmedStream, CarriedResultsReplaceCompleteRunsOnly) {
  PartitionLedger ledger;
  this->Add("w", {MakeEnvelope(records::Claim{.owner = "w"})});
  this->AddJob("a");
  const records::ItemResult result{.job = "a", .text = "r"};
  this->Add(
      "w",
      {MakeEnvelope(records::ItemResults{.epoch = 1, .results = {result}})});
  this->Add("w", {MakeEnvelope(records::CarriedResults{
                     .epoch = 1, .job = "a", .results = {result, result}})});
  this->Add("w", {MakeEnvelope(records::CarriedResults{
                     .epoch = 1, .job = "a", .results = {result}})});
  for (const auto& record : this->records) {
    ledger.Apply(record.offset, record.data);
  }
  const Job* job = ledger.FindJob("a");
  CHECK_EQUAL(1, job->result_runs.size());
  CHECK_EQUAL(5, job->result_runs[0].offset);
  const auto append = Decode<records::Append>(this->records[4].data);
  CHECK_EQUAL(1, ReadResults(*append, "a", job->result_runs[0]).size());
}

// Guards against a large job that takes more memory than one byte for each open
// item, or that keeps its items after it is closed.
TEST(LedgerReader_TrimmedStream, OpenItemsTakeOneByte) {
  Job job;
  for (std::uint32_t i = 0; i < Job::kMaximumItems + 5; ++i) {
    job.Receive(i, 1 + i / 256);
  }
  CHECK_EQUAL(Job::kMaximumItems, job.items.size());
  CHECK_EQUAL(1602, job.item_runs.size());
  job.Close(JobState::kFinished, 9);
  CHECK(job.items.capacity() < 64);
  CHECK(job.item_runs.empty());
}

}  // namespace crocus
