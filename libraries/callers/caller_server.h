// HTTP/1.1 towards callers.

#ifndef OLEANDERTIDE_CALLERS_CALLER_SERVER_H_
#define OLEANDERTIDE_CALLERS_CALLER_SERVER_H_

#include <memory>

#include "calls/ingress.h"
#include "core/address.h"
#include "http/server.h"

namespace oleandertide::callers {

// Serves callers: passes their requests to `ingress` and gives back the
// backend server's answer or a problem document. `Idempotency-Key` and
// `Oleandertide-Deadline-Milliseconds` (1 to 3,600,000) are read from the
// request. `ingress` must outlive the server. Errors: those of
// http::Server::Start.
Result<std::unique_ptr<http::Server>> StartCallerServer(
    const Address& address, const http::ServerOptions& options,
    calls::Ingress& ingress);

}  // namespace oleandertide::callers

#endif  // OLEANDERTIDE_CALLERS_CALLER_SERVER_H_
