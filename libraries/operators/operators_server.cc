#include "operators/operators_server.h"

#include <utility>

namespace oleandertide::operators {
namespace {

constexpr std::size_t kMaximumConnections = 16;

http::Response Text(int status, std::string body) {
  return {status, {}, std::move(body), "text/plain"};
}

http::Response Serve(const Sources& sources, const http::Request& request) {
  if (request.method != "GET" && request.method != "HEAD") {
    http::Response response = Text(405, "the only method is GET\n");
    response.headers.emplace_back("Allow", "GET, HEAD");
    return response;
  }
  if (request.path == "/livez") return Text(200, "live\n");
  if (request.path == "/readyz") {
    const auto reason = sources.reason_not_ready();
    if (reason) return Text(503, "not ready: " + *reason + "\n");
    return Text(200, "ready\n");
  }
  if (request.path == "/status") {
    return {200, {}, sources.status_json(), "application/json"};
  }
  if (request.path == "/metrics") {
    return {200, {}, sources.metrics_text(), "text/plain; version=0.0.4"};
  }
  return Text(404, "resources: /livez /readyz /status /metrics\n");
}

}  // namespace

Result<std::unique_ptr<http::Server>> StartOperatorsServer(
    const Address& address, Sources sources) {
  http::ServerOptions options;
  options.maximum_connections = kMaximumConnections;
  return http::Server::Start(
      address, options,
      [sources = std::move(sources)](const http::Request& request,
                                     const std::stop_token& /*cancelled*/) {
        return Serve(sources, request);
      },
      [](int status) { return Text(status, "request not accepted\n"); });
}

}  // namespace oleandertide::operators
