#ifndef CONTROL_BATCH_COMMANDS_H_
#define CONTROL_BATCH_COMMANDS_H_

#include <vector>

#include "Control/command.h"

namespace crocus {

/// batch submit, status, cancel and results.
std::vector<Command> BatchCommands();

}  // namespace crocus

#endif  // CONTROL_BATCH_COMMANDS_H_
