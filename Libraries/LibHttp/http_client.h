#ifndef LIBHTTP_HTTP_CLIENT_H_
#define LIBHTTP_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "LibCore/result.h"

namespace crocus {

struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::map<std::string, std::string> headers;
  std::string body;
  std::chrono::seconds timeout{10};
};

struct HttpReply {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  bool operator==(const HttpReply&) const = default;
};

/// Starts and ends the HTTP client library. One object lives in main for as
/// long as calls are made.
class HttpClientLibrary {
 public:
  HttpClientLibrary();
  ~HttpClientLibrary();
  HttpClientLibrary(const HttpClientLibrary&) = delete;
  HttpClientLibrary& operator=(const HttpClientLibrary&) = delete;
};

/// Sends one request and waits for the whole reply. A failure has the verdict
/// kMayHaveRun unless no connection could be made.
Result<HttpReply> SendHttp(const HttpCall& call);

/// Receives parts of a streamed body; returning false cuts the connection.
using BodyPartHandler = std::function<bool(std::string_view part)>;

/// Like SendHttp, but hands the body to `on_part` while it arrives. The
/// reply's body is empty.
Result<HttpReply> SendHttpStreaming(const HttpCall& call,
                                    const BodyPartHandler& on_part);

}  // namespace crocus

#endif  // LIBHTTP_HTTP_CLIENT_H_
