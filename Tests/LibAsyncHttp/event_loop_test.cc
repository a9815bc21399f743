#include "LibAsyncHttp/event_loop.h"

#include <CppUTest/TestHarness.h>

#include <stdexcept>

#include <boost/asio/post.hpp>

namespace crocus {

TEST_GROUP(EventLoop_ThrowingHandler){};

// Guards against an unexpected error in the handling of one message that ends
// the process with all its requests.
TEST(EventLoop_ThrowingHandler, OtherHandlersStillRun) {
  boost::asio::io_context loop;
  bool has_run = false;
  boost::asio::post(loop, [] { throw std::out_of_range("unexpected"); });
  boost::asio::post(loop, [&has_run] { has_run = true; });
  RunEventLoop(loop);
  CHECK(has_run);
}

}  // namespace crocus
