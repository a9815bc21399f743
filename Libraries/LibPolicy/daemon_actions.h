#ifndef LIBPOLICY_DAEMON_ACTIONS_H_
#define LIBPOLICY_DAEMON_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/verdict.h"
#include "LibMessages/messages.h"

namespace crocus {

/// Identifies a connection to an entry; 0 means none.
using ConnectionId = std::uint64_t;

using DaemonMessage = std::variant<messages::Hello,
                                   messages::TokenChunk,
                                   messages::AttemptDone,
                                   messages::OfferResults,
                                   messages::RevokeReply,
                                   messages::LoadReport,
                                   messages::LoadChange,
                                   messages::LeavingNotice>;

struct OutgoingMessage {
  ConnectionId connection = 0;
  std::uint64_t correlation = 0;
  DaemonMessage message;
};

/// One run of an attempt at an engine. A suspended attempt gets a new run with
/// a new number when it is started again, so that late actions and calls of an
/// earlier run have no effect.
struct EngineRun {
  std::string attempt;
  std::string replica;
  /// Unique within the daemon process.
  std::uint64_t number = 0;
  /// Number of the run within the attempt, starting at 1.
  std::uint32_t attempt_run_number = 0;

  /// Returns the request id of the run at the engine. Later runs have ids of
  /// their own, so that a late cancel of an earlier run does not end them.
  std::string StreamName() const {
    return this->attempt_run_number <= 1
               ? this->attempt
               : this->attempt + "@" + std::to_string(this->attempt_run_number);
  }

  bool operator==(const EngineRun&) const = default;
};

/// What the daemon process must do: first the cancels, then the starts, then
/// the messages.
struct DaemonActions {
  std::vector<EngineRun> cancels;
  std::vector<EngineRun> starts;
  std::vector<OutgoingMessage> messages;
};

/// Arguments of the engine call of a run that may begin now.
struct StreamCall {
  messages::Execute execute;
  /// Number of tokens that earlier runs have delivered.
  std::uint32_t resume_from = 0;
};

enum class StreamEnd { kComplete, kCancelled, kFailed };

/// How a run ended at the engine.
struct StreamOutcome {
  StreamEnd end = StreamEnd::kComplete;
  /// For kFailed: whether the engine may have executed the attempt.
  Verdict verdict = Verdict::kRan;
};

}  // namespace crocus

#endif  // LIBPOLICY_DAEMON_ACTIONS_H_
