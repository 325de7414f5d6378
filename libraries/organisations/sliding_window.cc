#include "organisations/sliding_window.h"

#include <algorithm>
#include <numeric>

namespace oleandertide::organisations {

void SlidingWindow::Advance(BootTime now) {
  const std::int64_t slot = now.time_since_epoch() / slot_length_;
  if (slot <= slot_) return;
  const std::int64_t first_to_clear = std::max(slot_ + 1, slot - kSlots);
  slot_ = slot;
  for (std::int64_t i = first_to_clear; i <= slot; ++i) amounts_[Index(i)] = 0;
  // Summed anew, so that rounding errors do not add up.
  sum_ = std::accumulate(amounts_.begin(), amounts_.end(), 0.0);
}

void SlidingWindow::Add(double amount) {
  amounts_[Index(slot_)] += static_cast<float>(amount);
  sum_ += amount;
}

void SlidingWindow::Scale(double factor) {
  for (float& amount : amounts_) {
    amount = static_cast<float>(amount * factor);
  }
  sum_ *= factor;
}

Duration SlidingWindow::TimeUntilFall(double amount, BootTime now) const {
  for (int age = kSlots; age >= 0; --age) {
    if (slot_ < age) continue;
    amount -= amounts_[Index(slot_ - age)];
    if (amount > 0) continue;
    const BootTime leaves_at(slot_length_ * (slot_ - age + kSlots + 1));
    return std::max(Duration::zero(), leaves_at - now);
  }
  return slot_length_ * kSlots;
}

}  // namespace oleandertide::organisations
