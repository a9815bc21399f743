#include "LibPlatform/token_reader.h"

#include "LibHttp/json_response.h"

namespace crocus {

bool TokenReader::Add(std::string_view part) {
  this->pending += part;
  for (;;) {
    const auto end = this->pending.find("\n\n");
    if (end == std::string::npos) {
      return this->pending.size() <= kMaximumEventBytes;
    }
    const std::string event = this->pending.substr(0, end);
    this->pending.erase(0, end + 2);
    if (!this->OnEvent(event)) {
      return false;
    }
  }
}

bool TokenReader::OnEvent(const std::string& event) {
  constexpr std::string_view kPrefix = "data: ";
  if (event.rfind(kPrefix, 0) != 0) {
    return true;
  }
  if (this->complete) {
    // Data after the end of the answer belongs to no answer.
    return false;
  }
  const std::string data = event.substr(kPrefix.size());
  if (data == "[DONE]") {
    this->complete = true;
    return true;
  }
  const auto json = ParseJsonObject(data);
  if (!json) {
    return false;
  }
  if (MemberOr(*json, "cancelled", false)) {
    this->cancelled = true;
    return true;
  }
  const auto index = json->find("index");
  const auto text = json->find("text");
  if (index == json->end() || !index->is_number_unsigned() ||
      text == json->end() || !text->is_string()) {
    // An error of the engine, for example, is no token.
    return false;
  }
  const auto token = text->get<std::string>();
  this->text_bytes += token.size();
  if (index->get<std::uint64_t>() >= this->limits.tokens ||
      this->text_bytes > this->limits.text_bytes) {
    return false;
  }
  if (!this->on_token(index->get<std::uint32_t>(), token)) {
    this->cancelled = true;
    return false;
  }
  return true;
}

}  // namespace crocus
