// A float and the time of its last update, packed into one atomic 64-bit word.

#ifndef OLEANDERTIDE_ROUTING_ATOMIC_TIMED_FLOAT_H_
#define OLEANDERTIDE_ROUTING_ATOMIC_TIMED_FLOAT_H_

#include <algorithm>
#include <atomic>
#include <bit>
#include <cstdint>

#include "core/time.h"

namespace oleandertide::routing {

// Stores a non-negative value and the time of its last update, which are read
// and replaced together without a lock. Thread-safe. The time has a resolution
// of 10 ms and wraps around: an age of more than 248 days is reported as a
// smaller one.
class AtomicTimedFloat {
 public:
  struct Reading {
    float value = 0;
    Duration age{0};        // Zero if the value was set later than `now`.
    bool is_known = false;  // False until the first Update().
  };

  // Returns the value and its age at `now`.
  Reading Read(MonotonicTime now) const {
    return Unpack(word_.load(std::memory_order_relaxed), now);
  }

  // Replaces the value by change(Reading), and its time by `now`. A negative
  // result is stored as 0. `change` is called again whenever another thread
  // replaces the value at the same time.
  template <typename Change>
  void Update(MonotonicTime now, Change change) {
    std::uint64_t old = word_.load(std::memory_order_relaxed);
    while (!word_.compare_exchange_weak(
        old, Pack(change(Unpack(old, now)), now), std::memory_order_relaxed)) {
    }
  }

 private:
  static constexpr Duration kTickLength{10'000};  // 10 ms
  // Set by the first Update(). Uses the sign bit of the float, which is
  // otherwise unused because values are never negative.
  static constexpr std::uint64_t kKnownBit = std::uint64_t{1} << 63;

  static std::uint32_t ToTicks(MonotonicTime time) {
    return static_cast<std::uint32_t>(time.time_since_epoch() / kTickLength);
  }

  static std::uint64_t Pack(float value, MonotonicTime now) {
    const auto bits = std::bit_cast<std::uint32_t>(std::max(value, 0.0F));
    return kKnownBit | (std::uint64_t{bits} << 32) | ToTicks(now);
  }

  static Reading Unpack(std::uint64_t word, MonotonicTime now) {
    if ((word & kKnownBit) == 0) return {};
    const auto bits = static_cast<std::uint32_t>((word & ~kKnownBit) >> 32);
    const auto ticks = static_cast<std::int32_t>(
        ToTicks(now) - static_cast<std::uint32_t>(word));
    return {.value = std::bit_cast<float>(bits),
            .age = kTickLength * std::max(ticks, 0),
            .is_known = true};
  }

  std::atomic<std::uint64_t> word_{0};
};

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_ATOMIC_TIMED_FLOAT_H_
