#ifndef LIBASYNCHTTP_SOCKET_OPTIONS_H_
#define LIBASYNCHTTP_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "LibCore/time.h"

namespace crocus {

struct SocketOptions {
  /// How long sent bytes may stay unacknowledged, or unsent because the peer
  /// does not read. A reachable peer that reads acknowledges within a round
  /// trip; the default covers several lost packets between regions.
  Duration unacknowledged_limit = std::chrono::seconds(2);
};

/// Turns off Nagle's algorithm and sets the limit after which an unreachable
/// peer is given up.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      const SocketOptions& options = {});

}  // namespace crocus

#endif  // LIBASYNCHTTP_SOCKET_OPTIONS_H_
