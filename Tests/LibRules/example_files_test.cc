#include <fstream>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

#include "LibRules/rule_parser.h"

namespace crocus {

TEST_GROUP(RuleParser_ExampleFiles){};

// Guards against example files with errors, which operators would copy.
TEST(RuleParser_ExampleFiles, ExamplesHaveNoErrors) {
  for (const char* name : {"calloway.rules", "tesfaye.rules"}) {
    const std::string path =
        std::string(CROCUS_SOURCE_DIRECTORY) + "/examples/" + name;
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    const auto parsed = ParseRules(path, text.str());
    CHECK_TEXT(parsed.has_value(),
               parsed ? "" : parsed.error().message.c_str());
    CHECK(parsed->rules.endpoints.size() == 2);
  }
}

}  // namespace crocus
