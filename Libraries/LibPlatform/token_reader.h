#ifndef LIBPLATFORM_TOKEN_READER_H_
#define LIBPLATFORM_TOKEN_READER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace crocus {

/// Receives a token with its index; returning false stops the stream.
using TokenHandler =
    std::function<bool(std::uint32_t index, const std::string& text)>;

/// Parses an engine's stream of server-sent events and forwards the tokens to a
/// handler.
class TokenReader {
 public:
  explicit TokenReader(const TokenHandler& on_token) : on_token(on_token) {}

  /// Adds a part of the stream; returns false if the stream must be stopped.
  bool Add(std::string_view part);

  bool is_complete() const { return this->complete; }
  bool is_cancelled() const { return this->cancelled; }

 private:
  /// A server may send bytes without end that never complete an event.
  static constexpr std::size_t kMaximumEventBytes = 128u << 10;

  bool OnEvent(const std::string& event);

  const TokenHandler& on_token;
  std::string pending;
  bool complete = false;
  bool cancelled = false;
};

}  // namespace crocus

#endif  // LIBPLATFORM_TOKEN_READER_H_
