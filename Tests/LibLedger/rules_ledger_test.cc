#include "LibLedger/rules_ledger.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <CppUTest/TestHarness.h>

#include "LibLedger/rules_reader.h"

namespace crocus {

namespace {

constexpr std::size_t kReaders = 3;

/// Log in memory with lost replies and trimming.
class MemoryLog {
 public:
  Result<std::uint64_t> Append(const std::string&, const std::string& data) {
    this->records.push_back({.offset = this->records.size() + 1, .data = data});
    if (this->is_reply_lost) {
      return Failure(ErrorCode::kTimeout, "reply lost", Verdict::kMayHaveRun);
    }
    return this->records.size();
  }

  Result<LogPage> Read(const std::string&,
                       std::uint64_t from,
                       std::uint32_t limit) {
    LogPage page{
        .first = this->first, .next = this->records.size() + 1, .records = {}};
    for (auto offset = std::max(from, this->first);
         offset < page.next && page.records.size() < limit; ++offset) {
      page.records.push_back(this->records[offset - 1]);
    }
    return page;
  }

  std::vector<LogRecord> records;
  std::uint64_t first = 1;
  bool is_reply_lost = false;
};

std::string Text(int number) {
  return "workspace w" + std::to_string(number) + " # Calloway: test\n";
}

/// Content of one append, as the oracle evaluates it.
struct OracleRecord {
  std::string id;
  std::uint64_t base = 0;
  std::string text;
  bool is_valid_text = true;

  bool operator==(const OracleRecord&) const = default;
};

/// Keeps the complete stream and all ids, and trims nothing.
struct Oracle {
  std::vector<OracleRecord> records;
  std::vector<std::uint64_t> positions = std::vector<std::uint64_t>(kReaders);
  std::uint64_t carried_through = 0;
  int next_text = 0;

  /// Version and text after `count` records.
  std::pair<std::uint64_t, std::string> At(std::uint64_t count) const {
    std::pair<std::uint64_t, std::string> state{0, ""};
    std::set<std::string> applied_ids;
    for (std::uint64_t i = 0; i < count; ++i) {
      const auto& record = this->records[i];
      if (applied_ids.insert(record.id).second && record.is_valid_text &&
          record.base == state.first) {
        state = {state.first + 1, record.text};
      }
    }
    return state;
  }
};

struct Readers {
  MemoryLog log;
  std::vector<RulesLedger> ledgers = std::vector<RulesLedger>(kReaders);
};

using Command = rc::state::Command<Oracle, Readers>;

constexpr std::uint64_t kNoVersion = 1u << 30;

/// Publishes from the state of a reader, which may be old, as two concurrent
/// operators do.
struct Publish : public Command {
  std::size_t reader = *rc::gen::inRange<std::size_t>(0, kReaders);
  int base_change = *rc::gen::element(0, 0, 0, 0, 1, 2);
  bool is_valid_text = *rc::gen::element(true, true, true, false);
  bool is_reply_lost = *rc::gen::arbitrary<bool>();

  std::string TextFor(const Oracle& oracle) const {
    return this->is_valid_text ? Text(oracle.next_text) : "not a rule\n";
  }
  std::uint64_t BaseFor(const Oracle& oracle) const {
    return oracle.At(oracle.positions[this->reader]).first + this->base_change;
  }

  void apply(Oracle& oracle) const override {
    oracle.records.push_back({.id = "p" + std::to_string(oracle.records.size()),
                              .base = this->BaseFor(oracle),
                              .text = this->TextFor(oracle),
                              .is_valid_text = this->is_valid_text});
    oracle.positions[this->reader] = oracle.records.size();
    ++oracle.next_text;
  }

  void run(const Oracle& oracle, Readers& readers) const override {
    readers.log.is_reply_lost = this->is_reply_lost;
    const auto outcome =
        PublishRules(readers.log, readers.ledgers[this->reader],
                     {.text = this->TextFor(oracle),
                      .author = "operator",
                      .base_version = this->BaseFor(oracle)},
                     [] { return false; });
    readers.log.is_reply_lost = false;
    RC_ASSERT(outcome.has_value());
    const auto before = oracle.At(oracle.records.size());
    const auto after = this->nextState(oracle);
    const auto now = after.At(after.records.size());
    RC_ASSERT(outcome->is_accepted == (now.first > before.first));
    RC_ASSERT(outcome->version == now.first);
  }
};

/// Repeats an append that is in the log, as after a lost reply.
struct Duplicate : public Command {
  std::size_t choice = *rc::gen::inRange<std::size_t>(0, 1000);

  void checkPreconditions(const Oracle& oracle) const override {
    RC_PRE(!oracle.records.empty());
  }
  void apply(Oracle& oracle) const override {
    oracle.records.push_back(
        oracle.records[this->choice % oracle.records.size()]);
  }
  void run(const Oracle&, Readers& readers) const override {
    auto& records = readers.log.records;
    static_cast<void>(readers.log.Append(
        "rules", records[this->choice % records.size()].data));
  }
};

/// Carries the state of a reader forward, which may be old.
struct Carry : public Command {
  std::size_t reader = *rc::gen::inRange<std::size_t>(0, kReaders);

  void apply(Oracle& oracle) const override {
    oracle.carried_through =
        std::max(oracle.carried_through, oracle.positions[this->reader]);
    oracle.records.push_back({.id = "c" + std::to_string(oracle.records.size()),
                              .base = kNoVersion,
                              .text = ""});
  }
  void run(const Oracle&, Readers& readers) const override {
    const auto carried = readers.ledgers[this->reader].MakeCarried();
    static_cast<void>(readers.log.Append(
        "rules", Encode(MakeAppend("entry", {MakeEnvelope(carried)}))));
  }
};

struct Trim : public Command {
  std::size_t choice = *rc::gen::inRange<std::size_t>(0, 1000);

  void checkPreconditions(const Oracle& oracle) const override {
    RC_PRE(oracle.carried_through > 0);
  }
  void run(const Oracle& oracle, Readers& readers) const override {
    readers.log.first = std::max<std::uint64_t>(
        readers.log.first, 1 + this->choice % (oracle.carried_through + 1));
  }
};

void CheckCaughtUp(const Oracle& oracle, Readers& readers, std::size_t reader) {
  auto& ledger = readers.ledgers[reader];
  const auto version_before = ledger.version();
  RC_ASSERT(CatchUp(readers.log, ledger).has_value());
  const auto [version, text] = oracle.At(oracle.records.size());
  RC_ASSERT(ledger.is_known());
  RC_ASSERT(ledger.version() == version);
  RC_ASSERT(ledger.text() == text);
  RC_ASSERT(ledger.version() >= version_before);
}

struct Read : public Command {
  std::size_t reader = *rc::gen::inRange<std::size_t>(0, kReaders);

  void apply(Oracle& oracle) const override {
    oracle.positions[this->reader] = oracle.records.size();
  }
  void run(const Oracle& oracle, Readers& readers) const override {
    CheckCaughtUp(oracle, readers, this->reader);
  }
};

/// Restarts a reader at a random offset of the stream.
struct Restart : public Read {
  std::size_t choice = *rc::gen::inRange<std::size_t>(0, 1000);

  void run(const Oracle& oracle, Readers& readers) const override {
    readers.ledgers[this->reader] = RulesLedger();
    readers.ledgers[this->reader].StartAt(
        readers.log.first + this->choice % (oracle.records.size() + 1));
    CheckCaughtUp(oracle, readers, this->reader);
  }
};

records::Append Published(std::uint64_t base, const std::string& text) {
  return MakeAppend("x", {MakeEnvelope(records::RulesPublished{
                             .base_version = base, .text = text})});
}

}  // namespace

TEST_GROUP(RulesLedger_AnyHistory){};

// Guards against readers that disagree on the rules in force after concurrent
// publishes, lost replies, duplicates, restarts and trimmed heads, and against
// a version that decreases.
TEST(RulesLedger_AnyHistory, EveryReaderAgreesWithTheOracle) {
  CHECK(rc::check([] {
    Readers readers;
    rc::state::check(
        Oracle(), readers,
        rc::state::gen::execOneOfWithArgs<Publish, Publish, Duplicate, Carry,
                                          Trim, Read, Restart>());
  }));
}

TEST_GROUP(RulesLedger_TrimmedHead){};

// Guards against rules that are restored from a record whose predecessors are
// unknown.
TEST(RulesLedger_TrimmedHead, StateStaysUnknownWithoutUsableCarriedRules) {
  MemoryLog log;
  RulesLedger writer;
  for (std::uint64_t version = 0; version < 4; ++version) {
    log.Append("rules", Encode(Published(version, Text(1)))).value();
  }
  CHECK(CatchUp(log, writer).has_value());
  log.Append("rules", Encode(Published(4, Text(2)))).value();
  log.Append("rules",
             Encode(MakeAppend("e", {MakeEnvelope(writer.MakeCarried())})))
      .value();
  log.first = 6;
  RulesLedger reader;
  CHECK(CatchUp(log, reader).has_value());
  CHECK_FALSE(reader.is_known());
  CHECK_EQUAL(0, reader.version());
  log.first = 5;
  RulesLedger early;
  CHECK(CatchUp(log, early).has_value());
  CHECK(early.is_known());
  CHECK_EQUAL(5, early.version());
  STRCMP_EQUAL(Text(2).c_str(), early.text().c_str());
}

// Guards against a malformed record that stops or changes the replay.
TEST(RulesLedger_TrimmedHead, ArbitraryRecordsAreIgnored) {
  CHECK(rc::check([](const std::vector<std::string>& garbage) {
    MemoryLog log;
    for (const auto& data : garbage) {
      log.Append("rules", data).value();
    }
    log.Append("rules", Encode(Published(0, Text(1)))).value();
    RulesLedger reader;
    RC_ASSERT(CatchUp(log, reader).has_value());
    RC_ASSERT(reader.version() == 1U);
  }));
}

}  // namespace crocus
