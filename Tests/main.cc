#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include "LibCore/assertions.h"

namespace {

/// Names of the tests that KNOWN-RED.txt lists, as Group.Name. Each entry of
/// the file has a line "test: Group.Name".
std::vector<std::string> ReadKnownFailures() {
  constexpr std::string_view kPrefix = "test: ";
  std::vector<std::string> names;
  std::ifstream stream(std::string(CROCUS_SOURCE_DIRECTORY) + "/KNOWN-RED.txt");
  for (std::string line; std::getline(stream, line);) {
    if (line.rfind(kPrefix, 0) == 0) {
      names.push_back(line.substr(kPrefix.size()));
    }
  }
  return names;
}

/// Number of tests in this program called `name`, in `group` or in any group
/// if that is empty.
int CountTests(const std::string& group, const std::string& name) {
  int count = 0;
  for (auto* test = TestRegistry::getCurrentRegistry()->getFirstTest();
       test != nullptr; test = test->getNext()) {
    const bool is_group =
        group.empty() || group == test->getGroup().asCharString();
    count += is_group && name == test->getName().asCharString() ? 1 : 0;
  }
  return count;
}

/// Arguments that make the runner pass over the listed tests of this program.
std::vector<std::string> ExclusionArguments() {
  std::vector<std::string> arguments;
  for (const auto& listed : ReadKnownFailures()) {
    const auto dot = listed.find('.');
    const std::string group = listed.substr(0, dot);
    const std::string name =
        dot == std::string::npos ? "" : listed.substr(dot + 1);
    if (CountTests(group, name) == 0) {
      continue;
    }
    // The runner excludes by name only, so the name must be unique.
    VERIFY(CountTests("", name) == 1);
    std::cout << "known red, not run: " << listed << "\n";
    arguments.insert(arguments.end(), {"-xsn", name});
  }
  return arguments;
}

}  // namespace

int main(int argument_count, char** arguments) {
  // The leak detector reports the static objects of rapidcheck.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::vector<std::string> extended(arguments, arguments + argument_count);
  // Only CI passes over the listed tests; a run by hand executes them.
  if (std::getenv("CROCUS_SKIP_KNOWN_RED") != nullptr) {
    const auto exclusions = ExclusionArguments();
    extended.insert(extended.end(), exclusions.begin(), exclusions.end());
  }
  std::vector<const char*> pointers;
  pointers.reserve(extended.size());
  for (const auto& argument : extended) {
    pointers.push_back(argument.c_str());
  }
  return CommandLineTestRunner::RunAllTests(static_cast<int>(pointers.size()),
                                            pointers.data());
}
