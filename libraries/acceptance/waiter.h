// Time and sleeping as they are passed to the acceptance of documents.

#ifndef OLEANDERTIDE_ACCEPTANCE_WAITER_H_
#define OLEANDERTIDE_ACCEPTANCE_WAITER_H_

#include <thread>

#include "core/time.h"

namespace oleandertide::acceptance {

class Waiter {
 public:
  virtual ~Waiter() = default;

  virtual MonotonicTime Now() = 0;

  // Blocks the caller for `duration`.
  virtual void Wait(Duration duration) = 0;
};

// The system's clock. Thread-safe.
class SystemWaiter final : public Waiter {
 public:
  MonotonicTime Now() override { return MonotonicClock::now(); }
  void Wait(Duration duration) override {
    std::this_thread::sleep_for(duration);
  }
};

}  // namespace oleandertide::acceptance

#endif  // OLEANDERTIDE_ACCEPTANCE_WAITER_H_
