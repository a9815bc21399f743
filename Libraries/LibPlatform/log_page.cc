#include "LibPlatform/log_page.h"

#include <nlohmann/json.hpp>

namespace crocus {

Result<LogPage> ParseLogPage(const std::string& body) {
  const auto json = nlohmann::json::from_msgpack(body, true, false);
  const auto has_offset = [](const nlohmann::json& object, const char* name) {
    return object.is_object() && object.contains(name) &&
           object[name].is_number_unsigned();
  };
  if (!has_offset(json, "first") || !has_offset(json, "next") ||
      !json.contains("records") || !json["records"].is_array()) {
    return Failure(ErrorCode::kCorrupt, "log: the page is malformed");
  }
  LogPage page{.first = json["first"].get<std::uint64_t>(),
               .next = json["next"].get<std::uint64_t>(),
               .records = {}};
  for (const auto& record : json["records"]) {
    if (!has_offset(record, "offset") || !record.contains("data") ||
        !record["data"].is_binary()) {
      return Failure(ErrorCode::kCorrupt,
                     "log: a record of the page is malformed");
    }
    const auto& data = record["data"].get_binary();
    page.records.push_back({.offset = record["offset"].get<std::uint64_t>(),
                            .data = std::string(data.begin(), data.end())});
  }
  return page;
}

}  // namespace crocus
