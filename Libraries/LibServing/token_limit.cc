#include "LibServing/token_limit.h"

namespace crocus {

std::string_view ToString(TokenDecision decision) {
  switch (decision) {
    case TokenDecision::kRefuse:
      return "refuse";
    case TokenDecision::kAccept:
      return "accept";
    case TokenDecision::kReserve:
      return "reserve";
  }
  return "refuse";
}

TokenDecision DecideOnTokens(const TokenRequest& request) {
  if (request.limit == 0) {
    return TokenDecision::kAccept;
  }
  const std::uint64_t needed = request.waiting + request.tokens;
  if (!request.has_workspace) {
    return needed + request.reserved > request.limit ? TokenDecision::kRefuse
                                                     : TokenDecision::kAccept;
  }
  // Jobs that are being appended may yet be refused, so they refuse no other
  // before its reservation is compared with theirs.
  if (needed > request.limit) {
    return TokenDecision::kRefuse;
  }
  return needed + request.reserved > request.limit / 2 ? TokenDecision::kReserve
                                                       : TokenDecision::kAccept;
}

}  // namespace crocus
