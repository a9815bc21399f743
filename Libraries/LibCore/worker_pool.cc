#include "LibCore/worker_pool.h"

#include <utility>

namespace crocus {

WorkerPool::WorkerPool(std::size_t threads) {
  this->threads.reserve(threads);
  for (std::size_t i = 0; i < threads; ++i) {
    this->threads.emplace_back([this] { this->Run(); });
  }
}

WorkerPool::~WorkerPool() {
  {
    std::lock_guard lock(this->mutex);
    this->is_stopping = true;
  }
  this->task_available.notify_all();
  for (auto& thread : this->threads) {
    thread.join();
  }
}

void WorkerPool::Submit(std::function<void()> task) {
  {
    std::lock_guard lock(this->mutex);
    this->tasks.push_back(std::move(task));
  }
  this->task_available.notify_one();
}

void WorkerPool::Run() {
  for (;;) {
    std::function<void()> task;
    {
      std::unique_lock lock(this->mutex);
      this->task_available.wait(
          lock, [this] { return this->is_stopping || !this->tasks.empty(); });
      if (this->tasks.empty()) {
        return;
      }
      task = std::move(this->tasks.front());
      this->tasks.pop_front();
    }
    task();
  }
}

}  // namespace crocus
