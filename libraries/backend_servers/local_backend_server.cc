#include "backend_servers/local_backend_server.h"

#include <utility>

namespace oleandertide::backend_servers {
namespace {

constexpr Duration kAnnouncementTimeout = std::chrono::seconds(3);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(200);

bool IsSameProcess(const Announcement& first, const Announcement& second) {
  return first.address == second.address && first.service == second.service &&
         first.life == second.life && first.slots == second.slots &&
         first.connections == second.connections;
}

}  // namespace

Result<void> LocalBackendServer::Announce(const Announcement& announcement,
                                          MonotonicTime now) {
  std::lock_guard lock(mutex_);
  // A backend server that stays after all needs a session that admits again.
  const bool has_returned = is_leaving_ && !announcement.is_leaving;
  const bool is_known = session_ && !session_->is_dead() && !has_returned &&
                        IsSameProcess(session_->announcement(), announcement);
  if (!is_known) {
    OLEANDERTIDE_TRY(session, Session::Create(announcement, options_));
    session_ = std::move(session);
  }
  announced_at_ = now;
  is_leaving_ = announcement.is_leaving;
  return Success();
}

std::shared_ptr<Session> LocalBackendServer::session() const {
  std::lock_guard lock(mutex_);
  return session_;
}

bool LocalBackendServer::is_leaving() const {
  std::lock_guard lock(mutex_);
  return is_leaving_;
}

void LocalBackendServer::DropIfGone(MonotonicTime now) {
  std::shared_ptr<Session> session;
  {
    std::lock_guard lock(mutex_);
    const bool is_late = now - announced_at_ > kAnnouncementTimeout;
    if (!session_ || (!is_late && !session_->is_dead())) return;
    session = session_;
  }
  if (!session->Probe(kProbeTimeout)) return;
  std::lock_guard lock(mutex_);
  if (session_ == session) session_ = nullptr;
}

}  // namespace oleandertide::backend_servers
