// Runs a ClaimWriter on a thread of its own over a blocking store.

#ifndef OLEANDERTIDE_IDEMPOTENCY_BLOCKING_CLAIM_WRITER_H_
#define OLEANDERTIDE_IDEMPOTENCY_BLOCKING_CLAIM_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

#include "core/time.h"
#include "idempotency/claim.h"
#include "idempotency/claim_writer.h"
#include "store/store.h"

namespace oleandertide::idempotency {

// Thread-safe. The store is used by the writer's thread only, one operation at
// a time.
class BlockingClaimWriter {
 public:
  // Starts the thread. Precondition: `store` outlives this object.
  BlockingClaimWriter(ClaimWriterOptions options, store::Store& store);

  // Calls Stop. Precondition: no other thread is inside a method.
  ~BlockingClaimWriter();
  BlockingClaimWriter(const BlockingClaimWriter&) = delete;
  BlockingClaimWriter& operator=(const BlockingClaimWriter&) = delete;

  // Blocks until the claim is answered, at most until shortly after `deadline`,
  // also if the store hangs. A claim whose write is possible but unconfirmed by
  // then gives AlreadyRunning and is released in the background if it was
  // granted.
  ClaimResult Claim(ClaimRequest request, MonotonicTime deadline);

  // Records the end of a request in the background. After Stop, or if the
  // queue is full, it is dropped, and the key stays claimed.
  void Complete(Completion completion);

  // Gives back a granted claim in the background; dropped as in Complete.
  void Release(idempotency::Release release);

  // Refuses further claims, tries once more to record what waits, answers all
  // waiting claims and ends the thread. Waits for the store operation in
  // progress. Idempotent.
  void Stop();

  ClaimWriterCounters counters() const;

  // Completions and releases dropped because of Stop or a full queue.
  std::uint64_t dropped_inputs() const;

 private:
  struct PendingClaim;
  struct ClaimInput {
    std::shared_ptr<PendingClaim> pending;
    ClaimRequest request;
    MonotonicTime deadline;
  };
  using Input = std::variant<ClaimInput, Completion, idempotency::Release>;
  struct Worker;

  bool Push(Input input);
  bool has_inputs() const;
  void Run();
  // Waits for inputs or the next wake time; empty if only time has passed.
  std::vector<Input> WaitForInputs(const Worker& worker, bool& is_stopping);

  store::Store& store_;
  const ClaimWriterOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable wake_condition_;
  std::deque<Input> inputs_;
  bool is_stopping_ = false;
  std::uint64_t dropped_inputs_ = 0;
  ClaimWriterCounters counters_;
  std::once_flag stopped_;
  std::thread thread_;
};

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_IDEMPOTENCY_BLOCKING_CLAIM_WRITER_H_
