#include "LibServing/request_metadata.h"

#include "LibCore/hashing.h"

namespace crocus {

std::vector<std::string> SharedPartIds(const std::vector<PromptPart>& parts) {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i + 1 < parts.size() && i < kMaximumSharedParts;
       ++i) {
    const std::string& id = parts[i].id;
    ids.push_back(id.size() <= kMaximumPartIdBytes
                      ? id
                      : "hash-" + std::to_string(HashBytes(id)));
  }
  return ids;
}

}  // namespace crocus
