// Until when a node that hears nothing new still honours keys.

#ifndef OLEANDERTIDE_ORGANISATIONS_KEY_TRUST_H_
#define OLEANDERTIDE_ORGANISATIONS_KEY_TRUST_H_

#include <cstdint>

#include "coordination/store_clock.h"
#include "core/time.h"

namespace oleandertide::organisations {

// A key that a configuration took away must not be honoured by any node, also
// not by one that cannot learn of it. So a node honours keys only while the
// store is known to have confirmed its configuration recently, to this node or
// to one that passed it on. The age of the confirmation is computed from the
// latest time that the store's clock may show, which is known only after an
// answer of the store to this process: neither a late message nor a restart, a
// suspended machine or a clock that was set back makes it look younger.
//
// Load pattern: nodes are cut off from the store, or the store is away or
// refuses some of them, while keys are withdrawn.
//
// Thread-safe.
class KeyTrust {
 public:
  // `revocation_limit` is the time after which a withdrawn key must not be
  // honoured anywhere.
  explicit KeyTrust(Duration revocation_limit);

  // Whether keys of the configuration that the store confirmed at
  // `confirmed_store_time_ms`, 0 for never, are honoured now.
  bool MayHonour(const coordination::StoreClock& clock,
                 std::uint64_t confirmed_store_time_ms, BootTime now) const;

  // Greatest age of a confirmation.
  Duration limit() const { return limit_; }

 private:
  Duration limit_;
};

}  // namespace oleandertide::organisations

#endif  // OLEANDERTIDE_ORGANISATIONS_KEY_TRUST_H_
