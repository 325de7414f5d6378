// Group commit of claims: batches claims, completions and releases into few
// conditional transactions.

#ifndef OLEANDERTIDE_IDEMPOTENCY_CLAIM_WRITER_H_
#define OLEANDERTIDE_IDEMPOTENCY_CLAIM_WRITER_H_

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "idempotency/claim.h"
#include "idempotency/claim_record.h"
#include "store/store.h"

namespace oleandertide::idempotency {

// The time at which an input arrives.
struct Moment {
  MonotonicTime monotonic;
  // Only stored in rows, never compared.
  WallTime wall;
};

struct ClaimWriterOptions {
  std::string environment;
  // Minimum time between two transactions. Claims that arrive meanwhile share
  // the next one.
  Duration commit_interval = std::chrono::milliseconds(5);
  // Upper bound of the commit interval, which grows while the platform limits
  // the rate.
  Duration maximum_commit_interval = std::chrono::milliseconds(160);
  // How long completions and withdrawals wait to share a transaction with
  // claims. No caller waits for them.
  Duration completion_interval = std::chrono::milliseconds(40);
  // A repeat of a key whose row shows a running attempt reads the row again if
  // its known content is older than this.
  Duration recheck_interval = std::chrono::milliseconds(100);
  // How long no operation is sent after the platform was found to be down.
  Duration down_interval = std::chrono::milliseconds(100);
  // Completions, releases and withdrawals that could not be recorded within
  // this time are dropped; the key then stays claimed.
  Duration background_timeout = std::chrono::seconds(30);
  std::size_t maximum_batch_rows = 128;
  std::size_t maximum_batch_bytes = std::size_t{512} * 1024;
  std::size_t maximum_reads = 8;
  std::size_t maximum_waiting_claims = 4096;
  // Completions beyond this limit are recorded without their answer.
  std::size_t maximum_waiting_answer_bytes = std::size_t{4} * 1024 * 1024;
  // Rows kept to answer repeated keys without a read.
  std::size_t maximum_cached_rows = 4096;
  std::size_t maximum_cached_bytes = std::size_t{8} * 1024 * 1024;
};

// Chosen by the caller of AddClaim; unique among the waiting claims.
using ClaimId = std::uint64_t;
using OperationId = std::uint64_t;

// Effect: read the row and pass the outcome to HandleRead.
struct ReadClaimRow {
  OperationId operation = 0;
  std::string key;
};

// Effect: run the transaction and pass the outcome to HandleTransaction.
struct CommitClaims {
  OperationId operation = 0;
  std::vector<store::Condition> conditions;
  std::vector<store::Write> writes;
};

// Effect: the answer to a claim. There is exactly one for each AddClaim.
struct AnswerClaim {
  ClaimId claim = 0;
  ClaimResult result;
};

using ClaimWriterEffect = std::variant<ReadClaimRow, CommitClaims, AnswerClaim>;
using ClaimWriterEffects = std::vector<ClaimWriterEffect>;

struct ClaimWriterCounters {
  std::uint64_t claims = 0;
  std::uint64_t granted = 0;
  std::uint64_t answered = 0;
  std::uint64_t already_running = 0;
  std::uint64_t answer_not_kept = 0;
  std::uint64_t key_reused = 0;
  std::uint64_t store_unavailable = 0;
  // Claims answered without a store operation of their own.
  std::uint64_t cache_hits = 0;
  std::uint64_t transactions = 0;
  std::uint64_t rows_written = 0;
  std::uint64_t rows_refused = 0;
  std::uint64_t reads = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t rate_limited = 0;
  std::uint64_t unavailable = 0;
  // Claims answered while their write could still take effect; the writer then
  // releases them in the table.
  std::uint64_t withdrawn = 0;
  // Completions without a claim of their token, releases without a claim of
  // their attempt.
  std::uint64_t unmatched = 0;
  std::uint64_t expired = 0;
  std::uint64_t damaged_rows = 0;
};

// Decides and batches claims; performs no input or output. Several writers may
// work on the same keys: every write is conditional on the row version that the
// decision was based on, so at most one of competing writes takes effect. Not
// thread-safe.
//
// Every input method returns the effects that the caller must run, in order. At
// most one CommitClaims and `maximum_reads` ReadClaimRow effects are unanswered
// at any time. `now` must not decrease from one input to the next.
class ClaimWriter {
 public:
  explicit ClaimWriter(ClaimWriterOptions options);
  ~ClaimWriter();
  ClaimWriter(const ClaimWriter&) = delete;
  ClaimWriter& operator=(const ClaimWriter&) = delete;

  // Claims a key. At `deadline` the claim is answered in any case: with
  // StoreUnavailable if it certainly has not been written, otherwise with
  // AlreadyRunning, and the claim is withdrawn as soon as the store permits.
  ClaimWriterEffects AddClaim(ClaimId id, ClaimRequest request,
                              MonotonicTime deadline, Moment now);

  // Records the end of a request. From now on this writer answers repeats of
  // the key with the answer, even before it is in the table.
  ClaimWriterEffects AddCompletion(Completion completion, Moment now);

  ClaimWriterEffects AddRelease(Release release, Moment now);

  // Passes the outcome of ReadClaimRow.
  ClaimWriterEffects HandleRead(OperationId operation,
                                const Result<store::ReadOutcome>& outcome,
                                Moment now);

  // Passes the outcome of CommitClaims. Errors other than kUnavailable and
  // kRateLimited mean that the transaction may still take effect.
  ClaimWriterEffects HandleTransaction(
      OperationId operation, const Result<store::TransactionOutcome>& outcome,
      Moment now);

  // Applies deadlines and intervals. Call at next_wake_time() or later.
  ClaimWriterEffects Advance(Moment now);

  // Latest time for the next call of Advance if no other input arrives.
  std::optional<MonotonicTime> next_wake_time() const;

  // True if no claim waits for its answer and nothing is left to record.
  bool is_idle() const;

  const ClaimWriterCounters& counters() const { return counters_; }
  std::size_t cached_rows() const { return cached_.size(); }

 private:
  struct KeyState;
  struct WaitingClaim;
  enum class Queue { kNone, kUrgent, kDeferred, kRetry };

  struct QueuedRow {
    std::string row_key;
    MonotonicTime queued_at;
  };
  struct Expiry {
    std::string row_key;
    MonotonicTime time;
  };
  struct ReadRow {};
  struct NoAction {};
  // What a key needs next: a read, a write of a record, or nothing.
  using Action = std::variant<NoAction, ReadRow, ClaimRecord>;

  KeyState& FindOrCreate(const std::string& row_key);
  KeyState* Find(const std::string& row_key);
  void Process(KeyState& state);
  void ResolvePending(KeyState& state);
  void RemoveFinishedBackground(KeyState& state);
  void AnswerDecidedClaims(KeyState& state);
  std::optional<ClaimResult> TryDecide(const KeyState& state,
                                       const WaitingClaim& claim) const;
  Action NextAction(const KeyState& state) const;
  std::optional<ClaimRecord> EffectiveRecord(const KeyState& state) const;
  void Enqueue(KeyState& state, Queue queue);
  void CacheOrErase(KeyState& state);
  void TrimCache();
  void UpdateRow(KeyState& state, store::RowVersion version,
                 std::optional<ClaimRecord> record);
  void UpdateRowFromRead(KeyState& state, const store::ReadOutcome& outcome);

  void Answer(const WaitingClaim& claim, ClaimResult result);
  void AnswerAndWithdraw(KeyState& state, WaitingClaim& claim);
  bool IsWritePossible(const KeyState& state, const WaitingClaim& claim) const;
  void ProcessWaitingClaims();
  void MarkPlatformDown();
  void ApplyDeadlines();
  void ApplyExpiry();
  void SendReads();
  void SendBatch();
  void FillBatch(std::deque<QueuedRow>& rows, Queue queue,
                 CommitClaims& commit);
  std::optional<MonotonicTime> NextBatchTime() const;
  void HandleCommitted(const store::Committed& committed);
  void HandleRefused(const store::Refused& refused);
  void HandleNotWritten();
  void HandleLostAnswer();
  ClaimWriterEffects FlushEffects();

  bool is_blocked() const { return now_.monotonic < blocked_until_; }
  bool is_down() const { return now_.monotonic < down_until_; }

  ClaimWriterOptions options_;
  ClaimWriterCounters counters_;
  Moment now_;
  ClaimWriterEffects effects_;
  absl::flat_hash_map<std::string, std::unique_ptr<KeyState>> states_;
  // Row keys by the deadline of a claim that has not been answered.
  absl::btree_map<std::pair<MonotonicTime, ClaimId>, std::string> deadlines_;
  // Sorted by time, because all entries have the same time-out.
  std::deque<Expiry> expiries_;
  std::deque<QueuedRow> urgent_;
  std::deque<QueuedRow> deferred_;
  // Rows of a refused batch whose own condition did not fail. They are sent in
  // a batch without new rows, which could get them refused again.
  std::deque<QueuedRow> retry_;
  std::deque<std::string> reads_waiting_;
  absl::flat_hash_map<OperationId, std::string> reads_in_flight_;
  std::vector<std::string> rows_in_flight_;
  std::optional<OperationId> commit_in_flight_;
  OperationId last_operation_ = 0;
  // Least recently used last.
  std::list<KeyState*> cached_;
  std::size_t cached_bytes_ = 0;
  std::size_t waiting_answer_bytes_ = 0;
  Duration commit_interval_;
  MonotonicTime last_commit_;
  MonotonicTime blocked_until_;
  MonotonicTime down_until_;
};

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_IDEMPOTENCY_CLAIM_WRITER_H_
