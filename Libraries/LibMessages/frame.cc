#include "LibMessages/frame.h"

#include <cstring>

namespace crocus {

namespace {

template <typename Integer>
void AppendInteger(std::string& bytes, Integer value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

template <typename Integer>
Integer TakeInteger(std::string_view& bytes) {
  Integer value{};
  std::memcpy(&value, bytes.data(), sizeof(value));
  bytes.remove_prefix(sizeof(value));
  return value;
}

}  // namespace

std::string EncodeFrame(const Frame& frame) {
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + frame.body.size());
  AppendInteger(bytes, static_cast<std::uint32_t>(frame.body.size()));
  AppendInteger(bytes, static_cast<std::uint16_t>(frame.type));
  AppendInteger(bytes, frame.correlation);
  bytes += frame.body;
  return bytes;
}

Result<FrameHeader> DecodeFrameHeader(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) {
    return Failure(ErrorCode::kCorrupt, "frame header is truncated");
  }
  const auto body_bytes = TakeInteger<std::uint32_t>(bytes);
  const auto type = TakeInteger<std::uint16_t>(bytes);
  const auto correlation = TakeInteger<std::uint64_t>(bytes);
  if (body_bytes > kMaximumFrameBytes) {
    return Failure(
        ErrorCode::kCorrupt,
        "frame of " + std::to_string(body_bytes) + " bytes exceeds the limit");
  }
  if (!messages::IsKnown(static_cast<messages::MessageType>(type))) {
    return Failure(ErrorCode::kCorrupt,
                   "frame type " + std::to_string(type) + " is unknown");
  }
  return FrameHeader{.body_bytes = body_bytes,
                     .type = static_cast<messages::MessageType>(type),
                     .correlation = correlation};
}

}  // namespace crocus
