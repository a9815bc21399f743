#include "LibCore/percent_encoding.h"

#include <cctype>
#include <charconv>

namespace crocus {

std::string PercentEncode(std::string_view text) {
  static constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || byte == '-' || byte == '.' || byte == '_') {
      encoded.push_back(character);
    } else {
      encoded.push_back('%');
      encoded.push_back(kDigits[byte >> 4]);
      encoded.push_back(kDigits[byte & 0xF]);
    }
  }
  return encoded;
}

std::string PercentDecode(std::string_view text) {
  constexpr std::size_t kEscapeLength = 3;
  constexpr int kHexadecimal = 16;
  std::string decoded;
  while (!text.empty()) {
    if (text.front() == '%' && text.size() >= kEscapeLength) {
      const char* digits = text.data() + 1;
      const char* end = text.data() + kEscapeLength;
      unsigned char byte = 0;
      if (const auto [parsed, error] =
              std::from_chars(digits, end, byte, kHexadecimal);
          error == std::errc() && parsed == end) {
        decoded.push_back(static_cast<char>(byte));
        text.remove_prefix(kEscapeLength);
        continue;
      }
    }
    decoded.push_back(text.front());
    text.remove_prefix(1);
  }
  return decoded;
}

}  // namespace crocus
