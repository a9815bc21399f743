#ifndef CONTROL_RULES_COMMANDS_H_
#define CONTROL_RULES_COMMANDS_H_

#include <vector>

#include "Control/command.h"

namespace crocus {

/// Returns the commands `rules check`, `rules publish`, `rules show` and
/// `rules diff`.
std::vector<Command> RulesCommands();

}  // namespace crocus

#endif  // CONTROL_RULES_COMMANDS_H_
