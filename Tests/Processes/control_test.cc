#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

#include <CppUTest/TestHarness.h>

#include "control_runner.h"

namespace crocus {

TEST_GROUP(Control_CommandLine){};

// Guards against a command whose help lacks its usage, examples or exit codes.
TEST(Control_CommandLine, EveryCommandShowsExamplesAndExitCodes) {
  for (const std::string command :
       {"rules check", "rules publish", "rules show", "rules diff", "status",
        "endpoints", "drain", "batch submit", "batch status", "batch cancel",
        "batch results", "request"}) {
    const auto help = RunControl(command + " --help");
    CHECK_EQUAL_TEXT(0, help.exit_code, command.c_str());
    STRCMP_CONTAINS(("crocusctl " + command).c_str(), help.output.c_str());
    STRCMP_CONTAINS("Examples:", help.output.c_str());
    STRCMP_CONTAINS("Exit codes:", help.output.c_str());
  }
}

// Guards against usage errors that a script cannot distinguish from success or
// from a refusal.
TEST(Control_CommandLine, UsageErrorsHaveTheirOwnExitCode) {
  for (const char* arguments :
       {"", "rule check x", "rules", "rules check", "rules check a b",
        "status --jsn", "rules publish x --base y", "request hello"}) {
    CHECK_EQUAL_TEXT(2, RunControl(arguments).exit_code, arguments);
  }
  CHECK_EQUAL(4, RunControl("status --entry http://127.0.0.1:1").exit_code);
}

// Guards against a rule file with errors that is published, and against errors
// that are not reported with their line.
TEST(Control_CommandLine, InvalidRuleFileIsRefusedWithEveryError) {
  const std::string path =
      "/tmp/crocus-control-" + std::to_string(getpid()) + ".rules";
  std::ofstream(path) << "workspace a shar=1 # Calloway: why\n"
                      << "workspace b\n";
  for (const std::string command :
       {"rules check ", "rules publish --log http://127.0.0.1:1 "}) {
    const auto result = RunControl(command + path);
    CHECK_EQUAL_TEXT(1, result.exit_code, result.output.c_str());
    STRCMP_CONTAINS((path + ":1: unknown key \"shar\"").c_str(),
                    result.output.c_str());
    STRCMP_CONTAINS((path + ":2: the comment must say").c_str(),
                    result.output.c_str());
  }
  std::remove(path.c_str());
  CHECK_EQUAL(1, RunControl("rules check " + path).exit_code);
}

}  // namespace crocus
