#ifndef LIBPOLICY_DAEMON_ACTIONS_H_
#define LIBPOLICY_DAEMON_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/verdict.h"
#include "LibMessages/messages.h"

namespace crocus {

/// Names a connection to an entry; 0 is none.
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

/// One pass of an attempt through an engine. A suspended attempt gets a new
/// number when it is started again, so that late actions and calls of an
/// earlier run have no effect.
struct EngineRun {
  std::string attempt;
  std::string replica;
  /// Unique in the daemon.
  std::uint64_t number = 0;
  /// 1 for the attempt's first run.
  std::uint32_t pass = 0;

  /// Name of the run at the engine. Later passes have names of their own, so a
  /// late cancel of an earlier pass does not end them.
  std::string StreamName() const {
    return this->pass <= 1 ? this->attempt
                           : this->attempt + "@" + std::to_string(this->pass);
  }

  bool operator==(const EngineRun&) const = default;
};

/// What the daemon process must do, in this order.
struct DaemonActions {
  std::vector<EngineRun> cancels;
  std::vector<EngineRun> starts;
  std::vector<OutgoingMessage> messages;
};

/// Engine call of a run that may begin now.
struct StreamCall {
  messages::Execute execute;
  /// Tokens that an earlier run delivered.
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
