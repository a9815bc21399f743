#ifndef LIBSERVING_HASH_POINT_H_
#define LIBSERVING_HASH_POINT_H_

#include <string_view>

#include "LibCore/hashing.h"

namespace crocus {

/// A point in [0, 1) that is the same for the same text on every host.
inline double HashPoint(std::string_view text) {
  // 53 bits are what a double holds without rounding.
  return static_cast<double>(HashBytes(text) >> 11) * 0x1.0p-53;
}

}  // namespace crocus

#endif  // LIBSERVING_HASH_POINT_H_
