// Rendezvous (highest random weight) hashing over member records.

#ifndef OLEANDERTIDE_MEMBERSHIP_RENDEZVOUS_H_
#define OLEANDERTIDE_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace oleandertide::membership {

using MemberFilter = std::function<bool(const Member&)>;

// Keeps the `count` candidates with the highest weight for one key.
class RendezvousRank {
 public:
  RendezvousRank(std::string_view key, std::size_t count);

  // Considers a candidate. Addresses must be offered once only.
  void Offer(const MemberPointer& member);

  // The best candidates, highest weight first.
  std::vector<MemberPointer> Take() const;

 private:
  struct Candidate {
    std::uint64_t weight;
    MemberPointer member;
  };

  std::uint64_t key_hash_;
  std::size_t count_;
  std::vector<Candidate> best_;
};

}  // namespace oleandertide::membership

#endif  // OLEANDERTIDE_MEMBERSHIP_RENDEZVOUS_H_
