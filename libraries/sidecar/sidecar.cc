#include "sidecar/sidecar.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

#include "core/hash.h"
#include "core/process_limits.h"
#include "core/random.h"
#include "logging/log.h"
#include "mesh/configuration_holder.h"
#include "mesh/link_backlog.h"
#include "mesh/stop_policy.h"
#include "platform/announcement_codec.h"
#include "platform/names.h"
#include "rollout/order_book.h"
#include "rollout/outcome_collector.h"
#include "rollout/trial_leases.h"
#include "rollout/version_gate.h"
#include "routing/quarantine.h"
#include "sidecar/byte_budget.h"
#include "sidecar/configuration_source.h"
#include "sidecar/coordination.h"
#include "sidecar/http_server.h"
#include "sidecar/ingress.h"
#include "sidecar/limits.h"
#include "sidecar/link_client.h"
#include "sidecar/link_server.h"
#include "sidecar/member_directory.h"
#include "sidecar/node_metrics.h"
#include "sidecar/receiver.h"
#include "sidecar/rollouts.h"
#include "sidecar/store_client.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {
namespace {

using logging::Level;
using mesh::FeatureMode;

// Crash reports in one status: those of a backend server's death with all its
// slots busy.
constexpr std::size_t kReportsInStatus = 16;

// How often a stopping node looks whether it may end.
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);

// A node that has just started learns of others by the store, and so do those
// that start with it.
constexpr Duration kJoinTime = std::chrono::seconds(3);

// See Ingress::Options::denial_age. Never more than the time in which nodes
// have to act on a configuration.
constexpr Duration kMaxDenialAge = std::chrono::seconds(2);

constexpr double kBytesPerKb = 1000;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;

constexpr std::string_view kJsonLine = "Content-Type: application/json\r\n";
constexpr std::string_view kMetricsLine =
    "Content-Type: text/plain; version=0.0.4\r\n";

std::string_view Target(const HttpRequest& request) {
  return {request.target().data(), request.target().size()};
}

std::optional<organisations::KeyTrust> MakeKeyTrust(
    const mesh::Deployment& deployment) {
  if (!deployment.closes_stale_keys) return std::nullopt;
  return organisations::KeyTrust(deployment.revocation_limit);
}

// Of an eighth to a quarter of the descriptors: links in both directions, the
// backend server's connections (560 at most) and the store.
constexpr std::size_t kReservedPart = 4;
constexpr std::size_t kLeastReserved = 64;

// Connections at each address that is not for clients: one backend server, one
// supervisor and a few operators use them.
constexpr std::size_t kOtherConnections = 16;
constexpr std::size_t kOtherServers = 3;

// Heartbeats have less than 1 kB; other addresses take no body.
constexpr std::size_t kMaxAnnouncementBytes = std::size_t{64} << 10U;
constexpr std::size_t kMaxUnusedBodyBytes = 1024;

ByteBudget::Options MakeBudgetOptions(const SidecarSettings& settings) {
  ByteBudget::Options options = ByteBudget::ForMemory(settings.node.memory_mb);
  if (settings.edge.buffer_mb > 0) {
    constexpr std::size_t kMegabyte = 1'000'000;
    options.capacity =
        static_cast<std::size_t>(settings.edge.buffer_mb) * kMegabyte;
    options.reserve = options.capacity / ByteBudget::kReservePart;
  }
  options.client_share = settings.edge.client_share_percent / 100;
  options.stall_limit = settings.edge.stall_limit;
  return options;
}

// Returns how many connections clients may have open; 0 is no bound.
std::size_t MaxClientConnections(const SidecarSettings& settings) {
  if (settings.edge.max_connections > 0) {
    return static_cast<std::size_t>(settings.edge.max_connections);
  }
  if (settings.node.descriptors <= 0) return 0;
  const auto all = static_cast<std::size_t>(settings.node.descriptors);
  const std::size_t others = std::max(all / kReservedPart, kLeastReserved) +
                             kOtherServers * kOtherConnections;
  return all > others ? all - others : 1;
}

std::size_t MaxUnreadBytes(const SidecarSettings& settings) {
  if (settings.edge.unread_mb == 0) {
    return ByteBudget::UnreadBytesForMemory(settings.node.memory_mb);
  }
  constexpr std::size_t kMegabyte = 1'000'000;
  return static_cast<std::size_t>(settings.edge.unread_mb) * kMegabyte;
}

void LogWarnings(const SidecarSettings& settings) {
  for (const config::Diagnostic& value : settings.ignored) {
    logging::Log(Level::kWarning, "node", "setting ignored",
                 {{"why", config::ToString(value)}});
  }
  for (const std::string& warning : settings.FindWarnings()) {
    logging::Log(Level::kWarning, "node", "settings cannot work",
                 {{"why", warning}});
  }
}

// Whether the feature may come in force while the process runs.
bool IsPossible(FeatureMode mode) { return mode != FeatureMode::kOff; }

std::uint64_t MakeSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace

class Sidecar::Parts {
 public:
  Parts(EventLoop& loop, const SidecarSettings& settings,
        Tcp::endpoint backend_server, Tcp::endpoint store)
      : loop_(loop),
        settings_(settings),
        random_(MakeSeed()),
        identity_{.name = settings.node.name,
                  .data_centre = settings.node.data_centre,
                  .address = settings.listen.advertised(),
                  .service = settings.node.service,
                  .link_mbps = std::max<std::uint32_t>(
                      1, static_cast<std::uint32_t>(settings.node.link_mbps))},
        started_at_(MonotonicClock::now()),
        budget_(MakeBudgetOptions(settings)),
        version_gate_({.expects_orders =
                           settings.deployment.rollouts == FeatureMode::kOn}),
        receiver_(loop,
                  {.backend_server = std::move(backend_server),
                   .standing = {.requires_verification =
                                    !settings.node.is_first_start,
                                .drain_fence = settings.drain.fence},
                   .backend_address = settings.backend.address.ToString(),
                   .learns_room = settings.pace.learns_room,
                   .measures_pace = settings.pace.measures_speed,
                   .max_answer_bytes =
                       static_cast<std::size_t>(settings.backend.max_answer_kb)
                       << 10U,
                   .budget = &budget_},
                  quarantine_, metrics_),
        backlog_(settings.node.link_mbps),
        links_(loop, identity_, random_, backlog_, MakeLinkCallbacks()),
        ingress_(
            {.loop = loop,
             .receiver = receiver_,
             .links = links_,
             .configuration = holder_,
             .quarantine = quarantine_,
             .metrics = metrics_,
             .random = random_,
             .store_clock = store_clock_,
             .backlog = backlog_,
             .orders =
                 IsPossible(settings.deployment.rollouts) ? &orders_ : nullptr,
             .outcomes = &outcomes_,
             .trial_leases = &trial_leases_},
            {.node = identity_.name,
             .data_centre = identity_.data_centre,
             .service = settings.node.service,
             .retries = {.ratio = settings.retries.ratio_percent / 100,
                         .run_ratio = settings.retries.run_ratio_percent / 100,
                         .max_saved_retries =
                             static_cast<double>(settings.retries.saved)},
             .placement = {.crossing_cost_per_byte =
                               settings.placement.crossing_cost_percent / 100 /
                               kBytesPerKb,
                           .sample =
                               static_cast<int>(settings.placement.sample),
                           .sample_from = static_cast<int>(
                               settings.placement.sample_from)},
             .bounds_links = settings.placement.bounds_links,
             .key_trust = MakeKeyTrust(settings.deployment),
             .max_trial_share = settings.deployment.exposure_share,
             .denial_age = std::min(kMaxDenialAge,
                                    settings.deployment.configuration_limit)}),
        store_(loop, std::move(store), settings.store.address.ToString(),
               metrics_, store_clock_),
        source_({.loop = loop,
                 .store = store_,
                 .holder = holder_,
                 .metrics = metrics_,
                 .random = random_,
                 .clock = store_clock_,
                 .orders = IsPossible(settings.deployment.rollouts) ? &orders_
                                                                    : nullptr},
                identity_, settings.node.is_first_start,
                [this] { OnConfigurationChanged(); }),
        members_(loop, store_, random_, identity_, settings.node.is_first_start,
                 [this](const NodeIdentity& node) { links_.Learn(node); }),
        coordination_({.loop = loop,
                       .store = store_,
                       .links = links_,
                       .random = random_,
                       .clock = store_clock_},
                      identity_, fmt::format("{:016x}", random_.Next()),
                      settings.node.is_first_start),
        rollouts_({.loop = loop,
                   .store = store_,
                   .coordination = coordination_,
                   .receiver = receiver_,
                   .orders = orders_,
                   .outcomes = outcomes_,
                   .trial_leases = trial_leases_,
                   .clock = store_clock_,
                   .metrics = metrics_},
                  settings.deployment, [this] { OnOrdersChanged(); }),
        stop_timer_(loop) {
    links_.set_budget(&budget_);
    store_.set_budget(&budget_);
    if (!IsPossible(settings.deployment.limits)) return;
    limits_.emplace(
        Limits::Parts{.loop = loop,
                      .coordination = coordination_,
                      .configuration = holder_,
                      .metrics = metrics_,
                      .random = random_,
                      .store_clock = store_clock_},
        Limits::Options{.configuration_limit =
                            settings.deployment.configuration_limit});
    ingress_.set_limits(&*limits_);
  }

  Result<void> Start() {
    LogWarnings(settings_);
    const auto& listen = settings_.listen;
    OLEANDERTIDE_TRY(
        link_server,
        LinkServer::Create(
            loop_, listen.peers, identity_.data_centre, receiver_, backlog_,
            {.on_hello =
                 [this](const NodeIdentity& node) { OnMemberTold(node); },
             .make_status = [this] { return MakeStatus(); },
             .make_update = [this](std::uint64_t version)
                 -> std::optional<mesh::ConfigurationUpdate> {
               if (!holder_.current()) return std::nullopt;
               return holder_.MakeUpdateSince(version);
             },
             .on_coordination =
                 [this](const std::string& node,
                        const CoordinationMessage& message) {
                   coordination_.OnReport(node, message);
                 }}));
    link_server_ = std::move(link_server);
    link_server_->set_budget(&budget_);
    receiver_.set_on_standing_changed([this] {
      link_server_->Broadcast();
      // A backend server that has just started waits for the orders.
      source_.ReadOrders();
    });
    source_.set_links(links_);
    if (IsPossible(settings_.deployment.rollouts)) WatchOrders();
    OLEANDERTIDE_TRY(clients,
                     HttpServer::Create(
                         loop_, listen.clients,
                         [this](const std::shared_ptr<HttpRequest>& request,
                                HttpReply reply) {
                           ingress_.Handle(request, std::move(reply));
                         },
                         [this](const HttpRequest& request) {
                           return ingress_.IsRepeatable(request);
                         }));
    clients_ = std::move(clients);
    clients_->set_bounds(
        {.budget = &budget_,
         .max_connections = MaxClientConnections(settings_),
         .max_unread_bytes = MaxUnreadBytes(settings_),
         .least_body_bytes =
             static_cast<std::size_t>(settings_.edge.least_body_kb) << 10U,
         .least_body_window = settings_.edge.least_body_window});
    OLEANDERTIDE_TRY(
        readiness,
        HttpServer::Create(loop_, listen.readiness,
                           [this](const std::shared_ptr<HttpRequest>& request,
                                  HttpReply reply) {
                             OnReadinessCheck(*request, std::move(reply));
                           }));
    readiness_ = std::move(readiness);
    BoundOther(*readiness_, kMaxUnusedBodyBytes);
    OLEANDERTIDE_TRY(
        announcements,
        HttpServer::Create(loop_, listen.announcements,
                           [this](const std::shared_ptr<HttpRequest>& request,
                                  HttpReply reply) {
                             OnAnnouncement(*request, std::move(reply));
                           }));
    announcements_ = std::move(announcements);
    BoundOther(*announcements_, kMaxAnnouncementBytes);
    if (!listen.metrics.ip.empty()) {
      OLEANDERTIDE_CHECK(StartMetricsServer());
    }
    source_.Start();
    members_.Start();
    if (IsPossible(settings_.deployment.rollouts)) rollouts_.Start();
    StartCoordinationIfNeeded();
    return Success();
  }

  void Reload(const SidecarSettings& settings) {
    logging::Log(Level::kInfo, "node", "settings reloaded",
                 {{"service", settings.node.service},
                  {"service_before", settings_.node.service}});
    ingress_.set_service(settings.node.service);
    settings_.node.service = settings.node.service;
    LogWarnings(settings);
    if (!stopping_since_) settings_.drain = settings.drain;
  }

  void Stop() {
    if (stopping_since_) return;
    stopping_since_ = MonotonicClock::now();
    clients_->set_closing(true);
    stop_.emplace(*stopping_since_,
                  mesh::StopPolicy::Options{
                      .announce_time = settings_.drain.announce_time,
                      .deadline = settings_.drain.deadline});
    ingress_.BeginStop(*stop_);
    receiver_.BeginStop(*stop_);
    coordination_.Stop();
    logging::Log(Level::kInfo, "node", "stopping",
                 {{"standing", mesh::ToString(receiver_.standing())}});
    CheckStop();
  }

 private:
  Result<void> StartMetricsServer() {
    OLEANDERTIDE_TRY(
        server, HttpServer::Create(
                    loop_, settings_.listen.metrics,
                    [this](const std::shared_ptr<HttpRequest>& /*request*/,
                           HttpReply reply) {
                      UpdateGauges();
                      reply.Send({.status = kStatusOk,
                                  .headers = std::string(kMetricsLine),
                                  .body = metrics_.registry.ToPrometheusText(
                                      MonotonicClock::now())});
                    }));
    metrics_server_ = std::move(server);
    BoundOther(*metrics_server_, kMaxUnusedBodyBytes);
    return Success();
  }

  // Bounds an address that is not for clients.
  void BoundOther(HttpServer& server, std::size_t max_body_bytes) {
    server.set_limits({.maximum_body_bytes = max_body_bytes});
    server.set_bounds({.max_connections = settings_.node.descriptors > 0
                                              ? kOtherConnections
                                              : 0});
  }

  LinkClient::Callbacks MakeLinkCallbacks() {
    return {
        .on_status =
            [this](const NodeIdentity& node, const NodeStatus& status) {
              OnPeerStatus(node, status);
            },
        .on_load =
            [this](const std::string& node, const mesh::BackendLoad& load) {
              ingress_.placement().UpdateLoad(node, load,
                                              MonotonicClock::now());
            },
        .on_lost =
            [this](const std::string& node) {
              ingress_.placement().Remove(node);
            },
        .on_configuration =
            [this](const mesh::ConfigurationUpdate& update) {
              source_.OnUpdate(update);
            },
        .on_member = [this](const NodeIdentity& node) { OnMemberTold(node); },
        .on_coordination =
            [this](const std::string& node,
                   const CoordinationMessage& message) {
              coordination_.OnMessage(node, message);
            }};
  }

  // Passes on what is new, so that a node that joins is known everywhere.
  void OnMemberTold(const NodeIdentity& node) {
    if (!links_.Learn(node)) return;
    if (MonotonicClock::now() - started_at_ < kJoinTime) return;
    link_server_->Forward(node);
  }

  void OnPeerStatus(const NodeIdentity& node, const NodeStatus& status) {
    // Before the load: a node that accepts requests for a version on trial
    // tells of the order in the same message.
    if (IsPossible(settings_.deployment.rollouts)) MergeOrders(status);
    ingress_.placement().Update(
        node.name, status.service,
        {.is_in_own_data_centre = node.data_centre == identity_.data_centre,
         .link_mbps = static_cast<double>(
             std::min(node.link_mbps, identity_.link_mbps))},
        status.load, MonotonicClock::now(), status.backend_version);
    if (!status.crash_reports.empty()) {
      quarantine_.Merge(MonotonicClock::now(), status.crash_reports);
    }
    source_.OnPeerStatus(node, status);
    coordination_.OnHolderTold(status.coordinator);
  }

  // Holds the backend server back while its version may be on trial.
  void WatchOrders() {
    receiver_.set_may_accept([this](const mesh::Announcement& backend) {
      const BootTime now = BootClock::now();
      version_gate_.OnBackend({.id = backend.id,
                               .service = backend.service,
                               .version = backend.version,
                               .started_at_ms = backend.started_at_ms},
                              now);
      return version_gate_.MayAccept(orders_.Find(backend.service), now);
    });
    source_.set_on_orders(
        {.on_read =
             [this](BootTime sent_at) {
               version_gate_.OnConfirmed(sent_at);
               OnOrdersChanged();
             },
         .needs_read = [this] { return version_gate_.needs_confirmation(); }});
  }

  void MergeOrders(const NodeStatus& status) {
    if (status.load.slots > 0 && !status.backend_version.empty()) {
      version_gate_.OnOtherVersion(status.service, status.backend_version);
    }
    AdvanceOrders();
    bool is_changed = false;
    for (const rollout::OrderState& state : status.rollouts) {
      is_changed |= orders_.Merge(state);
    }
    if (is_changed) OnOrdersChanged();
  }

  // Ends the effect of orders whose time is over.
  void AdvanceOrders() {
    if (const auto now = store_clock_.EarliestNow(BootClock::now())) {
      orders_.Advance(*now);
    }
  }

  // Orders or what is known of them may have changed.
  void OnOrdersChanged() {
    AdvanceOrders();
    StartCoordinationIfNeeded();
    auto states = orders_.states();
    const bool accepts = receiver_.load().accepts_requests;
    if (states == told_orders_ && accepts == told_accepts_) return;
    told_orders_ = std::move(states);
    if (accepts != told_accepts_) {
      logging::Log(Level::kInfo, "rollout",
                   accepts ? "backend server may take requests"
                           : "backend server is held back",
                   {{"service", receiver_.service()},
                    {"version", receiver_.backend_version()}});
    }
    told_accepts_ = accepts;
    receiver_.OnConditionChanged();
  }

  // Only limits and roll-outs ask for a node that decides for the fleet.
  bool is_coordination_needed() const {
    const auto is_needed = [](FeatureMode mode, bool is_demanded) {
      return mode == FeatureMode::kOn ||
             (mode == FeatureMode::kOnDemand && is_demanded);
    };
    const auto& configuration = holder_.current();
    return is_needed(settings_.deployment.limits,
                     configuration && configuration->has_limits()) ||
           is_needed(settings_.deployment.rollouts, !orders_.is_empty());
  }

  // Takes part in the coordination from the moment at which it is first needed.
  void StartCoordinationIfNeeded() {
    if (was_coordination_started_ || stopping_since_ ||
        !is_coordination_needed()) {
      return;
    }
    was_coordination_started_ = true;
    coordination_.Start(*link_server_);
  }

  // Of what changes more often than it is asked for.
  void UpdateGauges() {
    metrics_.link_wait.set_value(
        std::chrono::duration<double>(link_server_->link_wait()).count());
    metrics_.links.set_value(static_cast<double>(links_.connected().size()));
    metrics_.known_nodes.set_value(static_cast<double>(links_.known_count()));
    const bool is_serving =
        receiver_.standing() == mesh::BackendStanding::kServing;
    metrics_.backend_held.set_value(
        is_serving && !receiver_.load().accepts_requests ? 1 : 0);
    metrics_.buffered_bytes.set_value(static_cast<double>(budget_.used()));
    for (std::size_t i = 0; i < kByteHolderCount; ++i) {
      metrics_.held_bytes[i]->set_value(
          static_cast<double>(budget_.held(static_cast<ByteHolder>(i))));
    }
    metrics_.resident_bytes.set_value(static_cast<double>(ResidentBytes()));
    metrics_.memory_refusals.set_value(
        static_cast<double>(budget_.refused_count()));
    metrics_.memory_evictions.set_value(
        static_cast<double>(budget_.evicted_count()));
    metrics_.connections_closed_for_new.set_value(
        static_cast<double>(clients_->closed_for_new()));
    metrics_.backend_serving.set_value(receiver_.load().accepts_requests ? 1
                                                                         : 0);
  }

  NodeStatus MakeStatus() {
    AdvanceOrders();
    const MonotonicTime now = MonotonicClock::now();
    mesh::BackendLoad load = receiver_.load();
    load.link_wait = link_server_->link_wait();
    return {.service = std::string(receiver_.service()),
            .backend_version = std::string(receiver_.backend_version()),
            .load = load,
            .configuration_version = holder_.version(),
            .confirmation_age = holder_.confirmation_age(now),
            .confirmed_store_time = holder_.confirmed_store_time(),
            .crash_reports = quarantine_.TakeReports(now, kReportsInStatus),
            .coordinator = coordination_.holder(),
            .rollouts = orders_.states()};
  }

  void OnConfigurationChanged() {
    const mesh::Configuration& configuration = *holder_.current();
    const mesh::ClientLimits& limits = configuration.limits;
    clients_->set_limits({.maximum_header_bytes = limits.maximum_header_bytes,
                          .maximum_body_bytes = limits.maximum_body_bytes,
                          .header_timeout = limits.header_timeout,
                          .idle_timeout = limits.idle_timeout});
    ingress_.OnConfigurationChanged();
    receiver_.SetConfiguration(holder_.current());
    if (const auto* service =
            configuration.FindService(settings_.node.service)) {
      receiver_.set_health_path(service->health_path);
    }
    if (limits_) limits_->OnConfigurationChanged();
    StartCoordinationIfNeeded();
    link_server_->Broadcast();
  }

  bool is_ready() const {
    if (stopping_since_ || !holder_.current()) return false;
    return true;
  }

  void OnReadinessCheck(const HttpRequest& request, HttpReply reply) {
    if (Target(request) != platform::kReadinessPath) {
      reply.Send({.status = kStatusNotFound});
      return;
    }
    reply.Send({.status = is_ready() ? kStatusOk : kStatusUnavailable});
  }

  void OnAnnouncement(const HttpRequest& request, HttpReply reply) {
    std::string_view target = Target(request);
    if (!target.starts_with(platform::kAnnouncementPathPrefix)) {
      reply.Send({.status = kStatusNotFound});
      return;
    }
    target.remove_prefix(platform::kAnnouncementPathPrefix.size());
    const int status = request.method() == boost::beast::http::verb::delete_
                           ? TakeDeparture(target, request.body())
                           : TakeAnnouncement(target, request.body());
    reply.Send(
        {.status = status, .headers = std::string(kJsonLine), .body = "{}"});
  }

  // Both return the status of the answer.
  int TakeAnnouncement(std::string_view id, std::string_view body) {
    auto announcement = platform::DecodeAnnouncement(id, body);
    if (!announcement) {
      RejectAnnouncement(id, announcement.error());
      return kStatusBadRequest;
    }
    const auto& configuration = holder_.current();
    if (configuration &&
        configuration->FindService(announcement.value().service) == nullptr) {
      RejectAnnouncement(id, "service is not in the configuration");
      return kStatusBadRequest;
    }
    if (announcement.value().address != settings_.backend.address.ToString()) {
      RejectAnnouncement(id, "address is not that of the local backend server");
      return kStatusBadRequest;
    }
    return receiver_.Apply(announcement.value()) ? kStatusOk : kStatusConflict;
  }

  int TakeDeparture(std::string_view id, std::string_view body) {
    const auto departure = platform::DecodeDeparture(id, body);
    if (!departure) {
      RejectAnnouncement(id, departure.error());
      return kStatusBadRequest;
    }
    return receiver_.Apply(departure.value()) ? kStatusOk : kStatusConflict;
  }

  void RejectAnnouncement(std::string_view id, std::string_view why) {
    metrics_.malformed_announcements.Add();
    logging::Log(Level::kWarning, "backend", "announcement rejected",
                 {{"id", id}, {"why", why}});
  }

  // Whether nothing that was taken waits for its answer to leave the node.
  bool is_idle() const {
    return is_receiver_stopped_ && receiver_.is_idle() && ingress_.is_idle() &&
           clients_->is_idle() && !link_server_->has_unsent_frames();
  }

  // See "A planned stop" in docs/platform.md.
  void CheckStop() {
    const MonotonicTime now = MonotonicClock::now();
    const Duration elapsed = now - *stopping_since_;
    const bool is_late = elapsed >= settings_.drain.deadline;
    if ((elapsed >= settings_.drain.announce_time || is_late) &&
        !is_receiver_stopped_) {
      is_receiver_stopped_ = true;
      receiver_.RefuseCalls();
    }
    if (is_idle() || is_late) {
      // Each time, this takes in what has arrived since the last one.
      link_server_->Shutdown();
      clients_->Shutdown();
    }
    if (!is_idle() && !is_late) {
      closing_since_.reset();
    } else if (!closing_since_) {
      closing_since_ = now;
    }
    if (closing_since_ && may_end(now)) {
      logging::Log(Level::kInfo, "node", "stopped",
                   {{"elapsed_ms", ToMilliseconds(elapsed)},
                    {"complete", is_idle()},
                    {"requests", ingress_.request_count()},
                    {"calls", receiver_.call_count()},
                    {"links_closed", link_server_->is_shut_down()},
                    {"connections", clients_->connection_count()}});
      loop_.stop();
      return;
    }
    stop_timer_.Start(kStopCheckInterval, [this] { CheckStop(); });
  }

  // Whether clients and other nodes have closed their connections, or have had
  // the time for it.
  bool may_end(MonotonicTime now) const {
    return (link_server_->is_shut_down() && clients_->is_shut_down()) ||
           now - *closing_since_ >= stop_->close_limit();
  }

  EventLoop& loop_;
  SidecarSettings settings_;
  RandomSource random_;
  NodeIdentity identity_;
  const MonotonicTime started_at_;
  NodeMetrics metrics_;
  ByteBudget budget_;
  routing::Quarantine quarantine_;
  coordination::StoreClock store_clock_;
  mesh::ConfigurationHolder holder_;
  rollout::OrderBook orders_;
  rollout::VersionGate version_gate_;
  rollout::OutcomeCollector outcomes_;
  rollout::TrialLeases trial_leases_;
  // What was last told to other nodes of the orders and of the backend server.
  std::vector<rollout::OrderState> told_orders_;
  bool told_accepts_ = false;
  Receiver receiver_;
  mesh::LinkBacklog backlog_;
  LinkClient links_;
  Ingress ingress_;
  StoreClient store_;
  ConfigurationSource source_;
  MemberDirectory members_;
  Coordination coordination_;
  // Only where limits are in force.
  std::optional<Limits> limits_;
  Rollouts rollouts_;
  std::unique_ptr<LinkServer> link_server_;
  std::unique_ptr<HttpServer> clients_;
  std::unique_ptr<HttpServer> readiness_;
  std::unique_ptr<HttpServer> announcements_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::optional<MonotonicTime> stopping_since_;
  std::optional<mesh::StopPolicy> stop_;
  // Since when only the other sides of connections are waited for.
  std::optional<MonotonicTime> closing_since_;
  bool is_receiver_stopped_ = false;
  bool was_coordination_started_ = false;
  Timer stop_timer_;
};

Result<std::unique_ptr<Sidecar>> Sidecar::Create(
    EventLoop& loop, const SidecarSettings& settings) {
  OLEANDERTIDE_TRY(backend_server, ToEndpoint(settings.backend.address));
  OLEANDERTIDE_TRY(store, ToEndpoint(settings.store.address));
  auto parts = std::make_unique<Parts>(loop, settings, backend_server, store);
  OLEANDERTIDE_CHECK(parts->Start());
  return std::unique_ptr<Sidecar>(new Sidecar(std::move(parts)));
}

Sidecar::Sidecar(std::unique_ptr<Parts> parts) : parts_(std::move(parts)) {}

Sidecar::~Sidecar() = default;

void Sidecar::Reload(const SidecarSettings& settings) {
  parts_->Reload(settings);
}

void Sidecar::Stop() { parts_->Stop(); }

}  // namespace oleandertide::sidecar
