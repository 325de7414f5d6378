// A client's connection to an HTTP/1.1 server: backend server or store.

#ifndef OLEANDERTIDE_SIDECAR_HTTP_CONNECTION_H_
#define OLEANDERTIDE_SIDECAR_HTTP_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"
#include "sidecar/byte_budget.h"
#include "sidecar/event_loop.h"
#include "sidecar/http_parser.h"
#include "sidecar/shared_body.h"
#include "sidecar/timer.h"

namespace oleandertide::sidecar {

// Why there is no answer.
enum class HttpFailure : std::uint8_t {
  // The request was not sent.
  kConnectRefused,
  kConnectTimeout,
  // It may have been received.
  kConnectionLost,
  kMalformedAnswer,
  kTimeout,
  kNoMemory,
};

// Returns a text for logs. Thread-safe.
std::string_view ToString(HttpFailure failure);

struct HttpExchange {
  // With the line that ends it.
  std::string head;
  SharedBody body;
  bool is_head_request = false;
  // Time until the exchange is given up and the connection closed.
  Duration limit{};
  // Whether the limit starts anew when bytes arrive: a large answer may take
  // long on a narrow link.
  bool is_limit_renewed = false;
  // An answer with a larger body is malformed.
  std::size_t max_body_bytes = std::size_t{16} << 20U;
  // Whether an answer belongs to this request; others are skipped and the
  // connection is not used again. The flag tells that the connection carried no
  // request before, so that no late answer can come on it. Empty: every answer
  // belongs to it.
  std::function<bool(const boost::beast::http::fields&, bool is_first_request)>
      is_answer;
  // Called once, unless the connection is closed before.
  std::function<void(HttpResponse)> on_answer;
  std::function<void(HttpFailure)> on_failure;
};

// Carries one exchange at a time. An answer without length is complete only if
// its connection ends in order and the request has been sent whole: the system
// reports a reset only once, to whichever of reading and writing comes first,
// and reading then finds an end as if it were in order. Bytes that belong to no
// answer, and an answer that came before its request was sent whole, make the
// connection unusable for another exchange. A server that sends bytes without
// end is cut off: heads, bodies, bytes that cannot be parsed yet, skipped
// answers and the whole time are limited. Not thread-safe.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // Connects when the first exchange starts.
  HttpConnection(EventLoop& loop, Tcp::endpoint endpoint,
                 Duration connect_limit);

  // Precondition: is_usable() and no exchange is in progress.
  void Start(HttpExchange exchange);

  // Closes the connection; callbacks of the exchange are not called.
  void Close();

  // Sets the account for large answers that are being read: one for which there
  // is no memory is given up. Null: not in an account. Outlives the open
  // connection. Precondition: no exchange has begun.
  void set_budget(ByteBudget* budget) { budget_ = budget; }

  // Sets what to call when the connection ends without an exchange.
  void set_on_closed(std::function<void()> on_closed) {
    on_closed_ = std::move(on_closed);
  }

  // Whether a further exchange may be started when none is in progress.
  bool is_usable() const { return !is_closed_ && is_reusable_; }

  bool is_connected() const { return is_connected_; }

  // When the last exchange ended.
  MonotonicTime idle_since() const { return idle_since_; }

  // How long the server keeps the connection open, if it said so.
  std::optional<Duration> keep_alive() const { return keep_alive_; }

 private:
  // How far the request has been handed to the system.
  enum class Sending : std::uint8_t { kInProgress, kDone, kFailed };

  void Connect();
  void Write();
  void OnWritten(const boost::system::error_code& error);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void Parse();
  void BeginAnswer();
  void FinishAnswer();
  // Goes on to the answer behind one that is not the exchange's.
  void SkipAnswer();
  // Returns whether there is memory for an answer's body of `bytes`. May close
  // the connection.
  bool GrowAnswer(std::size_t bytes);
  void ReleaseCharge();
  // Another account needs the memory, and this answer is the largest.
  void OnEvicted();
  // There is no memory for the answer.
  void GiveUpAnswer();
  void OnEnd(const boost::system::error_code& error);
  // The server has ended an answer without length.
  void FinishAnswerAtEnd();
  void Fail(HttpFailure failure);
  void StartTimer(Duration limit, HttpFailure failure);

  Tcp::socket socket_;
  Timer timer_;
  const Tcp::endpoint endpoint_;
  const Duration connect_limit_;
  boost::beast::flat_buffer buffer_;
  std::optional<HttpResponseParser> parser_;
  std::optional<HttpExchange> exchange_;
  ByteBudget* budget_ = nullptr;
  // Opened for the first large answer.
  std::optional<ByteBudget::AccountId> account_;
  std::size_t charged_bytes_ = 0;
  std::function<void()> on_closed_;
  MonotonicTime idle_since_;
  std::optional<Duration> keep_alive_;
  // When the exchange is given up although bytes still arrive.
  MonotonicTime last_limit_;
  // Answers skipped in this exchange.
  int skipped_ = 0;
  bool is_first_request_ = true;
  bool is_connected_ = false;
  bool is_reading_ = false;
  Sending sending_ = Sending::kInProgress;
  // The server sends nothing more, and what it sent is whole if the request is
  // sent whole.
  bool is_answer_ended_ = false;
  bool is_reusable_ = true;
  bool is_closed_ = false;
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_HTTP_CONNECTION_H_
