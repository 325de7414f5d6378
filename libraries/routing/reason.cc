#include "routing/reason.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace oleandertide::routing {
namespace {

// backend-server-died is not retried on another backend server: if the request
// caused the crash, the retry would crash a second backend server before the
// report of the first crash reaches the other nodes.
struct ReasonRow {
  Reason reason;
  std::string_view name;
  Outcome outcome;
  int http_status;
  std::string_view proxy_status_error;
  bool is_worth_retrying_elsewhere;
};

constexpr Outcome kNotRun = Outcome::kNotRun;
constexpr Outcome kUnknown = Outcome::kUnknown;

// HTTP status codes that need an explanation:
// - quarantined is 429: the caller repeats a request that crashes backend
//   servers, and should stop instead of retrying soon.
// - connect-failed, connection-lost and backend-server-died are 502, which RFC
//   9209 recommends for connection_refused and connection_terminated.
// - caller-gone is 499, which is not registered. The caller has disconnected
// and
//   does not receive it; any other client treats it as 400 (RFC 9110 section
//   15). 408 would allow the client to repeat a request of unknown outcome.
constexpr auto kRows = std::to_array<ReasonRow>({
    {Reason::kNotReady, "not-ready", kNotRun, 503, "destination_unavailable",
     true},
    {Reason::kNodeIsolated, "node-isolated", kNotRun, 503,
     "destination_unavailable", true},
    {Reason::kConfigurationUnconfirmed, "configuration-unconfirmed", kNotRun,
     503, "destination_unavailable", true},
    {Reason::kNoRoute, "no-route", kNotRun, 404, "destination_not_found",
     false},
    {Reason::kRouteRetired, "route-retired", kNotRun, 410,
     "destination_not_found", false},
    {Reason::kConfigurationBehind, "configuration-behind", kNotRun, 503,
     "proxy_configuration_error", true},
    {Reason::kKeyRequired, "key-required", kNotRun, 400, "http_request_error",
     false},
    {Reason::kKeyReused, "key-reused", kNotRun, 422, "http_request_denied",
     false},
    {Reason::kBadRequest, "bad-request", kNotRun, 400, "http_request_error",
     false},
    {Reason::kNoBackendServer, "no-backend-server", kNotRun, 503,
     "destination_unavailable", true},
    {Reason::kQueueFull, "queue-full", kNotRun, 503, "destination_unavailable",
     true},
    {Reason::kShed, "shed", kNotRun, 503, "destination_unavailable", true},
    {Reason::kDeadlinePassed, "deadline-passed", kNotRun, 504,
     "connection_timeout", false},
    {Reason::kDraining, "draining", kNotRun, 503, "destination_unavailable",
     true},
    {Reason::kConnectionLimit, "connection-limit", kNotRun, 503,
     "connection_limit_reached", true},
    {Reason::kConnectFailed, "connect-failed", kNotRun, 502,
     "connection_refused", true},
    {Reason::kQuarantined, "quarantined", kNotRun, 429, "http_request_denied",
     false},
    {Reason::kRetryBudgetExhausted, "retry-budget-exhausted", kNotRun, 503,
     "destination_unavailable", false},
    {Reason::kClaimStoreUnavailable, "claim-store-unavailable", kNotRun, 503,
     "proxy_internal_error", false},
    {Reason::kAlreadyRunning, "already-running", kUnknown, 409,
     "http_request_denied", false},
    {Reason::kAnswerNotKept, "answer-not-kept", kUnknown, 409,
     "http_request_denied", false},
    {Reason::kConnectionLost, "connection-lost", kUnknown, 502,
     "connection_terminated", true},
    {Reason::kDeadlineInFlight, "deadline-in-flight", kUnknown, 504,
     "http_response_timeout", false},
    {Reason::kCallerGone, "caller-gone", kUnknown, 499, "connection_terminated",
     false},
    {Reason::kBackendServerDied, "backend-server-died", kUnknown, 502,
     "connection_terminated", false},
});

constexpr auto kReasons = [] {
  std::array<Reason, kRows.size()> reasons{};
  for (std::size_t i = 0; i < kRows.size(); ++i) reasons[i] = kRows[i].reason;
  return reasons;
}();

constexpr bool RowsMatchEnumerationOrder() {
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    if (static_cast<std::size_t>(kRows[i].reason) != i) return false;
  }
  return kRows.back().reason == Reason::kBackendServerDied;
}
static_assert(RowsMatchEnumerationOrder());

constexpr const ReasonRow& RowOf(Reason reason) {
  return kRows[static_cast<std::size_t>(reason)];
}

constexpr std::array kOutcomes = {Outcome::kComplete, Outcome::kNotRun,
                                  Outcome::kUnknown};

}  // namespace

std::span<const Reason> AllReasons() { return kReasons; }

std::string_view ReasonName(Reason reason) { return RowOf(reason).name; }

std::optional<Reason> FindReason(std::string_view name) {
  const auto* const row = std::ranges::find(kRows, name, &ReasonRow::name);
  if (row == kRows.end()) return std::nullopt;
  return row->reason;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

std::optional<Outcome> FindOutcome(std::string_view name) {
  const auto* const outcome = std::ranges::find(kOutcomes, name, OutcomeName);
  if (outcome == kOutcomes.end()) return std::nullopt;
  return *outcome;
}

Outcome DefaultOutcome(Reason reason) { return RowOf(reason).outcome; }

Outcome OutcomeOf(Reason reason, HandOver hand_over) {
  if (hand_over != HandOver::kNotReached) return Outcome::kUnknown;
  const bool earlier_attempt_exists =
      reason == Reason::kAlreadyRunning || reason == Reason::kAnswerNotKept;
  return earlier_attempt_exists ? Outcome::kUnknown : Outcome::kNotRun;
}

int HttpStatus(Reason reason) { return RowOf(reason).http_status; }

std::string_view ProxyStatusError(Reason reason) {
  return RowOf(reason).proxy_status_error;
}

bool IsWorthRetryingElsewhere(Reason reason) {
  return RowOf(reason).is_worth_retrying_elsewhere;
}

}  // namespace oleandertide::routing
