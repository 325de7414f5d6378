// What a deployment asks for beside its configuration.

#ifndef OLEANDERTIDE_MESH_DEPLOYMENT_H_
#define OLEANDERTIDE_MESH_DEPLOYMENT_H_

#include <optional>
#include <string_view>

#include "core/time.h"

namespace oleandertide::mesh {

// When a feature is in force.
enum class FeatureMode {
  kOff,
  // Where the configuration or an order calls for it.
  kOnDemand,
  kOn,
};

// Returns the name of the mode for the log. Thread-safe.
constexpr std::string_view ToString(FeatureMode mode) {
  switch (mode) {
    case FeatureMode::kOff:
      return "off";
    case FeatureMode::kOnDemand:
      return "on-demand";
    case FeatureMode::kOn:
      return "on";
  }
  return "unknown";
}

// Features and their bounds. The defaults are those of a node that is told
// nothing of its deployment.
struct Deployment {
  // Limits of organisations hold over the whole fleet.
  FeatureMode limits = FeatureMode::kOnDemand;
  // Operators order roll-outs of new versions of a service.
  FeatureMode rollouts = FeatureMode::kOnDemand;
  // Whether nodes that cannot know of a withdrawn key refuse all keys.
  bool closes_stale_keys = false;

  // After the acknowledgement of a configuration without a key, no node may
  // run a later request with it.
  Duration revocation_limit = std::chrono::seconds(5);
  // A configuration is in force at all nodes in touch.
  Duration configuration_limit = std::chrono::milliseconds(2500);

  // In each window, an organisation's requests that run are at most
  // (rate * window + burst) * (1 + overage) + slack.
  Duration limit_window = std::chrono::seconds(5);
  double limit_overage = 0.1;
  double limit_slack = 20;

  // A version on trial gets at most this share of the requests that reach its
  // service, and this many more.
  double exposure_share = 0.1;
  double exposure_slack = 50;
  // Time within which a bad version gets no more requests.
  Duration rollback_limit = std::chrono::seconds(5);

  // Bounds that settings of the node are derived from, where the deployment
  // names them.
  //
  // Time from SIGTERM to SIGKILL.
  std::optional<Duration> stop_grace{};
  // Time from the acknowledgement that a backend server leaves until which
  // requests may still reach it.
  std::optional<Duration> drain_limit{};
  // Repeats for each request of a service, over the whole fleet.
  std::optional<double> retry_ratio{};

  bool operator==(const Deployment&) const = default;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_DEPLOYMENT_H_
