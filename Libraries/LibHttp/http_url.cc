#include "LibHttp/http_url.h"

#include <algorithm>
#include <string_view>

namespace crocus {

Result<HttpUrl> ParseHttpUrl(const std::string& text) {
  constexpr std::string_view kScheme = "http://";
  const auto invalid = [&text](const std::string& reason) {
    return Failure(ErrorCode::kInvalidArgument, "\"" + text + "\": " + reason);
  };
  const bool is_graphic = std::all_of(
      text.begin(), text.end(),
      [](char character) { return character > ' ' && character <= '~'; });
  if (!is_graphic) {
    return invalid("a URL has no blanks, control or non-ASCII bytes");
  }
  if (!text.starts_with(kScheme)) {
    return invalid("the URL does not begin with http://");
  }
  const std::string rest = text.substr(kScheme.size());
  const auto path = std::min(rest.find_first_of("/?#"), rest.size());
  HttpUrl url{.authority = rest.substr(0, path)};
  if (const std::string target = rest.substr(path, rest.find('#') - path);
      !target.empty()) {
    url.target = (target.front() == '/' ? "" : "/") + target;
  }
  const auto bracket = url.authority.find(']');
  const auto colon =
      url.authority.find(':', bracket == std::string::npos ? 0 : bracket);
  url.host = url.authority.substr(0, colon);
  if (colon != std::string::npos) {
    url.port = url.authority.substr(colon + 1);
  }
  if (url.host.size() > 2 && url.host.front() == '[' &&
      url.host.back() == ']') {
    url.host = url.host.substr(1, url.host.size() - 2);
  }
  if (url.host.empty() || url.port.empty()) {
    return invalid("the URL has no host or an empty port");
  }
  return url;
}

}  // namespace crocus
