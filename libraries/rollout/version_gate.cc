#include "rollout/version_gate.h"

namespace oleandertide::rollout {

void VersionGate::OnBackend(const BackendIdentity& backend, BootTime now) {
  if (backend_ && backend_->id == backend.id &&
      backend_->service == backend.service &&
      backend_->version == backend.version &&
      backend_->started_at_ms == backend.started_at_ms) {
    return;
  }
  backend_ = Backend{.id = std::string(backend.id),
                     .service = std::string(backend.service),
                     .version = std::string(backend.version),
                     .started_at_ms = backend.started_at_ms};
  first_announced_at_ = now;
  is_confirmed_ = false;
  has_seen_same_version_ = false;
  has_seen_other_version_ = false;
}

void VersionGate::OnConfirmed(BootTime sent_at) {
  if (backend_ && sent_at >= first_announced_at_) is_confirmed_ = true;
}

void VersionGate::OnOtherVersion(std::string_view service,
                                 std::string_view version) {
  if (!backend_ || backend_->service != service) return;
  (version == backend_->version ? has_seen_same_version_
                                : has_seen_other_version_) = true;
}

bool VersionGate::MayAccept(const OrderState* state, BootTime now) const {
  // Without a version there is nothing to tell backend servers apart by.
  if (!backend_ || backend_->version.empty()) return true;
  if (!is_confirmed_) {
    const bool needs_like_one = options_.expects_orders || state != nullptr;
    const bool is_like_others =
        !has_seen_other_version_ && (has_seen_same_version_ || !needs_like_one);
    if (!is_like_others || now - first_announced_at_ < kUnconfirmedHold) {
      return false;
    }
  }
  if (state == nullptr) return true;
  if (backend_->version == state->withheld) return false;
  const bool is_new = backend_->version == state->order.to;
  switch (state->step) {
    case Step::kOrdered:
    case Step::kTrial:
      return true;
    case Step::kReplacing:
    case Step::kCompleted:
      return is_new;
    case Step::kRollingBack:
    case Step::kCancelled:
    case Step::kRolledBack:
      break;
  }
  return !is_new;
}

}  // namespace oleandertide::rollout
