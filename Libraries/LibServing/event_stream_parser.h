#ifndef LIBSERVING_EVENT_STREAM_PARSER_H_
#define LIBSERVING_EVENT_STREAM_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocus {

/// One event of a text/event-stream.
struct StreamEvent {
  /// The bytes of the event, including the empty line that ends it.
  std::string bytes;
  std::optional<std::uint64_t> id;
  /// The values of its data lines, separated by line feeds.
  std::string data;
  bool has_data = false;
  /// It has a line that no event has: the bytes of another response, or text.
  bool is_malformed = false;

  bool operator==(const StreamEvent&) const = default;
};

/// Splits a text/event-stream into complete events.
class EventStreamParser {
 public:
  /// Parses further bytes and returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view bytes);

  /// True if an event is longer than the limit. The stream is then malformed,
  /// and its further bytes must not be fed.
  bool is_overlong() const { return this->pending.size() > kMaximumEventBytes; }

  /// Whether a stream that has ended here has all its events. A stream cut
  /// inside an event is incomplete whatever its framing says. With
  /// `ends_with_connection`, so is one without any event: its server may have
  /// crashed after the head of the response.
  bool IsCompleteAtEnd(bool ends_with_connection) const;

  /// Bytes after the last complete event.
  const std::string& rest() const { return this->pending; }

 private:
  /// A server may send bytes without end that never complete an event.
  static constexpr std::size_t kMaximumEventBytes = 128u << 10;

  std::string pending;
  bool has_event = false;
};

}  // namespace crocus

#endif  // LIBSERVING_EVENT_STREAM_PARSER_H_
