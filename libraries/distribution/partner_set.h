// Partners of one node and the state of their monitoring.

#ifndef OLEANDERTIDE_DISTRIBUTION_PARTNER_SET_H_
#define OLEANDERTIDE_DISTRIBUTION_PARTNER_SET_H_

#include <absl/container/btree_map.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "distribution/options.h"
#include "membership/member_table.h"

namespace oleandertide::distribution {

// Monitored successors and further partners in the own data centre, and
// partners in the other data centres. Not thread-safe.
class PartnerSet {
 public:
  explicit PartnerSet(const Options& options) : options_(&options) {}

  // Chooses the partners anew from the table.
  void Refresh(MonotonicTime now, const membership::MemberTable& table,
               RandomSource& random);

  // Monitored members whose next exchange is due; sets the next due time.
  std::vector<std::string> DueMonitored(MonotonicTime now);

  // Next partner of the periodic exchange, or an empty string.
  std::string NextGossip();

  // Notes a reply. Resets the failures of a partner.
  void Succeed(std::string_view address);
  // Notes a failed attempt. Returns true if the member is now suspect.
  bool Fail(MonotonicTime now, std::string_view address, MonotonicTime sent_at);
  // Forgets failures that a pause of this node may have caused.
  void ClearFailures(MonotonicTime now);

  // All partners, each once.
  const std::vector<std::string>& all() const { return all_; }
  // Partners in the own data centre.
  const std::vector<std::string>& local() const { return local_; }

 private:
  struct Monitored {
    MonotonicTime next_at;
    int failures = 0;
  };

  void ChooseRemote(MonotonicTime now, const membership::MemberTable& table);

  const Options* options_;
  absl::btree_map<std::string, Monitored, std::less<>> monitored_;
  std::vector<std::string> local_;
  std::vector<std::string> gossip_;
  std::vector<std::string> all_;
  std::size_t next_gossip_ = 0;
  // Remote partners that do not answer: failures, or until when to avoid them.
  struct Avoided {
    int failures = 0;
    MonotonicTime until;
  };
  absl::btree_map<std::string, Avoided, std::less<>> avoided_;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_PARTNER_SET_H_
