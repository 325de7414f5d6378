// Claims keys at the claim writers of the data centre.

#ifndef OLEANDERTIDE_CALLS_CLAIM_CLIENT_H_
#define OLEANDERTIDE_CALLS_CLAIM_CLIENT_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "idempotency/blocking_claim_writer.h"
#include "idempotency/claim.h"
#include "membership/member_view.h"
#include "peers/peer_client.h"

namespace oleandertide::calls {

// A claim and where it was made, so that its end is reported to the same
// writer.
struct HeldClaim {
  std::string writer;
  std::string key;
  std::uint64_t token = 0;
  std::uint64_t claimant = 0;
};

struct ClaimOutcome {
  idempotency::ClaimResult result;
  HeldClaim claim;  // Meaningful if the result is Granted.
};

// The writers are the members of the data centre that rank highest by
// rendezvous hashing; a key belongs to one of them by its hash. Any writer is
// safe, because the table decides. Thread-safe.
class ClaimClient {
 public:
  // `local_writer` and `peers` must outlive the client. `own_address` is the
  // node's address for peers.
  ClaimClient(std::string own_address, std::size_t writers_per_data_centre,
              idempotency::BlockingClaimWriter& local_writer,
              peers::PeerClient& peers, std::uint64_t seed);

  // Replaces the members among which writers are chosen.
  void set_members(const membership::MemberView& members);

  // Claims the key of a request and blocks at most until `deadline`. If a
  // writer cannot be reached, or its answer is lost, the next one is asked:
  // the claim of the same token is granted again.
  ClaimOutcome Claim(const std::string& key, std::uint64_t fingerprint,
                     std::uint64_t token, MonotonicTime deadline);

  // Reports the end of a granted claim, without waiting.
  void Complete(const HeldClaim& claim,
                std::optional<idempotency::Answered> answer);

  // Gives back a granted claim whose request was not handed over.
  void Release(const HeldClaim& claim);

 private:
  std::vector<std::string> WritersOf(const std::string& key) const;
  std::uint64_t NewClaimant();

  const std::string own_address_;
  const std::size_t writer_count_;
  idempotency::BlockingClaimWriter& local_writer_;
  peers::PeerClient& peers_;
  mutable std::mutex mutex_;
  std::vector<std::string> writers_;
  RandomSource random_;
};

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_CLAIM_CLIENT_H_
