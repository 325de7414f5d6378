#include "http/checked_client.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "http/answer_head.h"
#include "http/server.h"
#include "http/socket_stream.h"

namespace oleandertide::http {
namespace {

// The line end of the last chunk, and the empty line behind it.
constexpr std::string_view kChunkedEnd = "\r\n\r\n";

// Fails to read behind a malformed head, and remembers the last bytes that were
// read.
class AnswerStream final : public httplib::Stream {
 public:
  AnswerStream(int socket, Duration timeout) : stream_(socket, timeout) {}

  bool is_readable() const override { return stream_.is_readable(); }
  bool is_writable() const override { return stream_.is_writable(); }
  ssize_t read(char* data, size_t size) override {
    const ssize_t count = stream_.read(data, size);
    if (count <= 0) return count;
    const std::string_view bytes(data, static_cast<std::size_t>(count));
    is_malformed_ = is_malformed_ || !head_.Put(bytes);
    if (is_malformed_) return -1;
    Remember(bytes);
    return count;
  }
  ssize_t write(const char* data, size_t size) override {
    return stream_.write(data, size);
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    stream_.get_remote_ip_and_port(ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    stream_.get_local_ip_and_port(ip, port);
  }
  socket_t socket() const override { return stream_.socket(); }

  // Whether the library has read the head of an answer, and not another one.
  bool is_head_complete() const { return head_.is_complete(); }

  // The empty line is one that the library read by itself: a line that it did
  // not expect does not consist of a line end alone.
  bool is_chunked_end() const { return tail_ == kChunkedEnd; }

 private:
  void Remember(std::string_view bytes) {
    tail_.append(bytes.substr(bytes.size() -
                              std::min(bytes.size(), kChunkedEnd.size())));
    if (tail_.size() > kChunkedEnd.size()) {
      tail_.erase(0, tail_.size() - kChunkedEnd.size());
    }
  }

  SocketStream stream_;
  AnswerHeadCheck head_;
  std::string tail_;
  bool is_malformed_ = false;
};

}  // namespace

CheckedClient::CheckedClient(const Address& server)
    : httplib::ClientImpl(server.ip, server.port) {}

void CheckedClient::set_limit(Duration limit) {
  limit_ = limit;
  set_read_timeout(limit);
  set_write_timeout(limit);
}

bool CheckedClient::SendChecked(httplib::Request& request,
                                httplib::Response& answer,
                                httplib::Error& error) {
  if (!send(request, answer, error)) return false;
  if (!is_head_complete_) {
    error = httplib::Error::Read;
    return false;
  }
  const bool is_chunked =
      HasSameName(answer.get_header_value("Transfer-Encoding"), "chunked");
  if (is_chunked && request.method != "HEAD" && !is_chunked_end_) {
    error = httplib::Error::Read;
    return false;
  }
  return true;
}

bool CheckedClient::process_socket(
    const Socket& socket,
    std::function<bool(httplib::Stream& stream)> callback) {
  AnswerStream stream(socket.sock, limit_);
  const bool is_done = callback(stream);
  is_head_complete_ = stream.is_head_complete();
  is_chunked_end_ = stream.is_chunked_end();
  return is_done;
}

}  // namespace oleandertide::http
