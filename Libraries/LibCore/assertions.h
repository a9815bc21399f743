#ifndef LIBCORE_ASSERTIONS_H_
#define LIBCORE_ASSERTIONS_H_

#include <string_view>

namespace crocus {

/// Prints the violated invariant with its source location and aborts.
[[noreturn]] void AbortOnInvariantViolation(std::string_view condition,
                                            std::string_view file,
                                            int line);

}  // namespace crocus

/// Aborts in every build type if the invariant does not hold.
#define VERIFY(condition)                                                  \
  do {                                                                     \
    if (!(condition)) {                                                    \
      ::crocus::AbortOnInvariantViolation(#condition, __FILE__, __LINE__); \
    }                                                                      \
  } while (false)

#endif  // LIBCORE_ASSERTIONS_H_
