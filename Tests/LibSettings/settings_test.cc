#include "LibSettings/settings.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

const char* const kValidEntry =
    "[host]\nname = entry-1\navailability_zone = waco-a\nregion = waco\n"
    "[platform]\nlog_url = http://127.0.0.1:1\n";

std::string ErrorOf(const std::string& text) {
  const auto document = ParseIni("entry.ini", text);
  if (!document) {
    return document.error().message;
  }
  const auto settings = ParseEntrySettings(*document);
  return settings ? "" : settings.error().message;
}

}  // namespace

TEST_GROUP(EntrySettings_Parsing){};

TEST(EntrySettings_Parsing, ValidFileIsAccepted) {
  STRCMP_EQUAL("", ErrorOf(kValidEntry).c_str());
}

// Guards against a list that holds one empty name by default.
TEST(EntrySettings_Parsing, ListThatIsNotSetIsEmpty) {
  const auto settings = ParseEntrySettings(*ParseIni("entry.ini", kValidEntry));
  CHECK(settings.has_value());
  CHECK(settings->fleet.entries.empty());
  CHECK(settings->fleet.daemons.empty());
}

// Guards against a misspelt key that is silently ignored.
TEST(EntrySettings_Parsing, UnknownKeyNamesLineAndNearestKey) {
  const std::string error =
      ErrorOf(std::string(kValidEntry) + "[limits]\nconections = 3\n");
  STRCMP_CONTAINS("entry.ini:8", error.c_str());
  STRCMP_CONTAINS("did you mean [limits] connections", error.c_str());
}

TEST(EntrySettings_Parsing, ValueOutOfRangeNamesTheRange) {
  const std::string error =
      ErrorOf(std::string(kValidEntry) + "[limits]\nconnections = 0\n");
  STRCMP_CONTAINS("must be from 1 to 65535", error.c_str());
}

TEST(EntrySettings_Parsing, MissingRequiredKeyIsNamed) {
  STRCMP_CONTAINS("[host] region is required",
                  ErrorOf("[host]\nname = e\navailability_zone = z\n").c_str());
}

TEST(EntrySettings_Parsing, DurationAcceptsUnits) {
  const auto document = ParseIni(
      "entry.ini", std::string(kValidEntry) + "[limits]\ndefault_patience=2s");
  CHECK(document.has_value());
  const auto settings = ParseEntrySettings(*document);
  CHECK(settings.has_value());
  CHECK(settings->limits.default_patience == std::chrono::seconds(2));
}

}  // namespace crocus
