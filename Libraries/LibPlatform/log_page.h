#ifndef LIBPLATFORM_LOG_PAGE_H_
#define LIBPLATFORM_LOG_PAGE_H_

#include <string>

#include "LibCore/result.h"
#include "LibLedger/log_client.h"

namespace crocus {

/// Parses the log's answer to a read, in MessagePack. Fails with kCorrupt.
Result<LogPage> ParseLogPage(const std::string& body);

}  // namespace crocus

#endif  // LIBPLATFORM_LOG_PAGE_H_
