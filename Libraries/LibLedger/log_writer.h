#ifndef LIBLEDGER_LOG_WRITER_H_
#define LIBLEDGER_LOG_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "LibCore/random.h"
#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibEvents/event_log.h"
#include "LibLedger/append.h"
#include "LibLedger/append_queue.h"
#include "LibLedger/log_client.h"

namespace crocus {

/// Group-commit writer of one stream, with a thread that starts with the first
/// queued record (entry). AppendQueue describes how unknown outcomes are
/// resolved. Thread-safe.
template <LogClient Client>
class LogWriter {
 public:
  /// Receives the offset of an append that contains the entry, or a failure if
  /// the writer stopped first; the failure's verdict states whether the entry
  /// may be in the log. Runs without the lock, on the writer's thread or, with
  /// a failure, in Stop(). Must not block.
  using Callback = std::function<void(Result<std::uint64_t>)>;

  LogWriter(Client& client, std::string stream, AppendQueueOptions options)
      : client(client),
        stream(std::move(stream)),
        queue(options, MakeIdentifier(options.writer), SystemRandom()) {}

  ~LogWriter() { this->Stop({}); }
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues an entry and returns its token. Entries queued by one thread reach
  /// the log in order. Fails with kUnavailable and kNotRun if the queue is full
  /// or the writer has stopped; the callback is not called then.
  Result<std::uint64_t> Enqueue(records::Envelope envelope, Callback callback) {
    std::unique_lock lock(this->mutex);
    if (this->is_stopping) {
      return Failure(ErrorCode::kUnavailable, "log: the writer has stopped");
    }
    const std::uint64_t token = this->next_token++;
    TRY(this->queue.Add(token, std::move(envelope), MonotonicNow()));
    this->callbacks.emplace(token, std::move(callback));
    if (!this->thread.joinable()) {
      this->thread = std::thread([this] { this->Run(); });
    }
    lock.unlock();
    this->wake.notify_all();
    return token;
  }

  /// Queues entries and waits until all are in the log. On failure, for example
  /// after `timeout`, entries that were not sent are withdrawn. The verdict
  /// refers to the last entry: kNotRun if it is certainly not in the log;
  /// earlier entries may be.
  Result<std::uint64_t> Append(std::vector<records::Envelope> envelopes,
                               Duration timeout) {
    struct Waiter {
      std::promise<Result<std::uint64_t>> promise;
    };
    const auto waiter = std::make_shared<Waiter>();
    auto future = waiter->promise.get_future();
    std::vector<std::uint64_t> queued;
    for (std::size_t i = 0; i < envelopes.size(); ++i) {
      const bool is_last = i + 1 == envelopes.size();
      auto token = this->Enqueue(
          std::move(envelopes[i]),
          is_last ? Callback([waiter](Result<std::uint64_t> outcome) {
            waiter->promise.set_value(std::move(outcome));
          })
                  : Callback([](const Result<std::uint64_t>&) {}));
      if (!token) {
        this->Withdraw(queued);
        return tl::unexpected(std::move(token).error());
      }
      queued.push_back(*token);
    }
    this->Flush();
    if (future.wait_for(timeout) == std::future_status::ready) {
      return future.get();
    }
    if (this->Withdraw(queued)) {
      return Failure(ErrorCode::kUnavailable, "log: unavailable");
    }
    if (future.wait_for(Duration(0)) == std::future_status::ready) {
      return future.get();
    }
    return Failure(ErrorCode::kTimeout, "log: outcome of the append is unknown",
                   Verdict::kMayHaveRun);
  }

  /// Removes an entry that has not been sent; its callback is not called.
  /// Returns false if the entry is in flight or may be in the log.
  bool Withdraw(std::uint64_t token) {
    return this->Withdraw(std::vector{token});
  }

  /// Sends the waiting entries without further delay.
  void Flush() {
    {
      std::lock_guard lock(this->mutex);
      this->queue.Flush();
    }
    this->wake.notify_all();
  }

  /// False from a failed call to the log until one succeeds.
  bool is_available() const {
    std::lock_guard lock(this->mutex);
    return this->queue.is_available();
  }

  std::size_t queued_bytes() const {
    std::lock_guard lock(this->mutex);
    return this->queue.queued_bytes();
  }

  /// Refuses new entries, sends the waiting ones for at most `timeout`, then
  /// reports a failure for the rest and joins the thread, which first completes
  /// a call to the log that is in progress.
  void Stop(Duration timeout) {
    std::vector<std::pair<Callback, Verdict>> failed;
    {
      std::unique_lock lock(this->mutex);
      this->is_stopping = true;
      this->queue.Flush();
      this->wake.notify_all();
      this->idle.wait_for(lock, timeout,
                          [this] { return this->queue.is_empty(); });
      this->has_ended = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable()) {
      this->thread.join();
    }
    {
      std::lock_guard lock(this->mutex);
      for (auto& [token, callback] : this->callbacks) {
        failed.emplace_back(std::move(callback), this->queue.MayBeInLog(token)
                                                     ? Verdict::kMayHaveRun
                                                     : Verdict::kNotRun);
      }
      this->callbacks.clear();
    }
    for (const auto& [callback, verdict] : failed) {
      callback(Failure(ErrorCode::kUnavailable, "log: the writer has stopped",
                       verdict));
    }
  }

 private:
  /// Withdraws the entries that have not been sent. Returns true if the last of
  /// `tokens` is certainly not in the log.
  bool Withdraw(const std::vector<std::uint64_t>& tokens) {
    std::lock_guard lock(this->mutex);
    bool is_withdrawn = true;
    for (auto token = tokens.rbegin(); token != tokens.rend(); ++token) {
      const bool removed = this->queue.Withdraw(*token);
      if (removed) {
        this->callbacks.erase(*token);
      }
      is_withdrawn = token == tokens.rbegin() ? removed : is_withdrawn;
    }
    return is_withdrawn;
  }

  void Run() {
    std::unique_lock lock(this->mutex);
    while (!this->has_ended) {
      const AppendStep step = this->queue.Next(MonotonicNow());
      if (step.kind == AppendStep::Kind::kWait) {
        if (this->queue.is_empty()) {
          this->idle.notify_all();
        }
        if (step.until == TimePoint::max()) {
          this->wake.wait(lock);
        } else {
          this->wake.wait_until(lock, step.until);
        }
        continue;
      }
      lock.unlock();
      if (step.kind == AppendStep::Kind::kAppend) {
        const auto outcome = this->client.Append(this->stream, step.data);
        lock.lock();
        this->CompleteEntries(this->queue.OnAppend(outcome, MonotonicNow()),
                              outcome, lock);
      } else {
        const auto page =
            this->client.Read(this->stream, step.from, step.limit);
        lock.lock();
        this->CompleteEntries(this->queue.OnRead(page, MonotonicNow()), page,
                              lock);
      }
    }
  }

  template <typename Outcome>
  void CompleteEntries(const std::vector<AppendedEntry>& appended,
                       const Outcome& outcome,
                       std::unique_lock<std::mutex>& lock) {
    std::vector<std::pair<Callback, std::uint64_t>> calls;
    for (const auto& entry : appended) {
      const auto found = this->callbacks.find(entry.token);
      calls.emplace_back(std::move(found->second), entry.offset);
      this->callbacks.erase(found);
    }
    const bool is_resolving = this->queue.is_resolving();
    const std::string id = this->queue.append_id();
    lock.unlock();
    if (!outcome) {
      LogEvent(is_resolving ? Event::kAppendUnknown : Event::kLogUnavailable,
               {{"stream", this->stream},
                {is_resolving ? "record" : "reason",
                 is_resolving ? id : outcome.error().message}});
    }
    for (const auto& [callback, offset] : calls) {
      callback(offset);
    }
    lock.lock();
  }

  Client& client;
  const std::string stream;

  /// Guards the members below. A leaf lock: no other lock is taken while it is
  /// held.
  mutable std::mutex mutex;
  std::condition_variable wake;
  std::condition_variable idle;
  AppendQueue queue;
  std::map<std::uint64_t, Callback> callbacks;
  std::uint64_t next_token = 1;
  bool is_stopping = false;
  bool has_ended = false;
  std::thread thread;
};

}  // namespace crocus

#endif  // LIBLEDGER_LOG_WRITER_H_
