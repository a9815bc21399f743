#ifndef LIBCORE_VERDICT_H_
#define LIBCORE_VERDICT_H_

#include <cstdint>
#include <string_view>

namespace crocus {

/// Whether an endpoint may have executed a request.
enum class Verdict : std::uint8_t {
  /// The request never started and never will.
  kNotRun = 0,
  /// The request may have started; its outcome is unknown.
  kMayHaveRun = 1,
  /// The request was executed.
  kRan = 2,
};

/// Returns the verdict's name in the HTTP interface, such as "not_run".
constexpr std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace crocus

#endif  // LIBCORE_VERDICT_H_
