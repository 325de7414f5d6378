// A sum over the last seconds.

#ifndef OLEANDERTIDE_ORGANISATIONS_SLIDING_WINDOW_H_
#define OLEANDERTIDE_ORGANISATIONS_SLIDING_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace oleandertide::organisations {

// Sums what was added within a window that ends now. Time is divided into
// fiftieths of the window, and the sum covers up to one of them more than the
// window, so it is never too low.
//
// Load pattern: some additions each millisecond for one of thousands of sums,
// so an addition and the sum take constant time and the state is bounded.
//
// Not thread-safe.
class SlidingWindow {
 public:
  // Precondition: `window` is at least 1 ms.
  explicit SlidingWindow(Duration window = std::chrono::seconds(5))
      : slot_length_(window / kSlots) {}

  // Drops what is older than the window. Times do not decrease; an earlier one
  // has no effect.
  void Advance(BootTime now);

  // Adds to the present slot.
  void Add(double amount);

  // Multiplies all amounts. Precondition: `factor` >= 0.
  void Scale(double factor);

  double sum() const { return sum_; }

  // Start of the slot after the present one.
  BootTime slot_end() const { return BootTime(slot_length_ * (slot_ + 1)); }

  // Time from `now` until the sum has fallen by `amount`, if nothing is added;
  // the window's length if it does not fall so far.
  Duration TimeUntilFall(double amount, BootTime now) const;

 private:
  static constexpr int kSlots = 50;

  std::size_t Index(std::int64_t slot) const {
    return static_cast<std::size_t>(slot % (kSlots + 1));
  }

  Duration slot_length_;
  // Number of the present slot since the clock's start.
  std::int64_t slot_ = 0;
  // The present slot and those before it.
  std::array<float, kSlots + 1> amounts_{};
  double sum_ = 0;
};

}  // namespace oleandertide::organisations

#endif  // OLEANDERTIDE_ORGANISATIONS_SLIDING_WINDOW_H_
