#ifndef TESTS_PROCESSES_CONTROL_RUNNER_H_
#define TESTS_PROCESSES_CONTROL_RUNNER_H_

#include <string>
#include <utility>

namespace crocus {

struct ControlResult {
  int exit_code = -1;
  /// Standard output and standard error.
  std::string output;
};

/// Runs crocusctl with `arguments`, which the shell splits.
ControlResult RunControl(const std::string& arguments);

}  // namespace crocus

#endif  // TESTS_PROCESSES_CONTROL_RUNNER_H_
