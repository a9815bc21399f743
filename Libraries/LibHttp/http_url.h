#ifndef LIBHTTP_HTTP_URL_H_
#define LIBHTTP_HTTP_URL_H_

#include <string>

#include "LibCore/result.h"

namespace crocus {

/// The parts of an `http` URL.
struct HttpUrl {
  /// A name or an IP address, without the brackets of an IPv6 address.
  std::string host;
  std::string port = "80";
  /// Host and port as they stand in the URL.
  std::string authority;
  /// Path and query; begins with a slash.
  std::string target = "/";

  bool operator==(const HttpUrl&) const = default;
};

/// Fails with kInvalidArgument (verdict not run) for another scheme, an empty
/// host or port, and blanks or control bytes.
Result<HttpUrl> ParseHttpUrl(const std::string& text);

}  // namespace crocus

#endif  // LIBHTTP_HTTP_URL_H_
