#include "LibHttp/http_message.h"

namespace crocus {

namespace {

std::string Lookup(const std::map<std::string, std::string>& map,
                   const std::string& name) {
  const auto found = map.find(name);
  return found == map.end() ? "" : found->second;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  return Lookup(this->headers, name);
}

std::string HttpRequest::Parameter(const std::string& name) const {
  return Lookup(this->parameters, name);
}

}  // namespace crocus
