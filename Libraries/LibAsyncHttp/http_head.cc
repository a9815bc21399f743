#include "LibAsyncHttp/http_head.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "LibCore/text.h"

namespace crocus {

namespace {

constexpr std::array<std::string_view, 9> kConnectionFields = {
    "connection", "keep-alive",        "proxy-connection",
    "te",         "transfer-encoding", "content-length",
    "trailer",    "upgrade",           "expect"};

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()},
                               {right.data(), right.size()});
}

HeaderFields::HeaderFields(std::vector<HeaderField> fields)
    : fields(std::move(fields)) {}

HeaderFields HeaderFields::WithContentType(std::string type) {
  HeaderFields fields;
  fields.Add("Content-Type", std::move(type));
  return fields;
}

void HeaderFields::Add(std::string name, std::string value) {
  this->fields.push_back({.name = std::move(name), .value = std::move(value)});
}

void HeaderFields::Set(std::string name, std::string value) {
  this->Remove(name);
  this->Add(std::move(name), std::move(value));
}

void HeaderFields::Remove(std::string_view name) {
  std::erase_if(this->fields, [name](const HeaderField& field) {
    return EqualsIgnoringCase(field.name, name);
  });
}

std::optional<std::string_view> HeaderFields::Find(
    std::string_view name) const {
  for (const auto& field : this->fields) {
    if (EqualsIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

bool HeaderFields::HasToken(std::string_view name,
                            std::string_view token) const {
  for (const auto& field : this->fields) {
    if (!EqualsIgnoringCase(field.name, name)) {
      continue;
    }
    for (const auto& part : Split(field.value, ',')) {
      if (EqualsIgnoringCase(Trim(part), token)) {
        return true;
      }
    }
  }
  return false;
}

std::string HeaderFields::MediaType() const {
  const std::string_view type = this->Find("content-type").value_or("");
  std::string media_type = Trim(type.substr(0, type.find(';')));
  std::transform(media_type.begin(), media_type.end(), media_type.begin(),
                 [](unsigned char character) {
                   return static_cast<char>(std::tolower(character));
                 });
  return media_type;
}

HeaderFields HeaderFields::EndToEnd() const {
  HeaderFields kept;
  for (const auto& field : this->fields) {
    const bool is_connection_field = std::any_of(
        kConnectionFields.begin(), kConnectionFields.end(),
        [&field](auto name) { return EqualsIgnoringCase(field.name, name); });
    if (!is_connection_field && !this->HasToken("connection", field.name)) {
      kept.Add(field.name, field.value);
    }
  }
  return kept;
}

std::string_view ToString(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kConnectionClose:
      return "connection_close";
  }
  return "length";
}

std::string_view RequestHead::path() const {
  const std::string_view path_and_query = this->target;
  return path_and_query.substr(0, path_and_query.find('?'));
}

std::string_view RequestHead::QueryValue(std::string_view name) const {
  std::string_view rest = this->target;
  const auto start = rest.find('?');
  if (start == std::string_view::npos) {
    return {};
  }
  rest.remove_prefix(start + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    if (const auto equals = pair.find('=');
        equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
  }
  return {};
}

}  // namespace crocus
