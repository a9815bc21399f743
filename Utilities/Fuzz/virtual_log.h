#ifndef FUZZ_VIRTUAL_LOG_H_
#define FUZZ_VIRTUAL_LOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "LibCore/random.h"
#include "LibLedger/log_client.h"
#include "event_loop.h"

namespace crocus {

/// Faults of the log. Each chance is the probability of the fault for one
/// append.
struct LogFaults {
  /// All appends and reads are refused.
  bool is_unavailable = false;
  /// The append takes effect, but its reply is lost.
  double lost_reply_chance = 0;
  /// The caller's timeout passes before a reply; the append takes effect late
  /// or never.
  double timeout_chance = 0;
  /// The append is refused and has no effect.
  double refusal_chance = 0;
  /// Added to the delay of each call and of each reply.
  Duration extra_delay{0};
};

/// Simulates the platform's log in virtual time.
class VirtualLog {
 public:
  using AppendReply = std::function<void(Result<std::uint64_t>)>;
  using ReadReply = std::function<void(Result<LogPage>)>;
  /// Called for every record when its append takes effect.
  using Observer =
      std::function<void(const std::string& stream, const LogRecord& record)>;

  VirtualLog(EventLoop& loop, std::uint64_t seed, Observer observer)
      : loop(loop), random(seed), observer(std::move(observer)) {}

  void Append(const NodeState& node,
              const std::string& stream,
              const std::string& data,
              AppendReply reply);
  void Read(const NodeState& node,
            const std::string& stream,
            std::uint64_t from,
            std::uint32_t limit,
            ReadReply reply);

  LogFaults& faults() { return this->current_faults; }
  /// Trims records before `first`.
  void Trim(const std::string& stream, std::uint64_t first);
  /// Returns all records that were ever appended, including trimmed ones.
  const std::vector<LogRecord>& History(const std::string& stream) {
    return this->streams[stream].records;
  }
  std::uint64_t append_count() const { return this->appends; }

 private:
  struct Stream {
    /// All records, including trimmed ones.
    std::vector<LogRecord> records;
    /// First offset that is not trimmed.
    std::uint64_t first = 1;
  };

  Duration RandomDelay();
  std::uint64_t ApplyAppend(const std::string& stream, const std::string& data);
  LogPage MakePage(const Stream& stream,
                   std::uint64_t from,
                   std::uint32_t limit) const;

  EventLoop& loop;
  Random random;
  Observer observer;
  LogFaults current_faults;
  std::map<std::string, Stream> streams;
  std::uint64_t appends = 0;
};

}  // namespace crocus

#endif  // FUZZ_VIRTUAL_LOG_H_
