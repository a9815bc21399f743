#ifndef LIBASYNCHTTP_EXCHANGE_H_
#define LIBASYNCHTTP_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include "LibAsyncHttp/http_head.h"
#include "LibCore/time.h"

namespace crocus {

enum class ExchangeEnd {
  /// The response is complete.
  kComplete,
  /// No connection could be opened; no byte of the request was sent.
  kNotConnected,
  /// The connection ended, or the server sent malformed bytes, before the end
  /// of a response head. The request may have run.
  kBrokenBeforeHead,
  /// The connection ended, or the body became malformed, after the head.
  kBrokenInBody,
};

/// Whether the receiver accepts a response, decided by its head.
enum class HeadDecision {
  kAccept,
  /// The response belongs to an earlier request; the next one is awaited.
  kSkip,
  /// It is not known to which request the response belongs. The exchange ends
  /// as broken before the head.
  kReject,
};

/// Callbacks for the progress of one request and its response. `on_end` is
/// called exactly once, unless the exchange is cancelled.
struct ExchangeEvents {
  std::function<HeadDecision(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(ExchangeEnd, const std::string& reason)> on_end;
};

struct ExchangeOptions {
  /// Timeout for opening a new connection.
  Duration connect_timeout = std::chrono::milliseconds(400);
  bool is_head_request = false;
  /// Uses no connection that had an exchange before, so that no response to an
  /// earlier request can arrive on it.
  bool needs_new_connection = false;
  /// Body bytes after which the response counts as broken. Receivers that
  /// collect a body set it; others hold back the connection.
  std::uint64_t maximum_body_bytes = std::numeric_limits<std::uint64_t>::max();
};

}  // namespace crocus

#endif  // LIBASYNCHTTP_EXCHANGE_H_
