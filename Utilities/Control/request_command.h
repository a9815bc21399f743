#ifndef CONTROL_REQUEST_COMMAND_H_
#define CONTROL_REQUEST_COMMAND_H_

#include <vector>

#include "Control/command.h"

namespace crocus {

/// Returns the command `request`.
std::vector<Command> RequestCommands();

}  // namespace crocus

#endif  // CONTROL_REQUEST_COMMAND_H_
