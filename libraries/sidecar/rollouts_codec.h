// Encodes and decodes the coordination messages on orders to roll out a
// version.

#ifndef OLEANDERTIDE_SIDECAR_ROLLOUTS_CODEC_H_
#define OLEANDERTIDE_SIDECAR_ROLLOUTS_CODEC_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/decider.h"
#include "rollout/outcome_collector.h"
#include "rollout/trial_leases.h"

namespace oleandertide::sidecar {

// What a node tells of one order.
struct OrderReport {
  // Its outcomes are those since the last report, for coordinators of an
  // earlier version of this project.
  rollout::NodeReport report;
  rollout::OutcomeCollector::Totals totals;
};

// Payloads in Cap'n Proto's packed encoding. Thread-safe.
std::string EncodeOrderReports(std::span<const OrderReport> reports);
std::string EncodeTrialRenewals(
    std::span<const rollout::TrialRenewal> renewals);

// Nothing if the payload is malformed. Thread-safe.
std::optional<std::vector<rollout::NodeReport>> DecodeOrderReports(
    std::string_view payload);
std::optional<std::vector<rollout::TrialRenewal>> DecodeTrialRenewals(
    std::string_view payload);

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_ROLLOUTS_CODEC_H_
