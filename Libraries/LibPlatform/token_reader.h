#ifndef LIBPLATFORM_TOKEN_READER_H_
#define LIBPLATFORM_TOKEN_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

namespace crocus {

/// Receives a token with its index; returning false stops the stream.
using TokenHandler =
    std::function<bool(std::uint32_t index, const std::string& text)>;

/// What a stream may hold. Beyond it, the stream is malformed: an engine may
/// send tokens without end.
struct TokenLimits {
  /// Tokens of the whole answer, those before a resumed stream included.
  std::uint32_t tokens = std::numeric_limits<std::uint32_t>::max();
  /// Bytes of the texts of this stream together.
  std::size_t text_bytes = 16u << 20;

  bool operator==(const TokenLimits&) const = default;
};

/// Parses an engine's stream of server-sent events and forwards the tokens to a
/// handler.
class TokenReader {
 public:
  explicit TokenReader(const TokenHandler& on_token, TokenLimits limits = {})
      : on_token(on_token), limits(limits) {}

  /// Adds a part of the stream; returns false if the stream must be stopped.
  bool Add(std::string_view part);

  bool is_complete() const { return this->complete; }
  bool is_cancelled() const { return this->cancelled; }

 private:
  /// A server may send bytes without end that never complete an event.
  static constexpr std::size_t kMaximumEventBytes = 128u << 10;

  bool OnEvent(const std::string& event);

  const TokenHandler& on_token;
  const TokenLimits limits;
  std::size_t text_bytes = 0;
  std::string pending;
  bool complete = false;
  bool cancelled = false;
};

}  // namespace crocus

#endif  // LIBPLATFORM_TOKEN_READER_H_
