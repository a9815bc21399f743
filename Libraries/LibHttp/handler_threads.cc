#include "LibHttp/handler_threads.h"

#include <algorithm>
#include <utility>

#include "LibEvents/event_log.h"

namespace crocus {

HandlerThreads::HandlerThreads(HandlerThreadsOptions options)
    : options(options) {}

HandlerThreads::~HandlerThreads() {
  this->Stop();
}

Submission HandlerThreads::Submit(std::function<void()> task) {
  std::lock_guard lock(this->mutex);
  if (this->is_stopping ||
      this->tasks.size() >= this->options.maximum_threads) {
    return Submission::kRefused;
  }
  this->tasks.push_back(std::move(task));
  if (this->tasks.size() <= this->idle_threads) {
    this->changed.notify_one();
    return Submission::kStarts;
  }
  this->JoinEnded();
  return this->threads < this->options.maximum_threads && this->StartThread()
             ? Submission::kStarts
             : Submission::kWaits;
}

bool HandlerThreads::StartThread() {
  boost::thread::attributes attributes;
  attributes.set_stack_size(this->options.stack_bytes);
  try {
    this->handles.emplace_back(attributes, [this] { this->Run(); });
  } catch (const boost::thread_resource_error& error) {
    LogEvent(Event::kUnexpectedError, {{"reason", error.what()}});
    return false;
  }
  ++this->threads;
  return true;
}

void HandlerThreads::JoinEnded() {
  for (const auto id : this->ended) {
    const auto found = std::find_if(
        this->handles.begin(), this->handles.end(),
        [id](const boost::thread& handle) { return handle.get_id() == id; });
    found->join();
    this->handles.erase(found);
  }
  this->ended.clear();
}

void HandlerThreads::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->is_stopping) {
    if (this->tasks.empty()) {
      ++this->idle_threads;
      const bool has_news = this->changed.wait_for(
          lock, this->options.idle_time,
          [this] { return this->is_stopping || !this->tasks.empty(); });
      --this->idle_threads;
      if (!has_news) {
        break;
      }
      continue;
    }
    auto task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    task();
    // What the task holds is released before it counts as finished.
    task = nullptr;
    lock.lock();
  }
  --this->threads;
  this->ended.push_back(boost::this_thread::get_id());
  this->changed.notify_all();
}

std::size_t HandlerThreads::unfinished_tasks() {
  std::lock_guard lock(this->mutex);
  return this->tasks.size() + this->threads - this->idle_threads;
}

void HandlerThreads::Stop() {
  std::unique_lock lock(this->mutex);
  this->is_stopping = true;
  this->changed.notify_all();
  this->changed.wait(lock, [this] { return this->threads == 0; });
  this->JoinEnded();
}

}  // namespace crocus
