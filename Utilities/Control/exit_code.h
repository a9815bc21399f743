#ifndef CONTROL_EXIT_CODE_H_
#define CONTROL_EXIT_CODE_H_

namespace crocus {

/// Exit codes of crocusctl, for scripts.
enum class ExitCode : int {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  /// Another operator's publish came first.
  kConflict = 3,
  /// An entry or the log does not answer, or an outcome is unknown.
  kUnavailable = 4,
};

}  // namespace crocus

#endif  // CONTROL_EXIT_CODE_H_
