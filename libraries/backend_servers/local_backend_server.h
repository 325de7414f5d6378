// The backend server beside this node.

#ifndef OLEANDERTIDE_BACKEND_SERVERS_LOCAL_BACKEND_SERVER_H_
#define OLEANDERTIDE_BACKEND_SERVERS_LOCAL_BACKEND_SERVER_H_

#include <memory>
#include <mutex>

#include "backend_servers/session.h"

namespace oleandertide::backend_servers {

// Follows the announcements and keeps the present session. Thread-safe.
class LocalBackendServer {
 public:
  explicit LocalBackendServer(SessionOptions options) : options_(options) {}

  // Records an announcement; starts a new session when the process is a
  // different one. Errors: those of Session::Create.
  Result<void> Announce(const Announcement& announcement, MonotonicTime now);

  // The present session, or null while no backend server has announced itself.
  std::shared_ptr<Session> session() const;

  // Whether the backend server has said that it leaves.
  bool is_leaving() const;

  // Drops the session if it is dead, or if announcements have been missing for
  // 3 s and the process accepts no connection: a missing announcement alone
  // may only be late. Call about once a second; may block for 200 ms.
  void DropIfGone(MonotonicTime now);

 private:
  const SessionOptions options_;
  mutable std::mutex mutex_;
  std::shared_ptr<Session> session_;
  MonotonicTime announced_at_;
  bool is_leaving_ = false;
};

}  // namespace oleandertide::backend_servers

#endif  // OLEANDERTIDE_BACKEND_SERVERS_LOCAL_BACKEND_SERVER_H_
