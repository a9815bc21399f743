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

/// The values of the headers with which a caller describes its request.
struct RequestMetadata {
  /// Unique for each attempt of the caller.
  std::string attempt_id;
  /// How long the caller waits, counted from the arrival of the request.
  std::optional<Duration> timeout;
  std::uint64_t prompt_tokens = 0;
  /// Maximum number of tokens to generate.
  std::uint64_t output_token_limit = 0;
  /// The caller's estimate of the generated tokens.
  std::optional<std::uint64_t> output_token_estimate;
  std::vector<PromptPart> prompt_parts;
  /// The last event of the stream that the caller has received.
  std::optional<std::uint64_t> last_event;

  bool operator==(const RequestMetadata&) const = default;
};

/// Ids of the parts that several requests may share: all but the last. Callers
/// choose them, so only the first `kMaximumSharedParts` are returned, and
/// longer ids than `kMaximumPartIdBytes` are replaced by their hash.
std::vector<std::string> SharedPartIds(const std::vector<PromptPart>& parts);

inline constexpr std::size_t kMaximumSharedParts = 32;
inline constexpr std::size_t kMaximumPartIdBytes = 32;

/// The values of the headers with which a replica describes its response.
struct ReplicaResponseMetadata {
  /// The replica states that it did not run the request.
  bool is_not_run = false;
  /// The response has the status of a refusal, from which callers conclude that
  /// their request was not run, but the replica does not state this.
  bool is_undeclared_refusal = false;
  /// The response belongs to another request.
  bool is_mismatched = false;
  /// The response states that it belongs to the request. Neither this nor
  /// `is_mismatched` is true if it states no request.
  bool is_matched = false;
  /// The request reached another replica than the one addressed.
  bool is_misdirected = false;
  /// The replica that responds leaves and takes no further requests.
  bool is_leaving = false;
  /// The response carries a signature of the replica.
  bool is_signed = false;
  /// Requests that ran and waited at the replica when the response began.
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;
  /// How long work takes at the replica now, in percent of the usual time. It
  /// changes many times per second.
  std::optional<std::uint32_t> time_percent;

  bool operator==(const ReplicaResponseMetadata&) const = default;
};

}  // namespace crocus

#endif  // LIBSERVING_REQUEST_METADATA_H_
