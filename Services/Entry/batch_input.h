#ifndef ENTRY_BATCH_INPUT_H_
#define ENTRY_BATCH_INPUT_H_

#include "Entry/batch_store.h"
#include "LibCore/result.h"
#include "LibHttp/http_message.h"

namespace crocus {

/// Parses the body of POST /v1/batches: line 1 describes the job, each other
/// line an item. Errors name the line and the field. The job's id is derived
/// from the workspace and the caller's idempotency key, or from the body if
/// there is no key.
Result<BatchInput> ParseBatch(const HttpRequest& request);

}  // namespace crocus

#endif  // ENTRY_BATCH_INPUT_H_
