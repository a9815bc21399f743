#include "LibAsyncHttp/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace crocus {

namespace {

using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket,
                      const SocketOptions& options) {
  // A socket that has just been reset rejects options; its next read reports
  // the reset.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(UserTimeout(static_cast<int>(options.unacknowledged_limit /
                                                 std::chrono::milliseconds(1))),
                    ignored);
}

}  // namespace crocus
