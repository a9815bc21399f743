#include "LibLedger/log_writer.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "fake_log.h"

namespace crocus {

namespace {

constexpr char kStream[] = "s";

records::Envelope Entry(std::uint64_t number) {
  return {.type = 1, .body = std::to_string(number)};
}

/// Entry bodies of the stream in order, without appends whose id is repeated.
std::vector<std::string> Replay(FakeLog& log) {
  std::vector<std::string> bodies;
  std::set<std::string> ids;
  for (const auto& record : log.streams[kStream]) {
    const auto append = Decode<records::Append>(record.data);
    if (append && ids.insert(append->id).second) {
      for (const auto& envelope : append->records) {
        bodies.push_back(envelope.body);
      }
    }
  }
  return bodies;
}

/// Carries out the queue's steps in virtual time until it is idle.
void RunUntilIdle(AppendQueue& queue,
                  FakeLog& log,
                  TimePoint& now,
                  std::vector<AppendedEntry>& done,
                  int limit = 10000) {
  while (!queue.is_empty() && limit-- > 0) {
    const AppendStep step = queue.Next(now);
    std::vector<AppendedEntry> resolved;
    if (step.kind == AppendStep::Kind::kWait) {
      now = step.until;
    } else if (step.kind == AppendStep::Kind::kAppend) {
      resolved = queue.OnAppend(log.Append(kStream, step.data), now);
    } else {
      resolved = queue.OnRead(log.Read(kStream, step.from, step.limit), now);
    }
    done.insert(done.end(), resolved.begin(), resolved.end());
  }
}

}  // namespace

TEST_GROUP(AppendQueue_FaultyLog) {
  FakeLog log;
  TimePoint now{std::chrono::seconds(1)};
  std::vector<AppendedEntry> done;
  AppendQueue queue{{.writer = "w"}, "w-1", 1};
};

// Guards against a second copy of an append whose reply was lost.
TEST(AppendQueue_FaultyLog, LostReplyIsResolvedWithoutASecondAppend) {
  this->log.lost_replies = 1;
  CHECK(this->queue.Add(1, Entry(1), this->now).has_value());
  RunUntilIdle(this->queue, this->log, this->now, this->done);
  CHECK_EQUAL(1, this->log.streams[kStream].size());
  CHECK((this->done == std::vector<AppendedEntry>{{.token = 1, .offset = 1}}));
}

// Guards against an entry that takes effect twice when the first copy of its
// append becomes visible only after the writer has read the stream and sent the
// append again.
TEST(AppendQueue_FaultyLog, LateAppendHasOneEffectOnReplay) {
  this->log.late_appends = 1;
  CHECK(this->queue.Add(1, Entry(1), this->now).has_value());
  RunUntilIdle(this->queue, this->log, this->now, this->done);
  CHECK(this->queue.Add(2, Entry(2), this->now).has_value());
  RunUntilIdle(this->queue, this->log, this->now, this->done);
  this->log.ShowLateAppends();
  CHECK_EQUAL(3, this->log.streams[kStream].size());
  CHECK((Replay(this->log) == std::vector<std::string>{"1", "2"}));
}

// Guards against unbounded memory, and against a caller that cannot detect that
// the log is unavailable.
TEST(AppendQueue_FaultyLog, OutageFillsABoundedQueueAndIsReported) {
  AppendQueue small({.writer = "w", .queue_bytes = 3}, "w-2", 1);
  this->log.is_unavailable = true;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    CHECK(small.Add(i, Entry(i), this->now).has_value());
  }
  const auto refused = small.Add(4, Entry(4), this->now);
  CHECK_FALSE(refused.has_value());
  CHECK(refused.error().verdict == Verdict::kNotRun);
  RunUntilIdle(small, this->log, this->now, this->done, 20);
  CHECK_FALSE(small.is_available());
  CHECK(small.Withdraw(2));
  this->log.is_unavailable = false;
  RunUntilIdle(small, this->log, this->now, this->done);
  CHECK(small.is_available());
  CHECK((Replay(this->log) == std::vector<std::string>{"1", "3"}));
}

// Guards against entries that are lost, repeated, reordered or reported as
// written although they are not, under any sequence of faults.
TEST(AppendQueue_FaultyLog, AnyFaultsKeepEveryEntryOnceAndInOrder) {
  CHECK(rc::check([](const std::vector<std::uint8_t>& faults) {
    FakeLog log;
    TimePoint now{std::chrono::seconds(1)};
    std::vector<AppendedEntry> done;
    AppendQueue queue({.writer = "w", .append_bytes = 4}, "w-1", 7);
    std::vector<std::string> expected;
    std::uint64_t token = 0;
    for (const auto fault : faults) {
      for (int i = 0; i < fault % 4; ++i) {
        ++token;
        expected.push_back(std::to_string(token));
        RC_ASSERT(queue.Add(token, Entry(token), now).has_value());
      }
      log.is_unavailable = fault % 5 == 0;
      log.lost_replies += fault % 7 == 0 ? 1 : 0;
      log.late_appends += fault % 11 == 0 ? 1 : 0;
      if (fault % 3 == 0) {
        log.ShowLateAppends();
      }
      RunUntilIdle(queue, log, now, done, fault % 16);
    }
    log.is_unavailable = false;
    RunUntilIdle(queue, log, now, done);
    log.ShowLateAppends();
    RC_ASSERT(Replay(log) == expected);
    RC_ASSERT(done.size() == expected.size());
  }));
}

TEST_GROUP(LogWriter_Threads) {
  FakeLog log;
  LogWriter<FakeLog> writer{
      this->log,
      kStream,
      {.writer = "w", .delay = std::chrono::milliseconds(1)}};
};

// Guards against entries of several threads that are lost or written twice.
// Also checks that they share appends.
TEST(LogWriter_Threads, ConcurrentEntriesAreWrittenOnce) {
  constexpr std::uint64_t kThreads = 4;
  constexpr std::uint64_t kEntries = 200;
  this->log.lost_replies = 3;
  std::atomic<std::uint64_t> confirmed = 0;
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([this, i, &confirmed] {
      for (std::uint64_t j = 0; j < kEntries; ++j) {
        this->writer.Enqueue(Entry(i * kEntries + j),
                             [&confirmed](const Result<std::uint64_t>& offset) {
                               confirmed += offset ? 1 : 0;
                             });
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  this->writer.Stop(std::chrono::seconds(10));
  CHECK_EQUAL(kThreads * kEntries, confirmed.load());
  auto bodies = Replay(this->log);
  std::sort(bodies.begin(), bodies.end());
  CHECK_EQUAL(kThreads * kEntries, bodies.size());
  CHECK(std::adjacent_find(bodies.begin(), bodies.end()) == bodies.end());
  CHECK(this->log.streams[kStream].size() < bodies.size());
}

// Guards against an entry whose caller received the verdict "not run" and which
// is written after the outage.
TEST(LogWriter_Threads, AppendRefusedInAnOutageIsNeverWritten) {
  this->log.is_unavailable = true;
  const auto refused =
      this->writer.Append({Entry(1)}, std::chrono::milliseconds(100));
  CHECK_FALSE(refused.has_value());
  CHECK(refused.error().verdict == Verdict::kNotRun);
  {
    std::lock_guard lock(this->log.mutex);
    this->log.is_unavailable = false;
  }
  CHECK(this->writer.Append({Entry(2)}, std::chrono::seconds(10)).has_value());
  CHECK((Replay(this->log) == std::vector<std::string>{"2"}));
}

}  // namespace crocus
