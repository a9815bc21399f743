#ifndef LIBASYNCHTTP_CHUNK_FRAMING_H_
#define LIBASYNCHTTP_CHUNK_FRAMING_H_

#include <cstddef>

namespace crocus {

/// Bytes of the shortest last chunk with its empty trailer.
constexpr std::size_t kLastChunkBytes = 5;

/// Whether a parser of Boost.Beast may be given `bytes` bytes. Once it has seen
/// the line of the last chunk without the end of the trailer, it asserts that
/// it gets five bytes. If the body is empty, these can be four, and the
/// assertion ends the process. `is_header_done` says that the parser is past
/// the head, `has_rest` that it has left bytes of the framing at its last call.
constexpr bool MayParse(bool is_header_done, bool has_rest, std::size_t bytes) {
  return !is_header_done || !has_rest || bytes >= kLastChunkBytes;
}

}  // namespace crocus

#endif  // LIBASYNCHTTP_CHUNK_FRAMING_H_
