// Baseline: owners of key partitions with leases and epochs in memory. A model
// of the decisions only.

#ifndef OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_LEASED_OWNER_SCHEME_H_
#define OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_LEASED_OWNER_SCHEME_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "idempotency/claim_record.h"
#include "idempotency/claim_scheme.h"
#include "idempotency/virtual_platform.h"
#include "support/event_queue.h"

namespace oleandertide::idempotency {

// Each partition has an owner that renews a lease row and grants from memory.
// When the lease lapses, another process takes it over with empty memory. An
// owner checks its lease before it decides, but may be paused in between.
class LeasedOwnerScheme : public ClaimScheme {
 public:
  // Precondition: `events` and `platform` outlive this object.
  LeasedOwnerScheme(testing::EventQueue& events, VirtualPlatform& platform);

  void Claim(std::size_t decider, ClaimRequest request, MonotonicTime deadline,
             Callback callback) override;
  void Complete(std::size_t decider, Completion completion) override;
  void Restart(std::size_t decider) override;
  void Pause(std::size_t decider, Duration time) override;

 private:
  // One owner with its memory.
  struct Owner {
    std::map<std::string, ClaimRecord> records;
    MonotonicTime starts_at;
    MonotonicTime lease_until;
    MonotonicTime paused_until;
  };
  using OwnerPtr = std::shared_ptr<Owner>;

  struct Partition {
    OwnerPtr owner;
    store::RowVersion lease_version = store::kAbsent;
  };

  void Renew(std::size_t partition);
  void ReadLease(std::size_t partition, const std::string& key);
  void TakeOver(std::size_t partition);
  void Decide(Owner& owner, const ClaimRequest& request,
              const Callback& callback);

  testing::EventQueue& events_;
  VirtualPlatform& platform_;
  std::array<Partition, kDeciders> partitions_;
};

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_LEASED_OWNER_SCHEME_H_
