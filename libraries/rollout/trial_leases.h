// Until when versions on trial may get requests.

#ifndef OLEANDERTIDE_ROLLOUT_TRIAL_LEASES_H_
#define OLEANDERTIDE_ROLLOUT_TRIAL_LEASES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/store_position.h"
#include "core/time.h"
#include "rollout/order.h"

namespace oleandertide::rollout {

// A renewal that the decider sends to all nodes.
struct TrialRenewal {
  std::string service{};
  // Position of the order.
  StorePosition order{};
  // By the store's clock.
  std::uint64_t until_ms = 0;

  bool operator==(const TrialRenewal&) const = default;
};

// A version on trial gets requests only while somebody looks at what comes of
// them. The decider renews the lease of the trial at each node; a decider that
// has just begun first gathers what the nodes have counted. So whoever is lost,
// a bad version gets nothing more once the last lease has ended.
//
// Load pattern: deciders that are killed one after the other, lose the store,
// or are cut off from some nodes; renewals that arrive late or repeated.
//
// Not thread-safe.
class TrialLeases {
 public:
  // Length of a lease, and how often it is renewed. Two renewals may be lost.
  static constexpr Duration kLength = std::chrono::milliseconds(1200);
  static constexpr Duration kRenewalInterval = std::chrono::milliseconds(400);

  // Takes in a renewal. One of an earlier order, or that ends before the known
  // lease, changes nothing.
  void Renew(const TrialRenewal& renewal);

  // Whether the version on trial may get a request at a time of the store's
  // clock.
  bool MayTry(const OrderState& state, std::uint64_t now_ms) const;

 private:
  struct Lease {
    StorePosition order{};
    std::uint64_t until_ms = 0;
  };

  // One for each service, as many as the order book has orders at most.
  std::map<std::string, Lease, std::less<>> leases_;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_TRIAL_LEASES_H_
