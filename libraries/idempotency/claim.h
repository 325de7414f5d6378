// Messages between a receiver and a claim writer. Before a receiver hands over
// a request that must not run twice, it claims the request's idempotency key.

#ifndef OLEANDERTIDE_IDEMPOTENCY_CLAIM_H_
#define OLEANDERTIDE_IDEMPOTENCY_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oleandertide::idempotency {

// Asks for the right to run the request with `key`.
struct ClaimRequest {
  std::string key;
  // Hash of the request; the same key with another fingerprint is refused.
  std::uint64_t fingerprint = 0;
  // Chosen at random by the ingress, the same for all its attempts of one
  // request. Precondition: the ingress makes a further attempt only after the
  // earlier one ended as not run.
  std::uint64_t token = 0;
  // Chosen at random by the receiver for each attempt, and anew when it sends
  // the claim to another writer. It separates the attempts of one token, so
  // that the late release of an earlier attempt cannot release the claim of a
  // later one. Precondition: never used twice, also not after a restart.
  std::uint64_t claimant = 0;
};

// The receiver may hand the request over, once.
struct Granted {};

// The request has already run; this is its recorded answer.
struct Answered {
  int status = 0;
  // The headers that the receiver selected for recording.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool operator==(const Answered&) const = default;
};

// An earlier attempt may be running, or may have run. The outcome is unknown.
struct AlreadyRunning {};

// The request ran, or its outcome is unknown, and no answer was kept.
struct AnswerNotKept {};

// The key belongs to another request. Not run.
struct KeyReused {};

// The claim could not be recorded and is certainly not in the table. Not run;
// the caller may repeat the request.
struct StoreUnavailable {};

using ClaimResult = std::variant<Granted, Answered, AlreadyRunning,
                                 AnswerNotKept, KeyReused, StoreUnavailable>;

// Records that a request under a granted claim was handed over and ended.
struct Completion {
  std::string key;
  std::uint64_t token = 0;
  // Without an answer (the outcome is unknown or the answer is not to be kept),
  // repeats of the key get AnswerNotKept.
  std::optional<Answered> answer;
};

// Releases a granted claim because the receiver refused the request before
// hand-over. Precondition: the request was not and will not be handed over
// under this attempt.
struct Release {
  std::string key;
  std::uint64_t token = 0;
  // The attempt that held the claim.
  std::uint64_t claimant = 0;
};

}  // namespace oleandertide::idempotency

#endif  // OLEANDERTIDE_IDEMPOTENCY_CLAIM_H_
