#ifndef LIBMESSAGES_ARCHIVE_H_
#define LIBMESSAGES_ARCHIVE_H_

#include <cstddef>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <cereal/cereal.hpp>

namespace crocus {

/// cereal archive that appends little-endian binary to a string.
class StringOutputArchive
    : public cereal::OutputArchive<StringOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit StringOutputArchive(std::string& out)
      : cereal::OutputArchive<StringOutputArchive,
                              cereal::AllowEmptyClassElision>(this),
        out(out) {}

  void saveBinary(const void* data, std::streamsize size) {
    this->out.append(static_cast<const char*>(data), size);
  }

 private:
  std::string& out;
};

/// cereal archive that reads untrusted bytes. The size of a container is
/// checked against the remaining bytes before memory is allocated, and a read
/// past the end throws cereal::Exception.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : cereal::InputArchive<BoundedInputArchive,
                             cereal::AllowEmptyClassElision>(this),
        bytes(bytes) {}

  void loadBinary(void* data, std::streamsize size) {
    if (static_cast<std::size_t>(size) > this->bytes.size()) {
      throw cereal::Exception("message is truncated");
    }
    std::memcpy(data, this->bytes.data(), size);
    this->bytes.remove_prefix(size);
  }

  std::size_t remaining() const { return this->bytes.size(); }

 private:
  std::string_view bytes;
};

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(
    StringOutputArchive& archive,
    const T& value) {
  archive.saveBinary(std::addressof(value), sizeof(value));
}

template <typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive& archive,
    T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    // A byte other than 0 or 1 in a bool is undefined behaviour.
    unsigned char byte = 0;
    archive.loadBinary(&byte, sizeof(byte));
    value = byte != 0;
  } else {
    archive.loadBinary(std::addressof(value), sizeof(value));
  }
}

template <typename Archive, typename T>
CEREAL_ARCHIVE_RESTRICT(BoundedInputArchive, StringOutputArchive)
CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, cereal::NameValuePair<T>& t) {
  archive(t.value);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive,
                               const cereal::SizeTag<T>& tag) {
  archive(static_cast<std::uint32_t>(tag.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::SizeTag<T>& tag) {
  std::uint32_t size = 0;
  archive(size);
  // Every element takes at least one byte.
  if (size > archive.remaining()) {
    throw cereal::Exception("container size exceeds the message");
  }
  tag.size = size;
}

/// Loads a list element by element, so that its memory grows with the bytes
/// that were decoded. Memory for the declared size would be many times the
/// frame's size if the elements are large in memory and declared but not sent.
template <typename T, typename Allocator>
std::enable_if_t<!std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
    BoundedInputArchive& archive,
    std::vector<T, Allocator>& values) {
  cereal::size_type size = 0;
  archive(cereal::make_size_tag(size));
  values.clear();
  for (cereal::size_type i = 0; i < size; ++i) {
    archive(values.emplace_back());
  }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(StringOutputArchive& archive,
                               const cereal::BinaryData<T>& data) {
  archive.saveBinary(data.data, static_cast<std::streamsize>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.loadBinary(data.data, static_cast<std::streamsize>(data.size));
}

}  // namespace crocus

CEREAL_REGISTER_ARCHIVE(crocus::StringOutputArchive)
CEREAL_REGISTER_ARCHIVE(crocus::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(crocus::BoundedInputArchive,
                            crocus::StringOutputArchive)

#endif  // LIBMESSAGES_ARCHIVE_H_
