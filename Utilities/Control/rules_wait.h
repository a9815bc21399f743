#ifndef CONTROL_RULES_WAIT_H_
#define CONTROL_RULES_WAIT_H_

#include <cstdint>

#include "Control/command.h"

namespace crocus {

/// Waits until every live entry and daemon that the command's entries know
/// runs the version, and prints how long it took or who lags. A process that
/// no entry is connected to is listed but not waited for.
ExitCode WaitForVersion(const CommandLine& line, std::uint64_t version);

}  // namespace crocus

#endif  // CONTROL_RULES_WAIT_H_
