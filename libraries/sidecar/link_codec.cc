#include "sidecar/link_codec.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>
#include <variant>

#include "sidecar/http_parser.h"

namespace oleandertide::sidecar {
namespace {

// Shares travel in thousandths.
constexpr double kPermille = 1000;
// Beyond this, an age says only that there was no confirmation for long.
constexpr std::uint32_t kMaximumAgeMs =
    std::numeric_limits<std::uint32_t>::max();

template <typename T>
T Saturate(std::int64_t value) {
  constexpr std::int64_t kMaximum = std::numeric_limits<T>::max();
  return static_cast<T>(std::clamp<std::int64_t>(value, 0, kMaximum));
}

std::uint32_t ToMs(Duration duration) {
  return Saturate<std::uint32_t>(ToMilliseconds(duration));
}

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::uint64_t ToUs(Duration duration) {
  return static_cast<std::uint64_t>(duration.count());
}

Duration FromUs(std::uint64_t microseconds) {
  return Duration(static_cast<std::int64_t>(microseconds));
}

void EncodeRoute(const mesh::Route& route, wire::Route::Builder builder) {
  builder.setName(route.name);
  builder.setPathPrefix(route.path_prefix);
  builder.setKind(static_cast<std::uint8_t>(route.kind));
  builder.setTimeoutUs(ToUs(route.timeout));
  builder.setTargetLatencyUs(ToUs(route.target_latency));
  builder.setPriority(route.priority);
  builder.setMaximumAttempts(route.maximum_attempts);
  builder.setIsPublic(route.is_public);
  auto services =
      builder.initServices(static_cast<unsigned>(route.services.size()));
  for (unsigned i = 0; i < services.size(); ++i) {
    services[i].setService(route.services[i].service);
    services[i].setWeight(route.services[i].weight);
  }
}

// A kind that a later version of a node may send is not known to be
// repeatable.
mesh::RequestKind DecodeKind(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(mesh::RequestKind::kDownload)
             ? static_cast<mesh::RequestKind>(value)
             : mesh::RequestKind::kNonIdempotent;
}

mesh::Route DecodeRoute(wire::Route::Reader reader) {
  mesh::Route route{.name = ToString(reader.getName()),
                    .path_prefix = ToString(reader.getPathPrefix()),
                    .kind = DecodeKind(reader.getKind()),
                    .timeout = FromUs(reader.getTimeoutUs()),
                    .target_latency = FromUs(reader.getTargetLatencyUs()),
                    .priority = reader.getPriority(),
                    .maximum_attempts = reader.getMaximumAttempts(),
                    .is_public = reader.getIsPublic()};
  for (const auto part : reader.getServices()) {
    route.services.push_back({ToString(part.getService()), part.getWeight()});
  }
  return route;
}

void EncodeOrganisation(const mesh::Organisation& organisation,
                        wire::Organisation::Builder builder) {
  builder.setName(organisation.name);
  auto keys = builder.initKeys(static_cast<unsigned>(organisation.keys.size()));
  for (unsigned i = 0; i < keys.size(); ++i) {
    keys.set(i, organisation.keys[i]);
  }
  builder.setHasPriority(organisation.priority.has_value());
  builder.setPriority(organisation.priority.value_or(0));
  builder.setRate(organisation.rate);
  builder.setBurst(organisation.burst);
}

mesh::Organisation DecodeOrganisation(wire::Organisation::Reader reader) {
  mesh::Organisation organisation{.name = ToString(reader.getName()),
                                  .rate = reader.getRate(),
                                  .burst = reader.getBurst()};
  for (const auto key : reader.getKeys()) {
    organisation.keys.push_back(ToString(key));
  }
  if (reader.getHasPriority()) organisation.priority = reader.getPriority();
  return organisation;
}

mesh::Reason DecodeReason(std::uint8_t value) {
  return value < mesh::kReasonCount ? static_cast<mesh::Reason>(value)
                                    : mesh::Reason::kNone;
}

void EncodeRollouts(const std::vector<rollout::OrderState>& states,
                    wire::Status::Builder status) {
  auto builders = status.initRollouts(static_cast<unsigned>(states.size()));
  for (unsigned i = 0; i < builders.size(); ++i) {
    const rollout::OrderState& state = states[i];
    builders[i].setService(state.order.service);
    builders[i].setTo(state.order.to);
    builders[i].setDurationMs(ToMs(state.order.duration));
    builders[i].setVersion(state.order.position.version);
    builders[i].setStoreEra(state.order.position.era);
    builders[i].setEnteredAtMs(state.entered_at_ms);
    builders[i].setTrialAtMs(state.trial_at_ms);
    builders[i].setStep(static_cast<std::uint8_t>(state.step));
    builders[i].setSharePermille(Saturate<std::uint16_t>(state.share_permille));
    builders[i].setOverAtMs(state.over_at_ms);
    builders[i].setKnownAtMs(state.known_at_ms);
    if (!state.withheld.empty()) builders[i].setWithheld(state.withheld);
  }
}

// Nothing if a later version of a node sent a step that this one does not know.
std::optional<rollout::OrderState> DecodeRollout(wire::Rollout::Reader reader) {
  const auto step = static_cast<rollout::Step>(reader.getStep());
  switch (step) {
    case rollout::Step::kOrdered:
    case rollout::Step::kTrial:
    case rollout::Step::kReplacing:
    case rollout::Step::kRollingBack:
    case rollout::Step::kCancelled:
    case rollout::Step::kCompleted:
    case rollout::Step::kRolledBack:
      return rollout::OrderState{
          .order = {.service = ToString(reader.getService()),
                    .to = ToString(reader.getTo()),
                    .duration =
                        std::chrono::milliseconds(reader.getDurationMs()),
                    .position = {.era = reader.getStoreEra(),
                                 .version = reader.getVersion()}},
          .step = step,
          .share_permille = reader.getSharePermille(),
          .over_at_ms = reader.getOverAtMs(),
          .known_at_ms = reader.getKnownAtMs(),
          .entered_at_ms = reader.getEnteredAtMs(),
          .trial_at_ms = reader.getTrialAtMs(),
          .withheld = ToString(reader.getWithheld())};
  }
  return std::nullopt;
}

// Writes the part of an answer that depends on the outcome.
struct OutcomeEncoder {
  wire::Answer::Builder builder;

  void operator()(const mesh::Completed& completed) {
    builder.setOutcome(wire::Answer::Outcome::COMPLETED);
    builder.setStatus(static_cast<std::uint16_t>(completed.status));
    builder.setHeaders(completed.headers);
    builder.setRunUs(Saturate<std::uint32_t>(completed.run_time.count()));
    builder.setReachedBackend(true);
  }
  void operator()(const mesh::NotRun& not_run) {
    builder.setOutcome(wire::Answer::Outcome::NOT_RUN);
    builder.setReason(static_cast<std::uint8_t>(not_run.reason));
    builder.setReachedBackend(not_run.has_reached_backend_server);
  }
  void operator()(const mesh::Unknown& unknown) {
    builder.setOutcome(wire::Answer::Outcome::UNKNOWN);
    builder.setReason(static_cast<std::uint8_t>(unknown.reason));
    builder.setReachedBackend(true);
  }
};

}  // namespace

void Encode(const NodeIdentity& node, wire::Hello::Builder builder) {
  builder.setNode(node.name);
  builder.setAddress(node.address.ToString());
  builder.setDataCentre(node.data_centre);
  builder.setService(node.service);
  builder.setLinkMbps(node.link_mbps);
  builder.setAcceptsPacked(true);
}

Result<NodeIdentity> Decode(wire::Hello::Reader reader) {
  const std::string name = ToString(reader.getNode());
  const std::string data_centre = ToString(reader.getDataCentre());
  const std::string address = ToString(reader.getAddress());
  const std::string service = ToString(reader.getService());
  return NodeIdentity::Create({.name = name,
                               .data_centre = data_centre,
                               .address = address,
                               .service = service,
                               .link_mbps = reader.getLinkMbps()});
}

void Encode(const mesh::ConfigurationUpdate& update,
            wire::ConfigurationUpdate::Builder builder) {
  builder.setBaseVersion(update.base_version);
  builder.setVersion(update.version);
  builder.setDigest(update.digest);
  auto services =
      builder.initServices(static_cast<unsigned>(update.services.size()));
  for (unsigned i = 0; i < services.size(); ++i) {
    services[i].setName(update.services[i].name);
    services[i].setHealthPath(update.services[i].health_path);
    services[i].setMaximumConnections(update.services[i].maximum_connections);
  }
  auto limits = builder.initLimits();
  limits.setMaximumHeaderBytes(update.limits.maximum_header_bytes);
  limits.setMaximumBodyBytes(update.limits.maximum_body_bytes);
  limits.setHeaderTimeoutUs(ToUs(update.limits.header_timeout));
  limits.setIdleTimeoutUs(ToUs(update.limits.idle_timeout));
  auto removed =
      builder.initRemoved(static_cast<unsigned>(update.removed.size()));
  for (unsigned i = 0; i < removed.size(); ++i) {
    removed[i].setHost(update.removed[i].host);
    removed[i].setPathPrefix(update.removed[i].path_prefix);
  }
  auto put = builder.initPut(static_cast<unsigned>(update.put.size()));
  for (unsigned i = 0; i < put.size(); ++i) {
    put[i].setHost(update.put[i].host);
    EncodeRoute(*update.put[i].route, put[i]);
  }
  auto removed_organisations = builder.initRemovedOrganisations(
      static_cast<unsigned>(update.removed_organisations.size()));
  for (unsigned i = 0; i < removed_organisations.size(); ++i) {
    removed_organisations.set(i, update.removed_organisations[i]);
  }
  auto put_organisations = builder.initPutOrganisations(
      static_cast<unsigned>(update.put_organisations.size()));
  for (unsigned i = 0; i < put_organisations.size(); ++i) {
    EncodeOrganisation(*update.put_organisations[i], put_organisations[i]);
  }
}

mesh::ConfigurationUpdate Decode(wire::ConfigurationUpdate::Reader reader) {
  mesh::ConfigurationUpdate update{.base_version = reader.getBaseVersion(),
                                   .version = reader.getVersion(),
                                   .digest = reader.getDigest()};
  for (const auto service : reader.getServices()) {
    update.services.push_back(
        {.name = ToString(service.getName()),
         .health_path = ToString(service.getHealthPath()),
         .maximum_connections = service.getMaximumConnections()});
  }
  const auto limits = reader.getLimits();
  update.limits = {.maximum_header_bytes = limits.getMaximumHeaderBytes(),
                   .maximum_body_bytes = limits.getMaximumBodyBytes(),
                   .header_timeout = FromUs(limits.getHeaderTimeoutUs()),
                   .idle_timeout = FromUs(limits.getIdleTimeoutUs())};
  for (const auto removed : reader.getRemoved()) {
    update.removed.push_back(
        {.host = ToString(removed.getHost()),
         .path_prefix = ToString(removed.getPathPrefix())});
  }
  for (const auto put : reader.getPut()) {
    update.put.push_back(
        {.host = ToString(put.getHost()),
         .route = std::make_shared<const mesh::Route>(DecodeRoute(put))});
  }
  for (const auto name : reader.getRemovedOrganisations()) {
    update.removed_organisations.push_back(ToString(name));
  }
  for (const auto organisation : reader.getPutOrganisations()) {
    update.put_organisations.push_back(
        std::make_shared<const mesh::Organisation>(
            DecodeOrganisation(organisation)));
  }
  return update;
}

void Encode(const mesh::BackendLoad& load, wire::Load::Builder builder) {
  builder.setAccepts(load.accepts_requests);
  builder.setSlots(Saturate<std::uint16_t>(load.slots));
  builder.setRunning(Saturate<std::uint16_t>(load.running));
  builder.setWaitingFirst(Saturate<std::uint16_t>(load.waiting[0]));
  builder.setWaitingSecond(Saturate<std::uint16_t>(load.waiting[1]));
  builder.setWaitingThird(Saturate<std::uint16_t>(load.waiting[2]));
  builder.setWaitingOthers(Saturate<std::uint16_t>(load.waiting[3]));
  builder.setMeanRunUs(Saturate<std::uint32_t>(load.mean_run_time.count()));
  builder.setSlownessPermille(Saturate<std::uint32_t>(
      static_cast<std::int64_t>(load.slowness * kPermille)));
  builder.setFailurePermille(Saturate<std::uint16_t>(
      static_cast<std::int64_t>(load.failure_share * kPermille)));
  builder.setLinkWaitUs(Saturate<std::uint32_t>(load.link_wait.count()));
}

mesh::BackendLoad Decode(wire::Load::Reader reader) {
  return {.accepts_requests = reader.getAccepts(),
          .slots = reader.getSlots(),
          .running = reader.getRunning(),
          .waiting = {reader.getWaitingFirst(), reader.getWaitingSecond(),
                      reader.getWaitingThird(), reader.getWaitingOthers()},
          .mean_run_time = std::chrono::microseconds(reader.getMeanRunUs()),
          .slowness = reader.getSlownessPermille() / kPermille,
          .failure_share = reader.getFailurePermille() / kPermille,
          .link_wait = std::chrono::microseconds(reader.getLinkWaitUs())};
}

void Encode(const NodeStatus& status, wire::Status::Builder builder) {
  builder.setService(status.service);
  if (!status.backend_version.empty()) {
    builder.setBackendVersion(status.backend_version);
  }
  Encode(status.load, builder.initLoad());
  builder.setConfigurationVersion(status.configuration_version);
  builder.setConfirmationAgeMs(status.confirmation_age == Duration::max()
                                   ? kMaximumAgeMs
                                   : ToMs(status.confirmation_age));
  builder.setConfirmedStoreTimeMs(status.confirmed_store_time);
  builder.setAcceptsPacked(true);
  if (status.coordinator.term > 0) {
    auto coordinator = builder.initCoordinator();
    coordinator.setNode(status.coordinator.node);
    coordinator.setTerm(status.coordinator.term);
    coordinator.setLeaseEndMs(status.coordinator.lease_end_ms);
  }
  if (!status.rollouts.empty()) EncodeRollouts(status.rollouts, builder);
  if (status.crash_reports.empty()) return;
  auto reports = builder.initCrashReports(
      static_cast<unsigned>(status.crash_reports.size()));
  for (unsigned i = 0; i < reports.size(); ++i) {
    const routing::CrashReport& report = status.crash_reports[i];
    reports[i].setFingerprint(report.fingerprint);
    reports[i].setBackendAddress(report.backend_address);
    reports[i].setIncarnation(report.incarnation);
    reports[i].setAgeMs(ToMs(report.age));
    reports[i].setIsCompletion(report.is_completion);
  }
}

NodeStatus Decode(wire::Status::Reader reader) {
  NodeStatus status{
      .service = ToString(reader.getService()),
      .backend_version = ToString(reader.getBackendVersion()),
      .load = Decode(reader.getLoad()),
      .configuration_version = reader.getConfigurationVersion(),
      .confirmation_age =
          reader.getConfirmationAgeMs() == kMaximumAgeMs
              ? Duration::max()
              : std::chrono::milliseconds(reader.getConfirmationAgeMs()),
      .confirmed_store_time = reader.getConfirmedStoreTimeMs()};
  if (reader.hasCoordinator()) {
    const auto coordinator = reader.getCoordinator();
    status.coordinator = {.node = ToString(coordinator.getNode()),
                          .term = coordinator.getTerm(),
                          .lease_end_ms = coordinator.getLeaseEndMs()};
  }
  for (const auto rollout : reader.getRollouts()) {
    if (const auto state = DecodeRollout(rollout)) {
      status.rollouts.push_back(*state);
    }
  }
  for (const auto report : reader.getCrashReports()) {
    status.crash_reports.push_back(
        {.fingerprint = report.getFingerprint(),
         .backend_address = ToString(report.getBackendAddress()),
         .incarnation = report.getIncarnation(),
         .age = std::chrono::milliseconds(report.getAgeMs()),
         .is_completion = report.getIsCompletion()});
  }
  return status;
}

void Encode(const CoordinationMessage& message,
            wire::CoordinationMessage::Builder builder) {
  builder.setTerm(message.term);
  builder.setSubject(message.subject);
  builder.setPayload(
      kj::arrayPtr(reinterpret_cast<const capnp::byte*>(message.payload.data()),
                   message.payload.size()));
}

CoordinationMessage Decode(wire::CoordinationMessage::Reader reader) {
  const auto payload = reader.getPayload();
  return {.term = reader.getTerm(),
          .subject = reader.getSubject(),
          .payload = std::string(payload.begin(), payload.end())};
}

void Encode(CallId id, const Call& call, wire::Call::Builder builder) {
  builder.setId(id);
  builder.setRequestId(call.request_id);
  builder.setMethod(call.method);
  builder.setTarget(call.target);
  builder.setHeaders(call.headers);
  builder.setCallerService(call.caller_service);
  builder.setService(call.service);
  builder.setRemainingMs(ToMs(call.remaining));
  builder.setWaitAllowanceMs(ToMs(call.wait_allowance));
  builder.setExpectedRunUs(Saturate<std::uint32_t>(call.expected_run.count()));
  builder.setExpectedBytes(Saturate<std::uint32_t>(call.expected_bytes));
  builder.setFingerprint(call.fingerprint);
  builder.setPriority(Saturate<std::uint8_t>(call.priority));
  builder.setIsRepeatable(call.is_repeatable);
  if (!call.organisation.empty()) builder.setOrganisation(call.organisation);
  builder.setIsBackendServerCall(call.is_backend_server_call);
  if (call.link_allowance) {
    builder.setLinkAllowanceMs(ToMs(*call.link_allowance) + 1);
  }
}

Call Decode(wire::Call::Reader reader, SharedBody body) {
  std::optional<Duration> link_allowance;
  if (reader.getLinkAllowanceMs() > 0) {
    link_allowance = std::chrono::milliseconds(reader.getLinkAllowanceMs() - 1);
  }
  return {
      .request_id = ToString(reader.getRequestId()),
      .method = ToString(reader.getMethod()),
      .target = ToString(reader.getTarget()),
      .headers = ToString(reader.getHeaders()),
      .body = std::move(body),
      .caller_service = ToString(reader.getCallerService()),
      .organisation = ToString(reader.getOrganisation()),
      .service = ToString(reader.getService()),
      .remaining = std::chrono::milliseconds(reader.getRemainingMs()),
      .wait_allowance = std::chrono::milliseconds(reader.getWaitAllowanceMs()),
      .link_allowance = link_allowance,
      .expected_run = std::chrono::microseconds(reader.getExpectedRunUs()),
      .expected_bytes = reader.getExpectedBytes(),
      .fingerprint = reader.getFingerprint(),
      .priority = reader.getPriority(),
      .is_backend_server_call = reader.getIsBackendServerCall(),
      .is_repeatable = reader.getIsRepeatable()};
}

void Encode(CallId id, const mesh::Outcome& outcome,
            const mesh::BackendLoad& load, wire::Answer::Builder builder) {
  builder.setId(id);
  Encode(load, builder.initLoad());
  std::visit(OutcomeEncoder{builder}, outcome);
}

mesh::Outcome Decode(wire::Answer::Reader reader, std::string body) {
  switch (reader.getOutcome()) {
    case wire::Answer::Outcome::COMPLETED:
      // Nodes of earlier versions pass on what no answer has.
      if (!IsHttpStatus(reader.getStatus())) {
        return mesh::Unknown{mesh::Reason::kAnswerUnusable};
      }
      return mesh::Completed{
          .status = reader.getStatus(),
          .headers = ToString(reader.getHeaders()),
          .body = std::move(body),
          .run_time = std::chrono::microseconds(reader.getRunUs())};
    case wire::Answer::Outcome::NOT_RUN:
      return mesh::NotRun{DecodeReason(reader.getReason()),
                          reader.getReachedBackend()};
    case wire::Answer::Outcome::UNKNOWN:
      break;
  }
  // An outcome that a later version of a node may send is not known either.
  return mesh::Unknown{DecodeReason(reader.getReason())};
}

}  // namespace oleandertide::sidecar
