// Tells work in progress that nobody waits for its result any more.

#ifndef OLEANDERTIDE_CORE_CANCELLATION_H_
#define OLEANDERTIDE_CORE_CANCELLATION_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <utility>

namespace oleandertide {

// Cancelled at most once; never reset. Thread-safe.
class Cancellation {
 public:
  // Whether `Cancel` was called.
  bool is_cancelled() const {
    return cancelled_.load(std::memory_order_acquire);
  }

  // Cancels, and runs the callback that is set, if any. Idempotent.
  void Cancel() {
    std::lock_guard lock(mutex_);
    if (cancelled_.exchange(true, std::memory_order_acq_rel)) return;
    if (callback_) callback_();
  }

  // Sets the callback that `Cancel` runs, or clears it with an empty one. Runs
  // it at once if already cancelled. When this returns, the earlier callback
  // is not running. The callback must not use this object.
  void set_callback(std::function<void()> callback) {
    std::lock_guard lock(mutex_);
    callback_ = std::move(callback);
    if (callback_ && is_cancelled()) callback_();
  }

 private:
  std::atomic<bool> cancelled_{false};
  std::mutex mutex_;
  std::function<void()> callback_;
};

}  // namespace oleandertide

#endif  // OLEANDERTIDE_CORE_CANCELLATION_H_
