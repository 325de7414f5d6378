// Baseline: one transaction for each claim and each completion.

#ifndef OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_PER_REQUEST_SCHEME_H_
#define OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_PER_REQUEST_SCHEME_H_

#include <memory>
#include <optional>

#include "idempotency/claim_record.h"
#include "idempotency/claim_scheme.h"
#include "idempotency/virtual_platform.h"
#include "support/event_queue.h"

namespace oleandertide::idempotency {

// The receivers themselves write; there are no deciders to restart or pause.
class PerRequestScheme : public ClaimScheme {
 public:
  // Precondition: `events` and `platform` outlive this object.
  PerRequestScheme(testing::EventQueue& events, VirtualPlatform& platform)
      : events_(events), platform_(platform) {}

  void Claim(std::size_t decider, ClaimRequest request, MonotonicTime deadline,
             Callback callback) override;
  void Complete(std::size_t decider, Completion completion) override;
  void Restart(std::size_t) override {}
  void Pause(std::size_t, Duration) override {}

 private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  void TryComplete(const std::shared_ptr<Completion>& completion,
                   int attempts_left);
  void TryClaim(const PendingPtr& pending);
  void ReadClaim(const PendingPtr& pending);
  void RetryLater(const PendingPtr& pending,
                  void (PerRequestScheme::*step)(const PendingPtr&));

  testing::EventQueue& events_;
  VirtualPlatform& platform_;
};

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_PER_REQUEST_SCHEME_H_
