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

/// Writes this entry's intents and results to the log stream `requests`, and
/// replays the records of all entries. Thread-safe.
class RequestLog {
 public:
  explicit RequestLog(const EntrySettings& settings);
  ~RequestLog();

  void Start();
  /// Waits up to `timeout` until queued records are written, then stops.
  void Stop(Duration timeout);

  /// Writes an intent and waits until it is replayed. Returns the request's
  /// state after that; the intent is the valid one if the returned state names
  /// its attempt. After a failure nothing may be dispatched.
  Result<LoggedRequest> WriteIntent(const records::RequestIntent& intent,
                                    Duration timeout);

  /// Queues a result; `on_written` is called once it is in the log. Returns
  /// false if the result was dropped because the queue did not accept it.
  bool WriteResult(const records::RequestResult& result,
                   std::function<void()> on_written);

  /// Returns the replayed state of a request; nothing if no record of it was
  /// replayed or is kept.
  std::optional<LoggedRequest> Find(const std::string& request) const;

  /// Returns a result that this entry has queued or written and that is not
  /// replayed yet.
  std::optional<records::RequestResult> FindHeld(
      const std::string& request) const;

  /// Reads a finished request's result from the log.
  Result<records::RequestResult> ReadResult(const std::string& request,
                                            const LoggedRequest& logged);

  /// Waits until the replay has advanced or `deadline` has passed.
  void WaitForReplay(TimePoint deadline);

  /// Waits until the replay has reached the end that the stream had at this
  /// call or later. Returns false if `deadline` passed first.
  bool CatchUp(TimePoint deadline);

  /// False while the log is unavailable or the first replay has not reached the
  /// end of the stream.
  bool is_current() const;

  /// True if the queue is less than half full, so that the results of new
  /// requests can be held until they are written.
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
  /// Offset of the next record to replay; 0 before the first read.
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
