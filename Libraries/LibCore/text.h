#ifndef LIBCORE_TEXT_H_
#define LIBCORE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace crocus {

/// Returns the text without spaces and tabs at both ends.
std::string Trim(std::string_view text);

/// Splits the text at every separator; empty parts are kept.
std::vector<std::string> Split(std::string_view text, char separator);

/// Returns the smallest number of single-character edits that turn one text
/// into the other, in time proportional to the product of their lengths.
std::size_t EditDistance(std::string_view left, std::string_view right);

/// Returns the known name that differs from `name` by the fewest
/// single-character edits. Returns an empty string if none is similar enough
/// or `name` is too long to be compared.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& known);

}  // namespace crocus

#endif  // LIBCORE_TEXT_H_
