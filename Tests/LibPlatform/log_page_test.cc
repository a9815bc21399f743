#include "LibPlatform/log_page.h"

#include <string>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

namespace crocus {

namespace {

bool IsAccepted(const nlohmann::json& page) {
  const auto bytes = nlohmann::json::to_msgpack(page);
  return ParseLogPage({bytes.begin(), bytes.end()}).has_value();
}

}  // namespace

TEST_GROUP(LogPage_MalformedResponse){};

// Guards against a malformed response of the log that terminates the process
// with an exception.
TEST(LogPage_MalformedResponse, InvalidTypesAreErrors) {
  const auto record = [](const nlohmann::json& offset) {
    return nlohmann::json{
        {"first", 1},
        {"next", 2},
        {"records",
         {{{"offset", offset}, {"data", nlohmann::json::binary({1})}}}}};
  };
  CHECK(IsAccepted(record(1)));
  CHECK_FALSE(IsAccepted(record("1")));
  CHECK_FALSE(IsAccepted(record(nullptr)));
  CHECK_FALSE(IsAccepted({{"first", "1"}, {"next", 2}, {"records", {}}}));
  CHECK_FALSE(IsAccepted({{"first", 1}, {"next", -2}, {"records", {}}}));
  CHECK_FALSE(IsAccepted({{"first", 1}, {"next", 2}, {"records", {1}}}));
  CHECK_FALSE(ParseLogPage("\xc1").has_value());
  CHECK_FALSE(ParseLogPage("").has_value());
}

}  // namespace crocus
