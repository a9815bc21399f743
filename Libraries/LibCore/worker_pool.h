#ifndef LIBCORE_WORKER_POOL_H_
#define LIBCORE_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "LibCore/result.h"
#include "LibCore/time.h"

namespace crocus {

/// Fixed set of threads that start tasks in the order of submission. No other
/// lock is acquired while the pool's lock is held.
///
/// A task is handed to one idle worker, if there is one, so that the processor
/// wait of that worker covers the wake-up for the task.
class WorkerPool {
 public:
  explicit WorkerPool(std::size_t threads);

  /// Runs all submitted tasks, then joins the threads.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Submit(std::function<void()> task);

  /// For a task that the calling worker runs: the time since the worker began
  /// to look for it in which the worker was ready to run and had no processor.
  /// The wait for the task itself is not part of it.
  static Result<Duration> ProcessorWait();

 private:
  using Task = std::function<void()>;

  struct Worker {
    std::condition_variable task_available;
    Task task;
    std::thread thread;
  };

  void Run(Worker& worker);
  /// Returns an empty task when the pool stops.
  Task TakeTask(Worker& worker);

  std::mutex mutex;
  /// Tasks for which no worker was idle.
  std::deque<Task> tasks;
  bool is_stopping = false;
  std::vector<Worker*> idle;
  std::vector<std::unique_ptr<Worker>> workers;
};

}  // namespace crocus

#endif  // LIBCORE_WORKER_POOL_H_
