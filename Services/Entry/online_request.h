#ifndef ENTRY_ONLINE_REQUEST_H_
#define ENTRY_ONLINE_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "LibCore/result.h"
#include "LibHttp/http_message.h"

namespace crocus {

/// An online request as the caller sent it.
struct OnlineRequest {
  /// Derived from the workspace and the idempotency key; random without a key.
  std::string id;
  std::string workspace;
  std::string request_class;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  bool is_stream = false;
  bool is_repeatable = true;
  std::string idempotency_key;
  /// 0 if the caller specified none.
  std::chrono::milliseconds timeout{0};

  bool operator==(const OnlineRequest&) const = default;

  bool is_keyed() const { return !this->idempotency_key.empty(); }
  /// True if the intent must be in the log before the dispatch.
  bool needs_intent() const { return this->is_keyed() && !this->is_repeatable; }
  /// Distinguishes a resent request from a different one with the same key.
  std::uint64_t Digest() const;
};

/// Parses the body and headers of POST /v1/requests. Errors name the field.
Result<OnlineRequest> ParseOnlineRequest(const HttpRequest& request);

}  // namespace crocus

#endif  // ENTRY_ONLINE_REQUEST_H_
