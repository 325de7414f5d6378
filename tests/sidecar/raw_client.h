// A client that sends bytes as they are.

#ifndef OLEANDERTIDE_TESTS_SIDECAR_RAW_CLIENT_H_
#define OLEANDERTIDE_TESTS_SIDECAR_RAW_CLIENT_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "core/address.h"
#include "sidecar/event_loop.h"

namespace oleandertide::sidecar {

// Collects what comes back while the loop runs; outlives the loop's last run or
// is closed before. Not thread-safe.
class RawClient {
 public:
  RawClient(EventLoop& loop, const Address& address) : socket_(loop) {
    socket_.connect(ToEndpoint(address).value());
    socket_.set_option(Tcp::no_delay(true));
    Read();
  }

  // Sends bytes; errors of a connection that the server closed are ignored.
  void Send(std::string_view bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes.data(), bytes.size()),
                       ignored);
  }

  void Close() { socket_.close(); }

  // All bytes that came.
  const std::string& received() const { return received_; }

  // Whether the server ended the connection, and whether it did in order.
  bool is_ended() const { return is_ended_; }
  bool is_reset() const { return is_reset_; }

  // How often `text` came.
  std::size_t Count(std::string_view text) const {
    std::size_t count = 0;
    for (std::size_t at = received_.find(text); at != std::string::npos;
         at = received_.find(text, at + text.size())) {
      ++count;
    }
    return count;
  }

 private:
  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(chunk_),
        [this](const boost::system::error_code& error, std::size_t size) {
          if (error == boost::asio::error::operation_aborted) return;
          if (error) {
            is_ended_ = true;
            is_reset_ = error != boost::asio::error::eof;
            return;
          }
          received_.append(chunk_.data(), size);
          Read();
        });
  }

  Tcp::socket socket_;
  std::array<char, 4096> chunk_{};
  std::string received_;
  bool is_ended_ = false;
  bool is_reset_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_TESTS_SIDECAR_RAW_CLIENT_H_
