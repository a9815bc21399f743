#ifndef LIBCORE_RESULT_H_
#define LIBCORE_RESULT_H_

#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "LibCore/error.h"

namespace crocus {

template <typename T>
using Result = tl::expected<T, Error>;

/// Returns the error state of a Result. The verdict states whether the
/// operation may have taken effect.
inline tl::unexpected<Error> Failure(ErrorCode code,
                                     std::string message,
                                     Verdict verdict = Verdict::kNotRun) {
  return tl::unexpected<Error>(
      Error{.code = code, .message = std::move(message), .verdict = verdict});
}

}  // namespace crocus

#define CROCUS_CONCATENATE_INNER(a, b) a##b
#define CROCUS_CONCATENATE(a, b) CROCUS_CONCATENATE_INNER(a, b)

/// Returns the error of a Result<void> expression from the enclosing function.
#define TRY(expression)                                     \
  do {                                                      \
    if (auto try_result = (expression); !try_result) {      \
      return tl::unexpected(std::move(try_result).error()); \
    }                                                       \
  } while (false)

/// Declares `declaration` from the value of a Result expression, or returns
/// its error from the enclosing function.
#define TRY_ASSIGN(declaration, expression)                                \
  TRY_ASSIGN_INNER(CROCUS_CONCATENATE(try_result_, __LINE__), declaration, \
                   expression)
#define TRY_ASSIGN_INNER(result, declaration, expression) \
  auto result = (expression);                             \
  if (!(result)) {                                        \
    return tl::unexpected(std::move(result).error());     \
  }                                                       \
  declaration = std::move(*(result))

#endif  // LIBCORE_RESULT_H_
