// Outcomes of calls and the reasons of refusals and failures.

#ifndef OLEANDERTIDE_ROUTING_REASON_H_
#define OLEANDERTIDE_ROUTING_REASON_H_

#include <optional>
#include <span>
#include <string_view>

namespace oleandertide::routing {

// Whether the request of a call was executed, as far as is known.
enum class Outcome {
  kComplete,  // The caller has received the whole answer.
  kNotRun,    // The request was not passed to a backend server.
  kUnknown,   // The request may have run.
};

// Why a call was refused or failed. The order is that of the design page,
// section 4.7. The text names also name the counters in the metrics, so they
// are part of the external interface and must not change.
enum class Reason {
  kNotReady,
  kNodeIsolated,
  kConfigurationUnconfirmed,
  kNoRoute,
  kRouteRetired,
  kConfigurationBehind,
  kKeyRequired,
  kKeyReused,
  kBadRequest,
  kNoBackendServer,
  kQueueFull,
  kShed,
  kDeadlinePassed,
  kDraining,
  kConnectionLimit,
  kConnectFailed,
  kQuarantined,
  kRetryBudgetExhausted,
  kClaimStoreUnavailable,
  kAlreadyRunning,
  kAnswerNotKept,
  kConnectionLost,
  kDeadlineInFlight,
  kCallerGone,
  kBackendServerDied,
};

// Whether a request was handed over before it was refused or failed. Hand-over
// is the point at which the receiver passes the request to the backend server.
enum class HandOver { kNotReached, kReached, kUncertain };

// All functions below are thread-safe and never fail.

// Returns every reason, in the order of the enumeration.
std::span<const Reason> AllReasons();

// Returns the stable text name, for example "queue-full".
std::string_view ReasonName(Reason reason);

// Returns the reason named `name`, or nullopt if there is none.
std::optional<Reason> FindReason(std::string_view name);

// Returns the text name: "complete", "not-run" or "unknown".
std::string_view OutcomeName(Outcome outcome);

// Returns the outcome named `name`, or nullopt if there is none.
std::optional<Outcome> FindOutcome(std::string_view name);

// Returns the outcome of the reason in the table of design page section 4.7.
Outcome DefaultOutcome(Reason reason);

// Returns the outcome of a call that ended with `reason`. It is kNotRun only if
// `hand_over` is kNotReached and no earlier attempt with the same idempotency
// key exists; in all other cases it is kUnknown.
Outcome OutcomeOf(Reason reason, HandOver hand_over);

// Returns the HTTP status for the caller (RFC 9110, RFC 6585, RFC 9209).
int HttpStatus(Reason reason);

// Returns the error type for the Proxy-Status field (RFC 9209 section 2.3).
std::string_view ProxyStatusError(Reason reason);

// Returns true if another backend server may accept a request that one
// receiver refused, or failed to answer, for this reason. Returns false for
// reasons that apply at every receiver (a bad request, a retired route, a
// passed deadline) and for kBackendServerDied.
bool IsWorthRetryingElsewhere(Reason reason);

}  // namespace oleandertide::routing

#endif  // OLEANDERTIDE_ROUTING_REASON_H_
