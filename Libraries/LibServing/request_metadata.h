#ifndef LIBSERVING_REQUEST_METADATA_H_
#define LIBSERVING_REQUEST_METADATA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"

namespace crocus {

/// A part of a prompt that several requests may share.
struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

/// What a caller says of its request besides the bytes to forward.
struct RequestMetadata {
  /// Unique for each try of the caller.
  std::string attempt_id;
  /// How long the caller waits, from the arrival on.
  std::optional<Duration> timeout;
  std::uint64_t prompt_tokens = 0;
  /// Largest number of tokens that may be generated.
  std::uint64_t output_token_limit = 0;
  /// The caller's estimate of the generated tokens.
  std::optional<std::uint64_t> output_token_estimate;
  std::vector<PromptPart> prompt_parts;
  /// The caller has the stream's events up to this one.
  std::optional<std::uint64_t> last_event;

  bool operator==(const RequestMetadata&) const = default;
};

/// What a replica's response says besides the answer.
struct ReplicaResponseMetadata {
  /// The replica declares that it did not run the request.
  bool is_not_run = false;
  /// The response is to another request.
  bool is_mismatched = false;
  /// The replica is another one than was addressed.
  bool is_misdirected = false;
  /// The replica vouches for the bytes of the response.
  bool is_signed = false;
  /// Requests that ran and waited there when the response began.
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;

  bool operator==(const ReplicaResponseMetadata&) const = default;
};

}  // namespace crocus

#endif  // LIBSERVING_REQUEST_METADATA_H_
