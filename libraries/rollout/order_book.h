// The orders that a node knows, from the store and from other nodes.

#ifndef OLEANDERTIDE_ROLLOUT_ORDER_BOOK_H_
#define OLEANDERTIDE_ROLLOUT_ORDER_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/store_position.h"
#include "rollout/order.h"

namespace oleandertide::rollout {

// Keeps one order for each service and never goes back: a state is replaced
// only by one of a later order, or by a later step or greater share of the same
// order. The result does not depend on the sequence in which states arrive, so
// late and repeated messages are harmless.
//
// After a return of the store from an older copy, its users write again what
// the copy lacks. So an order of an earlier era that the table lacks keeps its
// step until its time is over, and one that is written again goes on where it
// was. A finished one takes its last step again, since its status may be lost.
//
// Expected load: some orders a day, told by each node three times a second;
// orders that are replaced or removed while they run; a store that forgets its
// history, after which the whole table is read again; a store that returns from
// a copy that is some seconds old.
//
// Not thread-safe.
class OrderBook {
 public:
  // More services than any deployment has. Further orders are ignored, so that
  // status messages stay small.
  static constexpr std::size_t kMaxOrders = 64;

  // Applies an order as the store had it when its clock showed `time_ms`.
  // Returns whether anything changed.
  bool Put(const Order& order, std::uint64_t time_ms = 0);

  // Applies that the store has no order for `service` at the moment. An order
  // that was not completed is cancelled: its version is held back until the
  // store's clock shows the moment's time and the order's duration, since its
  // backend servers may still run. Returns whether anything changed.
  bool Remove(std::string_view service, StoreMoment moment);

  // Applies that the store has orders for `services` only: others are removed.
  // Returns whether anything changed.
  bool RemoveOthers(std::span<const std::string> services, StoreMoment moment);

  // Records that all rows up to the moment, in its era, were applied.
  void RecordRead(StoreMoment moment);

  // Applies what another node, or the decider, told. An order that the store
  // does not have any more at the moment that was read is taken as removed. An
  // order of unknown era is taken for one of the era that is known here.
  // Returns whether anything changed.
  bool Merge(OrderState state);

  // Ends the effect of removed orders whose time is over. Precondition: the
  // store's clock shows at least `store_time_ms`.
  void Advance(std::uint64_t store_time_ms);

  // nullptr if there is no order for the service, or it has no effect.
  const OrderState* Find(std::string_view service) const;

  // All states, for other nodes, in ascending order of the service. Removed
  // orders are among them: a node that missed the removal learns of it.
  std::vector<OrderState> states() const;

  bool is_empty() const { return states_.empty(); }

 private:
  static bool Cancel(OrderState& state, StoreMoment moment);
  // Carries over from `known` what still holds for `state`, which replaces it.
  static void CarryOver(const OrderState& known, OrderState& state);
  bool Apply(OrderState state);
  bool is_over(const OrderState& state) const {
    return state.over_at_ms != 0 && state.over_at_ms <= store_time_ms_;
  }

  std::map<std::string, OrderState, std::less<>> states_;
  // Up to where the store was read.
  StoreMoment read_;
  // Greatest time that Advance was called with.
  std::uint64_t store_time_ms_ = 0;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_ORDER_BOOK_H_
