#include "calls/claim_client.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace oleandertide::calls {
namespace {

constexpr std::string_view kWritersKey = "claim-writers";

// Writers asked for one claim at most.
constexpr std::size_t kMaximumAttempts = 2;

bool IsInconclusive(const idempotency::ClaimResult& result) {
  return std::holds_alternative<idempotency::StoreUnavailable>(result);
}

}  // namespace

ClaimClient::ClaimClient(std::string own_address,
                         std::size_t writers_per_data_centre,
                         idempotency::BlockingClaimWriter& local_writer,
                         peers::PeerClient& peers, std::uint64_t seed)
    : own_address_(std::move(own_address)),
      writer_count_(writers_per_data_centre),
      local_writer_(local_writer),
      peers_(peers),
      writers_{own_address_},
      random_(seed) {}

void ClaimClient::set_members(const membership::MemberView& members) {
  const auto is_writer = [&](const membership::Member& member) {
    return member.state == membership::MemberState::kReady &&
           member.data_centre == members.own().data_centre;
  };
  std::vector<std::string> writers;
  for (const auto& member :
       members.RankByRendezvous(kWritersKey, is_writer, writer_count_)) {
    writers.push_back(member->address);
  }
  if (writers.empty()) writers.push_back(own_address_);
  std::lock_guard lock(mutex_);
  writers_ = std::move(writers);
}

ClaimOutcome ClaimClient::Claim(const std::string& key,
                                std::uint64_t fingerprint, std::uint64_t token,
                                MonotonicTime deadline) {
  ClaimOutcome outcome{idempotency::StoreUnavailable{}, {}};
  std::size_t attempts = 0;
  for (const std::string& writer : WritersOf(key)) {
    const MonotonicTime now = MonotonicClock::now();
    if (now >= deadline || attempts++ == kMaximumAttempts) break;
    const idempotency::ClaimRequest request{key, fingerprint, token,
                                            NewClaimant()};
    outcome.claim = {writer, key, token, request.claimant};
    if (writer == own_address_) {
      outcome.result = local_writer_.Claim(request, deadline);
    } else {
      auto result = peers_.Claim(writer, request, deadline - now);
      if (!result) {
        // The claim may be recorded, but this attempt does not use it.
        outcome.result = idempotency::StoreUnavailable{};
        continue;
      }
      outcome.result = std::move(result).value();
    }
    if (!IsInconclusive(outcome.result)) break;
  }
  return outcome;
}

void ClaimClient::Complete(const HeldClaim& claim,
                           std::optional<idempotency::Answered> answer) {
  const idempotency::Completion completion{claim.key, claim.token,
                                           std::move(answer)};
  if (claim.writer == own_address_) {
    local_writer_.Complete(completion);
  } else {
    peers_.Complete(claim.writer, completion);
  }
}

void ClaimClient::Release(const HeldClaim& claim) {
  const idempotency::Release release{claim.key, claim.token, claim.claimant};
  if (claim.writer == own_address_) {
    local_writer_.Release(release);
  } else {
    peers_.Release(claim.writer, release);
  }
}

std::vector<std::string> ClaimClient::WritersOf(const std::string& key) const {
  std::vector<std::string> writers;
  {
    std::lock_guard lock(mutex_);
    writers = writers_;
  }
  const auto first = static_cast<std::ptrdiff_t>(Hash64(key) % writers.size());
  std::rotate(writers.begin(), writers.begin() + first, writers.end());
  return writers;
}

std::uint64_t ClaimClient::NewClaimant() {
  std::lock_guard lock(mutex_);
  return random_.Next();
}

}  // namespace oleandertide::calls
