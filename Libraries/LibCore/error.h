#ifndef LIBCORE_ERROR_H_
#define LIBCORE_ERROR_H_

#include <string>

#include "LibCore/verdict.h"

namespace crocus {

enum class ErrorCode {
  kInvalidArgument,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kRateLimited,
  kCorrupt,
  kInternal,
};

/// Why an operation failed, and whether it may have taken effect.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  Verdict verdict = Verdict::kNotRun;

  bool operator==(const Error&) const = default;
};

}  // namespace crocus

#endif  // LIBCORE_ERROR_H_
