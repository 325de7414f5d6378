// cpp-httplib's stream interface over a connected socket.

#ifndef OLEANDERTIDE_HTTP_SOCKET_STREAM_H_
#define OLEANDERTIDE_HTTP_SOCKET_STREAM_H_

#include <httplib.h>

#include <array>
#include <string>

#include "core/size.h"
#include "core/time.h"

namespace oleandertide::http {

// Does not own the socket. Reads through a buffer, because the library takes
// headers byte by byte. Not thread-safe.
class SocketStream final : public httplib::Stream {
 public:
  SocketStream(int socket, Duration timeout);

  bool is_readable() const override;
  bool is_writable() const override;
  // Return -1 after the timeout or on errors.
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

  // Waits until data is buffered or can be read, at most for `timeout`.
  bool WaitReadable(Duration timeout) const;

 private:
  bool WaitFor(short events, Duration timeout) const;

  const int socket_;
  const Duration timeout_;
  std::array<char, 4 * kKibibyte> buffer_;
  std::size_t buffer_begin_ = 0;
  std::size_t buffer_end_ = 0;
};

}  // namespace oleandertide::http

#endif  // OLEANDERTIDE_HTTP_SOCKET_STREAM_H_
