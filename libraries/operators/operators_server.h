// The operators' HTTP endpoint of a node.

#ifndef OLEANDERTIDE_OPERATORS_OPERATORS_SERVER_H_
#define OLEANDERTIDE_OPERATORS_OPERATORS_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/address.h"
#include "http/server.h"

namespace oleandertide::operators {

// What the endpoint shows. The functions run on the server's threads.
struct Sources {
  // Why the node is not ready, or nothing if it is.
  std::function<std::optional<std::string>()> reason_not_ready;
  std::function<std::string()> status_json;
  std::function<std::string()> metrics_text;
};

// Serves GET /livez, /readyz (503 with the reason while not ready), /status
// (JSON) and /metrics (Prometheus text). Errors: those of http::Server::Start.
Result<std::unique_ptr<http::Server>> StartOperatorsServer(
    const Address& address, Sources sources);

}  // namespace oleandertide::operators

#endif  // OLEANDERTIDE_OPERATORS_OPERATORS_SERVER_H_
