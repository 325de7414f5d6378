// Read-only copy of the member table for other threads.

#ifndef OLEANDERTIDE_MEMBERSHIP_MEMBER_VIEW_H_
#define OLEANDERTIDE_MEMBERSHIP_MEMBER_VIEW_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "membership/member.h"
#include "membership/rendezvous.h"

namespace oleandertide::membership {

// Immutable after construction, therefore thread-safe.
class MemberView {
 public:
  // `members` contains the own record.
  MemberView(MemberPointer own, std::vector<MemberPointer> members);

  const Member& own() const { return *own_; }

  // All records, ordered by address, including dead and left ones.
  const std::vector<MemberPointer>& members() const { return members_; }

  // Returns the record of `address`, or null.
  MemberPointer Find(std::string_view address) const;

  // Returns the members with `state` in a data centre, ordered by address.
  std::vector<MemberPointer> InState(std::string_view data_centre,
                                     MemberState state) const;

  // Returns the `count` members that pass `filter` and rank highest for
  // `key`, highest first. All nodes with the same records agree.
  std::vector<MemberPointer> RankByRendezvous(std::string_view key,
                                              const MemberFilter& filter,
                                              std::size_t count) const;

 private:
  MemberPointer own_;
  std::vector<MemberPointer> members_;
};

}  // namespace oleandertide::membership

#endif  // OLEANDERTIDE_MEMBERSHIP_MEMBER_VIEW_H_
