#include "sidecar/http_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <limits>
#include <utility>

#include "logging/log.h"

namespace oleandertide::sidecar {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} << 10U;

// Smaller answers are not in the account: they are read at once.
constexpr std::size_t kUncountedBytes = std::size_t{64} << 10U;

constexpr std::size_t kMaxHeadBytes = std::numeric_limits<std::uint16_t>::max();

// Bytes of a head, or of a chunk's line with its extensions, that may be kept
// unparsed.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} << 10U;

// Informational and late answers in front of an answer.
constexpr int kMaxSkippedAnswers = 16;

// How often the limit of an exchange may pass while bytes arrive.
constexpr int kMaxRenewals = 20;

// Time until a silent connection fails; the kernel counts in whole seconds.
constexpr Duration kSilenceLimit = std::chrono::seconds(1);

// Reads `timeout=N` of a Keep-Alive header.
std::optional<Duration> ParseKeepAlive(boost::beast::string_view text) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view view(text.data(), text.size());
  const std::size_t start = view.find(kName);
  if (start == std::string_view::npos) return std::nullopt;
  const std::size_t first = start + kName.size();
  int seconds = 0;
  const auto parsed =
      std::from_chars(view.data() + first, view.data() + view.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

std::string_view ToString(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kConnectRefused:
      return "connect-refused";
    case HttpFailure::kConnectTimeout:
      return "connect-timeout";
    case HttpFailure::kConnectionLost:
      return "connection-lost";
    case HttpFailure::kMalformedAnswer:
      return "malformed-answer";
    case HttpFailure::kTimeout:
      return "timeout";
    case HttpFailure::kNoMemory:
      return "no-memory";
  }
  return "unknown";
}

HttpConnection::HttpConnection(EventLoop& loop, Tcp::endpoint endpoint,
                               Duration connect_limit)
    : socket_(loop),
      timer_(loop),
      endpoint_(std::move(endpoint)),
      connect_limit_(connect_limit) {}

void HttpConnection::Start(HttpExchange exchange) {
  exchange_ = std::move(exchange);
  sending_ = Sending::kInProgress;
  skipped_ = 0;
  last_limit_ = MonotonicClock::now() + exchange_->limit * kMaxRenewals;
  BeginAnswer();
  if (!is_connected_) {
    Connect();
    return;
  }
  StartTimer(exchange_->limit, HttpFailure::kTimeout);
  Write();
}

void HttpConnection::Connect() {
  StartTimer(connect_limit_, HttpFailure::kConnectTimeout);
  socket_.async_connect(endpoint_, [self = shared_from_this()](
                                       const boost::system::error_code& error) {
    if (self->is_closed_) return;
    if (error) {
      self->Fail(HttpFailure::kConnectRefused);
      return;
    }
    self->is_connected_ = true;
    SetConnectionOptions(self->socket_, kSilenceLimit);
    self->StartTimer(self->exchange_->limit, HttpFailure::kTimeout);
    self->Write();
    self->Read();
  });
}

void HttpConnection::StartTimer(Duration limit, HttpFailure failure) {
  timer_.Start(limit,
               [self = shared_from_this(), failure] { self->Fail(failure); });
}

void HttpConnection::Write() {
  const std::array<boost::asio::const_buffer, 2> buffers = {
      boost::asio::buffer(exchange_->head),
      boost::asio::buffer(exchange_->body.view())};
  boost::asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*size*/) {
        self->OnWritten(error);
      });
}

void HttpConnection::OnWritten(const boost::system::error_code& error) {
  if (is_closed_) return;
  // An answer that has arrived can still be read after a failure.
  sending_ = error ? Sending::kFailed : Sending::kDone;
  // A run may take long, and nobody asks for the body again.
  if (!error) exchange_->body = SharedBody();
  if (is_answer_ended_) FinishAnswerAtEnd();
}

void HttpConnection::Read() {
  if (is_reading_ || is_closed_) return;
  is_reading_ = true;
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](
                              const boost::system::error_code& error,
                              std::size_t size) { self->OnRead(error, size); });
}

void HttpConnection::OnRead(const boost::system::error_code& error,
                            std::size_t size) {
  is_reading_ = false;
  if (is_closed_) return;
  if (error) {
    OnEnd(error);
    return;
  }
  buffer_.commit(size);
  if (!exchange_) {
    // No answer is due.
    Close();
    return;
  }
  if (exchange_->is_limit_renewed && MonotonicClock::now() < last_limit_) {
    StartTimer(exchange_->limit, HttpFailure::kTimeout);
  }
  Parse();
  Read();
}

void HttpConnection::BeginAnswer() {
  if (charged_bytes_ > 0) ReleaseCharge();
  MayGrow may_grow;
  if (budget_ != nullptr) {
    may_grow = [this](std::size_t bytes) { return GrowAnswer(bytes); };
  }
  // What an answer says of its length costs its server nothing.
  parser_.emplace(HttpMessageLimits{.head_bytes = kMaxHeadBytes,
                                    .body_bytes = exchange_->max_body_bytes,
                                    .reserves_whole_body = false},
                  std::move(may_grow));
  if (exchange_->is_head_request) parser_->set_without_body();
}

void HttpConnection::Parse() {
  boost::system::error_code error;
  buffer_.consume(parser_->Put(buffer_.data(), error));
  // An eviction may have cancelled the exchange.
  if (is_closed_) return;
  if (error == boost::system::errc::not_enough_memory) {
    GiveUpAnswer();
    return;
  }
  if (error ||
      (!parser_->is_complete() && buffer_.size() > kMaxUnparsedBytes)) {
    Fail(HttpFailure::kMalformedAnswer);
    return;
  }
  if (parser_->is_complete()) FinishAnswer();
}

bool HttpConnection::GrowAnswer(std::size_t bytes) {
  if (bytes <= kUncountedBytes) return true;
  const MonotonicTime now = MonotonicClock::now();
  if (!account_) {
    account_ = budget_->OpenAnswer(
        [weak = weak_from_this()] {
          if (const auto self = weak.lock()) self->OnEvicted();
        },
        now);
  }
  if (!budget_->Set(*account_, bytes, now)) return false;
  charged_bytes_ = bytes;
  return true;
}

void HttpConnection::ReleaseCharge() {
  charged_bytes_ = 0;
  if (account_) budget_->Force(*account_, 0);
}

void HttpConnection::FinishAnswer() {
  HttpResponse response = parser_->Release();
  if (response.result_int() >= 100 && response.result_int() < 200) {
    SkipAnswer();
    return;
  }
  if (exchange_->is_answer &&
      !exchange_->is_answer(response, is_first_request_)) {
    // A late or repeated answer to an earlier request; ours may follow.
    is_reusable_ = false;
    SkipAnswer();
    return;
  }
  is_first_request_ = false;
  timer_.Cancel();
  idle_since_ = MonotonicClock::now();
  keep_alive_ = ParseKeepAlive(response[boost::beast::http::field::keep_alive]);
  if (!response.keep_alive() || buffer_.size() > 0 ||
      sending_ != Sending::kDone) {
    is_reusable_ = false;
  }
  const auto self = shared_from_this();
  const auto on_answer = std::move(exchange_->on_answer);
  exchange_.reset();
  // Whoever takes the answer charges it.
  if (charged_bytes_ > 0) ReleaseCharge();
  if (!is_reusable_) Close();
  on_answer(std::move(response));
}

void HttpConnection::SkipAnswer() {
  if (++skipped_ > kMaxSkippedAnswers) {
    Fail(HttpFailure::kMalformedAnswer);
    return;
  }
  BeginAnswer();
  Parse();
}

void HttpConnection::OnEvicted() {
  GiveUpAnswer();
  // The connection itself may live on in a handler.
  parser_.reset();
}

void HttpConnection::GiveUpAnswer() {
  logging::Log(logging::Level::kWarning, "http",
               "answer given up for want of memory",
               {{"server", endpoint_.address().to_string()},
                {"port", endpoint_.port()},
                {"held", charged_bytes_},
                {"in_use", budget_->used()},
                {"bound", budget_->capacity()}});
  Fail(HttpFailure::kNoMemory);
}

void HttpConnection::OnEnd(const boost::system::error_code& error) {
  if (!exchange_) {
    Close();
    return;
  }
  is_reusable_ = false;
  if (error != boost::asio::error::eof || !parser_->PutEnd()) {
    Fail(HttpFailure::kConnectionLost);
    return;
  }
  is_answer_ended_ = true;
  if (sending_ != Sending::kInProgress) FinishAnswerAtEnd();
}

void HttpConnection::FinishAnswerAtEnd() {
  if (sending_ == Sending::kDone) FinishAnswer();
  // The answer may belong to another request.
  if (exchange_) Fail(HttpFailure::kConnectionLost);
}

void HttpConnection::Fail(HttpFailure failure) {
  const auto self = shared_from_this();
  const auto on_failure = std::move(exchange_->on_failure);
  exchange_.reset();
  Close();
  on_failure(failure);
}

void HttpConnection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  exchange_.reset();
  if (const auto account = std::exchange(account_, std::nullopt)) {
    budget_->Close(*account);
  }
  timer_.Cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  const auto self = shared_from_this();
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
}

}  // namespace oleandertide::sidecar
