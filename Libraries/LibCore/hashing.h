#ifndef LIBCORE_HASHING_H_
#define LIBCORE_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace crocus {

/// Returns the 64-bit XXH3 of `bytes`, which is the same on every host and in
/// every version.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the 128-bit XXH3 of `bytes` as 32 hexadecimal digits.
std::string DigestOf(std::string_view bytes);

}  // namespace crocus

#endif  // LIBCORE_HASHING_H_
