// An operator's order to move a service to another version, and how far it is.

#ifndef OLEANDERTIDE_ROLLOUT_ORDER_H_
#define OLEANDERTIDE_ROLLOUT_ORDER_H_

#include <cstdint>
#include <string>

#include "core/store_position.h"
#include "core/time.h"

namespace oleandertide::rollout {

struct Order {
  std::string service{};
  // Version of the software that the service's traffic is to move to.
  std::string to{};
  Duration duration{};
  // Of the order's row: identifies the order. A later order of the same service
  // has a greater one.
  StorePosition position{};

  bool operator==(const Order&) const = default;
};

// How far an order is. For one order a greater step replaces a smaller one; the
// value is part of the protocol.
enum class Step : std::uint8_t {
  // Known, not started: the new version gets nothing.
  kOrdered = 0,
  // The new version gets at most the share that the state names.
  kTrial = 10,
  // All traffic goes to the new version; the old one finishes what it runs.
  kReplacing = 20,
  // The new version gets nothing more.
  kRollingBack = 30,
  // The operator removed the order before its end.
  kCancelled = 40,
  // Final, as written to the store.
  kCompleted = 50,
  kRolledBack = 51,
};

struct OrderState {
  Order order{};
  Step step = Step::kOrdered;
  // Share of the service's requests for the new version during kTrial, in
  // thousandths.
  std::uint32_t share_permille = 0;
  // A removed order has no effect once the store's clock shows this; 0 for an
  // order that exists.
  std::uint64_t over_at_ms = 0;
  // By the store's clock, when a node first knew the order; 0 if unknown. The
  // earliest that any node tells holds.
  std::uint64_t known_at_ms = 0;
  // By the same clock, when the present step and share began, and when the
  // trial did; 0 if unknown. The earliest that any node tells hold, so that
  // each decider measures from the same moments.
  std::uint64_t entered_at_ms = 0;
  std::uint64_t trial_at_ms = 0;
  // Version that an earlier, unfinished order was about: it gets nothing.
  std::string withheld{};

  // Whether the version on trial gets requests only while a decider renews the
  // lease of the trial; see TrialLeases. Deciders of an earlier version of this
  // project tell no begin of the trial and renew nothing.
  bool needs_lease() const { return step == Step::kTrial && trial_at_ms != 0; }

  bool operator==(const OrderState&) const = default;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_ORDER_H_
