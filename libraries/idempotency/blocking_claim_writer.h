// Runs a ClaimWriter on its own thread with a blocking store.

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

// Thread-safe. Only the writer's thread uses the store, one operation at a
// time.
class BlockingClaimWriter {
 public:
  // Starts the thread. Precondition: `store` outlives this object.
  BlockingClaimWriter(ClaimWriterOptions options, store::Store& store);

  // Calls Stop. Precondition: no other thread is inside a method.
  ~BlockingClaimWriter();
  BlockingClaimWriter(const BlockingClaimWriter&) = delete;
  BlockingClaimWriter& operator=(const BlockingClaimWriter&) = delete;

  // Blocks until the claim is answered, at most until shortly (5 ms) after
  // `deadline`, even if the store hangs. Deadlines are limited to one hour from
  // now. Returns AlreadyRunning if the write may have taken effect but is
  // unconfirmed by then; the writer releases such a claim in the background if
  // it is granted.
  ClaimResult Claim(ClaimRequest request, MonotonicTime deadline);

  // Records the end of a request in the background. After Stop, or if the queue
  // is full, the completion is dropped and the key stays claimed.
  void Complete(Completion completion);

  // Releases a granted claim in the background; dropped as in Complete.
  void Release(idempotency::Release release);

  // Refuses further claims, writes queued inputs to the table for at most 1 s,
  // answers all waiting claims and ends the thread. Waits for the store
  // operation in progress. Idempotent.
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
  // Waits for inputs or the next wake time, but not if the worker has store
  // operations to run or Stop was called. Returns the queued inputs, possibly
  // none.
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
