// Which version of a service an ingress sends a request to.

#ifndef OLEANDERTIDE_ROLLOUT_EXPOSURE_H_
#define OLEANDERTIDE_ROLLOUT_EXPOSURE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "rollout/order.h"

namespace oleandertide::rollout {

// Which backend servers may get a request.
enum class VersionRule : std::uint8_t {
  // Versions make no difference.
  kAny,
  // Only those of another version than the order's.
  kOldOnly,
  // Those of the order's version; if none has room, the others.
  kNewFirst,
  // Only those of the order's version.
  kNewOnly,
};

// Bounds what a version on trial gets. Each ingress gives it at most a share of
// the requests that it sends itself to the service, repeats included, counted
// from zero for each order; so the sum over all ingresses cannot exceed the
// share, whatever they know of each other. The state's share bounds the rate:
// of what was not used, only the part of a few requests is kept, so backend
// servers on trial that had no room for a while do not get all of it at once.
// After a good trial the state's share is above `max_share`; the new version
// then gets no more than is left of `kBudgetShare` of `max_share` of all
// requests since the order. So the bound holds at each moment, whenever the
// version is found bad.
//
// Expected load: a fleet of unequal ingresses, of which any may be partitioned,
// restarted or late in learning of an order.
//
// Not thread-safe.
class Exposure {
 public:
  // Of `max_share`: the counts of the store's users and of ingresses differ by
  // requests that are sent again or reach no backend server.
  static constexpr double kBudgetShare = 0.9;
  // Backend servers of a version on trial that get requests. Two are needed to
  // tell a fault of the version from one of a server; more of them would run
  // far below their usual load.
  static constexpr std::size_t kTrialServers = 2;

  // `max_share` bounds the share whatever the order's state names.
  explicit Exposure(double max_share) : max_share_(max_share) {}

  // Returns which backend servers the next request may be sent to. `state` is
  // the order of the service, nullptr if there is none. `has_old` tells whether
  // a backend server of another version is known, `may_try` whether a version
  // on trial may get requests now; see TrialLeases. An order whose version is
  // the only one that this ingress has seen since does not hold it back: after
  // a restart of all nodes the state of a completed order may not be known yet.
  VersionRule Choose(const OrderState* state, bool has_old,
                     bool may_try = true);

  // Returns to how many of `new_servers` backend servers of the new version
  // requests may go: as many as run at the load that all of them will have when
  // they get all traffic.
  std::size_t ServerLimit(const OrderState& state,
                          std::size_t new_servers) const;

  // Records that a request was sent to a backend server of the service.
  void RecordSent(const OrderState& state, std::string_view version);

 private:
  struct Counts {
    StorePosition order{};
    // Requests that the new version may get; below one, none.
    double credit = 0;
    // Requests since the order, and those of them to the new version before it
    // got all traffic.
    std::uint64_t sent = 0;
    std::uint64_t sent_to_new = 0;
    bool has_seen_old = false;
  };

  Counts& Find(const OrderState& state);

  // Whether the budget since the order allows one more for the new version.
  bool IsWithinBudget(const OrderState& state, const Counts& counts) const;

  const double max_share_;
  std::map<std::string, Counts, std::less<>> counts_;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_EXPOSURE_H_
