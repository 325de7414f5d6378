#include "sidecar/receiver.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "logging/log.h"
#include "platform/http_codec.h"

namespace oleandertide::sidecar {
namespace {

using logging::Level;

// A backend server answers at its deadline itself; this is how long its answer
// may take to arrive.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(60);

// How long a connection may have been idle before a request is sent on it.
constexpr Duration kIdleLimit = std::chrono::seconds(8);
// The same for a request that must not run twice: if its connection turns out
// to be closed, it is not known whether the request was read.
constexpr Duration kIdleLimitUnrepeatable = std::chrono::milliseconds(500);

// Connections that a crash breaks end together; they are gathered for this long
// before the backend server is checked.
constexpr Duration kCrashGathering = std::chrono::milliseconds(5);

// Time between health checks of a backend server that is to be verified.
constexpr Duration kVerifyInterval = std::chrono::milliseconds(300);
constexpr Duration kVerifyLimit = std::chrono::milliseconds(500);

// How often waiting requests are checked for those that are too late.
constexpr Duration kExpiryInterval = std::chrono::milliseconds(25);

constexpr Duration kRelaxInterval = std::chrono::milliseconds(250);

// A backend server runs at half its speed while it is cold.
constexpr double kColdSlowness = 2;

constexpr int kStatusMisdirected = 421;
constexpr int kStatusFirstServerError = 500;
constexpr int kStatusGatewayTimeout = 504;

bool is_success(int status) { return status >= 200 && status < 300; }

}  // namespace

Receiver::Receiver(EventLoop& loop, const Options& options,
                   routing::Quarantine& quarantine, NodeMetrics& metrics)
    : backend_address_(options.backend_address),
      quarantine_(quarantine),
      metrics_(metrics),
      max_answer_bytes_(options.max_answer_bytes),
      client_(loop, options.backend_server, options.budget),
      backend_(options.standing),
      learns_room_(options.learns_room),
      measures_pace_(options.measures_pace),
      fence_timer_(loop),
      relax_timer_(loop),
      verify_timer_(loop),
      expiry_timer_(loop),
      gathering_timer_(loop) {
  ScheduleRelaxation();
}

std::string_view Receiver::service() const {
  if (backend_.standing() == mesh::BackendStanding::kUnknown) return {};
  return backend_.announcement().service;
}

std::string_view Receiver::backend_version() const {
  if (backend_.standing() == mesh::BackendStanding::kUnknown) return {};
  return backend_.announcement().version;
}

mesh::BackendLoad Receiver::load() const {
  mesh::BackendLoad load = queue_.load();
  load.accepts_requests =
      backend_.is_accepting() && !is_stopping_ && may_accept();
  const MonotonicTime now = MonotonicClock::now();
  if (measures_pace_) {
    load.slowness = pace_.slowness(now);
  } else if (backend_.is_accepting() &&
             backend_.cold_remaining(now) > Duration::zero()) {
    load.slowness = std::max(load.slowness, kColdSlowness);
  }
  return load;
}

std::optional<mesh::Reason> Receiver::FindRefusal(
    const Call& call, MonotonicTime deadline) const {
  if (is_stopping_ || (stop_ && !stop_->MayRun(deadline))) {
    return mesh::Reason::kStopping;
  }
  const MonotonicTime now = MonotonicClock::now();
  if (!backend_.is_dispatch_allowed(now) || call.service != service() ||
      !may_accept()) {
    return mesh::Reason::kBackendServerAway;
  }
  if (quarantine_.IsRefused(now, call.fingerprint)) {
    return mesh::Reason::kQuarantined;
  }
  if (deadline <= now) return mesh::Reason::kDeadlinePassed;
  return std::nullopt;
}

void Receiver::SetConfiguration(
    std::shared_ptr<const mesh::Configuration> configuration) {
  configuration_ = std::move(configuration);
  organisation_policy_ = mesh::OrganisationPolicy(*configuration_);
  queue_.set_reserves_slots(organisation_policy_.has_organisations());
}

double Receiver::FindWeight(const std::string& organisation) const {
  if (!configuration_) return organisation_policy_.ChooseWeight(nullptr);
  const auto found = configuration_->organisations.find(organisation);
  return organisation_policy_.ChooseWeight(
      found == configuration_->organisations.end() ? nullptr
                                                   : found->second.get());
}

CallId Receiver::Submit(Call call, OnOutcome on_outcome) {
  const CallId id = next_id_++;
  const MonotonicTime now = MonotonicClock::now();
  const MonotonicTime deadline = now + call.remaining;
  if (const auto reason = FindRefusal(call, deadline)) {
    on_outcome(mesh::NotRun{*reason});
    return id;
  }
  const mesh::AdmissionQueue::Request request{
      .priority = call.priority,
      .wait_allowance = call.wait_allowance,
      .remaining = call.remaining,
      .expected_run = call.expected_run,
      .organisation = call.organisation,
      .weight = FindWeight(call.organisation),
      .is_backend_server_call = call.is_backend_server_call};
  UpdateRoom(call.is_repeatable);
  const auto verdict = queue_.Offer(now, id, request);
  if (verdict == mesh::AdmissionQueue::Verdict::kReject) {
    on_outcome(mesh::NotRun{mesh::Reason::kNoRoom});
    return id;
  }
  calls_.emplace(id, Pending{.call = std::move(call),
                             .on_outcome = std::move(on_outcome),
                             .deadline = deadline});
  if (verdict == mesh::AdmissionQueue::Verdict::kStart) {
    Start(id);
  } else {
    ScheduleExpiry();
  }
  return id;
}

void Receiver::Start(CallId id) {
  Pending& pending = calls_.at(id);
  const Call& call = pending.call;
  // The backend server may be another one than when the call arrived.
  if (const auto reason = FindRefusal(call, pending.deadline)) {
    queue_.Finish(Duration::zero(), call.expected_run, false,
                  call.is_backend_server_call);
    Reject(id, *reason);
    return;
  }
  const MonotonicTime now = MonotonicClock::now();
  const Duration remaining = pending.deadline - now;
  pending.is_running = true;
  pending.in_hand = queue_.running();
  pace_.RecordStart(now, id, call.expected_run);
  pending.started = now;
  HttpExchange exchange;
  exchange.head = platform::EncodeBackendRequest(
      {.method = call.method,
       .target = call.target,
       .headers = call.headers,
       .caller_service = call.caller_service,
       .organisation = call.organisation,
       .expected_instance = backend_.announcement().id,
       .remaining = remaining,
       .body_size = call.body.size()});
  exchange.body = std::move(pending.call.body);
  exchange.is_head_request = call.method == "HEAD";
  exchange.max_body_bytes = max_answer_bytes_;
  exchange.limit = remaining + kAnswerGrace;
  exchange.is_answer = [request_id = call.request_id](const auto& fields,
                                                      bool is_first_request) {
    const std::string_view answered = platform::FindRequestId(fields);
    // Without id it may be a late copy of the answer to an earlier request, and
    // a refusal is a promise only for the request that it names.
    if (answered.empty()) {
      return is_first_request && !platform::IsNotExecuted(fields);
    }
    return answered == request_id;
  };
  exchange.on_answer = [this, id](HttpResponse response) {
    OnAnswer(id, std::move(response));
  };
  exchange.on_failure = [this, id](HttpFailure failure) {
    OnFailure(id, failure);
  };
  metrics_.runs.Add();
  const Duration idle_limit =
      call.is_repeatable ? kIdleLimit : kIdleLimitUnrepeatable;
  pending.exchange = client_.Send(std::move(exchange), idle_limit);
}

void Receiver::OnAnswer(CallId id, HttpResponse response) {
  const Pending& pending = calls_.at(id);
  const MonotonicTime now = MonotonicClock::now();
  const Duration run_time = now - pending.started;
  platform::BackendAnswerHead head = platform::DecodeBackendAnswer(response);
  const int status = static_cast<int>(response.result_int());
  if (head.is_not_executed) {
    queue_.RecordResult(false);
    if (status != kStatusMisdirected) RecordRefusal(pending);
    if (status == kStatusMisdirected) {
      backend_.RecordDown();
      OnStandingChanged("another backend server answers at its address");
    }
    Finish(id, mesh::NotRun{mesh::Reason::kBackendServerRefused, true}, false);
    return;
  }
  if (is_success(status) && (!head.is_stamped || head.is_encoded)) {
    queue_.RecordResult(false);
    Finish(id, mesh::Unknown{mesh::Reason::kAnswerUnusable}, true);
    return;
  }
  const bool is_failure =
      status >= kStatusFirstServerError && status != kStatusGatewayTimeout;
  queue_.RecordResult(!is_failure);
  if (!is_failure) room_.RecordAnswer(pending.in_hand);
  quarantine_.RecordCompletion(now, pending.call.fingerprint);
  metrics_.run_latency.Record(run_time, now);
  Finish(id,
         mesh::Completed{.status = status,
                         .headers = std::move(head.headers),
                         .body = std::move(response.body()),
                         .run_time = run_time},
         !is_failure);
}

void Receiver::OnFailure(CallId id, HttpFailure failure) {
  const Pending& pending = calls_.at(id);
  const routing::Fingerprint fingerprint = pending.call.fingerprint;
  logging::Log(Level::kInfo, "backend", "run failed",
               {{"request", pending.call.request_id},
                {"failure", ToString(failure)},
                {"elapsed_ms",
                 ToMilliseconds(MonotonicClock::now() - pending.started)}});
  switch (failure) {
    case HttpFailure::kConnectRefused:
    case HttpFailure::kConnectTimeout:
      backend_.RecordDown();
      OnStandingChanged(ToString(failure));
      Finish(id, mesh::NotRun{mesh::Reason::kConnectFailed}, false);
      RejectWaiting(mesh::Reason::kBackendServerAway);
      return;
    case HttpFailure::kConnectionLost:
      metrics_.connections_lost.Add();
      queue_.RecordResult(false);
      RecordRefusal(pending);
      OnConnectionLost(fingerprint);
      Finish(id, mesh::Unknown{mesh::Reason::kConnectionLost}, false);
      return;
    case HttpFailure::kMalformedAnswer:
      queue_.RecordResult(false);
      Finish(id, mesh::Unknown{mesh::Reason::kAnswerUnusable}, false);
      return;
    case HttpFailure::kNoMemory:
      Finish(id, mesh::Unknown{mesh::Reason::kAnswerUnusable}, false);
      return;
    case HttpFailure::kTimeout:
      Finish(id, mesh::Unknown{mesh::Reason::kDeadlinePassed}, true);
      return;
  }
}

void Receiver::Finish(CallId id, mesh::Outcome outcome, bool is_sample) {
  auto node = calls_.extract(id);
  Pending& pending = node.mapped();
  const Duration run_time = MonotonicClock::now() - pending.started;
  queue_.Finish(run_time, pending.call.expected_run, is_sample,
                pending.call.is_backend_server_call);
  pace_.RecordEnd(MonotonicClock::now(), id, is_sample);
  StartWaiting();
  if (pending.on_outcome) pending.on_outcome(std::move(outcome));
}

void Receiver::StartWaiting() {
  const MonotonicTime now = MonotonicClock::now();
  if (!backend_.is_dispatch_allowed(now)) {
    RejectWaiting(mesh::Reason::kBackendServerAway);
    return;
  }
  UpdateRoom();
  mesh::AdmissionQueue::Dropped dropped;
  while (const auto id = queue_.StartNext(now, dropped)) Start(*id);
  RejectDropped(dropped);
}

void Receiver::RejectDropped(const mesh::AdmissionQueue::Dropped& dropped) {
  for (const CallId id : dropped.expired) {
    Reject(id, mesh::Reason::kDeadlinePassed);
  }
  for (const CallId id : dropped.passed_over) {
    Reject(id, mesh::Reason::kNoRoom);
  }
}

void Receiver::Reject(CallId id, mesh::Reason reason) {
  auto node = calls_.extract(id);
  // The outcome of an earlier call of a list may have cancelled this one.
  if (node.empty()) return;
  if (node.mapped().on_outcome) node.mapped().on_outcome(mesh::NotRun{reason});
}

void Receiver::RejectWaiting(mesh::Reason reason) {
  for (const CallId id : queue_.RemoveAll()) Reject(id, reason);
}

void Receiver::RejectUnservable() {
  std::vector<std::pair<CallId, mesh::Reason>> unservable;
  for (const auto& [id, pending] : calls_) {
    if (pending.is_running) continue;
    if (const auto reason = FindRefusal(pending.call, pending.deadline)) {
      unservable.emplace_back(id, *reason);
    }
  }
  for (const auto& [id, reason] : unservable) {
    if (queue_.Remove(id)) Reject(id, reason);
  }
}

void Receiver::UpdateRoom(bool is_repeatable) {
  if (!learns_room_) return;
  const MonotonicTime now = MonotonicClock::now();
  const int limit = room_.limit(now);
  const int safe = room_.safe_limit(now);
  // The two differ only for some seconds after a refusal.
  const bool is_trial_possible =
      limit > safe && is_repeatable &&
      std::ranges::all_of(calls_, [](const auto& entry) {
        return entry.second.is_running || entry.second.call.is_repeatable;
      });
  queue_.set_slots(is_trial_possible ? limit : safe);
}

void Receiver::RecordRefusal(const Pending& pending) {
  if (!learns_room_) return;
  const MonotonicTime now = MonotonicClock::now();
  const int before = room_.limit(now);
  room_.RecordRefusal(now, {.in_hand = pending.in_hand,
                            .elapsed = now - pending.started,
                            .run_time = queue_.load().mean_run_time});
  const int after = room_.limit(now);
  if (after >= before) return;
  metrics_.room_reductions.Add();
  logging::Log(Level::kInfo, "backend", "is full below its announced slots",
               {{"announced", backend_.announcement().slots},
                {"in_hand", pending.in_hand},
                {"limit", after}});
}

void Receiver::UseAnnouncement() {
  room_.set_announced(backend_.announcement().slots);
  queue_.set_slots(backend_.announcement().slots);
  UpdateRoom();
  const bool is_cold =
      backend_.cold_remaining(MonotonicClock::now()) > Duration::zero();
  pace_.set_assumed_slowness(is_cold ? kColdSlowness : 1);
  // The service may be another one.
  RejectUnservable();
}

void Receiver::Cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  Pending& pending = found->second;
  if (!pending.is_running) {
    queue_.Remove(id);
    calls_.erase(found);
    return;
  }
  pending.on_outcome = nullptr;
  if (!pending.call.is_repeatable) return;
  client_.Cancel(pending.exchange);
  Finish(id, mesh::Unknown{mesh::Reason::kCancelled}, false);
}

bool Receiver::Apply(const mesh::Announcement& announcement) {
  metrics_.announcements.Add();
  const auto effect = backend_.Apply(announcement, MonotonicClock::now());
  switch (effect) {
    case mesh::LocalBackend::Effect::kStale:
      LogIgnored(announcement, "late announcement ignored");
      return true;
    case mesh::LocalBackend::Effect::kAmbiguous:
      LogIgnored(announcement, "announcement is older than the one known");
      if (backend_.needs_verification()) Verify();
      return false;
    case mesh::LocalBackend::Effect::kReplaced:
      OnReplaced("announcement");
      break;
    case mesh::LocalBackend::Effect::kChanged:
      OnStandingChanged("announcement");
      break;
    case mesh::LocalBackend::Effect::kRefreshed:
      break;
  }
  UseAnnouncement();
  if (backend_.needs_verification()) Verify();
  return true;
}

void Receiver::LogIgnored(const mesh::Announcement& announcement,
                          std::string_view why) {
  logging::Log(Level::kInfo, "backend", why,
               {{"id", announcement.id},
                {"sequence", announcement.sequence},
                {"started_at_ms", announcement.started_at_ms},
                {"standing", mesh::ToString(backend_.standing())}});
}

bool Receiver::Apply(const mesh::Departure& departure) {
  const auto effect = backend_.ApplyDeparture(departure, MonotonicClock::now());
  if (effect == mesh::LocalBackend::Effect::kChanged) {
    OnStandingChanged("departure");
  }
  return effect != mesh::LocalBackend::Effect::kAmbiguous;
}

void Receiver::BeginStop(const mesh::StopPolicy& policy) {
  stop_ = policy;
  RejectUnservable();
}

void Receiver::RefuseCalls() {
  is_stopping_ = true;
  RejectWaiting(mesh::Reason::kStopping);
  if (on_standing_changed_) on_standing_changed_();
}

void Receiver::OnConditionChanged() {
  RejectUnservable();
  if (on_standing_changed_) on_standing_changed_();
}

void Receiver::OnReplaced(std::string_view cause) {
  queue_.ResetStatistics();
  room_.Reset();
  pace_.Reset();
  client_.CloseIdle();
  OnStandingChanged(cause);
}

void Receiver::OnStandingChanged(std::string_view cause) {
  const auto standing = backend_.standing();
  std::string_view id;
  if (standing != mesh::BackendStanding::kUnknown) {
    id = backend_.announcement().id;
  }
  logging::Log(Level::kInfo, "backend", "standing changed",
               {{"standing", mesh::ToString(standing)},
                {"cause", cause},
                {"id", id},
                {"running", queue_.running()},
                {"waiting", queue_.waiting()}});
  if (standing == mesh::BackendStanding::kDraining) ScheduleFence();
  if (on_standing_changed_) on_standing_changed_();
}

void Receiver::ScheduleFence() {
  // Those that still wait when the fence falls have not run.
  const Duration interval = std::chrono::milliseconds(100);
  fence_timer_.Start(interval, [this] {
    if (backend_.standing() != mesh::BackendStanding::kDraining) return;
    if (backend_.is_dispatch_allowed(MonotonicClock::now())) {
      ScheduleFence();
    } else {
      RejectWaiting(mesh::Reason::kBackendServerAway);
    }
  });
}

void Receiver::ScheduleExpiry() {
  if (is_expiry_scheduled_ || queue_.waiting() == 0) return;
  is_expiry_scheduled_ = true;
  expiry_timer_.Start(kExpiryInterval, [this] {
    is_expiry_scheduled_ = false;
    RejectDropped(queue_.DropLateRequests(MonotonicClock::now()));
    // The room may have grown without a run that ended.
    if (learns_room_) StartWaiting();
    ScheduleExpiry();
  });
}

void Receiver::ScheduleRelaxation() {
  relax_timer_.Start(kRelaxInterval, [this] {
    queue_.DecayStatistics(kRelaxInterval);
    pace_.Relax(kRelaxInterval);
    UpdateRoom();
    const bool is_cold =
        backend_.cold_remaining(MonotonicClock::now()) > Duration::zero();
    pace_.set_assumed_slowness(is_cold ? kColdSlowness : 1);
    metrics_.running.set_value(queue_.running());
    metrics_.waiting.set_value(queue_.waiting());
    ScheduleRelaxation();
  });
}

void Receiver::Verify() {
  if (is_verifying_) return;
  is_verifying_ = true;
  const auto finish = [this](bool is_healthy, const std::string& id) {
    is_verifying_ = false;
    const auto before = backend_.standing();
    if (backend_.RecordVerification(id, is_healthy, MonotonicClock::now())) {
      OnReplaced("health check");
      UseAnnouncement();
      return;
    }
    if (backend_.standing() == mesh::BackendStanding::kUnverified) {
      verify_timer_.Start(kVerifyInterval, [this] {
        if (backend_.standing() == mesh::BackendStanding::kUnverified) Verify();
      });
      return;
    }
    if (backend_.standing() != before) OnStandingChanged("health check");
  };
  HttpExchange exchange;
  exchange.head = platform::EncodeHealthCheck(health_path_);
  exchange.limit = kVerifyLimit;
  // A late answer to an earlier request says nothing of the health.
  exchange.is_answer = [](const auto& fields, bool /*is_first_request*/) {
    return platform::FindRequestId(fields).empty();
  };
  exchange.on_answer = [finish](const HttpResponse& response) {
    finish(is_success(static_cast<int>(response.result_int())),
           platform::DecodeBackendAnswer(response).instance_id);
  };
  exchange.on_failure = [finish](HttpFailure /*failure*/) {
    finish(false, {});
  };
  client_.Send(std::move(exchange), kIdleLimit);
}

void Receiver::OnConnectionLost(routing::Fingerprint fingerprint) {
  lost_.push_back(fingerprint);
  if (is_checking_) return;
  is_checking_ = true;
  gathering_timer_.Start(kCrashGathering, [this] {
    client_.CheckReachable([this](bool is_reachable) {
      is_checking_ = false;
      const auto lost = std::exchange(lost_, {});
      if (is_reachable) return;
      metrics_.crashes.Add();
      const mesh::Announcement& died = backend_.announcement();
      quarantine_.RecordCrash(
          MonotonicClock::now(), lost, backend_address_,
          CombineHashes(Hash64(died.id),
                        static_cast<std::uint64_t>(died.started_at_ms)));
      logging::Log(
          Level::kWarning, "backend", "crashed",
          {{"id", backend_.announcement().id}, {"requests_lost", lost.size()}});
      backend_.RecordDown();
      OnStandingChanged("crash");
      RejectWaiting(mesh::Reason::kBackendServerAway);
    });
  });
}

}  // namespace oleandertide::sidecar
