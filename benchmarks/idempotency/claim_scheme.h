// Interface of the claim schemes that the benchmark compares.

#ifndef OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_CLAIM_SCHEME_H_
#define OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_CLAIM_SCHEME_H_

#include <cstddef>
#include <functional>
#include <string>

#include "core/hash.h"
#include "core/time.h"
#include "idempotency/claim.h"

namespace oleandertide::idempotency {

// Number of processes that decide claims: a few for each data centre.
inline constexpr std::size_t kDeciders = 8;

class ClaimScheme {
 public:
  using Callback = std::function<void(ClaimResult)>;

  virtual ~ClaimScheme() = default;

  // `decider` is the process that the receiver considers responsible. The
  // receiver ignores an answer after `deadline`.
  virtual void Claim(std::size_t decider, ClaimRequest request,
                     MonotonicTime deadline, Callback callback) = 0;
  virtual void Complete(std::size_t decider, Completion completion) = 0;

  // Replaces the process by one with empty memory.
  virtual void Restart(std::size_t decider) = 0;
  // Suspends the process for `time`; it does not notice the pause.
  virtual void Pause(std::size_t decider, Duration time) = 0;
};

inline std::size_t DeciderOf(const std::string& key) {
  return Hash64(key) % kDeciders;
}

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_CLAIM_SCHEME_H_
