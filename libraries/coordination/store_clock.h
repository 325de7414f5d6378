// Estimates the store's clock from the times in its answers.

#ifndef OLEANDERTIDE_COORDINATION_STORE_CLOCK_H_
#define OLEANDERTIDE_COORDINATION_STORE_CLOCK_H_

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace oleandertide::coordination {

// Bounds the store's steady clock from both sides, so that leases and ages that
// were written by it can be judged without another call. A time that arrives
// late can only make the lower bound weaker, so an old message never makes
// knowledge look fresh. Times of this node are by BootClock: a machine that was
// suspended must not take an old time for a recent one.
//
// Not thread-safe.
class StoreClock {
 public:
  // Records a time of the store that another node passed on, or that came
  // without this node's having asked.
  void Observe(std::uint64_t store_time_ms, BootTime received_at);

  // Records the time in the store's answer to a call sent at `sent_at`.
  void ObserveAnswer(std::uint64_t store_time_ms, BootTime sent_at,
                     BootTime received_at);

  // The store's clock shows at least this; nothing before the first
  // observation.
  std::optional<std::uint64_t> EarliestNow(BootTime now) const;

  // The store's clock shows at most this; nothing before the first answer to
  // this node.
  std::optional<std::uint64_t> LatestNow(BootTime now) const;

 private:
  // Bounds of the store's time minus this node's.
  std::optional<Duration> lowest_offset_;
  std::optional<Duration> highest_offset_;
};

}  // namespace oleandertide::coordination

#endif  // OLEANDERTIDE_COORDINATION_STORE_CLOCK_H_
