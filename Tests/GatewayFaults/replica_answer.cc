#include "GatewayFaults/replica_answer.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

namespace crocus {

void CheckTextsAreWhole(GatewayFleet& fleet,
                        const std::vector<std::string>& items) {
  std::map<std::string, nlohmann::json> listed;
  CHECK(fleet.RunUntil(
      [&] {
        for (auto& result : fleet.ReadAllResults("a", "job", listed.size())) {
          const std::string id = result["id"];
          CHECK(listed.emplace(id, std::move(result)).second);
        }
        return listed.size() == items.size();
      },
      std::chrono::seconds(18)));
  for (const auto& id : items) {
    const auto& result = listed.at(id);
    STRCMP_EQUAL("completed", result["state"].get<std::string>().c_str());
    STRCMP_EQUAL("d0\nd1", result["text"].get<std::string>().c_str());
  }
}

}  // namespace crocus
