#ifndef LIBASYNCHTTP_HTTP_HEAD_H_
#define LIBASYNCHTTP_HTTP_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocus {

struct HeaderField {
  std::string name;
  std::string value;

  bool operator==(const HeaderField&) const = default;
};

/// Header fields in the order of the message. Names are case-insensitive.
class HeaderFields {
 public:
  HeaderFields() = default;
  explicit HeaderFields(std::vector<HeaderField> fields);

  /// Header fields that consist of a Content-Type field only.
  static HeaderFields WithContentType(std::string type);

  void Add(std::string name, std::string value);
  /// Replaces every field of that name by one.
  void Set(std::string name, std::string value);
  void Remove(std::string_view name);

  /// Value of the first field of that name.
  std::optional<std::string_view> Find(std::string_view name) const;
  /// True if a comma-separated field contains the token; the comparison is
  /// case-insensitive.
  bool HasToken(std::string_view name, std::string_view token) const;

  /// The media type of the Content-Type field in lower case, without its
  /// parameters; empty if there is none.
  std::string MediaType() const;

  /// The fields without those that concern one connection only, such as
  /// `Keep-Alive`, those that frame the body, and `Connection` with the fields
  /// that it names.
  HeaderFields EndToEnd() const;

  const std::vector<HeaderField>& all() const { return this->fields; }

  bool operator==(const HeaderFields&) const = default;

 private:
  std::vector<HeaderField> fields;
};

/// Compares two header names or tokens case-insensitively.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

struct RequestHead {
  std::string method;
  /// Path and query as the caller sent them.
  std::string target;
  HeaderFields fields;
  bool keep_alive = true;
  /// False if the caller speaks HTTP/1.0, which has no chunked bodies.
  bool understands_chunks = true;

  /// The target without its query.
  std::string_view path() const;
  /// Value of a query parameter; empty if it is missing. Not percent-decoded.
  std::string_view QueryValue(std::string_view name) const;
};

struct Request {
  RequestHead head;
  std::string body;
};

/// How the end of a response body is told.
enum class BodyFraming {
  kLength,
  kChunked,
  /// The body ends with its connection.
  kConnectionClose,
};

std::string_view ToString(BodyFraming framing);

struct ResponseHead {
  std::uint32_t status = 0;
  /// The reason phrase.
  std::string reason;
  HeaderFields fields;
  bool keep_alive = true;
  /// Missing for a chunked body and for one that ends with its connection.
  std::optional<std::uint64_t> content_length;
  BodyFraming framing = BodyFraming::kLength;
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_HTTP_HEAD_H_
