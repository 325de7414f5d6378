#include "sidecar/event_loop.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace oleandertide::sidecar {
namespace {

// Long enough for a burst of clients that all open new connections.
constexpr int kBacklog = 1024;

void SetOption(Tcp::socket& socket, int level, int name, int value) {
  // Failure leaves the system's default, which is only slower to notice a
  // silent connection.
  (void)setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}  // namespace

Result<Tcp::endpoint> ToEndpoint(const Address& address) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.ip, error);
  if (error) return make_error_code(Error::kInvalidArgument);
  return Tcp::endpoint(ip, address.port);
}

void SetConnectionOptions(Tcp::socket& socket, Duration limit) {
  const int milliseconds = static_cast<int>(ToMilliseconds(limit));
  const int seconds = std::max(1, milliseconds / 1000);
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, 1);
}

Result<Tcp::acceptor> Listen(EventLoop& loop, const Address& address) {
  OLEANDERTIDE_TRY(endpoint, ToEndpoint(address));
  Tcp::acceptor acceptor(loop);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(kBacklog, error);
  if (error) return std::error_code(error.value(), std::system_category());
  return acceptor;
}

}  // namespace oleandertide::sidecar
