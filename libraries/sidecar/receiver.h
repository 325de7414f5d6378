// Runs requests at the backend server beside the node.

#ifndef OLEANDERTIDE_SIDECAR_RECEIVER_H_
#define OLEANDERTIDE_SIDECAR_RECEIVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "mesh/admission_queue.h"
#include "mesh/backend_room.h"
#include "mesh/configuration.h"
#include "mesh/local_backend.h"
#include "mesh/organisation_policy.h"
#include "mesh/pace.h"
#include "mesh/stop_policy.h"
#include "routing/quarantine.h"
#include "sidecar/backend_client.h"
#include "sidecar/call.h"
#include "sidecar/event_loop.h"
#include "sidecar/node_metrics.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// Holds what is known of the backend server, lets requests wait for its slots
// and hands them over. Only here is it certain that a request has not run.
// Not thread-safe.
class Receiver {
 public:
  struct Options {
    Tcp::endpoint backend_server;
    mesh::LocalBackend::Options standing;
    std::string backend_address;
    // Whether refusals of the backend server lower the number of requests that
    // it is sent at once.
    bool learns_room = false;
    // Whether its slowness is measured by mesh::Pace.
    bool measures_pace = false;
    // A larger answer is unusable.
    std::size_t max_answer_bytes = 0;
    // Account for answers that are being read; outlives the receiver.
    ByteBudget* budget = nullptr;
  };

  Receiver(EventLoop& loop, const Options& options,
           routing::Quarantine& quarantine, NodeMetrics& metrics);

  // Takes a call; `on_outcome` may be called before this returns.
  CallId Submit(Call call, OnOutcome on_outcome);

  // The sender has no more use for the answer. A run that may be repeated is
  // broken off; another one goes on and its answer is dropped.
  void Cancel(CallId id);

  // Takes in what the backend server says of itself. Returns whether it may be
  // acknowledged.
  bool Apply(const mesh::Announcement& announcement);
  bool Apply(const mesh::Departure& departure);

  // Path of health checks, from the configuration.
  void set_health_path(std::string path) { health_path_ = std::move(path); }

  // Takes over weights of organisations, and whether slots are reserved for
  // calls of backend servers.
  void SetConfiguration(
      std::shared_ptr<const mesh::Configuration> configuration);

  // The node stops: from now on only those calls are run that `policy` lets
  // run.
  void BeginStop(const mesh::StopPolicy& policy);

  // Takes no calls from now on, since the node is about to end.
  void RefuseCalls();

  // Called when the standing of the backend server changed.
  void set_on_standing_changed(std::function<void()> on_changed) {
    on_standing_changed_ = std::move(on_changed);
  }

  // Sets a further condition on which the backend server gets requests. It is
  // asked for each call and each report of the load.
  void set_may_accept(
      std::function<bool(const mesh::Announcement&)> may_accept) {
    may_accept_ = std::move(may_accept);
  }

  // The condition may hold now, or not hold any more.
  void OnConditionChanged();

  // Service of the backend server; empty if none has announced itself.
  std::string_view service() const;

  // Version of its software; empty if it does not tell.
  std::string_view backend_version() const;

  // Counts a call that was refused because the instance's link has no room.
  void RecordLinkRefusal() { metrics_.link_refusals.Add(); }

  // Counts a call that was refused for want of memory.
  void RecordMemoryRefusal() { metrics_.call_memory_refusals.Add(); }

  mesh::BackendLoad load() const;

  mesh::BackendStanding standing() const { return backend_.standing(); }

  // Calls that wait or run.
  std::size_t call_count() const { return calls_.size(); }
  bool is_idle() const { return calls_.empty(); }

 private:
  struct Pending {
    Call call;
    OnOutcome on_outcome;
    MonotonicTime deadline;
    MonotonicTime started{};
    bool is_running = false;
    // Requests at the backend server when this one was handed over, with it.
    int in_hand = 0;
    BackendClient::ExchangeId exchange = 0;
  };

  // Precondition: the backend server's standing is not kUnknown.
  bool may_accept() const {
    return !may_accept_ || may_accept_(backend_.announcement());
  }
  // Returns why a call may not be handed over now, if so.
  std::optional<mesh::Reason> FindRefusal(const Call& call,
                                          MonotonicTime deadline) const;
  double FindWeight(const std::string& organisation) const;
  // Hands a call over that the queue counts as running, or rejects it.
  void Start(CallId id);
  void StartWaiting();
  void Finish(CallId id, mesh::Outcome outcome, bool is_sample);
  void Reject(CallId id, mesh::Reason reason);
  void RejectDropped(const mesh::AdmissionQueue::Dropped& dropped);
  void RejectWaiting(mesh::Reason reason);
  // Rejects the waiting calls that could not be handed over now.
  void RejectUnservable();
  // Sets the slots that the queue may fill now. More than are known to be safe
  // are used only if all waiting calls, and the one that arrives, are
  // repeatable.
  void UpdateRoom(bool is_repeatable = true);
  // Records that the backend server refused a call or reset its connection.
  void RecordRefusal(const Pending& pending);
  // Takes over slots and service from the last announcement.
  void UseAnnouncement();
  void OnAnswer(CallId id, HttpResponse response);
  void OnFailure(CallId id, HttpFailure failure);
  void LogIgnored(const mesh::Announcement& announcement, std::string_view why);
  // Another backend server, or another incarnation, is at the address.
  void OnReplaced(std::string_view cause);
  void OnStandingChanged(std::string_view cause);
  void Verify();
  void OnConnectionLost(routing::Fingerprint fingerprint);
  void ScheduleFence();
  void ScheduleRelaxation();
  void ScheduleExpiry();

  const std::string backend_address_;
  routing::Quarantine& quarantine_;
  NodeMetrics& metrics_;
  const std::size_t max_answer_bytes_;
  BackendClient client_;
  mesh::LocalBackend backend_;
  mesh::AdmissionQueue queue_;
  // Null until the node has a configuration.
  std::shared_ptr<const mesh::Configuration> configuration_;
  mesh::OrganisationPolicy organisation_policy_;
  const bool learns_room_;
  mesh::BackendRoom room_;
  const bool measures_pace_;
  mesh::Pace pace_;
  std::string health_path_ = "/health";
  std::function<void()> on_standing_changed_;
  std::function<bool(const mesh::Announcement&)> may_accept_;
  CallId next_id_ = 1;
  std::unordered_map<CallId, Pending> calls_;
  Timer fence_timer_;
  Timer relax_timer_;
  Timer verify_timer_;
  Timer expiry_timer_;
  Timer gathering_timer_;
  bool is_expiry_scheduled_ = false;
  std::optional<mesh::StopPolicy> stop_;
  bool is_stopping_ = false;
  bool is_verifying_ = false;
  // Requests whose connections were lost together, until it is known whether
  // the backend server died.
  std::vector<routing::Fingerprint> lost_;
  bool is_checking_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_RECEIVER_H_
