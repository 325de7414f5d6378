#include "calls/ingress.h"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <random>
#include <utility>

#include "calls/standing_policy.h"
#include "core/hash.h"
#include "core/random.h"
#include "http/server.h"

namespace oleandertide::calls {
namespace {

using routing::HandOver;
using routing::Reason;

constexpr std::string_view kRetryHeader = "Oleandertide-Retry";

Refusal NotRun(Reason reason) {
  return {reason, routing::OutcomeOf(reason, HandOver::kNotReached)};
}

RandomSource& ThreadRandom() {
  thread_local RandomSource random(std::random_device{}());
  return random;
}

routing::RequestClass ToRequestClass(config::RouteClass route_class) {
  switch (route_class) {
    case config::RouteClass::kBooking:
      return routing::RequestClass::kBooking;
    case config::RouteClass::kPayment:
      return routing::RequestClass::kPayment;
    case config::RouteClass::kOrder:
      return routing::RequestClass::kOrder;
    case config::RouteClass::kLookup:
      break;
  }
  return routing::RequestClass::kLookup;
}

RoutePolicy ToPolicy(const config::Route& route) {
  return {route.name, route.service, ToRequestClass(route.route_class),
          route.is_repeatable};
}

std::uint64_t FingerprintOf(const Request& request) {
  return CombineHashes(
      CombineHashes(Hash64(request.method), Hash64(request.target)),
      Hash64(request.body));
}

bool IsMarkedAsRetry(const Request& request) {
  return std::any_of(request.headers.begin(), request.headers.end(),
                     [](const Header& header) {
                       return http::HasSameName(header.name, kRetryHeader);
                     });
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

routing::AttemptEnd ToAttemptEnd(const CallResult& result) {
  const auto* refusal = std::get_if<Refusal>(&result);
  if (refusal == nullptr) return routing::AttemptEnd::kCompleted;
  switch (refusal->reason) {
    case Reason::kQueueFull:
    case Reason::kShed:
    case Reason::kConnectionLimit:
      return routing::AttemptEnd::kRefused;
    case Reason::kDraining:
      return routing::AttemptEnd::kDraining;
    case Reason::kDeadlineInFlight:
    case Reason::kDeadlinePassed:
      return routing::AttemptEnd::kTimedOut;
    case Reason::kConnectFailed:
    case Reason::kConnectionLost:
    case Reason::kBackendServerDied:
    case Reason::kNoBackendServer:
    case Reason::kNodeIsolated:
    case Reason::kNotReady:
      return routing::AttemptEnd::kFailed;
    default:
      return routing::AttemptEnd::kAbandoned;
  }
}

}  // namespace

Ingress::Ingress(Parts parts, const Options& options)
    : parts_(parts),
      own_address_(options.own_address),
      default_timeout_(options.default_timeout),
      retry_policy_(std::in_place_type<routing::BudgetedRetries>,
                    options.not_run_budget, options.unknown_budget),
      next_id_(std::random_device{}()) {}

CallResult Ingress::Handle(Request request, std::optional<Duration> timeout,
                           const std::stop_token& cancelled) {
  parts_.counters.ingress_calls.Add();
  if (!is_accepting_) return Finish(NotRun(Reason::kDraining));
  const RouteResult found = FindRoute(request);
  if (const auto* reason = std::get_if<Reason>(&found)) {
    return Finish(NotRun(*reason));
  }
  const auto& decision = std::get<Decision>(found);
  if (!decision.policy.is_repeatable && request.idempotency_key.empty()) {
    return Finish(NotRun(Reason::kKeyRequired));
  }
  const Duration limit =
      timeout.value_or(decision.timeout.value_or(default_timeout_));
  request.deadline = MonotonicClock::now() + limit;
  return Finish(Forward(decision, std::move(request), "", cancelled));
}

CallResult Ingress::HandleJob(std::string_view job, std::string_view route,
                              std::string idempotency_key,
                              MonotonicTime must_start_before) {
  parts_.counters.ingress_calls.Add();
  Decision decision;
  Request request;
  {
    const config::SnapshotReader reader(parts_.snapshots);
    const config::Snapshot* snapshot = reader.snapshot();
    const bool has_job = snapshot != nullptr && snapshot->job(job) != nullptr;
    const config::Route* found = has_job ? snapshot->route(route) : nullptr;
    if (found == nullptr) return Finish(NotRun(Reason::kRouteRetired));
    decision = {ToPolicy(*found), snapshot->sequence(), found->timeout};
    request.method = config::ToString(found->methods.front());
    request.target = found->path;
  }
  const auto standing = parts_.standing.At(MonotonicClock::now());
  if (const auto reason = ReasonToRefuse(standing, decision.policy)) {
    return Finish(NotRun(*reason));
  }
  request.headers.push_back({"Idempotency-Key", idempotency_key});
  request.headers.push_back({"Oleandertide-Job", std::string(job)});
  request.idempotency_key = std::move(idempotency_key);
  request.deadline = std::min(
      must_start_before,
      MonotonicClock::now() + decision.timeout.value_or(default_timeout_));
  // A due time runs at most once, also on repeatable routes.
  decision.policy.is_repeatable = false;
  return Finish(Forward(decision, std::move(request), job, {}));
}

CallResult Ingress::Finish(CallResult result) {
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    parts_.counters.refusals.Add(refusal->reason);
  } else {
    parts_.counters.completed.Add();
  }
  return result;
}

Ingress::RouteResult Ingress::FindRoute(const Request& request) const {
  const auto standing = parts_.standing.At(MonotonicClock::now());
  const config::SnapshotReader reader(parts_.snapshots);
  const config::Snapshot* snapshot = reader.snapshot();
  if (snapshot == nullptr) return Reason::kNotReady;
  const config::Route* route =
      snapshot->FindRoute(request.method, PathOf(request.target));
  if (route == nullptr) {
    const RoutePolicy any;
    return ReasonToRefuse(standing, any).value_or(Reason::kNoRoute);
  }
  Decision decision{ToPolicy(*route), snapshot->sequence(), route->timeout};
  if (const auto reason = ReasonToRefuse(standing, decision.policy)) {
    return *reason;
  }
  return decision;
}

CallResult Ingress::Forward(const Decision& decision, Request request,
                            std::string_view job,
                            const std::stop_token& cancelled) {
  ++in_flight_;
  const MonotonicTime start = MonotonicClock::now();
  ForwardedRequest forwarded;
  forwarded.id = next_id_++;
  forwarded.sequence = decision.sequence;
  forwarded.policy = decision.policy;
  forwarded.job = job;
  forwarded.fingerprint = FingerprintOf(request);
  forwarded.token = ThreadRandom().Next();
  forwarded.is_retry = IsMarkedAsRetry(request);
  forwarded.request = std::move(request);

  CallResult result = NotRun(Reason::kNoBackendServer);
  const auto table = parts_.endpoints.Find(decision.policy.service);
  if (parts_.quarantine.IsRefused(MonotonicClock::now(),
                                  forwarded.fingerprint)) {
    result = NotRun(Reason::kQuarantined);
  } else if (table) {
    result = SendWithRetries(*table, forwarded, cancelled);
  }
  const MonotonicTime end = MonotonicClock::now();
  parts_.counters.call_latency.Record(end - start, end);
  --in_flight_;
  return result;
}

CallResult Ingress::SendWithRetries(const routing::EndpointTable& table,
                                    ForwardedRequest& request,
                                    const std::stop_token& cancelled) {
  absl::InlinedVector<routing::EndpointId, 4> tried;
  bool had_unknown_attempt = false;
  RandomSource& random = ThreadRandom();
  const routing::Endpoint* endpoint =
      chooser_.Choose(table, {MonotonicClock::now(), tried}, random);
  if (endpoint == nullptr) return NotRun(Reason::kNoBackendServer);
  retry_policy_.RecordFirstAttempt();
  for (;;) {
    CallResult result = SendOnce(*endpoint, request, cancelled);
    const auto* refusal = std::get_if<Refusal>(&result);
    if (refusal == nullptr) return result;
    tried.push_back(endpoint->id);
    const MonotonicTime now = MonotonicClock::now();
    endpoint = chooser_.Choose(table, {now, tried}, random);

    routing::RetryContext question;
    question.last = {refusal->outcome, refusal->reason};
    had_unknown_attempt |= refusal->outcome == routing::Outcome::kUnknown;
    question.had_unknown_attempt = had_unknown_attempt;
    question.request_class = request.policy.request_class;
    question.attempts = static_cast<int>(tried.size());
    question.route_is_repeatable = request.policy.is_repeatable;
    question.is_marked_as_retry = request.is_retry;
    question.has_other_endpoint = endpoint != nullptr;
    question.now = now;
    question.deadline = request.request.deadline;
    const routing::RetryDecision decision = retry_policy_.Decide(question);
    if (const auto* give_up = std::get_if<routing::GiveUp>(&decision)) {
      return Refusal{give_up->result.reason, give_up->result.outcome};
    }
    parts_.counters.retries.Add(refusal->reason);
    request.is_retry =
        std::get<routing::SendAgain>(decision).is_marked_as_retry;
    request.id = next_id_++;
  }
}

CallResult Ingress::SendOnce(const routing::Endpoint& endpoint,
                             const ForwardedRequest& request,
                             std::stop_token cancelled) {
  const MonotonicTime start = MonotonicClock::now();
  endpoint.statistics->RecordStart();
  CallResult result =
      endpoint.address == own_address_
          ? parts_.receiver.Handle(request, std::move(cancelled))
          : parts_.peers.Call(endpoint.address, request, std::move(cancelled));
  const MonotonicTime end = MonotonicClock::now();
  endpoint.statistics->RecordEnd(end, end - start, ToAttemptEnd(result));
  return result;
}

}  // namespace oleandertide::calls
