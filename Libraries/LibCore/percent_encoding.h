#ifndef LIBCORE_PERCENT_ENCODING_H_
#define LIBCORE_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace crocus {

/// Encodes a value for the query of a URL (RFC 3986).
std::string PercentEncode(std::string_view text);

/// Decodes a value from the query of a URL. An incomplete or malformed escape
/// is kept as it is.
std::string PercentDecode(std::string_view text);

}  // namespace crocus

#endif  // LIBCORE_PERCENT_ENCODING_H_
