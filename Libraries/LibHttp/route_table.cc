#include "LibHttp/route_table.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "LibAsyncHttp/http_head.h"
#include "LibCore/text.h"

namespace crocus {

namespace {

constexpr char kParameterMark = ':';

bool IsUtf8(const std::string& text) {
  const bool is_ascii =
      std::all_of(text.begin(), text.end(),
                  [](unsigned char character) { return character < 0x80; });
  if (is_ascii) {
    return true;
  }
  try {
    (void)nlohmann::json(text).dump();
    return true;
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

std::vector<std::string> SplitPath(std::string_view path) {
  auto segments = Split(path, '/');
  std::erase(segments, "");
  return segments;
}

}  // namespace

void RouteTable::Add(const std::string& method,
                     const std::string& pattern,
                     HttpHandler handler) {
  this->routes.push_back({.method = method,
                          .segments = SplitPath(pattern),
                          .handler = std::move(handler)});
}

RouteTable::Match RouteTable::Find(std::string_view method,
                                   std::string_view path) const {
  const auto segments = SplitPath(path);
  for (const auto& route : this->routes) {
    if (route.segments.size() != segments.size() ||
        !EqualsIgnoringCase(route.method, method)) {
      continue;
    }
    Match match{.handler = &route.handler, .parameters = {}};
    bool matches = true;
    for (std::size_t i = 0; i < segments.size() && matches; ++i) {
      const std::string& expected = route.segments[i];
      if (expected.front() == kParameterMark) {
        AddJoined(match.parameters, expected.substr(1),
                  DecodeParameter(segments[i]));
      } else {
        matches = expected == segments[i];
      }
    }
    if (matches) {
      return match;
    }
  }
  return {};
}

std::string DecodeParameter(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    constexpr std::size_t kDigits = 2;
    constexpr int kHexadecimal = 16;
    unsigned value = 0;
    const char* digits = text.data() + i + 1;
    if (text[i] == '%' && i + kDigits < text.size() &&
        std::from_chars(digits, digits + kDigits, value, kHexadecimal).ptr ==
            digits + kDigits) {
      decoded += static_cast<char>(value);
      i += kDigits;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view target) {
  std::map<std::string, std::string> parameters;
  const auto start = target.find('?');
  if (start == std::string_view::npos) {
    return parameters;
  }
  for (const auto& pair : Split(target.substr(start + 1), '&')) {
    if (pair.empty()) {
      continue;
    }
    const auto equals = pair.find('=');
    AddJoined(parameters, DecodeParameter(pair.substr(0, equals)),
              equals == std::string::npos
                  ? ""
                  : DecodeParameter(pair.substr(equals + 1)));
  }
  return parameters;
}

void AddJoined(std::map<std::string, std::string>& values,
               const std::string& name,
               const std::string& value) {
  if (!IsUtf8(name) || !IsUtf8(value)) {
    return;
  }
  if (const auto [found, is_new] = values.try_emplace(name, value); !is_new) {
    found->second += "," + value;
  }
}

}  // namespace crocus
