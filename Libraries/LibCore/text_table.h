#ifndef LIBCORE_TEXT_TABLE_H_
#define LIBCORE_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace crocus {

using TextRow = std::vector<std::string>;

/// Formats rows in columns that are as wide as their longest cell, with the
/// header first. Rows may have fewer cells than the header.
std::string FormatTable(const TextRow& header,
                        const std::vector<TextRow>& rows);

}  // namespace crocus

#endif  // LIBCORE_TEXT_TABLE_H_
