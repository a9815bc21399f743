#include "Control/command.h"

#include <cstdlib>
#include <iostream>

#include "LibCore/text.h"

namespace crocus {

std::vector<std::string> CommandLine::Entries() const {
  std::string text = this->Text("entry");
  if (text.empty()) {
    const char* variable = std::getenv("CROCUS_ENTRY");
    text = variable == nullptr ? "" : variable;
  }
  auto entries = Split(text, ',');
  std::erase(entries, "");
  return entries;
}

ControlExitCode Fail(ControlExitCode code, const std::string& message) {
  std::cerr << "crocusctl: " << message << "\n";
  return code;
}

}  // namespace crocus
