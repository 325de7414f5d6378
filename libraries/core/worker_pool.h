// A pool of threads for work that blocks.

#ifndef OLEANDERTIDE_CORE_WORKER_POOL_H_
#define OLEANDERTIDE_CORE_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace oleandertide {

// Starts threads as they are needed, up to a maximum; beyond it, tasks wait in
// a bounded queue. Thread-safe.
class WorkerPool {
 public:
  // Preconditions: maximum_threads > 0.
  WorkerPool(std::size_t maximum_threads, std::size_t maximum_queue);

  // Runs the tasks that are queued, then joins all threads.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // Queues `task`. Returns false, and drops the task, when the queue is full
  // or the pool is being stopped.
  bool Submit(std::function<void()> task);

  // Runs what is queued, accepts nothing more and joins all threads.
  // Idempotent. Must not be called from a task.
  void Stop();

 private:
  void RunTasks();

  const std::size_t maximum_threads_;
  const std::size_t maximum_queue_;
  std::mutex mutex_;
  std::condition_variable task_available_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_threads_ = 0;
  bool is_stopping_ = false;
};

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_WORKER_POOL_H_
