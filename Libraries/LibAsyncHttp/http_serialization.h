#ifndef LIBASYNCHTTP_HTTP_SERIALIZATION_H_
#define LIBASYNCHTTP_HTTP_SERIALIZATION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "LibAsyncHttp/http_head.h"

namespace crocus {

/// Serialises a request with a body of known length.
std::string SerializeRequest(const RequestHead& head, std::string_view body);

/// Serialises the status line and the fields with the empty line after them.
std::string SerializeResponseHead(std::uint32_t status,
                                  std::string_view reason,
                                  const HeaderFields& fields);

/// Serialises one chunk of a chunked body; `bytes` must not be empty.
std::string SerializeChunk(std::string_view bytes);

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// The standard reason phrase of a status code.
std::string ReasonPhrase(std::uint32_t status);

}  // namespace crocus

#endif  // LIBASYNCHTTP_HTTP_SERIALIZATION_H_
