#include "Processes/process_fleet.h"

#include <CppUTest/TestHarness.h>

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

namespace crocus {

namespace {

/// True if the process does not run any more; its parent may not have waited
/// for it.
bool HasEnded(pid_t id) {
  std::ifstream stream("/proc/" + std::to_string(id) + "/stat");
  std::string text;
  return !std::getline(stream, text) ||
         text.substr(text.rfind(')') + 1).starts_with(" Z");
}

}  // namespace

TEST_GROUP(ProcessFleet_AbortedTest){};

// Guards against programs that outlive the test which has started them, and
// that a later run meets on its ports.
TEST(ProcessFleet_AbortedTest, ItsProgramsEndWithIt) {
  for (const int signal_number : {SIGABRT, SIGTERM}) {
    int pipe_ends[2];
    CHECK_EQUAL(0, pipe(pipe_ends));
    const pid_t test = fork();
    if (test == 0) {
      ProcessFleet fleet;
      fleet.StartStandin("log", {"log"});
      const pid_t started = fleet.ProcessId("log");
      (void)!write(pipe_ends[1], &started, sizeof(started));
      raise(signal_number);
      std::_Exit(0);
    }
    pid_t started = 0;
    CHECK_EQUAL(static_cast<ssize_t>(sizeof(started)),
                read(pipe_ends[0], &started, sizeof(started)));
    int status = 0;
    CHECK_EQUAL(test, waitpid(test, &status, 0));
    CHECK(WIFSIGNALED(status));
    CHECK_EQUAL(signal_number, WTERMSIG(status));
    CHECK(WaitUntil([started] { return HasEnded(started); },
                    std::chrono::seconds(2)));
    close(pipe_ends[0]);
    close(pipe_ends[1]);
  }
}

}  // namespace crocus
