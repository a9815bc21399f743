#ifndef LIBCORE_WORKER_POOL_H_
#define LIBCORE_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace crocus {

/// Fixed set of threads that start tasks in the order of submission. No other
/// lock is acquired while the pool's lock is held.
class WorkerPool {
 public:
  explicit WorkerPool(std::size_t threads);

  /// Runs all submitted tasks, then joins the threads.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Submit(std::function<void()> task);

 private:
  void Run();

  std::mutex mutex;
  std::condition_variable task_available;
  std::deque<std::function<void()>> tasks;
  bool is_stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace crocus

#endif  // LIBCORE_WORKER_POOL_H_
