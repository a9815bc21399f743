#ifndef CONTROL_FLEET_COMMANDS_H_
#define CONTROL_FLEET_COMMANDS_H_

#include <vector>

#include "Control/command.h"

namespace crocus {

/// Returns the commands `status`, `endpoints` and `drain`.
std::vector<Command> FleetCommands();

}  // namespace crocus

#endif  // CONTROL_FLEET_COMMANDS_H_
