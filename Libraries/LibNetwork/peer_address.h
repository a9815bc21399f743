#ifndef LIBNETWORK_PEER_ADDRESS_H_
#define LIBNETWORK_PEER_ADDRESS_H_

#include <cstdint>
#include <string>

#include <boost/asio/ip/address.hpp>

#include "LibCore/result.h"

namespace crocus {

struct PeerAddress {
  boost::asio::ip::address address;
  std::uint16_t port = 0;

  bool operator==(const PeerAddress&) const = default;
};

/// Parses IP:port; an IPv6 address may be enclosed in brackets. Host names are
/// not resolved.
Result<PeerAddress> ParsePeerAddress(const std::string& text);

}  // namespace crocus

#endif  // LIBNETWORK_PEER_ADDRESS_H_
