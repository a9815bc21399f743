#include "LibCore/worker_pool.h"

#include <utility>

#include "LibCore/processor_wait.h"

namespace crocus {

namespace {

/// The processor wait of this thread when it began to look for its task.
thread_local Result<Duration> wait_before_task = Duration::zero();

}  // namespace

WorkerPool::WorkerPool(std::size_t threads) {
  this->workers.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) {
    Worker& worker = *this->workers.emplace_back(std::make_unique<Worker>());
    worker.thread = std::thread([this, &worker] { this->Run(worker); });
  }
}

WorkerPool::~WorkerPool() {
  {
    std::lock_guard lock(this->mutex);
    this->is_stopping = true;
    for (Worker* worker : this->idle) {
      worker->task_available.notify_one();
    }
  }
  for (const auto& worker : this->workers) {
    worker->thread.join();
  }
}

void WorkerPool::Submit(std::function<void()> task) {
  Worker* worker = nullptr;
  {
    std::lock_guard lock(this->mutex);
    if (this->idle.empty()) {
      this->tasks.push_back(std::move(task));
      return;
    }
    worker = this->idle.back();
    this->idle.pop_back();
    worker->task = std::move(task);
  }
  worker->task_available.notify_one();
}

Result<Duration> WorkerPool::ProcessorWait() {
  return ProcessorWaitSince(wait_before_task);
}

WorkerPool::Task WorkerPool::TakeTask(Worker& worker) {
  std::unique_lock lock(this->mutex);
  if (!this->tasks.empty()) {
    Task task = std::move(this->tasks.front());
    this->tasks.pop_front();
    return task;
  }
  if (this->is_stopping) {
    return nullptr;
  }
  this->idle.push_back(&worker);
  worker.task_available.wait(
      lock, [this, &worker] { return this->is_stopping || worker.task; });
  // A task that still runs may submit others while the pool stops.
  std::erase(this->idle, &worker);
  return std::exchange(worker.task, nullptr);
}

void WorkerPool::Run(Worker& worker) {
  for (;;) {
    wait_before_task = ReadProcessorWait();
    const Task task = this->TakeTask(worker);
    if (!task) {
      return;
    }
    task();
  }
}

}  // namespace crocus
