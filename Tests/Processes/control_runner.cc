#include "control_runner.h"

#include <sys/wait.h>

#include <array>
#include <cstdio>

#include "LibCore/assertions.h"

namespace crocus {

ControlResult RunControl(const std::string& arguments) {
  const std::string command = std::string(CROCUS_BINARY_DIRECTORY) +
                              "/crocusctl " + arguments + " 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  VERIFY(pipe != nullptr);
  ControlResult result;
  std::array<char, 4096> buffer{};
  for (std::size_t count = 0;
       (count = fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
    result.output.append(buffer.data(), count);
  }
  const int status = pclose(pipe);
  result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

}  // namespace crocus
