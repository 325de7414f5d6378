// The scheme in production use: claim writers with group commit.

#ifndef OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_GROUP_COMMIT_SCHEME_H_
#define OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_GROUP_COMMIT_SCHEME_H_

#include <array>
#include <functional>
#include <map>
#include <memory>

#include "idempotency/claim_scheme.h"
#include "idempotency/claim_writer.h"
#include "idempotency/virtual_platform.h"
#include "support/event_queue.h"

namespace oleandertide::idempotency {

class GroupCommitScheme : public ClaimScheme {
 public:
  // The deciders share `writers` claim writers. Precondition: `events` and
  // `platform` outlive this object, and 0 < writers <= kDeciders.
  GroupCommitScheme(testing::EventQueue& events, VirtualPlatform& platform,
                    std::size_t writers);

  void Claim(std::size_t decider, ClaimRequest request, MonotonicTime deadline,
             Callback callback) override;
  void Complete(std::size_t decider, Completion completion) override;
  void Restart(std::size_t decider) override;
  void Pause(std::size_t decider, Duration time) override;

 private:
  struct Process {
    std::unique_ptr<ClaimWriter> writer;
    std::uint64_t incarnation = 0;
    MonotonicTime paused_until;
    std::map<ClaimId, Callback> waiting;
  };

  Moment now() const { return {events_.now(), WallTime()}; }
  // Runs `input` when the process is not paused, unless it has restarted.
  void Deliver(std::size_t decider,
               std::function<ClaimWriterEffects(ClaimWriter&)> input);
  void HandleEffects(std::size_t decider, ClaimWriterEffects effects);

  testing::EventQueue& events_;
  VirtualPlatform& platform_;
  std::size_t writers_;
  std::array<Process, kDeciders> processes_;
  ClaimId last_claim_ = 0;
};

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_BENCHMARKS_IDEMPOTENCY_GROUP_COMMIT_SCHEME_H_
