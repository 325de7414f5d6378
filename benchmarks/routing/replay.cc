#include "routing/replay.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "core/hash.h"
#include "core/random.h"
#include "routing/endpoint_chooser.h"
#include "routing/event_queue.h"
#include "routing/quarantine.h"
#include "routing/replay_backend.h"
#include "routing/retry_policy.h"

namespace oleandertide::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time until other nodes act on a change of a member: gossip, or the failure
// detection of the design page (declared dead after 3 s, plus dissemination).
constexpr Duration kShortestGossip = milliseconds(200);
constexpr Duration kLongestGossip = milliseconds(1000);
constexpr Duration kShortestDetection = seconds(3);
constexpr Duration kLongestDetection = seconds(5);

constexpr Duration kGossipInterval = milliseconds(500);
constexpr std::size_t kReportsPerGossip = 200;

constexpr Duration kLatencyInDataCentre{100};

// A caller waits this long, more or less by half, before it sends a refused
// request again.
constexpr Duration kCallerDelay = seconds(1);

// What a node has been told about a member.
struct View {
  EndpointState state = EndpointState::kReady;
  std::uint64_t life = 1;
  MonotonicTime ready_since;
};

// A node with the backend server beside it.
struct Node {
  std::size_t service = 0;
  std::string data_centre;
  std::unique_ptr<ReplayBackend> backend;
  std::unique_ptr<EndpointChooser> chooser;
  std::unique_ptr<RetryPolicy> retries;
  std::unique_ptr<Quarantine> quarantine;
  std::vector<View> views;                                   // By node.
  std::vector<std::shared_ptr<const EndpointTable>> tables;  // By service.
  absl::flat_hash_set<std::string> retired_routes;
  int ingress_in_flight = 0;
};

// One request that a caller sent to an ingress.
struct Call {
  const TraceArrivals* arrivals = nullptr;
  std::size_t service = 0;
  Fingerprint fingerprint = 0;
  std::size_t ingress = 0;
  MonotonicTime first_arrival;  // Before any repeat by the caller.
  MonotonicTime deadline;
  int caller_attempt = 1;
  int attempts = 0;
  int runs = 0;
  bool is_marked_as_retry = false;
  bool had_unknown_attempt = false;
  bool is_answered = false;
  std::vector<EndpointId> tried;
};

std::unique_ptr<EndpointChooser> MakeChooser(ChoiceKind kind) {
  switch (kind) {
    case ChoiceKind::kRandom:
      return std::make_unique<EndpointChooser>(
          std::in_place_type<RandomChoice>);
    case ChoiceKind::kRoundRobin:
      return std::make_unique<EndpointChooser>(
          std::in_place_type<RoundRobinChoice>);
    case ChoiceKind::kBetterOfTwo:
      break;
  }
  return std::make_unique<EndpointChooser>();
}

AttemptEnd EndOf(const AttemptResult& result) {
  if (result.outcome == Outcome::kComplete) return AttemptEnd::kCompleted;
  switch (result.reason) {
    case Reason::kDraining:
      return AttemptEnd::kDraining;
    case Reason::kDeadlineInFlight:
      return AttemptEnd::kTimedOut;
    case Reason::kConnectFailed:
    case Reason::kConnectionLost:
    case Reason::kBackendServerDied:
      return AttemptEnd::kFailed;
    default:
      return AttemptEnd::kRefused;
  }
}

class Simulation {
 public:
  Simulation(const Trace& trace, const ReplayOptions& options)
      : trace_(trace), options_(options), random_(trace.header.seed) {
    AddNodes();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (std::size_t s = 0; s < trace_.header.services.size(); ++s) {
        RebuildTable(i, s);
      }
    }
  }

  ReplayResult Run() {
    start_ = events_.now();
    for (const TraceEvent& event : trace_.events) {
      events_.After(event.at, [this, &event] {
        std::visit([this](const auto& what) { Handle(what); }, event.what);
      });
      end_ = start_ + event.at;
    }
    ScheduleGossip();
    events_.Run();
    return Summarize();
  }

 private:
  void AddNodes() {
    const TraceHeader& header = trace_.header;
    for (std::size_t s = 0; s < header.services.size(); ++s) {
      const TraceService& service = header.services[s];
      for (int i = 0; i < service.backend_servers; ++i) {
        AddNode(
            s, service.name + "/" + std::to_string(i),
            header.data_centres[nodes_.size() % header.data_centres.size()]);
      }
    }
    for (Node& node : nodes_) {
      node.views.resize(nodes_.size());
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        node.views[i].ready_since = nodes_[i].backend->up_since();
      }
      node.tables.resize(header.services.size());
    }
  }

  void AddNode(std::size_t service, std::string name, std::string data_centre) {
    const TraceService& description = trace_.header.services[service];
    const std::size_t index = nodes_.size();
    Node& node = nodes_.emplace_back();
    node.service = service;
    node.data_centre = std::move(data_centre);
    node.backend = std::make_unique<ReplayBackend>(
        ReplayBackendOptions{.name = std::move(name),
                             .slots = description.slots,
                             .connections = description.connections,
                             .service_time = description.service_time,
                             .cold_factor = trace_.header.cold_factor,
                             .has_admission = options_.has_admission},
        events_, random_);
    node.backend->set_warm();
    node.backend->set_on_crash([this, index] {
      ++deaths_;
      Die(index);
    });
    node.backend->set_ingress_in_flight(
        [this, index] { return nodes_[index].ingress_in_flight; });
    node.backend->set_on_stopped([this, index](int cut) {
      cut_ += cut;
      Announce(index, EndpointState::kDead, kShortestGossip, kLongestGossip);
    });
    node.chooser = MakeChooser(options_.choice);
    node.retries = options_.has_retry_budget
                       ? std::make_unique<RetryPolicy>()
                       : std::make_unique<RetryPolicy>(
                             std::in_place_type<UnlimitedRetries>);
    node.quarantine = std::make_unique<Quarantine>();
    node_by_name_[node.backend->name()] = index;
  }

  void RebuildTable(std::size_t index, std::size_t service) {
    Node& node = nodes_[index];
    std::vector<Endpoint> endpoints;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].service != service) continue;
      Endpoint endpoint;
      endpoint.id = i;
      endpoint.life = node.views[i].life;
      endpoint.address = nodes_[i].backend->name();
      endpoint.data_centre = nodes_[i].data_centre;
      endpoint.slots = trace_.header.services[service].slots;
      endpoint.state = node.views[i].state;
      endpoint.ready_since = node.views[i].ready_since;
      endpoints.push_back(std::move(endpoint));
    }
    auto& table = node.tables[service];
    table = EndpointTable::Build(std::move(endpoints), node.data_centre,
                                 table.get())
                .value();
  }

  // Tells every node about a change of a member, each after its own delay.
  void Announce(std::size_t member, EndpointState state, Duration shortest,
                Duration longest) {
    const ReplayBackend& backend = *nodes_[member].backend;
    const View view{.state = state,
                    .life = backend.life(),
                    .ready_since = backend.up_since()};
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const Duration delay =
          i == member ? Duration(0) : random_.Between(shortest, longest);
      events_.After(delay, [this, i, member, view] {
        View& known = nodes_[i].views[member];
        if (view.life < known.life) return;
        known = view;
        RebuildTable(i, nodes_[member].service);
      });
    }
  }

  void Handle(const TraceArrivals& arrivals) {
    for (int i = 0; i < arrivals.count; ++i) {
      const Duration delay = random_.Between(Duration(0), arrivals.over);
      events_.After(delay, [this, &arrivals] { Arrive(arrivals); });
    }
  }
  void Handle(const TraceDeath& death) { Die(IndexOf(death.backend_server)); }
  void Handle(const TraceRestart& restart) {
    const std::size_t index = IndexOf(restart.backend_server);
    if (nodes_[index].backend->is_up()) return;
    nodes_[index].backend->Restart();
    Announce(index, EndpointState::kReady, kShortestGossip, kLongestGossip);
  }
  void Handle(const TraceDrain& drain) {
    const std::size_t index = IndexOf(drain.backend_server);
    ReplayBackend& backend = *nodes_[index].backend;
    if (!backend.is_up()) return;
    if (options_.has_drain) {
      backend.StartDrain();
      Announce(index, EndpointState::kDraining, kShortestGossip,
               kLongestGossip);
      return;
    }
    cut_ += static_cast<double>(backend.Kill().size());
    Announce(index, EndpointState::kDead, kShortestDetection,
             kLongestDetection);
  }
  void Handle(const TraceSlow& slow) {
    nodes_[IndexOf(slow.backend_server)].backend->set_slow_factor(slow.factor);
  }
  void Handle(const TracePromotion& promotion) {
    for (Node& node : nodes_) {
      events_.After(random_.Between(Duration(0), promotion.within),
                    [&node, &promotion] {
                      node.retired_routes.insert(promotion.retired_route);
                    });
    }
  }

  std::size_t IndexOf(const std::string& name) const {
    return node_by_name_.at(name);
  }

  void Die(std::size_t index) {
    Node& node = nodes_[index];
    if (!node.backend->is_up()) return;
    const std::vector<Fingerprint> running = node.backend->Kill();
    if (options_.has_quarantine) {
      node.quarantine->RecordCrash(events_.now(), running,
                                   node.backend->name());
    }
    Announce(index, EndpointState::kDead, kShortestDetection,
             kLongestDetection);
  }

  void ScheduleGossip() {
    if (!options_.has_quarantine) return;
    for (Duration at{0}; start_ + at < end_; at += kGossipInterval) {
      events_.After(at, [this] { Gossip(); });
    }
  }

  void Gossip() {
    const MonotonicTime now = events_.now();
    for (Node& node : nodes_) {
      Node& partner = nodes_[random_.Below(nodes_.size())];
      if (&partner == &node) continue;
      partner.quarantine->Merge(
          now, node.quarantine->TakeReports(now, kReportsPerGossip));
      node.quarantine->Merge(
          now, partner.quarantine->TakeReports(now, kReportsPerGossip));
    }
  }

  void Arrive(const TraceArrivals& arrivals) {
    auto call = std::make_shared<Call>();
    call->arrivals = &arrivals;
    call->service = ServiceIndex(arrivals.service);
    call->fingerprint =
        arrivals.is_crashing ? Hash64(arrivals.route) : random_.Next();
    call->first_arrival = events_.now();
    ++arrivals_;
    ++arrivals_of_[arrivals.request_class];
    if (IsLate(*call)) ++late_arrivals_;
    Send(call);
  }

  std::size_t ServiceIndex(std::string_view name) const {
    const auto& services = trace_.header.services;
    return static_cast<std::size_t>(
        std::ranges::find(services, name, &TraceService::name) -
        services.begin());
  }

  // The caller sends the request to a node that is not leaving.
  void Send(const std::shared_ptr<Call>& call) {
    constexpr int kCallerTries = 8;
    call->ingress = random_.Below(nodes_.size());
    for (int i = 0; i < kCallerTries; ++i) {
      if (!nodes_[call->ingress].backend->is_draining()) break;
      call->ingress = random_.Below(nodes_.size());
    }
    call->deadline = events_.now() + call->arrivals->deadline;
    Node& node = nodes_[call->ingress];
    ++node.ingress_in_flight;
    if (node.retired_routes.contains(call->arrivals->route)) {
      return Answer(call, {Outcome::kNotRun, Reason::kRouteRetired});
    }
    if (IsRefusedAt(node, *call)) {
      return Answer(call, {Outcome::kNotRun, Reason::kQuarantined});
    }
    if (!options_.has_admission) {
      events_.At(call->deadline, [this, call] {
        if (call->is_answered) return;
        Answer(call, {Outcome::kUnknown, Reason::kDeadlineInFlight});
      });
    }
    const Endpoint* endpoint = Choose(*call);
    if (endpoint == nullptr) {
      return Answer(call, {Outcome::kNotRun, Reason::kNoBackendServer});
    }
    node.retries->RecordFirstAttempt();
    ++sent_;
    SendAttempt(call, *endpoint);
  }

  bool IsRefusedAt(const Node& node, const Call& call) const {
    return options_.has_quarantine &&
           node.quarantine->IsRefused(events_.now(), call.fingerprint);
  }

  const Endpoint* Choose(const Call& call) {
    Node& node = nodes_[call.ingress];
    return node.chooser->Choose(*node.tables[call.service],
                                {.now = events_.now(), .excluded = call.tried},
                                random_);
  }

  void SendAttempt(const std::shared_ptr<Call>& call,
                   const Endpoint& endpoint) {
    ++attempts_;
    ++call->attempts;
    call->tried.push_back(endpoint.id);
    endpoint.statistics->RecordStart();
    const std::size_t receiver = endpoint.id;
    const Duration latency = LatencyBetween(call->ingress, receiver);

    auto attempt = std::make_shared<ReplayAttempt>();
    attempt->id = ++last_attempt_;
    attempt->fingerprint = call->fingerprint;
    attempt->request_class = call->arrivals->request_class;
    attempt->deadline = call->deadline;
    attempt->is_crashing = call->arrivals->is_crashing;
    attempt->on_start = [call] { ++call->runs; };
    attempt->on_end = [this, call, receiver, latency,
                       statistics = endpoint.statistics,
                       sent = events_.now()](const AttemptResult& result) {
      if (result.outcome == Outcome::kComplete && options_.has_quarantine) {
        nodes_[receiver].quarantine->RecordCompletion(events_.now(),
                                                      call->fingerprint);
      }
      events_.After(latency, [this, call, receiver, statistics, sent, result] {
        const MonotonicTime now = events_.now();
        statistics->RecordEnd(now, now - sent, EndOf(result));
        if (result.reason == Reason::kBackendServerDied) {
          RecordDeathAtIngress(*call, receiver);
        }
        EndAttempt(call, result);
      });
    };
    events_.After(latency, [this, receiver, call, attempt] {
      if (IsRefusedAt(nodes_[receiver], *call)) {
        attempt->on_end({Outcome::kNotRun, Reason::kQuarantined});
        return;
      }
      nodes_[receiver].backend->Offer(attempt);
    });
  }

  // The ingress knows of the death before gossip brings the receiver's report.
  void RecordDeathAtIngress(const Call& call, std::size_t receiver) {
    if (!options_.has_quarantine) return;
    const std::array<Fingerprint, 1> running = {call.fingerprint};
    nodes_[call.ingress].quarantine->RecordCrash(
        events_.now(), running, nodes_[receiver].backend->name());
  }

  Duration LatencyBetween(std::size_t a, std::size_t b) const {
    return nodes_[a].data_centre == nodes_[b].data_centre
               ? kLatencyInDataCentre
               : trace_.header.latency_between_data_centres;
  }

  void EndAttempt(const std::shared_ptr<Call>& call,
                  const AttemptResult& result) {
    if (call->is_answered) return;
    if (result.outcome == Outcome::kComplete) return Answer(call, result);
    const Endpoint* next = Choose(*call);
    const RetryContext question{
        .last = result,
        .request_class = call->arrivals->request_class,
        .attempts = call->attempts,
        .route_is_repeatable = call->arrivals->is_repeatable,
        .is_marked_as_retry = call->is_marked_as_retry,
        .had_unknown_attempt = call->had_unknown_attempt,
        .has_other_endpoint = next != nullptr,
        .now = events_.now(),
        .deadline = call->deadline};
    const RetryDecision decision =
        nodes_[call->ingress].retries->Decide(question);
    if (const auto* give_up = std::get_if<GiveUp>(&decision)) {
      return Answer(call, give_up->result);
    }
    if (result.outcome == Outcome::kUnknown) call->had_unknown_attempt = true;
    call->is_marked_as_retry = std::get<SendAgain>(decision).is_marked_as_retry;
    SendAttempt(call, *next);
  }

  void Answer(const std::shared_ptr<Call>& call, const AttemptResult& result) {
    call->is_answered = true;
    Node& node = nodes_[call->ingress];
    --node.ingress_in_flight;
    node.backend->CheckDrain();
    if (result.outcome == Outcome::kNotRun && call->runs > 0) ++false_not_run_;
    if (!call->arrivals->is_repeatable && call->runs > 1) {
      repeated_runs_ += call->runs - 1;
    }
    if (result.outcome == Outcome::kNotRun &&
        IsWorthRetryingLater(result.reason) &&
        call->caller_attempt < call->arrivals->caller_attempts) {
      return SendLater(*call);
    }
    Count(*call, result);
  }

  static bool IsWorthRetryingLater(Reason reason) {
    return reason != Reason::kRouteRetired && reason != Reason::kQuarantined;
  }

  void SendLater(const Call& call) {
    auto repeat = std::make_shared<Call>();
    repeat->arrivals = call.arrivals;
    repeat->service = call.service;
    repeat->fingerprint = call.fingerprint;
    repeat->first_arrival = call.first_arrival;
    repeat->caller_attempt = call.caller_attempt + 1;
    events_.After(random_.Between(kCallerDelay / 2, kCallerDelay * 3 / 2),
                  [this, repeat] { Send(repeat); });
  }

  bool IsLate(const Call& call) const {
    return call.first_arrival - start_ > (end_ - start_) * 2 / 3;
  }

  void Count(const Call& call, const AttemptResult& result) {
    ++answered_;
    auto& figures = result_.figures;
    ++figures["outcome-" + std::string(OutcomeName(result.outcome))];
    if (result.outcome != Outcome::kComplete) {
      ++figures["reason-" + std::string(ReasonName(result.reason))];
      return;
    }
    ++complete_;
    ++complete_of_[call.arrivals->request_class];
    if (IsLate(call)) ++late_complete_;
    const Duration elapsed = events_.now() - call.first_arrival +
                             2 * trace_.header.latency_to_callers;
    latencies_.push_back(elapsed);
    const auto second =
        static_cast<std::size_t>((events_.now() - start_) / seconds(1));
    auto& per_second = result_.complete_per_second;
    if (per_second.size() <= second) per_second.resize(second + 1);
    ++per_second[second];
  }

  double LatencyAt(double share) {
    if (latencies_.empty()) return 0;
    const auto position = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(latencies_.size() - 1));
    std::nth_element(latencies_.begin(), latencies_.begin() + position,
                     latencies_.end());
    return static_cast<double>(
               latencies_[static_cast<std::size_t>(position)].count()) /
           1000;
  }

  ReplayResult Summarize() {
    const auto share = [](double part, double whole) {
      return whole == 0 ? 1 : part / whole;
    };
    auto& figures = result_.figures;
    figures["arrivals"] = arrivals_;
    figures["complete"] = complete_;
    figures["complete-share"] = share(complete_, arrivals_);
    for (const auto& [request_class, count] : arrivals_of_) {
      const std::string name(RequestClassName(request_class));
      figures[name + "-complete-share"] =
          share(complete_of_[request_class], count);
    }
    figures["late-complete-share"] = share(late_complete_, late_arrivals_);
    figures["attempts-per-request"] = share(attempts_, sent_);
    figures["false-not-run"] = false_not_run_;
    figures["repeated-runs"] = repeated_runs_;
    figures["unanswered"] = arrivals_ - answered_;
    figures["cut"] = cut_;
    figures["deaths"] = deaths_;
    figures["p50-ms"] = LatencyAt(0.5);
    figures["p99-ms"] = LatencyAt(0.99);
    for (const Node& node : nodes_) {
      figures["started-late"] +=
          static_cast<double>(node.backend->started_late());
      figures["RUNS:" + node.backend->name()] =
          static_cast<double>(node.backend->runs());
    }
    return std::move(result_);
  }

  const Trace& trace_;
  ReplayOptions options_;
  RandomSource random_;
  EventQueue events_;
  std::vector<Node> nodes_;
  absl::flat_hash_map<std::string, std::size_t> node_by_name_;
  MonotonicTime start_;
  MonotonicTime end_;
  RequestId last_attempt_ = 0;

  ReplayResult result_;
  std::map<RequestClass, double> arrivals_of_;
  std::map<RequestClass, double> complete_of_;
  std::vector<Duration> latencies_;
  double arrivals_ = 0;
  double late_arrivals_ = 0;
  double answered_ = 0;
  double complete_ = 0;
  double late_complete_ = 0;
  double sent_ = 0;
  double attempts_ = 0;
  double false_not_run_ = 0;
  double repeated_runs_ = 0;
  double cut_ = 0;
  double deaths_ = 0;
};

}  // namespace

ReplayResult Replay(const Trace& trace, const ReplayOptions& options) {
  return Simulation(trace, options).Run();
}

}  // namespace oleandertide::routing
