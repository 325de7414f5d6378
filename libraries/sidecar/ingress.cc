#include "sidecar/ingress.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "core/hash.h"
#include "logging/log.h"
#include "mesh/link_room.h"
#include "platform/http_codec.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {
namespace {

using logging::Level;

// The receiver ends a run soon after its deadline; this is how long its outcome
// may take.
constexpr Duration kOutcomeGrace = std::chrono::milliseconds(110);

// Repeats that a node gets when it stops: a request that it has taken is to be
// answered although its first run was cut. Nodes stop one after the other, so
// this fits into the allowance of the fleet.
constexpr int kStopReserve = 3;

// When to come back if no room is to be expected by itself.
constexpr Duration kAwayRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kQuarantineRetryAfter = std::chrono::seconds(5);

constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kStatusBadGateway = 502;
constexpr std::string_view kHeadMethod = "HEAD";

constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

routing::Fingerprint MakeFingerprint(const Call& call) {
  return CombineHashes(
      CombineHashes(Hash64(call.target), Hash64(call.body.view())),
      CombineHashes(Hash64(call.method), Hash64(call.caller_service)));
}

}  // namespace

struct Ingress::Exchange {
  Exchange(EventLoop& loop, HttpReply reply)
      : reply(std::move(reply)), timer(loop) {}

  HttpReply reply;
  Timer timer;
  Call call;
  // Keeps the route alive while a newer configuration is in force.
  std::shared_ptr<const mesh::Configuration> configuration;
  const mesh::Route* route = nullptr;
  RouteStatistics* statistics = nullptr;
  // Of the organisation, see mesh::OrganisationPolicy.
  double weight = 1;
  // Whether the organisation's share is observed: not that of calls of backend
  // servers, and not without organisations.
  bool has_share = false;
  MonotonicTime arrived;
  MonotonicTime deadline;
  // Nodes that were tried.
  std::vector<std::string> tried;
  int reached = 0;
  int hops = 0;
  // Of these, nodes that refused because they are stopping.
  int stopping_hops = 0;
  bool may_have_run = false;
  // Set while the request waits for the decision on its organisation's limit.
  std::optional<Limits::Stock::Ticket> limit_ticket;
  // Set if a token of the limit was spent.
  std::optional<BootTime> token_expires_at;
  // Answer of a backend server that failed, in case no other one does better.
  std::optional<mesh::Completed> failure;
  // The attempt in progress.
  std::string node;
  CallId attempt = 0;
  bool is_in_progress = false;
  // Order under which it was sent, if there was one, and whether to its
  // version.
  std::optional<StorePosition> order;
  bool is_new_version = false;
  bool is_finished = false;
};

Ingress::Ingress(const Parts& parts, const Options& options)
    : parts_(parts),
      node_(options.node),
      data_centre_(options.data_centre),
      service_(options.service),
      placement_(options.placement),
      bounds_links_(options.bounds_links),
      exposure_(options.max_trial_share),
      retries_(options.retries),
      key_trust_(options.key_trust),
      denial_age_(options.denial_age) {}

Ingress::~Ingress() = default;

bool Ingress::is_configuration_fresh() const {
  return parts_.configuration.confirmation_age(MonotonicClock::now()) <
         denial_age_;
}

void Ingress::BeginStop(const mesh::StopPolicy& policy) {
  stop_ = policy;
  retries_.AddReserve(kStopReserve);
  for (const ExchangePointer& exchange : exchanges_) {
    if (exchange->deadline <= policy.last_deadline()) continue;
    exchange->deadline = policy.last_deadline();
    StartDeadlineTimer(exchange);
  }
}

void Ingress::OnConfigurationChanged() {
  organisation_policy_ =
      mesh::OrganisationPolicy(*parts_.configuration.current());
}

bool Ingress::IsRepeatable(const HttpRequest& request) const {
  const auto& configuration = parts_.configuration.current();
  if (!configuration) return true;
  const mesh::Route* route = configuration->FindRoute(
      View(request[boost::beast::http::field::host]), View(request.target()));
  return route == nullptr || mesh::is_repeatable(route->kind);
}

void Ingress::Refuse(HttpReply& reply, std::string_view request_id,
                     Duration after, int status) {
  reply.Send(
      {.status = status,
       .headers = fmt::format("{}Retry-After: {:.3f}\r\n",
                              platform::EncodeRequestIdLine(request_id),
                              std::chrono::duration<double>(after).count())});
}

bool Ingress::RefuseKey(HttpReply& reply,
                        const platform::ClientRequestHead& head,
                        const mesh::Route& route,
                        const mesh::Organisation* organisation) {
  if (organisation == nullptr && route.is_public) return false;
  const bool is_trusted =
      !key_trust_ ||
      key_trust_->MayHonour(parts_.store_clock,
                            parts_.configuration.confirmed_store_time(),
                            BootClock::now());
  if (organisation != nullptr && is_trusted) return false;
  if (!is_trusted || !is_configuration_fresh()) {
    parts_.metrics.untrusted_keys.Add();
    logging::Log(Level::kWarning, "ingress", "keys are not trusted",
                 {{"request", head.request_id},
                  {"route", route.name},
                  {"version", parts_.configuration.version()}});
    Refuse(reply, head.request_id, kAwayRetryAfter);
    return true;
  }
  parts_.metrics.unknown_keys.Add();
  logging::Log(Level::kInfo, "ingress", "unknown key",
               {{"request", head.request_id},
                {"route", route.name},
                {"has_key", !head.key.empty()},
                {"version", parts_.configuration.version()}});
  reply.Send({.status = kStatusUnauthorized,
              .headers = platform::EncodeRequestIdLine(head.request_id)});
  return true;
}

void Ingress::Handle(const std::shared_ptr<HttpRequest>& request,
                     HttpReply reply) {
  parts_.metrics.requests.Add();
  platform::ClientRequestHead head = platform::DecodeClientRequest(*request);
  if (head.request_id.empty()) {
    reply.Send({.status = kStatusBadRequest});
    return;
  }
  const auto& configuration = parts_.configuration.current();
  if (!configuration) {
    NodeMetrics::At(parts_.metrics.refused, mesh::Reason::kNoConfiguration)
        .Add();
    Refuse(reply, head.request_id, kAwayRetryAfter);
    return;
  }
  const std::string_view host =
      View((*request)[boost::beast::http::field::host]);
  const mesh::Route* route =
      configuration->FindRoute(host, View(request->target()));
  if (route == nullptr) {
    if (!is_configuration_fresh()) {
      Refuse(reply, head.request_id, kAwayRetryAfter);
      return;
    }
    parts_.metrics.unknown_routes.Add();
    logging::Log(Level::kInfo, "ingress", "no route",
                 {{"request", head.request_id},
                  {"host", host},
                  {"target", View(request->target())},
                  {"version", configuration->version}});
    reply.Send({.status = kStatusNotFound,
                .headers = platform::EncodeRequestIdLine(head.request_id)});
    return;
  }
  const mesh::Organisation* organisation = nullptr;
  if (configuration->organisations.empty()) {
    head.headers += head.credentials;
  } else {
    organisation = configuration->keys.Find(head.key);
    if (RefuseKey(reply, head, *route, organisation)) return;
  }
  const mesh::Rank rank =
      organisation_policy_.ChooseRank(*route, organisation, !head.key.empty());
  SharedBody body(std::move(request->body()), reply.TakeBodyCharge());
  auto exchange = std::make_shared<Exchange>(parts_.loop, std::move(reply));
  exchange->arrived = exchange->reply.received_at();
  exchange->configuration = configuration;
  exchange->route = route;
  exchange->statistics = &statistics_[route->path_prefix];
  const Duration limit =
      std::min(head.remaining.value_or(route->timeout), route->timeout);
  exchange->deadline = exchange->arrived + limit;
  bool is_too_late = false;
  if (stop_) {
    const auto deadline = stop_->ChooseDeadline(
        exchange->arrived, MonotonicClock::now(), limit, route->target_latency);
    is_too_late = !deadline.has_value();
    exchange->deadline = deadline.value_or(exchange->deadline);
  }
  exchange->call = {.request_id = std::move(head.request_id),
                    .method = std::string(View(request->method_string())),
                    .target = std::string(View(request->target())),
                    .headers = std::move(head.headers),
                    .body = std::move(body),
                    .caller_service = service_,
                    .organisation = organisation == nullptr
                                        ? std::string()
                                        : organisation->name,
                    .service = service_choice_.Choose(*route, parts_.random),
                    .priority = rank.priority,
                    .is_backend_server_call = rank.is_backend_server_call,
                    .is_repeatable = mesh::is_repeatable(route->kind)};
  exchange->weight = organisation_policy_.ChooseWeight(organisation);
  exchange->has_share =
      organisation_policy_.has_organisations() && !rank.is_backend_server_call;
  exchange->call.fingerprint = MakeFingerprint(exchange->call);
  retries_.RecordRequest(exchange->call.service);
  exchanges_.insert(exchange);
  StartDeadlineTimer(exchange);
  if (is_too_late) {
    GiveUp(exchange, mesh::Reason::kStopping, kAwayRetryAfter);
    return;
  }
  if (parts_.quarantine.IsRefused(exchange->arrived,
                                  exchange->call.fingerprint)) {
    GiveUp(exchange, mesh::Reason::kQuarantined, kQuarantineRetryAfter);
    return;
  }
  if (limits_ != nullptr && organisation != nullptr &&
      organisation->is_limited()) {
    AskLimit(exchange);
  } else {
    Attempt(exchange);
  }
  if (exchange->is_finished) return;
  exchange->reply.set_on_client_left(
      [this, exchange] { OnClientLeft(exchange); });
}

void Ingress::AskLimit(const ExchangePointer& exchange) {
  const auto decision =
      limits_->Request(exchange->call.organisation,
                       [this, exchange](const Limits::Stock::Decision& later) {
                         exchange->limit_ticket.reset();
                         OnLimitDecision(exchange, later);
                       });
  OnLimitDecision(exchange, decision);
}

void Ingress::OnLimitDecision(const ExchangePointer& exchange,
                              const Limits::Stock::Decision& decision) {
  using Stock = Limits::Stock;
  if (const auto* waiting = std::get_if<Stock::Waiting>(&decision)) {
    exchange->limit_ticket = waiting->ticket;
  } else if (const auto* admitted = std::get_if<Stock::Admitted>(&decision)) {
    exchange->token_expires_at = admitted->expires_at;
    Attempt(exchange);
  } else if (const auto* over = std::get_if<Stock::OverLimit>(&decision)) {
    Refuse(exchange->reply, exchange->call.request_id, over->retry_after,
           kStatusTooManyRequests);
    Finish(exchange);
  } else {
    GiveUp(exchange, mesh::Reason::kLimitUnknown, kAwayRetryAfter);
  }
}

void Ingress::EndLimit(const ExchangePointer& exchange) {
  if (limits_ == nullptr) return;
  if (exchange->limit_ticket) {
    limits_->Withdraw(*std::exchange(exchange->limit_ticket, std::nullopt));
  }
  if (exchange->token_expires_at && !exchange->may_have_run) {
    limits_->Refund(exchange->call.organisation,
                    *std::exchange(exchange->token_expires_at, std::nullopt));
  }
}

void Ingress::StartDeadlineTimer(const ExchangePointer& exchange) {
  MonotonicTime answer_by = exchange->deadline + kOutcomeGrace;
  if (stop_) answer_by = std::min(answer_by, stop_->last_answer());
  exchange->timer.Start(answer_by - MonotonicClock::now(),
                        [this, exchange] { OnDeadline(exchange); });
}

std::uint64_t Ingress::StoreTime() const {
  return parts_.store_clock.EarliestNow(BootClock::now()).value_or(0);
}

mesh::Placement::Decision Ingress::Place(
    mesh::Placement::Request request, const std::vector<std::string>& tried) {
  const rollout::OrderState* state =
      parts_.orders == nullptr ? nullptr : parts_.orders->Find(request.service);
  if (state == nullptr) return placement_.Choose(request, tried, parts_.random);
  const std::string& to = state->order.to;
  const bool has_old =
      placement_.has_other_version(request.service, to, state->withheld);
  const bool may_try = parts_.trial_leases->MayTry(*state, StoreTime());
  if (!may_try) parts_.metrics.trial_pauses.Add();
  const auto rule = exposure_.Choose(state, has_old, may_try);
  request.withheld_version = state->withheld;
  if (rule != rollout::VersionRule::kAny) request.version = to;
  request.is_version_excluded = rule == rollout::VersionRule::kOldOnly;
  if (rule == rollout::VersionRule::kNewFirst) {
    request.max_nodes = static_cast<int>(exposure_.ServerLimit(
        *state, placement_.CountAccepting(request.service, to)));
  }
  auto decision = placement_.Choose(request, tried, parts_.random);
  if (rule == rollout::VersionRule::kNewFirst &&
      !std::holds_alternative<mesh::Placement::Choice>(decision)) {
    request.is_version_excluded = true;
    request.max_nodes = 0;
    decision = placement_.Choose(request, tried, parts_.random);
  }
  if (const auto* choice = std::get_if<mesh::Placement::Choice>(&decision)) {
    const std::string_view version = placement_.version(choice->node);
    exposure_.RecordSent(*state, version);
    if (version == to) parts_.metrics.trial_requests.Add();
  }
  return decision;
}

void Ingress::Attempt(const ExchangePointer& exchange) {
  const MonotonicTime now = MonotonicClock::now();
  const mesh::Route& route = *exchange->route;
  Call& call = exchange->call;
  call.remaining = exchange->deadline - now;
  call.expected_run =
      Duration(static_cast<std::int64_t>(exchange->statistics->run_us.value()));
  call.expected_bytes = call.method == kHeadMethod
                            ? 0
                            : static_cast<std::size_t>(
                                  exchange->statistics->answer_bytes.value());
  call.wait_allowance = mesh::ChooseMaxWait(
      {.priority = route.priority,
       .is_backend_server_call = call.is_backend_server_call,
       .target_latency = route.target_latency,
       .elapsed = now - exchange->arrived,
       .remaining = call.remaining,
       .expected_run = call.expected_run});
  // Nothing goes before calls of backend servers.
  if (bounds_links_ && !call.is_backend_server_call) {
    call.link_allowance =
        mesh::ChooseLinkAllowance({.expected_bytes = call.expected_bytes,
                                   .expected_run = call.expected_run,
                                   .target_latency = route.target_latency,
                                   .elapsed = now - exchange->arrived});
  }
  placement_.Update(node_, parts_.receiver.service(),
                    {.is_in_own_data_centre = true}, parts_.receiver.load(),
                    now, parts_.receiver.backend_version());
  mesh::Placement::Request request{
      .service = call.service,
      .priority = call.priority,
      .expected_run = call.expected_run,
      .request_bytes = static_cast<double>(call.body.size()),
      .expected_bytes = static_cast<double>(call.expected_bytes),
      .wait_allowance = call.wait_allowance,
      .link_allowance = call.link_allowance,
      .target_latency = route.target_latency,
      .elapsed = now - exchange->arrived,
      .now = now};
  auto decision = Place(request, exchange->tried);
  if (exchange->has_share) {
    if (std::holds_alternative<mesh::Placement::NoRoom>(decision) &&
        shares_.IsDisplaced(call.organisation, exchange->weight, now)) {
      parts_.metrics.displaced.Add();
      request.is_displaced = true;
      decision = Place(request, exchange->tried);
    }
    if (exchange->hops == 0 &&
        std::holds_alternative<mesh::Placement::Choice>(decision)) {
      shares_.Record(call.organisation, exchange->weight, call.expected_run,
                     now);
    }
  }
  if (const auto* choice = std::get_if<mesh::Placement::Choice>(&decision)) {
    // Another node has no free slot either for a displaced request.
    if (!request.is_displaced) {
      call.wait_allowance =
          mesh::ChooseWaitAllowance(exchange->hops - exchange->stopping_hops,
                                    choice->expected_wait, call.wait_allowance);
    }
    Send(exchange, choice->node);
  } else if (const auto* no_room =
                 std::get_if<mesh::Placement::NoRoom>(&decision)) {
    GiveUp(exchange, mesh::Reason::kNoRoom, no_room->until_room);
  } else {
    GiveUp(exchange, mesh::Reason::kNoBackendServer, kAwayRetryAfter);
  }
}

void Ingress::Send(const ExchangePointer& exchange, const std::string& node) {
  exchange->tried.push_back(node);
  exchange->node = node;
  exchange->is_in_progress = true;
  const rollout::OrderState* order =
      parts_.orders == nullptr ? nullptr
                               : parts_.orders->Find(exchange->call.service);
  exchange->order.reset();
  if (order != nullptr) exchange->order = order->order.position;
  exchange->is_new_version =
      order != nullptr && placement_.version(node) == order->order.to;
  ++exchange->hops;
  const int hop = exchange->hops;
  // The outcome may come before the call returns; a later attempt has then
  // replaced this one.
  const auto on_outcome = [this, exchange](mesh::Outcome outcome) {
    OnOutcome(exchange, std::move(outcome));
  };
  const CallId id = node == node_
                        ? parts_.receiver.Submit(exchange->call, on_outcome)
                        : parts_.links.Send(node, exchange->call, on_outcome);
  if (exchange->hops == hop) exchange->attempt = id;
}

void Ingress::OnOutcome(const ExchangePointer& exchange,
                        mesh::Outcome outcome) {
  if (exchange->is_finished) return;
  exchange->is_in_progress = false;
  CountOutcome(exchange, outcome);
  const auto* not_run = std::get_if<mesh::NotRun>(&outcome);
  const auto* unknown = std::get_if<mesh::Unknown>(&outcome);
  const bool has_reached =
      not_run == nullptr || not_run->has_reached_backend_server;
  if (has_reached) ++exchange->reached;
  if (not_run == nullptr) exchange->may_have_run = true;
  if (not_run != nullptr && not_run->reason == mesh::Reason::kStopping) {
    ++exchange->stopping_hops;
  }
  const mesh::AttemptHistory history{
      .kind = exchange->route->kind,
      .maximum_attempts = exchange->route->maximum_attempts,
      .reached = exchange->reached,
      .hops = exchange->hops - exchange->stopping_hops,
      .remaining = exchange->deadline - MonotonicClock::now(),
      .expected_run = exchange->call.expected_run};
  auto step = mesh::DecideNextStep(history, outcome);
  if (step == mesh::NextStep::kTryAnotherWithinBudget &&
      !retries_.TryTake(exchange->call.service,
                        not_run != nullptr
                            ? mesh::RetryAllowance::RetryKind::kRefused
                            : mesh::RetryAllowance::RetryKind::kRun)) {
    step = mesh::NextStep::kGiveUp;
  }
  mesh::Reason reason = mesh::Reason::kNone;
  if (not_run != nullptr) reason = not_run->reason;
  if (unknown != nullptr) reason = unknown->reason;
  if (auto* completed = std::get_if<mesh::Completed>(&outcome)) {
    if (step == mesh::NextStep::kDeliver) {
      Deliver(exchange, std::move(*completed));
      return;
    }
    exchange->failure = std::move(*completed);
  }
  if (step == mesh::NextStep::kGiveUp) {
    GiveUp(exchange, reason, kAwayRetryAfter);
    return;
  }
  NodeMetrics::At(parts_.metrics.retried, reason).Add();
  Attempt(exchange);
}

void Ingress::CountOutcome(const ExchangePointer& exchange,
                           const mesh::Outcome& outcome) {
  if (!exchange->order) return;
  const rollout::SentRequest sent{.service = exchange->call.service,
                                  .order = *exchange->order,
                                  .route = exchange->route->name,
                                  .server = exchange->node,
                                  .is_new = exchange->is_new_version};
  const std::uint64_t now_ms = StoreTime();
  if (const auto* completed = std::get_if<mesh::Completed>(&outcome)) {
    parts_.outcomes->RecordAnswer(sent, completed->status >= kFirstServerError,
                                  completed->run_time, now_ms);
  } else if (const auto* unknown = std::get_if<mesh::Unknown>(&outcome)) {
    // A lost link or a client that left is no fault of the backend server.
    if (unknown->reason == mesh::Reason::kConnectionLost ||
        unknown->reason == mesh::Reason::kAnswerUnusable ||
        unknown->reason == mesh::Reason::kDeadlinePassed) {
      parts_.outcomes->RecordFailure(sent, now_ms);
    }
  }
}

void Ingress::Deliver(const ExchangePointer& exchange,
                      mesh::Completed completed) {
  const MonotonicTime now = MonotonicClock::now();
  constexpr int kFirstFailure = 400;
  if (completed.status < kFirstFailure) {
    exchange->statistics->run_us.Add(
        static_cast<double>(completed.run_time.count()));
    if (exchange->call.method != kHeadMethod) {
      exchange->statistics->answer_bytes.Add(
          static_cast<double>(completed.body.size()));
    }
  }
  exchange->may_have_run = true;
  // The instance's own backend server is not reached over the link.
  if (!exchange->call.is_backend_server_call) {
    parts_.backlog.Add(now, completed.headers.size() + completed.body.size());
  }
  parts_.metrics.answered.Add();
  parts_.metrics.answer_latency.Record(now - exchange->arrived, now);
  exchange->reply.Send({.status = completed.status,
                        .headers = std::move(completed.headers),
                        .body = std::move(completed.body)});
  Finish(exchange);
}

void Ingress::GiveUp(const ExchangePointer& exchange, mesh::Reason reason,
                     Duration until_room) {
  if (exchange->failure) {
    Deliver(exchange, std::move(*exchange->failure));
    return;
  }
  const Duration elapsed = MonotonicClock::now() - exchange->arrived;
  const int status = !exchange->may_have_run ? kStatusUnavailable
                     : reason == mesh::Reason::kDeadlinePassed
                         ? kStatusGatewayTimeout
                         : kStatusBadGateway;
  NodeMetrics::At(
      exchange->may_have_run ? parts_.metrics.failed : parts_.metrics.refused,
      reason)
      .Add();
  logging::Log(
      Level::kWarning, "ingress",
      exchange->may_have_run ? "outcome unknown" : "refused",
      {{"request", exchange->call.request_id},
       {"route", exchange->route->name},
       {"service", exchange->call.service},
       {"reason", mesh::ToString(reason)},
       {"status", status},
       {"elapsed_ms", ToMilliseconds(elapsed)},
       {"limit_ms", ToMilliseconds(exchange->deadline - exchange->arrived)},
       {"target_ms", ToMilliseconds(exchange->route->target_latency)},
       {"priority", exchange->route->priority},
       {"rank", exchange->call.priority},
       {"organisation", exchange->call.organisation},
       {"until_room_ms", ToMilliseconds(until_room)},
       {"hops", exchange->hops},
       {"reached", exchange->reached},
       {"last_node", exchange->node},
       {"version", exchange->configuration->version}});
  if (status == kStatusUnavailable) {
    Refuse(exchange->reply, exchange->call.request_id,
           mesh::ChooseRetryAfter(until_room, exchange->call.expected_run,
                                  parts_.random.Unit()));
  } else {
    exchange->reply.Send(
        {.status = status,
         .headers = platform::EncodeRequestIdLine(exchange->call.request_id)});
  }
  Finish(exchange);
}

void Ingress::OnDeadline(const ExchangePointer& exchange) {
  if (exchange->is_in_progress) {
    CountOutcome(exchange, mesh::Unknown{mesh::Reason::kDeadlinePassed});
  }
  CancelAttempt(exchange);
  // The cancellation is not confirmed, so the request may run, unless it was
  // never sent.
  if (exchange->hops > 0) exchange->may_have_run = true;
  GiveUp(exchange, mesh::Reason::kDeadlinePassed, Duration::zero());
}

void Ingress::OnClientLeft(const ExchangePointer& exchange) {
  if (exchange->is_finished) return;
  parts_.metrics.clients_left.Add();
  if (exchange->hops > 0) exchange->may_have_run = true;
  CancelAttempt(exchange);
  Finish(exchange);
}

void Ingress::CancelAttempt(const ExchangePointer& exchange) {
  if (!std::exchange(exchange->is_in_progress, false)) return;
  if (exchange->node == node_) {
    parts_.receiver.Cancel(exchange->attempt);
  } else {
    parts_.links.Cancel(exchange->node, exchange->attempt);
  }
}

void Ingress::Finish(const ExchangePointer& exchange) {
  exchange->is_finished = true;
  EndLimit(exchange);
  exchange->timer.Cancel();
  exchanges_.erase(exchange);
}

}  // namespace oleandertide::sidecar
