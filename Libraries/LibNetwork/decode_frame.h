#ifndef LIBNETWORK_DECODE_FRAME_H_
#define LIBNETWORK_DECODE_FRAME_H_

#include <memory>

#include "LibCore/result.h"
#include "LibEvents/event_log.h"
#include "LibNetwork/connection.h"

namespace crocus {

/// Decodes the message of a frame. On failure, logs the rejected frame and
/// closes the connection, since the following frames may be malformed too.
template <typename Message>
Result<Message> DecodeOrClose(const std::shared_ptr<Connection>& connection,
                              const Frame& frame) {
  auto message = Decode<Message>(frame.body);
  if (!message) {
    LogEvent(Event::kFrameRejected, {{"peer", connection->peer()},
                                     {"reason", message.error().message}});
    connection->Close(message.error().message);
  }
  return message;
}

}  // namespace crocus

#endif  // LIBNETWORK_DECODE_FRAME_H_
