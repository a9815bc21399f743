#ifndef LIBPLATFORM_LOG_PAGE_H_
#define LIBPLATFORM_LOG_PAGE_H_

#include <string>

#include "LibCore/result.h"
#include "LibLedger/log_client.h"

namespace crocus {

/// Parses the log's response to a read, a MessagePack document. Fails with
/// kCorrupt if it is malformed.
Result<LogPage> ParseLogPage(const std::string& body);

}  // namespace crocus

#endif  // LIBPLATFORM_LOG_PAGE_H_
