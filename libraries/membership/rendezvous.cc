#include "membership/rendezvous.h"

#include <algorithm>

#include "core/hash.h"

namespace oleandertide::membership {

RendezvousRank::RendezvousRank(std::string_view key, std::size_t count)
    : key_hash_(Hash64(key)), count_(count) {}

void RendezvousRank::Offer(const MemberPointer& member) {
  const std::uint64_t weight = Hash64(member->address, key_hash_);
  const auto before = [&](const Candidate& other) {
    if (other.weight != weight) return other.weight > weight;
    return other.member->address < member->address;
  };
  const auto position =
      std::find_if_not(best_.begin(), best_.end(),
                       [&](const Candidate& other) { return before(other); });
  if (position == best_.end() && best_.size() >= count_) return;
  best_.insert(position, Candidate{weight, member});
  if (best_.size() > count_) best_.pop_back();
}

std::vector<MemberPointer> RendezvousRank::Take() const {
  std::vector<MemberPointer> members;
  members.reserve(best_.size());
  for (const Candidate& candidate : best_) members.push_back(candidate.member);
  return members;
}

}  // namespace oleandertide::membership
