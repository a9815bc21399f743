#ifndef LIBMESSAGES_CODEC_H_
#define LIBMESSAGES_CODEC_H_

#include <new>
#include <stdexcept>
#include <string>
#include <string_view>

#include "LibCore/result.h"
#include "LibMessages/archive.h"

namespace crocus {

/// Encodes a generated message or record.
template <typename Message>
std::string Encode(const Message& message) {
  std::string bytes;
  StringOutputArchive archive(bytes);
  archive(message);
  return bytes;
}

/// Decodes a generated message or record. Bytes after the last field are
/// ignored: a newer version may have appended fields.
template <typename Message>
Result<Message> Decode(std::string_view bytes) {
  try {
    Message message;
    BoundedInputArchive archive(bytes);
    archive(message);
    return message;
  } catch (const cereal::Exception& exception) {
    return Failure(ErrorCode::kCorrupt, exception.what());
  } catch (const std::length_error& exception) {
    return Failure(ErrorCode::kCorrupt, exception.what());
  } catch (const std::bad_alloc&) {
    return Failure(ErrorCode::kCorrupt, "message is too large for memory");
  }
}

}  // namespace crocus

#endif  // LIBMESSAGES_CODEC_H_
