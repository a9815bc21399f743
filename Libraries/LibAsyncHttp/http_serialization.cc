#include "LibAsyncHttp/http_serialization.h"

#include <array>
#include <charconv>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace crocus {

namespace {

void AppendFields(std::string& text, const HeaderFields& fields) {
  for (const auto& field : fields.all()) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
  text += "\r\n";
}

}  // namespace

std::string SerializeRequest(const RequestHead& head, std::string_view body) {
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  HeaderFields fields = head.fields;
  if (!body.empty() || head.method == "POST" || head.method == "PUT") {
    fields.Set("Content-Length", std::to_string(body.size()));
  }
  AppendFields(text, fields);
  // Without doubling, which costs a large body once more.
  text.reserve(text.size() + body.size());
  text += body;
  return text;
}

std::string SerializeResponseHead(std::uint32_t status,
                                  std::string_view reason,
                                  const HeaderFields& fields) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text += reason;
  text += "\r\n";
  AppendFields(text, fields);
  return text;
}

std::string SerializeChunk(std::string_view bytes) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes.size(), 16);
  std::string text(digits.data(), end.ptr);
  text += "\r\n";
  text += bytes;
  text += "\r\n";
  return text;
}

std::string ReasonPhrase(std::uint32_t status) {
  return boost::beast::http::obsolete_reason(
             boost::beast::http::int_to_status(status))
      .to_string();
}

}  // namespace crocus
