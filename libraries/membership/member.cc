#include "membership/member.h"

#include "core/hash.h"

namespace oleandertide::membership {
namespace {

// Rank among claims of the same incarnation. Only suspicion and death are
// claimed by others; the owner raises the incarnation for its own changes.
int ClaimRank(MemberState state) {
  switch (state) {
    case MemberState::kDead:
      return 2;
    case MemberState::kSuspect:
      return 1;
    default:
      return 0;
  }
}

}  // namespace

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kStarting:
      return "starting";
    case MemberState::kReady:
      return "ready";
    case MemberState::kDraining:
      return "draining";
    case MemberState::kLeft:
      return "left";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

bool is_valid(const Member& member) {
  const auto fits = [](const std::string& text) {
    return text.size() <= kMaximumStringBytes;
  };
  return !member.address.empty() && !member.data_centre.empty() &&
         fits(member.address) && fits(member.data_centre) &&
         fits(member.region) && fits(member.service) &&
         fits(member.backend_address) && member.state <= MemberState::kDead &&
         member.incarnation <= kMaximumIncarnation;
}

bool is_newer(const Member& candidate, const Member& current) {
  if (candidate.incarnation != current.incarnation) {
    return candidate.incarnation > current.incarnation;
  }
  const int candidate_rank = ClaimRank(candidate.state);
  const int current_rank = ClaimRank(current.state);
  if (candidate_rank != current_rank) return candidate_rank > current_rank;
  if (candidate.life != current.life) return candidate.life > current.life;
  return RecordHash(candidate) > RecordHash(current);
}

std::uint64_t RecordHash(const Member& member) {
  std::uint64_t hash = Hash64(member.address, member.life);
  hash = Hash64(member.data_centre, hash);
  hash = Hash64(member.region, hash);
  hash = Hash64(member.service, hash);
  hash = Hash64(member.backend_address, hash);
  hash = CombineHashes(
      hash, (std::uint64_t{member.slots} << 32) | member.connections);
  return CombineHashes(hash, (member.incarnation << 8) |
                                 static_cast<std::uint64_t>(member.state));
}

std::size_t EstimatedBytes(const Member& member) {
  // Life, incarnation, slots with connections, and state: four words.
  constexpr std::size_t kDataBytes = 32;
  return kDataBytes + EstimatedTextBytes(member.address) +
         EstimatedTextBytes(member.data_centre) +
         EstimatedTextBytes(member.region) +
         EstimatedTextBytes(member.service) +
         EstimatedTextBytes(member.backend_address);
}

}  // namespace oleandertide::membership
