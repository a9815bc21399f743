#include "LibAsyncHttp/event_loop.h"

#include <exception>

#include "LibEvents/event_log.h"

namespace crocus {

void RunEventLoop(boost::asio::io_context& loop) {
  while (true) {
    try {
      loop.run();
      return;
    } catch (const std::exception& exception) {
      LogEvent(Event::kUnexpectedError, {{"reason", exception.what()}});
    }
  }
}

}  // namespace crocus
