#include "LibNetwork/peer_address.h"

#include <charconv>

namespace crocus {

Result<PeerAddress> ParsePeerAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  const auto invalid = [&text] {
    return Failure(ErrorCode::kInvalidArgument,
                   "\"" + text + "\" is not an IP address and port");
  };
  if (colon == std::string::npos) {
    return invalid();
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return invalid();
  }
  return PeerAddress{.address = address, .port = port};
}

}  // namespace crocus
