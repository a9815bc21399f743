#ifndef CONTROL_EXIT_CODE_H_
#define CONTROL_EXIT_CODE_H_

namespace crocus {

/// Exit codes of crocusctl, for scripts.
enum class ControlExitCode : int {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  /// Another operator's publish was accepted first, or an entry returned status
  /// 409.
  kConflict = 3,
  /// An entry or the log is unavailable, or an outcome is unknown.
  kUnavailable = 4,
};

}  // namespace crocus

#endif  // CONTROL_EXIT_CODE_H_
