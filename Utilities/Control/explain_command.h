#ifndef CONTROL_EXPLAIN_COMMAND_H_
#define CONTROL_EXPLAIN_COMMAND_H_

#include <vector>

#include "Control/command.h"

namespace crocus {

/// The command that explains a placement of a gateway.
std::vector<Command> ExplainCommands();

}  // namespace crocus

#endif  // CONTROL_EXPLAIN_COMMAND_H_
