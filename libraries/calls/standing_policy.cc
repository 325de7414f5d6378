#include "calls/standing_policy.h"

namespace oleandertide::calls {

std::optional<routing::Reason> ReasonToRefuse(distribution::Standing standing,
                                              const RoutePolicy& policy) {
  using distribution::Standing;
  switch (standing) {
    case Standing::kStarting:
      return routing::Reason::kNotReady;
    case Standing::kIsolated:
      return routing::Reason::kNodeIsolated;
    case Standing::kRegionCut:
      // A stale lookup does little harm; a booking on a retired route does.
      if (policy.is_repeatable) return std::nullopt;
      return routing::Reason::kConfigurationUnconfirmed;
    case Standing::kConfirmed:
    case Standing::kPlatformDown:
      break;
  }
  return std::nullopt;
}

}  // namespace oleandertide::calls
