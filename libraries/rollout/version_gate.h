// Whether the node beside a backend server may hand requests to it.

#ifndef OLEANDERTIDE_ROLLOUT_VERSION_GATE_H_
#define OLEANDERTIDE_ROLLOUT_VERSION_GATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"
#include "rollout/order.h"

namespace oleandertide::rollout {

// What tells backend servers at one address apart.
struct BackendIdentity {
  std::string_view id;
  std::string_view service;
  std::string_view version;
  std::int64_t started_at_ms = 0;
};

// Holds back a backend server until the node knows whether its version is on
// trial. Orders are written before the backend servers of the new version
// start, so an answer of the store to a call sent after the first announcement
// contains the order. The node's status then carries the order together with
// the word that the backend server accepts requests: no ingress learns of the
// one without the other.
//
// Expected load: new versions that start on nodes that have just started; old
// versions that restart while the store is down, which must not wait for it.
//
// Not thread-safe.
class VersionGate {
 public:
  // If the store does not answer, a backend server whose version is that of all
  // others of its service takes requests after this time. By then the node has
  // had the statuses of the others several times.
  static constexpr Duration kUnconfirmedHold = std::chrono::seconds(3);

  struct Options {
    // Whether operators are known to order roll-outs. If not, a backend server
    // needs no other one of its version to take requests without an answer of
    // the store: on a system without roll-outs, the only backend server of its
    // service would wait for as long as the store is down.
    bool expects_orders = true;
  };

  VersionGate() = default;
  explicit VersionGate(const Options& options) : options_(options) {}

  // Records which backend server is at the address; no change if it is the
  // known one.
  void OnBackend(const BackendIdentity& backend, BootTime now);

  // Records an answer of the store with the whole table of orders, or with all
  // changes of it, to a call sent at `sent_at`.
  void OnConfirmed(BootTime sent_at);

  // Records the version of another backend server of `service`.
  void OnOtherVersion(std::string_view service, std::string_view version);

  // Whether the node should ask the store now.
  bool needs_confirmation() const {
    return backend_ && !backend_->version.empty() && !is_confirmed_;
  }

  // Whether the backend server may get new requests; `state` is the order of
  // its service, nullptr if there is none.
  bool MayAccept(const OrderState* state, BootTime now) const;

  // Precondition: OnBackend was called.
  std::string_view version() const { return backend_->version; }

 private:
  struct Backend {
    std::string id;
    std::string service;
    std::string version;
    std::int64_t started_at_ms = 0;
  };

  Options options_;
  std::optional<Backend> backend_;
  BootTime first_announced_at_{};
  bool is_confirmed_ = false;
  // Of other backend servers since the first announcement.
  bool has_seen_same_version_ = false;
  bool has_seen_other_version_ = false;
};

}  // namespace oleandertide::rollout

#endif  // OLEANDERTIDE_ROLLOUT_VERSION_GATE_H_
