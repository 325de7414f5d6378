// Counts of refusals and retries by reason.

#ifndef OLEANDERTIDE_CALLS_CALL_COUNTERS_H_
#define OLEANDERTIDE_CALLS_CALL_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "routing/reason.h"

namespace oleandertide::calls {

// One atomic counter for each reason. Thread-safe.
class ReasonCounters {
 public:
  void Add(routing::Reason reason) {
    counts_[static_cast<std::size_t>(reason)].fetch_add(
        1, std::memory_order_relaxed);
  }
  std::uint64_t count(routing::Reason reason) const {
    return counts_[static_cast<std::size_t>(reason)].load(
        std::memory_order_relaxed);
  }

 private:
  static constexpr std::size_t kReasons =
      static_cast<std::size_t>(routing::Reason::kBackendServerDied) + 1;

  std::array<std::atomic<std::uint64_t>, kReasons> counts_{};
};

// Counters of the request path. Thread-safe.
struct CallCounters {
  // Calls of callers and jobs that this node took in.
  std::atomic<std::uint64_t> ingress_calls{0};
  // Those that ended with a backend server's answer.
  std::atomic<std::uint64_t> completed{0};
  // Calls handed over to the local backend server.
  std::atomic<std::uint64_t> handed_over{0};
  // Answers of earlier attempts that were given again.
  std::atomic<std::uint64_t> replayed{0};
  // Calls whose sender acts on an older configuration than this node.
  std::atomic<std::uint64_t> senders_behind{0};
  // Refusals given to callers, by reason.
  ReasonCounters refusals;
  // Refusals given to other nodes by this receiver, by reason.
  ReasonCounters receiver_refusals;
  // Further attempts, by the reason of the attempt before.
  ReasonCounters retries;
};

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_CALL_COUNTERS_H_
