#ifndef CONTROL_RULES_WAIT_H_
#define CONTROL_RULES_WAIT_H_

#include <cstdint>

#include "Control/command.h"

namespace crocus {

/// Waits until every live entry and daemon that the command line's entries list
/// in their status runs the version, and prints how long that took or which
/// processes lag. A process to which no entry is connected is printed but not
/// waited for.
ControlExitCode WaitForVersion(const CommandLine& line, std::uint64_t version);

}  // namespace crocus

#endif  // CONTROL_RULES_WAIT_H_
