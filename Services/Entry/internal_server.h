#ifndef ENTRY_INTERNAL_SERVER_H_
#define ENTRY_INTERNAL_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "LibCore/result.h"
#include "LibNetwork/decode_frame.h"
#include "LibNetwork/frame_server.h"

namespace crocus {

/// Server on the entry's internal port. Handlers are added before Start and run
/// on the IoThread, so they must not block. A message that cannot be decoded
/// closes its connection; message types without a handler are ignored.
class InternalServer {
 public:
  /// `hello` returns the first message of each connection.
  InternalServer(boost::asio::io_context& context,
                 std::function<messages::Hello()> hello)
      : context(context), hello(std::move(hello)) {}

  /// `handler` is called with the connection, the message and its correlation
  /// id.
  template <typename Message, typename Handler>
  void AddHandler(Handler handler) {
    this->handlers[Message::kType] =
        [handler](const std::shared_ptr<Connection>& connection,
                  const Frame& frame) {
          if (const auto message = DecodeOrClose<Message>(connection, frame)) {
            handler(connection, *message, frame.correlation);
          }
        };
  }

  Result<void> Start(const std::string& address, std::uint16_t port);
  void Stop();

  /// Requires a successful Start.
  std::uint16_t port() const { return this->server->port(); }

 private:
  using FrameHandler =
      std::function<void(const std::shared_ptr<Connection>&, const Frame&)>;

  boost::asio::io_context& context;
  const std::function<messages::Hello()> hello;
  std::map<messages::MessageType, FrameHandler> handlers;
  std::shared_ptr<FrameServer> server;
};

}  // namespace crocus

#endif  // ENTRY_INTERNAL_SERVER_H_
