// What a node may serve in each standing (design page, section 4.5).

#ifndef OLEANDERTIDE_CALLS_STANDING_POLICY_H_
#define OLEANDERTIDE_CALLS_STANDING_POLICY_H_

#include <optional>

#include "calls/call.h"
#include "distribution/freshness.h"

namespace oleandertide::calls {

// The reason to refuse a request as not run, if there is one. Thread-safe.
std::optional<routing::Reason> ReasonToRefuse(distribution::Standing standing,
                                              const RoutePolicy& policy);

}  // namespace oleandertide::calls

#endif  // OLEANDERTIDE_CALLS_STANDING_POLICY_H_
