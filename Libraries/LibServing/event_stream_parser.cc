#include "LibServing/event_stream_parser.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace crocus {

namespace {

/// Offset after the empty line that ends the first event of the text.
std::optional<std::size_t> EventEnd(std::string_view text) {
  std::size_t best = std::string_view::npos;
  for (const std::string_view separator : {"\n\n", "\r\n\r\n"}) {
    if (const auto found = text.find(separator);
        found != std::string_view::npos) {
      best = std::min(best, found + separator.size());
    }
  }
  return best == std::string_view::npos ? std::nullopt
                                        : std::optional<std::size_t>(best);
}

/// The value of a line "name: value" or "name:value".
std::optional<std::string_view> FieldValue(std::string_view line,
                                           std::string_view name) {
  if (line.substr(0, name.size()) != name || line.size() <= name.size() ||
      line[name.size()] != ':') {
    return std::nullopt;
  }
  line.remove_prefix(name.size() + 1);
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return line;
}

/// Whether an event may have the line: a comment, a field of
/// text/event-stream, or an extension field that replicas add.
bool IsEventLine(std::string_view line) {
  const std::string_view name = line.substr(0, line.find(':'));
  return name.empty() || name == "id" || name == "data" || name == "event" ||
         name == "retry" || name.substr(0, 2) == "x-";
}

StreamEvent ParseEvent(std::string bytes) {
  StreamEvent event;
  std::string_view rest = bytes;
  while (!rest.empty()) {
    std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (const auto id = FieldValue(line, "id")) {
      std::uint64_t number = 0;
      const auto [end, error] =
          std::from_chars(id->data(), id->data() + id->size(), number);
      if (error == std::errc()) {
        event.id = number;
      }
    } else if (const auto data = FieldValue(line, "data")) {
      if (event.has_data) {
        event.data += '\n';
      }
      event.has_data = true;
      event.data += *data;
    } else if (!IsEventLine(line)) {
      event.is_malformed = true;
    }
  }
  event.bytes = std::move(bytes);
  return event;
}

}  // namespace

std::vector<StreamEvent> EventStreamParser::Feed(std::string_view bytes) {
  this->pending += bytes;
  const std::string_view text = this->pending;
  std::vector<StreamEvent> events;
  std::size_t start = 0;
  while (const auto length = EventEnd(text.substr(start))) {
    events.push_back(ParseEvent(this->pending.substr(start, *length)));
    start += *length;
  }
  this->pending.erase(0, start);
  this->has_event = this->has_event || !events.empty();
  return events;
}

bool EventStreamParser::IsCompleteAtEnd(bool ends_with_connection) const {
  if (this->pending.find_first_not_of("\r\n") != std::string::npos) {
    return false;
  }
  return this->has_event || !ends_with_connection;
}

}  // namespace crocus
