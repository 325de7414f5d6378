#include "core/worker_pool.h"

#include <utility>

namespace oleandertide {

WorkerPool::WorkerPool(std::size_t maximum_threads, std::size_t maximum_queue)
    : maximum_threads_(maximum_threads), maximum_queue_(maximum_queue) {}

WorkerPool::~WorkerPool() { Stop(); }

bool WorkerPool::Submit(std::function<void()> task) {
  std::lock_guard lock(mutex_);
  if (is_stopping_ || tasks_.size() >= maximum_queue_) return false;
  tasks_.push_back(std::move(task));
  if (idle_threads_ >= tasks_.size() || threads_.size() >= maximum_threads_) {
    task_available_.notify_one();
  } else {
    threads_.emplace_back([this] { RunTasks(); });
  }
  return true;
}

void WorkerPool::Stop() {
  std::vector<std::thread> threads;
  {
    std::lock_guard lock(mutex_);
    is_stopping_ = true;
    threads.swap(threads_);
  }
  task_available_.notify_all();
  for (std::thread& thread : threads) thread.join();
}

void WorkerPool::RunTasks() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_threads_;
    task_available_.wait(lock,
                         [this] { return is_stopping_ || !tasks_.empty(); });
    --idle_threads_;
    if (tasks_.empty()) return;
    std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

}  // namespace oleandertide
