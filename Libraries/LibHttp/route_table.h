#ifndef LIBHTTP_ROUTE_TABLE_H_
#define LIBHTTP_ROUTE_TABLE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "LibHttp/http_message.h"

namespace crocus {

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

/// Handlers by method and path.
class RouteTable {
 public:
  /// A handler and the parameters in the path, decoded.
  struct Match {
    const HttpHandler* handler = nullptr;
    std::map<std::string, std::string> parameters;
  };

  /// `pattern` may contain parameters, such as "/v1/batches/:id".
  void Add(const std::string& method,
           const std::string& pattern,
           HttpHandler handler);

  /// Finds the route that was added first among those that match. Methods are
  /// compared case-insensitively and segments of the path as they were sent;
  /// empty segments do not count. Without a match the handler is null.
  Match Find(std::string_view method, std::string_view path) const;

 private:
  struct Route {
    std::string method;
    std::vector<std::string> segments;
    HttpHandler handler;
  };

  std::vector<Route> routes;
};

/// Decodes a parameter of a path or query: "%41" and "+" for a space. A "%"
/// without two digits after it stays as it is.
std::string DecodeParameter(std::string_view text);

/// Returns the parameters of the query of `target`, decoded. Values of the same
/// name are joined by commas.
std::map<std::string, std::string> ParseQuery(std::string_view target);

/// Adds a value, after a comma if there is one of that name already. Names and
/// values that are not UTF-8 are left out, so that handlers may put them into
/// JSON.
void AddJoined(std::map<std::string, std::string>& values,
               const std::string& name,
               const std::string& value);

}  // namespace crocus

#endif  // LIBHTTP_ROUTE_TABLE_H_
