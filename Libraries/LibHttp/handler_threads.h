#ifndef LIBHTTP_HANDLER_THREADS_H_
#define LIBHTTP_HANDLER_THREADS_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include <boost/thread/thread.hpp>

namespace crocus {

struct HandlerThreadsOptions {
  std::size_t maximum_threads = 1;
  std::size_t stack_bytes = 256 << 10;
  /// Time without a task after which a thread ends.
  std::chrono::seconds idle_time{10};
};

/// What happens to a task.
enum class Submission {
  kStarts,
  /// It waits for another task to end.
  kWaits,
  kRefused,
};

/// Runs tasks that block, each on a thread of its own up to a maximum. Further
/// tasks wait in the order of their submission. Threads are started when they
/// are needed. No other lock is acquired while the lock is held.
class HandlerThreads {
 public:
  explicit HandlerThreads(HandlerThreadsOptions options);
  ~HandlerThreads();
  HandlerThreads(const HandlerThreads&) = delete;
  HandlerThreads& operator=(const HandlerThreads&) = delete;

  /// A task is refused if as many as the maximum of threads wait already.
  Submission Submit(std::function<void()> task);

  /// Tasks that wait or run.
  std::size_t unfinished_tasks();

  /// Waits for the running tasks. Those that have not started never run; they
  /// are destroyed with this object.
  void Stop();

 private:
  /// Returns false if the system has no room for another thread.
  bool StartThread();
  void Run();
  void JoinEnded();

  const HandlerThreadsOptions options;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> tasks;
  std::size_t threads = 0;
  std::size_t idle_threads = 0;
  bool is_stopping = false;
  /// Threads that run or have ended and must be joined.
  std::vector<boost::thread> handles;
  std::vector<boost::thread::id> ended;
};

}  // namespace crocus

#endif  // LIBHTTP_HANDLER_THREADS_H_
