#ifndef CONTROL_BATCH_COMMANDS_H_
#define CONTROL_BATCH_COMMANDS_H_

#include <vector>

#include "Control/command.h"

namespace crocus {

/// Returns the commands `batch submit`, `batch status`, `batch cancel` and
/// `batch results`.
std::vector<Command> BatchCommands();

}  // namespace crocus

#endif  // CONTROL_BATCH_COMMANDS_H_
