#ifndef LIBASYNCHTTP_SOCKET_OPTIONS_H_
#define LIBASYNCHTTP_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace crocus {

/// Turns off Nagle's algorithm and limits how long sent bytes may stay
/// unacknowledged, so that an unreachable peer is detected.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace crocus

#endif  // LIBASYNCHTTP_SOCKET_OPTIONS_H_
