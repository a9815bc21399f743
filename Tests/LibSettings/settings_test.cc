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

// Guards against a list of daemons that is truncated at the longest line that
// can be read.
TEST(EntrySettings_Parsing, LongListIsContinuedOnIndentedLines) {
  std::string text = std::string(kValidEntry) + "[fleet]\ndaemons = 10.0.0.1:1";
  for (int i = 2; i <= 420; ++i) {
    text += (i % 5 == 0 ? ",\n  10.0.0.1:" : ", 10.0.0.1:") + std::to_string(i);
  }
  const auto document =
      ParseIni("entry.ini", text + "\n[limits]\nconnections=7");
  CHECK(document.has_value());
  const auto settings = ParseEntrySettings(*document);
  CHECK(settings.has_value());
  CHECK_EQUAL(420, settings->fleet.daemons.size());
  STRCMP_EQUAL("10.0.0.1:420", settings->fleet.daemons.back().c_str());
  CHECK_EQUAL(7, settings->limits.connections);
}

// Guards against values that are silently truncated or joined.
TEST(EntrySettings_Parsing, UnreadableLinesAreReported) {
  const std::string valid = kValidEntry;
  STRCMP_CONTAINS(
      "entry.ini:7: the line is longer than",
      ErrorOf(valid + "hosts_url=" + std::string(400, 'x')).c_str());
  STRCMP_CONTAINS("entry.ini:7: the line contains a zero byte",
                  ErrorOf(valid + std::string("hosts_url=a\0b", 13)).c_str());
  STRCMP_CONTAINS("entry.ini:7: an indented line",
                  ErrorOf(valid + "  hosts_url = http://x\n").c_str());
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

// Guards against a program that does not start because the platform gives one
// of its times as a fraction.
TEST(EntrySettings_Parsing, DurationAcceptsFractions) {
  const auto read = [](const std::string& value) {
    const auto document =
        ParseIni("entry.ini", std::string(kValidEntry) +
                                  "[limits]\ndefault_patience=" + value);
    const auto settings = ParseEntrySettings(*document);
    return settings ? settings->limits.default_patience
                    : std::chrono::milliseconds(0);
  };
  CHECK(read("7.5s") == std::chrono::milliseconds(7500));
  CHECK(read("0.25min") == std::chrono::seconds(15));
  CHECK(read("4.0s") == std::chrono::seconds(4));
  for (const std::string value :
       {"s", ".s", "7.5.1s", "-7s", "1e3s", "nan s"}) {
    CHECK(read(value) == std::chrono::milliseconds(0));
  }
}

}  // namespace crocus
