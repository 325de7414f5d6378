#include "node/node.h"

#include <cmath>
#include <random>
#include <utility>

#include "backend_servers/announcement_server.h"
#include "callers/caller_server.h"
#include "core/process_limits.h"
#include "logging/log.h"
#include "operators/operators_server.h"

namespace oleandertide::node {
namespace {

constexpr std::string_view kComponent = "node";
constexpr Duration kBackendCheckInterval = std::chrono::seconds(1);
constexpr int kInitialRetransmissions = 31;
constexpr Duration kLeaveTime = std::chrono::milliseconds(300);

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

distribution::Options ToOptions(const config::NodeSettings& settings) {
  distribution::Options options;
  for (const Address& contact : settings.peers.contacts) {
    options.contacts.push_back(contact.ToString());
  }
  options.other_data_centres = settings.peers.other_data_centres;
  options.table.suspicion_time = settings.peers.suspicion_timeout;
  options.gossip_interval = settings.peers.gossip_interval;
  options.fanout = static_cast<std::size_t>(settings.peers.fanout);
  options.monitored_successors =
      static_cast<std::size_t>(settings.peers.monitored_successors);
  options.readers_per_data_centre =
      static_cast<std::size_t>(settings.platform.readers_per_data_centre);
  options.read_interval = settings.platform.read_interval;
  options.confirmation_limit = settings.freshness.confirmation_limit;
  options.pause_limit = settings.freshness.pause_limit;
  return options;
}

backend_servers::SessionOptions ToSessionOptions(
    const config::NodeSettings& settings) {
  backend_servers::SessionOptions options;
  options.queue_length = static_cast<int>(settings.calls.queue_length);
  return options;
}

// Percentages become retries per 1,000 first attempts.
routing::RetryBudget::Options WithPercent(routing::RetryBudget::Options options,
                                          double percent) {
  constexpr double kPerThousandOfPercent = 10;
  options.retries_per_thousand = std::llround(percent * kPerThousandOfPercent);
  return options;
}

}  // namespace

Node::Node(const config::NodeSettings& settings)
    : settings_(settings),
      counters_(metrics_),
      endpoints_(settings.calls.slow_start),
      quarantine_(kInitialRetransmissions,
                  static_cast<std::size_t>(settings.calls.quarantine_threshold),
                  settings.calls.quarantine_time),
      backend_server_(ToSessionOptions(settings)),
      drain_(settings.drain.announce_time, settings.drain.deadline) {}

Node::~Node() {
  // Callers first, so that no new work arrives while the rest is stopped.
  if (caller_server_) caller_server_->BeginDrain();
  announcement_server_ = nullptr;
  operators_server_ = nullptr;
  if (job_runner_) job_runner_->Stop();
  if (control_) control_->Stop();
  caller_server_ = nullptr;
  peer_server_ = nullptr;
  if (claim_writer_) claim_writer_->Stop();
}

Result<std::unique_ptr<Node>> Node::Start(
    const config::NodeSettings& settings) {
  std::unique_ptr<Node> node(new Node(settings));
  OLEANDERTIDE_CHECK(node->StartPeers());
  OLEANDERTIDE_CHECK(node->StartListeners());
  node->control_->Start();
  node->is_started_ = true;
  logging::Log(logging::Level::kInfo, kComponent, "started",
               {{"peers", node->address_},
                {"callers", std::uint64_t{node->caller_server_->port()}},
                {"backend", std::uint64_t{node->announcement_server_->port()}},
                {"operators", std::uint64_t{node->operators_server_->port()}}});
  return node;
}

Result<void> Node::StartPeers() {
  store::HttpStoreOptions store_options;
  store_options.request_timeout = settings_.platform.request_timeout;
  OLEANDERTIDE_TRY(store,
                   store::HttpStore::Make(settings_.platform.address.ToString(),
                                          store_options));
  store_ = std::move(store);
  loop_ = std::make_unique<peers::EventLoop>();
  peer_client_ = std::make_unique<peers::PeerClient>(
      *loop_, peers::PeerClientOptions{}, RandomSeed());
  // The decisions need the port, and the listener needs the decisions; until
  // these exist, requests of peers are refused.
  OLEANDERTIDE_TRY(
      server, peers::PeerServer::Start(*loop_, *this, settings_.listen.peers,
                                       peers::PeerServerOptions{}));
  peer_server_ = std::move(server);
  StartDecisions(peer_server_->port());
  return Success();
}

void Node::StartDecisions(std::uint16_t peer_port) {
  address_ = Address{settings_.listen.peers.ip, peer_port}.ToString();
  idempotency::ClaimWriterOptions claim_options;
  claim_options.environment = settings_.node.environment;
  claim_options.commit_interval = settings_.once.commit_interval;
  claim_writer_ = std::make_unique<idempotency::BlockingClaimWriter>(
      claim_options, *store_);
  claims_ = std::make_unique<calls::ClaimClient>(
      address_,
      static_cast<std::size_t>(settings_.once.writers_per_data_centre),
      *claim_writer_, *peer_client_, RandomSeed());
  receiver_ = std::make_unique<calls::Receiver>(
      calls::Receiver::Parts{snapshots_, standing_, backend_server_, *claims_,
                             quarantine_, counters_});
  calls::Ingress::Options ingress_options;
  ingress_options.own_address = address_;
  ingress_options.default_timeout = settings_.calls.default_timeout;
  ingress_options.not_run_budget = WithPercent(
      ingress_options.not_run_budget, settings_.calls.retry_budget_percent);
  ingress_options.unknown_budget =
      WithPercent(ingress_options.unknown_budget,
                  settings_.calls.unknown_retry_budget_percent);
  ingress_ = std::make_unique<calls::Ingress>(
      calls::Ingress::Parts{snapshots_, standing_, endpoints_, *peer_client_,
                            *receiver_, quarantine_, counters_},
      ingress_options);
  control_ = std::make_unique<Control>(
      Control::Parts{*store_, *peer_client_, snapshots_, documents_, standing_,
                     endpoints_, *claims_, quarantine_},
      settings_.node.environment, OwnRecord(), ToOptions(settings_),
      RandomSeed());
  jobs::JobSchedulerOptions job_options;
  job_options.environment = settings_.node.environment;
  job_options.holder = address_;
  job_options.start_window = settings_.jobs.start_window;
  job_runner_ = std::make_unique<JobRunner>(
      JobRunner::Parts{*store_, snapshots_, standing_, *ingress_,
                       [this] { return control_->status().members; }},
      job_options, RandomSeed());
}

membership::Member Node::OwnRecord() const {
  membership::Member member;
  member.address = address_;
  member.life = RandomSeed();
  member.data_centre = settings_.node.data_centre;
  member.region = settings_.node.region;
  member.service = settings_.node.service;
  return member;
}

Result<void> Node::StartListeners() {
  http::ServerOptions caller_options;
  caller_options.maximum_connections = static_cast<std::size_t>(
      settings_.calls.maximum_connections_from_callers);
  caller_options.maximum_body_bytes =
      static_cast<std::size_t>(settings_.calls.maximum_body);
  const auto memory_bytes = ReadProcessLimits().memory_bytes;
  if (memory_bytes && caller_options.FitToMemory(*memory_bytes)) {
    logging::Log(logging::Level::kWarning, "node",
                 "connections from callers limited by memory",
                 {{"connections", caller_options.maximum_connections},
                  {"memory", *memory_bytes},
                  {"maximum_body", caller_options.maximum_body_bytes}});
  }
  OLEANDERTIDE_TRY(callers,
                   callers::StartCallerServer(settings_.listen.callers,
                                              caller_options, *ingress_));
  caller_server_ = std::move(callers);
  OLEANDERTIDE_TRY(
      announcements,
      backend_servers::StartAnnouncementServer(
          settings_.listen.backend,
          [this](const backend_servers::Announcement& announcement) {
            return Announce(announcement);
          }));
  announcement_server_ = std::move(announcements);
  operators::Sources sources;
  sources.reason_not_ready = [this] { return ReasonNotReady(); };
  sources.status_json = [this] { return ToStatusJson(Report()); };
  sources.metrics_text = [this] {
    return metrics_.ToPrometheusText(MonotonicClock::now()) +
           ToMetricsText(Report());
  };
  OLEANDERTIDE_TRY(operators,
                   operators::StartOperatorsServer(settings_.listen.operators,
                                                   std::move(sources)));
  operators_server_ = std::move(operators);
  return Success();
}

Result<void> Node::Announce(const backend_servers::Announcement& announcement) {
  if (announcement.service != settings_.node.service) {
    logging::Log(logging::Level::kWarning, kComponent,
                 "backend server of another service refused",
                 {{"service", announcement.service},
                  {"expected", settings_.node.service}});
    return Error::kInvalidArgument;
  }
  OLEANDERTIDE_CHECK(
      backend_server_.Announce(announcement, MonotonicClock::now()));
  if (announcement.is_leaving || is_draining_) {
    control_->SetOwnBackend("", 0, 0);
  } else {
    control_->SetOwnBackend(
        announcement.address.ToString(),
        static_cast<std::uint32_t>(announcement.slots),
        static_cast<std::uint32_t>(announcement.connections));
  }
  return Success();
}

void Node::Signal() {
  const bool is_first = !drain_.is_draining();
  drain_.Signal(MonotonicClock::now());
  logging::Log(logging::Level::kInfo, kComponent,
               is_first ? "drain begins" : "second signal; stopping at once");
  if (!is_first) return;
  is_draining_ = true;
  control_->SetOwnState(membership::MemberState::kDraining);
  caller_server_->BeginDrain();
}

void Node::Tick() {
  const MonotonicTime now = MonotonicClock::now();
  TickBackendServer(now);
  if (!drain_.is_draining()) return;
  drain_.Advance(now, receiver_->in_flight() + ingress_->in_flight());
  if (drain_.is_accepting()) return;
  receiver_->StopAccepting();
  ingress_->StopAccepting();
}

// A backend server that leaves is withdrawn from the members at once. Work
// chosen before they learnt of it is accepted for the announce time.
void Node::TickBackendServer(MonotonicTime now) {
  const auto session = backend_server_.session();
  if (!session || !backend_server_.is_leaving()) {
    leaving_since_.reset();
  } else if (!leaving_since_) {
    leaving_since_ = now;
  } else if (now - *leaving_since_ >= settings_.drain.announce_time) {
    session->gate().Drain();
  }
  if (now < next_backend_check_) return;
  next_backend_check_ = now + kBackendCheckInterval;
  backend_server_.DropIfGone(now);
  if (session && !backend_server_.session()) {
    logging::Log(logging::Level::kWarning, kComponent, "backend server gone",
                 {{"address", session->announcement().address.ToString()}});
    control_->SetOwnBackend("", 0, 0);
  }
}

void Node::Leave() {
  control_->SetOwnState(membership::MemberState::kLeft);
  // The change is pushed to partners at once; this lets it leave the process.
  std::this_thread::sleep_for(kLeaveTime);
}

StatusReport Node::Report() const {
  peers::Traffic traffic = peer_client_->traffic();
  traffic += peer_server_->traffic();
  return {settings_,
          address_,
          control_->status(),
          snapshots_.sequence(),
          snapshots_.refused_count(),
          receiver_->in_flight() + ingress_->in_flight(),
          is_draining_,
          backend_server_.session() != nullptr,
          claim_writer_->counters(),
          job_runner_->counters(),
          store_->statistics(),
          traffic};
}

std::optional<std::string> Node::ReasonNotReady() const {
  if (is_draining_) return "draining";
  const auto standing = standing_.At(MonotonicClock::now());
  if (standing == distribution::Standing::kStarting) {
    return "no configuration is known to be the accepted one";
  }
  if (standing == distribution::Standing::kIsolated) return "isolated";
  return std::nullopt;
}

calls::CallResult Node::HandleCall(const calls::ForwardedRequest& request,
                                   std::stop_token cancelled) {
  if (!is_started_) {
    return calls::Refusal{routing::Reason::kNotReady,
                          routing::Outcome::kNotRun};
  }
  return receiver_->Handle(request, std::move(cancelled));
}

peers::GossipReply Node::HandleGossip(const peers::GossipRequest& request) {
  if (!is_started_) return {};
  return control_->HandleGossip(request);
}

distribution::SyncReply Node::HandleSyncRequest(
    const distribution::SyncRequest& request) {
  if (!is_started_) return {};
  return control_->HandleSyncRequest(request);
}

std::optional<std::string> Node::HandleFetch(
    const distribution::Version& version) {
  return documents_.Find(version);
}

idempotency::ClaimResult Node::HandleClaim(
    const idempotency::ClaimRequest& request, Duration remaining) {
  if (!is_started_) return idempotency::StoreUnavailable{};
  return claim_writer_->Claim(request, MonotonicClock::now() + remaining);
}

void Node::HandleCompletion(const idempotency::Completion& completion) {
  if (is_started_) claim_writer_->Complete(completion);
}

void Node::HandleRelease(const idempotency::Release& release) {
  if (is_started_) claim_writer_->Release(release);
}

}  // namespace oleandertide::node
