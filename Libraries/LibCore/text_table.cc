#include "LibCore/text_table.h"

#include <algorithm>
#include <cstddef>

namespace crocus {

namespace {

void AppendRow(const TextRow& row,
               const std::vector<std::size_t>& widths,
               std::string& text) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    line += row[i];
    if (i + 1 < row.size()) {
      constexpr std::size_t kColumnGap = 2;
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
  }
  line.erase(line.find_last_not_of(' ') + 1);
  text += line + "\n";
}

}  // namespace

std::string FormatTable(const TextRow& header,
                        const std::vector<TextRow>& rows) {
  std::vector<std::size_t> widths;
  const auto widen_columns = [&widths](const TextRow& row) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  };
  widen_columns(header);
  std::for_each(rows.begin(), rows.end(), widen_columns);
  std::string text;
  AppendRow(header, widths, text);
  for (const auto& row : rows) {
    AppendRow(row, widths, text);
  }
  return text;
}

}  // namespace crocus
