// Listens to the local backend server.

#ifndef OLEANDERTIDE_BACKEND_SERVERS_ANNOUNCEMENT_SERVER_H_
#define OLEANDERTIDE_BACKEND_SERVERS_ANNOUNCEMENT_SERVER_H_

#include <functional>
#include <memory>

#include "backend_servers/announcement.h"
#include "core/address.h"
#include "http/server.h"

namespace oleandertide::backend_servers {

using AnnouncementHandler = std::function<Result<void>(const Announcement&)>;

// Serves `PUT /backend-server` (see Announcement): 204 when accepted, 400 with
// the field and what is allowed otherwise, 404 and 405 for anything else.
// Errors: those of http::Server::Start.
Result<std::unique_ptr<http::Server>> StartAnnouncementServer(
    const Address& address, AnnouncementHandler handler);

}  // namespace oleandertide::backend_servers

#endif  // OLEANDERTIDE_BACKEND_SERVERS_ANNOUNCEMENT_SERVER_H_
