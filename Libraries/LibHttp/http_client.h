#ifndef LIBHTTP_HTTP_CLIENT_H_
#define LIBHTTP_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "LibCore/result.h"

namespace crocus {

/// Request to an HTTP server.
struct HttpCall {
  std::string method = "GET";
  /// Its scheme is `http`.
  std::string url;
  std::map<std::string, std::string> headers;
  std::string body;
  /// From the connection to the end of the response; a host name is resolved
  /// before.
  std::chrono::seconds timeout{10};
  /// Size of a body after which the call is aborted, unless its parts go to a
  /// handler. A server may send bytes without end.
  std::size_t maximum_body_bytes = 16u << 20;
};

/// Response to an HttpCall. Header names are in lower case.
struct HttpReply {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  bool operator==(const HttpReply&) const = default;
};

/// Sends one request on a new connection and waits for the complete response.
/// Fails with kInvalidArgument (verdict not run) if the URL is not an `http`
/// URL. All other failures are kUnavailable and have the verdict kMayHaveRun,
/// also if no connection could be made.
Result<HttpReply> SendHttp(const HttpCall& call);

/// Receives the parts of a streamed body. Returning false aborts the call.
using BodyPartHandler = std::function<bool(std::string_view part)>;

/// Like SendHttp, but passes each part of the body of a success (2xx) to
/// `on_part` when it arrives; the body of another answer is dropped. The body
/// of the returned HttpReply is empty.
Result<HttpReply> SendHttpStreaming(const HttpCall& call,
                                    const BodyPartHandler& on_part);

}  // namespace crocus

#endif  // LIBHTTP_HTTP_CLIENT_H_
