#include <cstddef>
#include <cstdint>
#include <string>

#include "LibCore/assertions.h"
#include "LibRules/rule_difference.h"
#include "LibRules/rule_table.h"

namespace crocus {

namespace {

/// Returns the rule table of a valid file in the notation of rule files.
std::string TableAsFile(const ParsedRules& parsed) {
  std::string text;
  for (const auto& row : MakeRuleTable(parsed)) {
    text += row.kind + " " + row.name;
    for (const auto& [key, value] : row.values) {
      text += " " + key + "=" + value;
    }
    text += " # fuzzer: table\n";
  }
  return text;
}

void TryRules(const std::string& text) {
  VERIFY(CompareRules(text, text).empty());
  FormatRuleChanges(CompareRules("", text));
  const auto parsed = ParseRules("f", text);
  if (!parsed) {
    VERIFY(parsed.error().message.rfind("f:", 0) == 0);
    return;
  }
  FormatRuleTable(MakeRuleTable(*parsed));
  const auto again = ParseRules("f", TableAsFile(*parsed));
  VERIFY(again.has_value());
  VERIFY(again->rules == parsed->rules);
}

}  // namespace

}  // namespace crocus

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  crocus::TryRules({reinterpret_cast<const char*>(data), size});
  return 0;
}
