#ifndef ENTRY_REFUSAL_H_
#define ENTRY_REFUSAL_H_

#include <chrono>
#include <string>

#include "LibCore/verdict.h"
#include "LibHttp/http_message.h"

namespace crocus {

/// Reason why a request has no answer. The verdict states whether the request
/// may have run.
struct Refusal {
  int status = 503;
  /// Reason code, listed in docs/operators.md.
  std::string code;
  std::string message;
  Verdict verdict = Verdict::kNotRun;
  /// Time after which a retry makes sense; 0 if it does not.
  std::chrono::milliseconds retry_after{0};

  bool operator==(const Refusal&) const = default;
};

/// Makes the JSON response of a refusal.
HttpResponse RefusalResponse(const Refusal& refusal);

}  // namespace crocus

#endif  // ENTRY_REFUSAL_H_
