#include "sidecar/event_loop.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace oleandertide::sidecar {
namespace {

// Long enough for a burst of clients that all open new connections.
constexpr int kBacklog = 1024;

// For links, the backend server and the store. The system's own bound grows to
// several MiB for a connection that is not read for a moment.
constexpr std::size_t kReceiveBufferBytes = std::size_t{128} << 10U;

void SetOption(int socket, int level, int name, int value) {
  // Failure leaves the system's default, which is only slower to notice a
  // silent connection, or larger.
  (void)setsockopt(socket, level, name, &value, sizeof(value));
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
  const int native = socket.native_handle();
  SetOption(native, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(native, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
  SetOption(native, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(native, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(native, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(native, IPPROTO_TCP, TCP_KEEPCNT, 1);
  SetReceiveBuffer(native, kReceiveBufferBytes);
}

void SetReceiveBuffer(int socket, std::size_t bytes) {
  // Linux doubles the number that it is given.
  SetOption(socket, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes / 2));
}

void BoundSegments(Tcp::acceptor& acceptor) {
  constexpr int kEthernetSegmentBytes = 1460;
  SetOption(acceptor.native_handle(), IPPROTO_TCP, TCP_MAXSEG,
            kEthernetSegmentBytes);
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
