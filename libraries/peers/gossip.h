// Gossip messages: the distributor's exchange and what travels with it.

#ifndef OLEANDERTIDE_PEERS_GOSSIP_H_
#define OLEANDERTIDE_PEERS_GOSSIP_H_

#include <vector>

#include "distribution/messages.h"
#include "routing/quarantine.h"

namespace oleandertide::peers {

// Most crash reports in one message.
inline constexpr std::size_t kMaximumCrashReports = 64;

struct GossipRequest {
  distribution::Exchange exchange;
  std::vector<routing::CrashReport> crash_reports;
};

struct GossipReply {
  distribution::ExchangeReply exchange;
  std::vector<routing::CrashReport> crash_reports;
};

}  // namespace oleandertide::peers

#endif  // OLEANDERTIDE_PEERS_GOSSIP_H_
