#ifndef LIBSERVING_TOKEN_LIMIT_H_
#define LIBSERVING_TOKEN_LIMIT_H_

#include <cstdint>
#include <string_view>

namespace crocus {

/// What is decided on a batch submission, as far as this host knows.
enum class TokenDecision {
  kRefuse,
  /// The job is accepted once its record is in the store.
  kAccept,
  /// The job is accepted if a reservation of its tokens fits at the position of
  /// the reservation's record in the store.
  kReserve,
};

std::string_view ToString(TokenDecision decision);

/// The figures of a submission, in tokens.
struct TokenRequest {
  /// Tokens that may wait on the route; 0 is no limit.
  std::uint64_t limit = 0;
  /// Tokens that wait there by the records that this host has read.
  std::uint64_t waiting = 0;
  /// Tokens of submissions that this host is appending, and of pending
  /// reservations that this host has read.
  std::uint64_t reserved = 0;
  /// Tokens of the job.
  std::uint64_t tokens = 0;
  /// The limit is that of a workspace.
  bool has_workspace = false;
};

/// Decides on a submission under the limit of waiting tokens.
///
/// Several hosts accept jobs at once and learn of each other's after one read
/// of the store. With workspaces, the tokens of a job that would fill more than
/// half of the limit are therefore reserved by a record before its own: its
/// host reads which jobs and reservations precede it (see TokenReservations),
/// so the limit holds however many hosts accept at once. It costs an append and
/// a read of the store for that submission. Below half of the limit the job is
/// accepted as it is; the limit could then be exceeded by a tenth only if other
/// hosts accepted 0.6 of it within the age of this host's records.
TokenDecision DecideOnTokens(const TokenRequest& request);

}  // namespace crocus

#endif  // LIBSERVING_TOKEN_LIMIT_H_
