#include "calls/receiver.h"

#include <array>
#include <optional>
#include <utility>
#include <variant>

#include "calls/standing_policy.h"
#include "http/server.h"
#include "idempotency/claim_record.h"

namespace oleandertide::calls {
namespace {

using routing::HandOver;
using routing::Reason;

Refusal NotRun(Reason reason) {
  return {reason, routing::OutcomeOf(reason, HandOver::kNotReached)};
}

// Response headers worth keeping with the answer to a claimed key.
constexpr std::array<std::string_view, 4> kKeptHeaders = {
    "content-type", "content-encoding", "location", "etag"};

std::optional<idempotency::Answered> ToKept(const Answer& answer) {
  idempotency::Answered kept{answer.status, {}, answer.body};
  for (const Header& header : answer.headers) {
    for (const std::string_view name : kKeptHeaders) {
      if (http::HasSameName(header.name, name)) {
        kept.headers.emplace_back(header.name, header.value);
      }
    }
  }
  if (idempotency::AnswerBytes(kept) > idempotency::kMaximumAnswerBytes)
    return std::nullopt;
  return kept;
}

// Turns a claim that was not granted into the result of the call.
struct ClaimRefusal {
  CallResult operator()(const idempotency::Granted& /*result*/) const {
    return NotRun(Reason::kClaimStoreUnavailable);
  }
  CallResult operator()(const idempotency::Answered& result) const {
    Answer answer{result.status, {}, result.body};
    for (const auto& [name, value] : result.headers) {
      answer.headers.push_back({name, value});
    }
    answer.headers.push_back({"Oleandertide-Replayed", "true"});
    return answer;
  }
  CallResult operator()(const idempotency::AlreadyRunning& /*result*/) const {
    return NotRun(Reason::kAlreadyRunning);
  }
  CallResult operator()(const idempotency::AnswerNotKept& /*result*/) const {
    return NotRun(Reason::kAnswerNotKept);
  }
  CallResult operator()(const idempotency::KeyReused& /*result*/) const {
    return NotRun(Reason::kKeyReused);
  }
  CallResult operator()(const idempotency::StoreUnavailable& /*result*/) const {
    return NotRun(Reason::kClaimStoreUnavailable);
  }
};

}  // namespace

class Receiver::InFlight {
 public:
  explicit InFlight(std::atomic<int>& count) : count_(count) { ++count_; }
  ~InFlight() { --count_; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  std::atomic<int>& count_;
};

CallResult Receiver::Handle(const ForwardedRequest& request,
                            std::stop_token cancelled) {
  const InFlight in_flight(in_flight_);
  CallResult result = Run(request, std::move(cancelled));
  if (const auto* refusal = std::get_if<Refusal>(&result)) {
    parts_.counters.receiver_refusals.Add(refusal->reason);
  }
  return result;
}

CallResult Receiver::Run(const ForwardedRequest& request,
                         std::stop_token cancelled) {
  if (!is_accepting_) return NotRun(Reason::kDraining);
  if (const auto reason = Fence(request)) return NotRun(*reason);
  const auto session = parts_.backend_server.session();
  if (!session || session->announcement().service != request.policy.service) {
    return NotRun(Reason::kNoBackendServer);
  }
  if (parts_.quarantine.IsRefused(MonotonicClock::now(), request.fingerprint)) {
    return NotRun(Reason::kQuarantined);
  }
  auto entry = session->gate().Enter(request.policy.request_class,
                                     request.request.deadline, cancelled);
  if (const auto* reason = std::get_if<Reason>(&entry)) return NotRun(*reason);
  return RunAdmitted(*session, request, std::move(cancelled));
}

CallResult Receiver::RunAdmitted(backend_servers::Session& session,
                                 const ForwardedRequest& request,
                                 std::stop_token cancelled) {
  if (request.policy.is_repeatable) {
    return HandOver(session, request, std::move(cancelled));
  }
  return RunClaimed(session, request, std::move(cancelled));
}

CallResult Receiver::RunClaimed(backend_servers::Session& session,
                                const ForwardedRequest& request,
                                std::stop_token cancelled) {
  const ClaimOutcome outcome =
      parts_.claims.Claim(request.request.idempotency_key, request.fingerprint,
                          request.token, request.request.deadline);
  if (!std::holds_alternative<idempotency::Granted>(outcome.result)) {
    if (std::holds_alternative<idempotency::Answered>(outcome.result)) {
      parts_.counters.replayed.Add();
    }
    return std::visit(ClaimRefusal{}, outcome.result);
  }
  CallResult result = HandOver(session, request, std::move(cancelled));
  if (const auto* answer = std::get_if<Answer>(&result)) {
    parts_.claims.Complete(outcome.claim, ToKept(*answer));
  } else if (std::get<Refusal>(result).outcome == routing::Outcome::kNotRun) {
    parts_.claims.Release(outcome.claim);
  } else {
    parts_.claims.Complete(outcome.claim, std::nullopt);
  }
  return result;
}

CallResult Receiver::HandOver(backend_servers::Session& session,
                              const ForwardedRequest& request,
                              std::stop_token cancelled) {
  if (const auto reason = Fence(request)) return NotRun(*reason);
  if (cancelled.stop_requested()) return NotRun(Reason::kCallerGone);
  if (MonotonicClock::now() >= request.request.deadline) {
    return NotRun(Reason::kDeadlinePassed);
  }
  parts_.counters.handed_over.Add();
  CallResult result = session.Send(request, std::move(cancelled));
  if (std::holds_alternative<Answer>(result)) {
    parts_.quarantine.RecordCompletion(MonotonicClock::now(),
                                       request.fingerprint);
  }
  if (session.is_dead()) ReportDeath(session);
  return result;
}

std::optional<Reason> Receiver::Fence(const ForwardedRequest& request) const {
  const auto standing = parts_.standing.At(MonotonicClock::now());
  const config::SnapshotReader reader(parts_.snapshots);
  const config::Snapshot* snapshot = reader.snapshot();
  if (snapshot == nullptr) return Reason::kNotReady;
  if (const auto reason = ReasonToRefuse(standing, request.policy)) {
    return reason;
  }
  // The newer of the two configurations decides. A sender that is ahead has
  // already checked the route against the accepted document.
  if (request.sequence >= snapshot->sequence()) return std::nullopt;
  parts_.counters.senders_behind.Add();
  const config::Route* route = snapshot->route(request.policy.route);
  // The calls of jobs are never repeated, whatever their route says.
  const bool is_same_route =
      route != nullptr && route->service == request.policy.service &&
      (!request.job.empty() ||
       route->is_repeatable == request.policy.is_repeatable);
  if (!is_same_route) return Reason::kRouteRetired;
  if (!request.job.empty() && snapshot->job(request.job) == nullptr) {
    return Reason::kRouteRetired;
  }
  return std::nullopt;
}

void Receiver::ReportDeath(backend_servers::Session& session) {
  const auto suspects = session.TakeSuspects();
  if (suspects.empty()) return;
  parts_.quarantine.RecordCrash(MonotonicClock::now(), suspects,
                                session.announcement().address.ToString());
}

}  // namespace oleandertide::calls
