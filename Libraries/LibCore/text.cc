#include "LibCore/text.h"

#include <algorithm>
#include <numeric>

namespace crocus {

namespace {

/// Largest edit distance at which another name is suggested.
constexpr std::size_t kMaximumSuggestionDistance = 4;

/// Longer names are not compared: the edit distance takes quadratic time, and
/// the names are external input.
constexpr std::size_t kMaximumComparedNameBytes = 200;

}  // namespace

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t substitution =
          diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row[right.size()];
}

std::string Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return "";
  }
  const auto last = text.find_last_not_of(" \t");
  return std::string(text.substr(first, last - first + 1));
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  for (;;) {
    const auto end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(end + 1);
  }
}

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& known) {
  if (name.size() > kMaximumComparedNameBytes) {
    return "";
  }
  std::string nearest;
  std::size_t smallest_distance = kMaximumSuggestionDistance + 1;
  for (const auto& candidate : known) {
    if (const std::size_t distance = EditDistance(name, candidate);
        distance < smallest_distance) {
      smallest_distance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace crocus
