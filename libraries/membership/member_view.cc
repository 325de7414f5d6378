#include "membership/member_view.h"

#include <algorithm>
#include <utility>

namespace oleandertide::membership {

MemberView::MemberView(MemberPointer own, std::vector<MemberPointer> members)
    : own_(std::move(own)), members_(std::move(members)) {
  std::sort(members_.begin(), members_.end(),
            [](const MemberPointer& a, const MemberPointer& b) {
              return a->address < b->address;
            });
}

MemberPointer MemberView::Find(std::string_view address) const {
  const auto found =
      std::lower_bound(members_.begin(), members_.end(), address,
                       [](const MemberPointer& member, std::string_view key) {
                         return member->address < key;
                       });
  if (found == members_.end() || (*found)->address != address) return nullptr;
  return *found;
}

std::vector<MemberPointer> MemberView::InState(std::string_view data_centre,
                                               MemberState state) const {
  std::vector<MemberPointer> found;
  for (const MemberPointer& member : members_) {
    if (member->state == state && member->data_centre == data_centre) {
      found.push_back(member);
    }
  }
  return found;
}

std::vector<MemberPointer> MemberView::RankByRendezvous(
    std::string_view key, const MemberFilter& filter, std::size_t count) const {
  RendezvousRank rank(key, count);
  for (const MemberPointer& member : members_) {
    if (filter(*member)) rank.Offer(member);
  }
  return rank.Take();
}

}  // namespace oleandertide::membership
