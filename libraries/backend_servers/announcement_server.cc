#include "backend_servers/announcement_server.h"

#include <string>
#include <utility>

namespace oleandertide::backend_servers {
namespace {

constexpr std::size_t kMaximumConnections = 8;
constexpr std::size_t kMaximumBodyBytes = 4 * kKibibyte;

http::Response PlainText(int status, std::string text) {
  return {status, {}, std::move(text), "text/plain"};
}

http::Response Handle(const AnnouncementHandler& handler,
                      const http::Request& request) {
  if (request.path != "/backend-server") {
    return PlainText(404, "the only resource is /backend-server\n");
  }
  if (request.method != "PUT") {
    http::Response response = PlainText(405, "the only method is PUT\n");
    response.headers.emplace_back("Allow", "PUT");
    return response;
  }
  std::string explanation;
  const auto announcement = Announcement::Parse(request.body, &explanation);
  if (!announcement) return PlainText(400, explanation + "\n");
  const auto accepted = handler(announcement.value());
  if (!accepted) return PlainText(400, accepted.error().message() + "\n");
  return {204, {}, "", ""};
}

}  // namespace

Result<std::unique_ptr<http::Server>> StartAnnouncementServer(
    const Address& address, AnnouncementHandler handler) {
  http::ServerOptions options;
  options.maximum_connections = kMaximumConnections;
  options.maximum_body_bytes = kMaximumBodyBytes;
  return http::Server::Start(
      address, options,
      [handler = std::move(handler)](const http::Request& request,
                                     const std::stop_token& /*cancelled*/) {
        return Handle(handler, request);
      },
      [](int status) { return PlainText(status, "request not accepted\n"); });
}

}  // namespace oleandertide::backend_servers
