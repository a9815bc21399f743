#ifndef LIBASYNCHTTP_EVENT_LOOP_H_
#define LIBASYNCHTTP_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>

namespace crocus {

/// Runs the event loop until it is stopped or has nothing left to do. An
/// exception that leaves a handler ends only what that handler did: it is
/// logged, and the loop continues with the other connections and timers.
void RunEventLoop(boost::asio::io_context& loop);

}  // namespace crocus

#endif  // LIBASYNCHTTP_EVENT_LOOP_H_
