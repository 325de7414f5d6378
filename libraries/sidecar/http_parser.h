// Parses HTTP/1.1 messages from bytes that may be anything.

#ifndef OLEANDERTIDE_SIDECAR_HTTP_PARSER_H_
#define OLEANDERTIDE_SIDECAR_HTTP_PARSER_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <utility>

namespace oleandertide::sidecar {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// Whether HTTP has answers with such a status. Thread-safe.
constexpr bool IsHttpStatus(int status) {
  return status >= 100 && status < 600;
}

// What a message may have; a larger one is malformed.
struct HttpMessageLimits {
  std::size_t head_bytes = 0;
  std::size_t body_bytes = 0;
  // Bytes of extensions of chunks at the beginning of a body and for each 64
  // KiB of it. They are dropped, so that only the time for them is to be
  // bounded.
  std::size_t chunk_extension_bytes = std::size_t{16} << 10U;
  // Whether memory for a body with a length is asked for at once, so that one
  // that has begun can be ended. Otherwise it is asked for as bytes arrive.
  bool reserves_whole_body = true;
};

// Asked before memory for so many bytes of a body is taken; the message is
// refused (not_enough_memory) if it returns false. Empty: always granted.
using MayGrow = std::function<bool(std::size_t)>;

namespace detail {

// Builds a message from what Beast's grammar reports. Fields behind a chunked
// body are bounded as those of a head and dropped: they must not change what
// the head said.
template <bool kIsRequest>
class MessageBuilder final
    : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using Message =
      boost::beast::http::message<kIsRequest, boost::beast::http::string_body>;

  MessageBuilder(const HttpMessageLimits& limits, MayGrow may_grow)
      : max_trailer_bytes_(limits.head_bytes),
        max_extension_bytes_(limits.chunk_extension_bytes),
        reserves_whole_body_(limits.reserves_whole_body),
        most_body_bytes_(limits.body_bytes),
        may_grow_(std::move(may_grow)) {
    this->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    this->body_limit(limits.body_bytes);
    this->eager(true);
  }

  Message& message() { return message_; }

 private:
  using ErrorCode = boost::system::error_code;
  using View = boost::beast::string_view;

  // A field beyond this makes Beast's container throw.
  static constexpr std::size_t kMaxFieldBytes =
      std::numeric_limits<std::uint16_t>::max() - 2;

  // Memory for more than this is taken only when the bytes arrive.
  static constexpr std::size_t kMaxReservedBytes = std::size_t{256} << 10U;

  static constexpr std::size_t kExtensionStepBytes = std::size_t{64} << 10U;

  void on_request_impl(boost::beast::http::verb method, View method_text,
                       View target, int version,
                       ErrorCode& /*error*/) override {
    if constexpr (kIsRequest) {
      message_.target(target);
      if (method == boost::beast::http::verb::unknown) {
        message_.method_string(method_text);
      } else {
        message_.method(method);
      }
    }
    message_.version(static_cast<unsigned>(version));
  }

  void on_response_impl(int code, View /*reason*/, int version,
                        ErrorCode& error) override {
    // Beast takes any three digits.
    if (!IsHttpStatus(code)) {
      error = boost::beast::http::error::bad_status;
      return;
    }
    if constexpr (!kIsRequest) message_.result(static_cast<unsigned>(code));
    message_.version(static_cast<unsigned>(version));
  }

  void on_field_impl(boost::beast::http::field name, View name_text, View value,
                     ErrorCode& error) override {
    if (is_body_over_) {
      trailer_bytes_ += name_text.size() + value.size();
      if (trailer_bytes_ > max_trailer_bytes_) {
        error = boost::beast::http::error::header_limit;
      }
      return;
    }
    if (name_text.size() > kMaxFieldBytes || value.size() > kMaxFieldBytes) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    // The body of another coding would be passed on as if it had none, and a
    // request with one would be taken for one without body.
    if (name == boost::beast::http::field::transfer_encoding &&
        !boost::beast::iequals(value, "chunked")) {
      error = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    message_.insert(name, name_text, value);
  }

  void on_header_impl(ErrorCode& /*error*/) override {}

  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         ErrorCode& error) override {
    if (!length || *length == 0) return;
    if (may_grow_) {
      most_body_bytes_ = *length;
      if (reserves_whole_body_) Grow(*length, error);
      return;
    }
    message_.body().reserve(
        std::min<std::uint64_t>(*length, kMaxReservedBytes));
  }

  std::size_t on_body_impl(View body, ErrorCode& error) override {
    std::string& text = message_.body();
    const std::size_t needed = text.size() + body.size();
    if (may_grow_ && needed > text.capacity() &&
        !Grow(ChooseCapacity(needed), error)) {
      return 0;
    }
    text.append(body.data(), body.size());
    return body.size();
  }

  // Returns a capacity for `needed` bytes. Capacities double up to the most
  // that the body may have: while the bytes are copied, the old buffer and what
  // is used of the new one together are not larger than the new one.
  std::size_t ChooseCapacity(std::size_t needed) const {
    std::size_t capacity = most_body_bytes_;
    while (capacity / 2 >= needed) capacity /= 2;
    return std::max(capacity, needed);
  }

  // Returns whether there is memory for a body of `bytes`.
  bool Grow(std::size_t bytes, ErrorCode& error) {
    if (!may_grow_(bytes)) {
      error = boost::system::errc::make_error_code(
          boost::system::errc::not_enough_memory);
      return false;
    }
    // A string that grows in place doubles its capacity if it is asked for
    // less.
    std::string larger;
    larger.reserve(bytes);
    larger.append(message_.body());
    message_.body() = std::move(larger);
    return true;
  }

  void on_chunk_header_impl(std::uint64_t size, View extensions,
                            ErrorCode& error) override {
    extension_bytes_ += extensions.size();
    const std::size_t steps = 1 + message_.body().size() / kExtensionStepBytes;
    if (extension_bytes_ > steps * max_extension_bytes_) {
      error = boost::beast::http::error::bad_chunk_extension;
      return;
    }
    if (size == 0) is_body_over_ = true;
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, View body,
                                 ErrorCode& error) override {
    return on_body_impl(body, error);
  }

  void on_finish_impl(ErrorCode& /*error*/) override {}

  const std::size_t max_trailer_bytes_;
  const std::size_t max_extension_bytes_;
  const bool reserves_whole_body_;
  std::size_t most_body_bytes_;
  const MayGrow may_grow_;
  Message message_;
  std::size_t extension_bytes_ = 0;
  std::size_t trailer_bytes_ = 0;
  bool is_body_over_ = false;
};

}  // namespace detail

// Parses one message. Bytes that are no message end in an error and never in an
// exception. Not thread-safe.
template <bool kIsRequest>
class HttpParser {
 public:
  using Message = typename detail::MessageBuilder<kIsRequest>::Message;

  explicit HttpParser(const HttpMessageLimits& limits, MayGrow may_grow = {})
      : builder_(limits, std::move(may_grow)) {}

  // Takes the message for one without body, as the answer to a HEAD request is.
  // Precondition: nothing was put.
  void set_without_body() { builder_.skip(true); }

  // Parses bytes and returns how many were used; the others are to be put again
  // with further ones. Without an error, the message is complete or more bytes
  // are needed. Precondition: no error before and !is_complete().
  std::size_t Put(boost::asio::const_buffer bytes,
                  boost::system::error_code& error) {
    error = {};
    std::size_t total = 0;
    while (bytes.size() > 0 && !builder_.is_done()) {
      if (builder_.is_header_done() && builder_.chunked() &&
          bytes.size() < kMinChunkedBytes) {
        break;
      }
      const std::size_t used = builder_.put(bytes, error);
      bytes += used;
      total += used;
      if (error == boost::beast::http::error::need_more) {
        error = {};
        break;
      }
      if (error) break;
    }
    return total;
  }

  // The connection has ended in order. Returns whether that completes the
  // message: it has no length and its head is whole.
  bool PutEnd() {
    if (!builder_.is_header_done() || builder_.is_done()) return false;
    boost::system::error_code error;
    builder_.put_eof(error);
    return !error && builder_.is_done();
  }

  bool is_head_complete() const { return builder_.is_header_done(); }

  bool is_complete() const { return builder_.is_done(); }

  // Precondition: is_complete(); called once.
  Message Release() { return std::move(builder_.message()); }

 private:
  // A chunked body ends with this many bytes at least. Beast asserts that it
  // gets them together.
  static constexpr std::size_t kMinChunkedBytes = 5;

  detail::MessageBuilder<kIsRequest> builder_;
};

using HttpRequestParser = HttpParser<true>;
using HttpResponseParser = HttpParser<false>;

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_HTTP_PARSER_H_
