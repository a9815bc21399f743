#ifndef LIBHTTP_HTTP_MESSAGE_H_
#define LIBHTTP_HTTP_MESSAGE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocus {

/// Request that an HttpServer has received. Header names are in lower case.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Returns whether the caller has closed its end of the connection.
  std::function<bool()> is_caller_disconnected;

  /// Returns the header's value, or an empty string.
  std::string Header(const std::string& name) const;
  /// Returns the value of a path or query parameter, or an empty string.
  std::string Parameter(const std::string& name) const;
};

/// Body that is produced while it is sent.
struct BodyStream {
  /// Returns the next part and blocks until there is one. An empty optional
  /// ends the body.
  std::function<std::optional<std::string>()> next;
  /// Called once when the response ends, also if the caller disconnects early.
  std::function<void()> finish;
};

struct HttpResponse {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Replaces `body` when set.
  std::optional<BodyStream> stream;
};

}  // namespace crocus

#endif  // LIBHTTP_HTTP_MESSAGE_H_
