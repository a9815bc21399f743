#ifndef LIBMESSAGES_FRAME_H_
#define LIBMESSAGES_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/result.h"
#include "LibMessages/codec.h"
#include "LibMessages/messages.h"

namespace crocus {

/// Bytes of the frame header: body length, type and correlation id.
inline constexpr std::size_t kFrameHeaderBytes = 14;

/// Largest frame body in bytes.
inline constexpr std::size_t kMaximumFrameBytes = 32u << 20;

/// One message on an internal connection.
struct Frame {
  messages::MessageType type = messages::MessageType::kHello;
  std::uint64_t correlation = 0;
  std::string body;

  bool operator==(const Frame&) const = default;
};

struct FrameHeader {
  std::uint32_t body_bytes = 0;
  messages::MessageType type = messages::MessageType::kHello;
  std::uint64_t correlation = 0;

  bool operator==(const FrameHeader&) const = default;
};

template <typename Message>
Frame MakeFrame(const Message& message, std::uint64_t correlation = 0) {
  return {.type = Message::kType,
          .correlation = correlation,
          .body = Encode(message)};
}

/// Returns header and body as they are sent.
std::string EncodeFrame(const Frame& frame);

/// Decodes a header of kFrameHeaderBytes. Fails with kCorrupt if the type is
/// unknown or the body is larger than kMaximumFrameBytes.
Result<FrameHeader> DecodeFrameHeader(std::string_view bytes);

}  // namespace crocus

#endif  // LIBMESSAGES_FRAME_H_
