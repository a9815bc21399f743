#ifndef LIBNETWORK_IO_THREAD_H_
#define LIBNETWORK_IO_THREAD_H_

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace crocus {

/// One thread that runs an Asio event loop. Callbacks of connections run on
/// it, so they must not block.
class IoThread {
 public:
  IoThread();
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  boost::asio::io_context& context() { return this->io_context; }

  /// Stops the loop and joins the thread. Callbacks that are still queued or
  /// posted later do not run.
  void Stop();

 private:
  boost::asio::io_context io_context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard;
  std::thread thread;
};

}  // namespace crocus

#endif  // LIBNETWORK_IO_THREAD_H_
