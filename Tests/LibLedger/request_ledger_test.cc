#include "LibLedger/request_ledger.h"

#include <map>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "LibLedger/append.h"

namespace crocus {

namespace {

constexpr std::uint64_t kKeptAppends = 30;

std::string AppendOf(std::vector<records::Envelope> envelopes) {
  return Encode(MakeAppend("entry", std::move(envelopes)));
}

records::RequestIntent MakeIntent(int request, int attempt) {
  return {.request = "k-" + std::to_string(request),
          .owner = "entry",
          .attempt = "a" + std::to_string(attempt)};
}

records::RequestResult MakeResult(int request, int attempt, Verdict verdict) {
  return {.request = "k-" + std::to_string(request),
          .verdict = verdict,
          .text = "text",
          .attempt = attempt == 0 ? "" : "a" + std::to_string(attempt)};
}

/// Oracle: the expected state, attempt and offset of each request, by the
/// replay rules in their simplest form.
struct RequestModel {
  struct RequestEntry {
    bool is_finished = false;
    std::string attempt;
    std::uint64_t offset = 0;
  };
  std::uint64_t next = 1;
  std::map<std::string, RequestEntry> requests;

  void EvictExpired() {
    std::erase_if(this->requests, [this](const auto& entry) {
      return entry.second.offset + kKeptAppends < this->next;
    });
  }
};

using LedgerCommand = rc::state::Command<RequestModel, RequestLedger>;

void CheckAgainst(const RequestModel& model, const RequestLedger& ledger) {
  RC_ASSERT(ledger.size() == model.requests.size());
  for (const auto& [id, entry] : model.requests) {
    const auto found = ledger.Find(id);
    RC_ASSERT(found.has_value());
    RC_ASSERT((found->state == RequestState::kFinished) == entry.is_finished);
    RC_ASSERT(found->offset == entry.offset);
    RC_ASSERT(found->attempt == (entry.is_finished ? "" : entry.attempt));
  }
}

/// Appends an intent. Other intents for the same request may precede or follow
/// it in the log.
struct ApplyIntent : LedgerCommand {
  int request = *rc::gen::inRange(0, 6);
  int attempt = *rc::gen::inRange(1, 1000);

  void apply(RequestModel& model) const override {
    const auto intent = MakeIntent(this->request, this->attempt);
    model.requests.try_emplace(
        intent.request, RequestModel::RequestEntry{.attempt = intent.attempt,
                                                   .offset = model.next});
    ++model.next;
    model.EvictExpired();
  }

  void run(const RequestModel& model, RequestLedger& ledger) const override {
    ledger.Apply(
        model.next,
        AppendOf({MakeEnvelope(MakeIntent(this->request, this->attempt))}));
    CheckAgainst(this->nextState(model), ledger);
  }
};

/// Appends a result, sometimes twice, of the valid attempt or of another one.
struct ApplyResult : LedgerCommand {
  int request = *rc::gen::inRange(0, 6);
  int attempt = *rc::gen::inRange(0, 4);
  bool is_repeated = *rc::gen::arbitrary<bool>();
  Verdict verdict =
      *rc::gen::element(Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan);

  records::RequestResult ResultFor(const RequestModel& model) const {
    auto result = MakeResult(this->request, this->attempt, this->verdict);
    // Half of the results belong to the valid attempt.
    if (const auto found = model.requests.find(result.request);
        this->attempt > 1 && found != model.requests.end()) {
      result.attempt = found->second.attempt;
    }
    return result;
  }

  void apply(RequestModel& model) const override {
    const auto result = this->ResultFor(model);
    const auto found = model.requests.find(result.request);
    const bool is_known = found != model.requests.end();
    if (this->verdict == Verdict::kNotRun) {
      if (is_known && !found->second.is_finished &&
          found->second.attempt == result.attempt) {
        model.requests.erase(found);
      }
    } else if (!is_known || !found->second.is_finished) {
      model.requests[result.request] = {
          .is_finished = true, .attempt = result.attempt, .offset = model.next};
    }
    ++model.next;
    model.EvictExpired();
  }

  void run(const RequestModel& model, RequestLedger& ledger) const override {
    std::vector<records::Envelope> envelopes(
        this->is_repeated ? 2 : 1, MakeEnvelope(this->ResultFor(model)));
    ledger.Apply(model.next, AppendOf(std::move(envelopes)));
    CheckAgainst(this->nextState(model), ledger);
  }
};

struct ApplyGarbage : LedgerCommand {
  std::string bytes = *rc::gen::arbitrary<std::string>();

  void apply(RequestModel& model) const override {
    ++model.next;
    model.EvictExpired();
  }

  void run(const RequestModel& model, RequestLedger& ledger) const override {
    ledger.Apply(model.next, this->bytes);
    CheckAgainst(this->nextState(model), ledger);
  }
};

}  // namespace

TEST_GROUP(RequestLedger_AnyRecords){};

// Guards against a second valid intent (and so a second dispatch), a result
// that replaces another one, and requests that are evicted too early.
TEST(RequestLedger_AnyRecords, ReplayAgreesWithTheOracle) {
  CHECK(rc::check([] {
    RequestLedger ledger({.kept_appends = kKeptAppends});
    rc::state::check(RequestModel{}, ledger,
                     rc::state::gen::execOneOfWithArgs<ApplyIntent, ApplyResult,
                                                       ApplyGarbage>());
  }));
}

// Guards against a new entry that decides differently from one that has read
// the stream from the beginning: a replay that starts at StartOffset, as after
// a trim of the head, must find the same results.
TEST(RequestLedger_AnyRecords, LaterReplayHasTheSameResults) {
  CHECK(rc::check([] {
    const RequestLedgerOptions options{.kept_appends = kKeptAppends};
    std::vector<std::string> log;
    RequestLedger full_ledger(options);
    const int appends = *rc::gen::inRange(1, 90);
    for (int i = 1; i <= appends; ++i) {
      log.push_back(AppendOf({MakeEnvelope(
          MakeResult(*rc::gen::inRange(0, 60), i, Verdict::kRan))}));
      full_ledger.Apply(static_cast<std::uint64_t>(i), log.back());
    }
    RequestLedger later(options);
    const auto start =
        RequestLedger::StartOffset(options, 1, full_ledger.next_offset());
    for (std::uint64_t i = start; i <= log.size(); ++i) {
      later.Apply(i, log[i - 1]);
    }
    RC_ASSERT(later.size() >= full_ledger.size());
    for (int i = 0; i < 60; ++i) {
      const std::string id = "k-" + std::to_string(i);
      RC_ASSERT(!full_ledger.Find(id) || later.Find(id).has_value());
    }
  }));
}

// Guards against memory that grows with the number of results, and against the
// eviction of an intent in favour of results.
TEST(RequestLedger_AnyRecords, ResultsWithoutIntentAreEvictedBeforeIntents) {
  RequestLedger ledger({.results_without_intent = 10});
  ledger.Apply(1, AppendOf({MakeEnvelope(MakeIntent(0, 1))}));
  for (int i = 1; i <= 50; ++i) {
    ledger.Apply(static_cast<std::uint64_t>(i) + 1,
                 AppendOf({MakeEnvelope(MakeResult(i, 0, Verdict::kRan))}));
  }
  CHECK_EQUAL(11u, ledger.size());
  CHECK(ledger.Find("k-0").has_value());
  CHECK_FALSE(ledger.Find("k-40").has_value());
  CHECK(ledger.Find("k-41").has_value());
}

// Guards against a result that cannot be read from its append.
TEST(RequestLedger_AnyRecords, ResultIsFoundInItsAppend) {
  const std::string data =
      AppendOf({MakeEnvelope(MakeResult(1, 0, Verdict::kRan)),
                MakeEnvelope(MakeResult(2, 0, Verdict::kRan))});
  CHECK(FindRequestResult(data, "k-2").has_value());
  CHECK_FALSE(FindRequestResult(data, "k-3").has_value());
}

}  // namespace crocus
