#ifndef TESTS_LIBLEDGER_FAKE_LOG_H_
#define TESTS_LIBLEDGER_FAKE_LOG_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "LibLedger/log_client.h"

namespace crocus {

/// Log in memory that simulates the faults of the platform's log. Thread-safe.
class FakeLog {
 public:
  Result<std::uint64_t> Append(const std::string& stream,
                               const std::string& data) {
    std::lock_guard lock(this->mutex);
    if (this->is_unavailable) {
      return Failure(ErrorCode::kUnavailable, "outage");
    }
    auto& records = this->streams[stream];
    if (this->late_appends > 0) {
      --this->late_appends;
      this->hidden.emplace_back(stream, data);
      return Failure(ErrorCode::kTimeout, "late", Verdict::kMayHaveRun);
    }
    records.push_back({.offset = records.size() + 1, .data = data});
    if (this->lost_replies > 0) {
      --this->lost_replies;
      return Failure(ErrorCode::kTimeout, "reply lost", Verdict::kMayHaveRun);
    }
    return records.size();
  }

  Result<LogPage> Read(const std::string& stream,
                       std::uint64_t from,
                       std::uint32_t limit) {
    std::lock_guard lock(this->mutex);
    if (this->is_unavailable) {
      return Failure(ErrorCode::kUnavailable, "outage");
    }
    const auto& records = this->streams[stream];
    LogPage page{.first = this->trimmed_through[stream] + 1,
                 .next = records.size() + 1,
                 .records = {}};
    for (std::uint64_t offset = std::max(from, page.first);
         offset <= records.size() && page.records.size() < limit; ++offset) {
      page.records.push_back(records[offset - 1]);
    }
    return page;
  }

  /// Makes appends visible that were accepted but hidden so far.
  void ShowLateAppends() {
    std::lock_guard lock(this->mutex);
    for (const auto& [stream, data] : this->hidden) {
      auto& records = this->streams[stream];
      records.push_back({.offset = records.size() + 1, .data = data});
    }
    this->hidden.clear();
  }

  /// Trims the records before `offset`.
  void Trim(const std::string& stream, std::uint64_t offset) {
    std::lock_guard lock(this->mutex);
    this->trimmed_through[stream] = offset - 1;
  }

  std::mutex mutex;
  bool is_unavailable = false;
  std::uint32_t lost_replies = 0;
  /// Number of appends that fail with an unknown outcome and become visible
  /// only later.
  std::uint32_t late_appends = 0;
  std::map<std::string, std::vector<LogRecord>> streams;
  /// Newest trimmed offset of each stream.
  std::map<std::string, std::uint64_t> trimmed_through;

 private:
  std::vector<std::pair<std::string, std::string>> hidden;
};

static_assert(LogClient<FakeLog>);

}  // namespace crocus

#endif  // TESTS_LIBLEDGER_FAKE_LOG_H_
