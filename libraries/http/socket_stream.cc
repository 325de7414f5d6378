#include "http/socket_stream.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace oleandertide::http {
namespace {

void Describe(const sockaddr_in& address, std::string& ip, int& port) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(address.sin_port);
}

}  // namespace

SocketStream::SocketStream(int socket, Duration timeout)
    : socket_(socket), timeout_(timeout) {}

bool SocketStream::WaitFor(short events, Duration timeout) const {
  pollfd descriptor{socket_, events, 0};
  return poll(&descriptor, 1, static_cast<int>(ToMilliseconds(timeout))) > 0;
}

bool SocketStream::WaitReadable(Duration timeout) const {
  return buffer_begin_ < buffer_end_ || WaitFor(POLLIN, timeout);
}

bool SocketStream::is_readable() const { return WaitReadable(timeout_); }

bool SocketStream::is_writable() const { return WaitFor(POLLOUT, timeout_); }

ssize_t SocketStream::read(char* data, size_t size) {
  if (buffer_begin_ == buffer_end_) {
    if (!is_readable()) return -1;
    // Large reads gain nothing from the buffer.
    if (size >= buffer_.size()) return recv(socket_, data, size, 0);
    const ssize_t received = recv(socket_, buffer_.data(), buffer_.size(), 0);
    if (received <= 0) return received;
    buffer_begin_ = 0;
    buffer_end_ = static_cast<std::size_t>(received);
  }
  const std::size_t count = std::min(size, buffer_end_ - buffer_begin_);
  std::memcpy(data, buffer_.data() + buffer_begin_, count);
  buffer_begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* data, size_t size) {
  if (!is_writable()) return -1;
  return send(socket_, data, size, MSG_NOSIGNAL);
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  Describe(address, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  Describe(address, ip, port);
}

}  // namespace oleandertide::http
