#ifndef ENTRY_REQUEST_LOG_H_
#define ENTRY_REQUEST_LOG_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "LibLedger/log_writer.h"
#include "LibLedger/request_ledger.h"
#include "LibPlatform/http_log_client.h"
#include "LibSettings/settings.h"

namespace crocus {

/// The log stream `requests` at this entry: writes intents and results, and
/// replays what all entries wrote. Thread-safe.
class RequestLog {
 public:
  explicit RequestLog(const EntrySettings& settings);
  ~RequestLog();

  void Start();
  /// Writes what is held for at most `limit`, then stops.
  void Stop(Duration limit);

  /// Writes an intent and waits until the replay has passed it. Returns what
  /// the log says about the request then; the intent is the valid one if the
  /// attempt is its own. A failure means that nothing may be dispatched.
  Result<LoggedRequest> WriteIntent(const records::RequestIntent& intent,
                                    Duration limit);

  /// Queues a result. `on_written` runs once it is in the log. False if too
  /// much is held and it was dropped.
  bool WriteResult(const records::RequestResult& result,
                   std::function<void()> on_written);

  /// What the replay says; nothing if it does not know the request.
  std::optional<LoggedRequest> Find(const std::string& request) const;

  /// Result that this entry wrote and the replay has not passed yet.
  std::optional<records::RequestResult> FindHeld(
      const std::string& request) const;

  /// Reads a finished request's result from the log.
  Result<records::RequestResult> ReadResult(const std::string& request,
                                            const LoggedRequest& logged);

  /// Waits until the replay has moved on, or `limit`.
  void WaitForReplay(TimePoint limit);

  /// Waits until the replay has read to an end of the stream that is not older
  /// than this call. False if that took longer than `limit`.
  bool CatchUp(TimePoint limit);

  /// False while the log does not answer or the first replay is not over.
  bool is_current() const;

  /// True while new work may rely on the result being held and written.
  bool has_capacity() const;

 private:
  void Follow();
  bool ReadOnce();
  bool FindStart();
  void RemoveReplayedResults();

  const EntrySettings::Online settings;
  const RequestLedgerOptions ledger_options;
  HttpLogClient log;
  LogWriter<HttpLogClient> writer;

  /// Guards what follows; a leaf lock.
  mutable std::mutex mutex;
  std::condition_variable wake;
  std::condition_variable replay_progressed;
  RequestLedger ledger;
  std::map<std::string, records::RequestResult> held;
  /// Offset at which the replay starts or goes on; 0 before the first read.
  std::uint64_t position = 0;
  std::uint64_t completed_reads = 0;
  std::uint64_t started_reads = 0;
  std::uint32_t waiter_count = 0;
  bool is_log_readable = false;
  bool has_replayed = false;
  bool is_stopping = false;
  std::thread thread;
};

}  // namespace crocus

#endif  // ENTRY_REQUEST_LOG_H_
