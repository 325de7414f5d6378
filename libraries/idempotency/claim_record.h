// The table row of a claimed key and its state transitions.

#ifndef OLEANDERTIDE_IDEMPOTENCY_CLAIM_RECORD_H_
#define OLEANDERTIDE_IDEMPOTENCY_CLAIM_RECORD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/result.h"
#include "core/time.h"
#include "idempotency/claim.h"

namespace oleandertide::idempotency {

// Largest answer (header names, header values and body) stored in a row.
inline constexpr std::size_t kMaximumAnswerBytes = std::size_t{16} * 1024;

enum class ClaimState { kClaimed, kCompleted, kReleased };

// Value of the row `claim/{environment}/{key hash}`.
struct ClaimRecord {
  // The key in full, because two keys may have the same hash.
  std::string key;
  std::uint64_t fingerprint = 0;
  std::uint64_t token = 0;
  std::uint64_t claimant = 0;
  ClaimState state = ClaimState::kClaimed;
  // Only in state kCompleted, and only if the answer was kept.
  std::optional<Answered> answer;
  WallTime changed;

  bool operator==(const ClaimRecord&) const = default;
};

// Returns the row key under which the claim of `key` is recorded. Thread-safe.
std::string ClaimRowKey(std::string_view environment, std::string_view key);

// Returns the row value. Bytes that JSON cannot hold are escaped. Thread-safe.
std::string EncodeClaimRecord(const ClaimRecord& record);

// Error kDataDamaged if `value` is not an encoded record. Thread-safe.
Result<ClaimRecord> DecodeClaimRecord(std::string_view value);

// Returns the size in bytes that kMaximumAnswerBytes limits. Thread-safe.
std::size_t AnswerBytes(const Answered& answer);

// Either the final result, or the record whose conditional write grants the
// claim.
using ClaimDecision = std::variant<ClaimResult, ClaimRecord>;

// Decides a claim against the row (nullopt: absent).
//
// A claim of the same token by another attempt is granted only by a new write.
// The new row version makes the release of the earlier attempt fail its
// condition, even if that release reaches the table late.
ClaimDecision DecideClaim(const std::optional<ClaimRecord>& row,
                          const ClaimRequest& request, WallTime now);

// Returns the record to write, or nullopt if there is nothing to record: no
// claim of this token, or an answer that was recorded before.
std::optional<ClaimRecord> DecideCompletion(
    const std::optional<ClaimRecord>& row, const Completion& completion,
    WallTime now);

// Returns the record to write, or nullopt if the attempt holds no claim.
std::optional<ClaimRecord> DecideRelease(const std::optional<ClaimRecord>& row,
                                         const Release& release, WallTime now);

// Returns the released record for a claim that was never granted. Writing it
// changes the row version, so that a delayed write of the claim that is
// conditional on the present version fails.
ClaimRecord WithdrawnClaim(const ClaimRequest& request, WallTime now);

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_IDEMPOTENCY_CLAIM_RECORD_H_
