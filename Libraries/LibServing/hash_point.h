#ifndef LIBSERVING_HASH_POINT_H_
#define LIBSERVING_HASH_POINT_H_

#include <string_view>

#include "LibCore/hashing.h"

namespace crocus {

/// Hashes a text to a point in [0, 1), which is the same on every host.
inline double HashPoint(std::string_view text) {
  // A double holds 53 bits without rounding.
  return static_cast<double>(HashBytes(text) >> 11) * 0x1.0p-53;
}

}  // namespace crocus

#endif  // LIBSERVING_HASH_POINT_H_
