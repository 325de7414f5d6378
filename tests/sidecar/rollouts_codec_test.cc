#include "sidecar/rollouts_codec.h"

#include <catch2/catch.hpp>

namespace oleandertide::sidecar {

// Guards against totals that are told of another window, version or server.
TEST_CASE("reports and renewals of trials survive their encoding") {
  const rollout::NodeReport report{.service = "acervo",
                                   .order = {.era = 2, .version = 5},
                                   .step = rollout::Step::kTrial,
                                   .has_backend = true,
                                   .backend_version = "v2",
                                   .accepts = true,
                                   .slots = 6};
  const rollout::RouteOutcome outcome{
      .route = "read",
      .server = "node-1",
      .is_new = true,
      .counts = {.total = 9, .failed = 4, .slow = 1},
      .window = 7'000'000'000};
  const std::vector<OrderReport> reports = {
      {.report = report,
       .totals = {.first_window = 6'999'999'999, .outcomes = {outcome}}}};
  const auto decoded = DecodeOrderReports(EncodeOrderReports(reports));
  REQUIRE(decoded.has_value());
  REQUIRE(decoded->size() == 1);
  const rollout::NodeReport& read = decoded->front();
  REQUIRE(read.order == report.order);
  REQUIRE(read.slots == report.slots);
  REQUIRE(read.has_totals);
  REQUIRE(read.first_window == 6'999'999'999);
  REQUIRE(read.outcomes.size() == 1);
  REQUIRE(read.outcomes[0].route == "read");
  REQUIRE(read.outcomes[0].server == "node-1");
  REQUIRE(read.outcomes[0].is_new);
  REQUIRE(read.outcomes[0].window == outcome.window);
  REQUIRE(read.outcomes[0].counts.failed == 4);

  const std::vector<rollout::TrialRenewal> renewals = {
      {.service = "acervo", .order = {.era = 2, .version = 5}, .until_ms = 42}};
  REQUIRE(DecodeTrialRenewals(EncodeTrialRenewals(renewals)) == renewals);
  REQUIRE_FALSE(DecodeTrialRenewals("no message").has_value());
  REQUIRE_FALSE(DecodeOrderReports("no message").has_value());
}

}  // namespace oleandertide::sidecar
