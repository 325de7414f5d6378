#include "sidecar/http_server.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <bit>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "core/process_limits.h"
#include "logging/log.h"

namespace oleandertide::sidecar {

namespace http = boost::beast::http;

namespace detail {

// Requests of one connection that are handled concurrently.
constexpr std::size_t kMaxConcurrentRequests = 32;

// Bytes of answers that wait for an earlier one, or for a client that does not
// read. No further request of the connection is handled beyond it.
constexpr std::size_t kMaxHeldAnswerBytes = std::size_t{1} << 20U;

// Bytes of further requests that are kept unparsed. Reading stops there; a
// client that leaves is then noticed when its answer is sent.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{256} << 10U;

// Connections are checked for idleness this often.
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);

// A client that does not read its answer for this long is cut off.
constexpr Duration kWriteTimeout = std::chrono::seconds(30);

// Closing a connection with unread bytes resets it, and the client may lose the
// last answer. What the client still sends is read and dropped for this long,
// and then until its system has taken the answer (kWriteTimeout at most).
constexpr Duration kLingerTime = std::chrono::seconds(1);

// Reads of a connection, and connections that are accepted, at one look of a
// server that shuts down. A client that sends or connects without end must not
// hold up the node.
constexpr int kMaxReadsAtShutdown = 32;
constexpr int kMaxAcceptsAtShutdown = 1024;

// Bytes that are handed to the system at once.
constexpr std::size_t kMaxWriteBytes = std::size_t{64} << 10U;

// Pause after a failure to accept, e.g. for want of descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

// Bytes that a client sends or takes count as progress in steps: one that sends
// a byte now and then makes none.
constexpr std::size_t kProgressBytes = std::size_t{16} << 10U;

// A connection is left at least and at most so many unread bytes by the system.
constexpr std::size_t kMinReceiveBytes = std::size_t{4} << 10U;
constexpr std::size_t kMaxReceiveBytes = std::size_t{128} << 10U;

// A head is held by the request and by the call that is made of it.
constexpr std::size_t kHeadCopies = 2;

// A kept connection that was idle for less is not closed for a new one: its
// next request may be on its way.
constexpr Duration kShortIdleTime = std::chrono::seconds(1);

// Connections of 32 are looked at for each one that is closed for a new one.
constexpr std::size_t kClosedPart = 32;

// When to come back if memory is short: after what makes no progress has given
// way.
constexpr std::string_view kMemoryRetryAfter = "Retry-After: 1.000\r\n";

struct ServerFailure {
  int status;
};

// The answer to a request that cannot be parsed.
ServerFailure ToFailure(const boost::system::error_code& error) {
  if (error == http::error::header_limit) return {431};
  if (error == http::error::body_limit) return {413};
  if (error == boost::system::errc::not_enough_memory) return {503};
  return {400};
}

// Returns the number of bytes of line ends at the beginning.
std::size_t CountLineEnds(boost::asio::const_buffer bytes) {
  const std::string_view text(static_cast<const char*>(bytes.data()),
                              bytes.size());
  return std::min(text.find_first_not_of("\r\n"), text.size());
}

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer* server, Tcp::socket socket)
      : server_(server),
        socket_(std::move(socket)),
        budget_(server->bounds_.budget) {
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
  }

  void Start() {
    // The system no longer tells it once the client has left.
    boost::system::error_code error;
    const auto client = socket_.remote_endpoint(error);
    if (!error) client_ = client.address();
    if (budget_ != nullptr) {
      account_ = budget_->Open(
          error ? std::string() : client_.to_string(),
          [weak = weak_from_this()] {
            if (const auto self = weak.lock()) self->OnEvicted();
          },
          MonotonicClock::now());
    }
    AwaitBytes();
  }

  // How readily the connection is closed for a new one: the lowest first;
  // nothing if it is in use.
  enum class IdleClass : std::uint8_t { kLingering, kWithoutRequest, kKept };
  std::optional<IdleClass> FindIdleClass(MonotonicTime now) const {
    if (is_lingering_) return IdleClass::kLingering;
    if (is_writing_ || !pending_.empty()) return std::nullopt;
    if (has_partial_request_) {
      if (parser_->is_head_complete()) return std::nullopt;
      return IdleClass::kWithoutRequest;
    }
    if (first_number_ == 0) return IdleClass::kWithoutRequest;
    if (now - waiting_since_ < kShortIdleTime) return std::nullopt;
    return IdleClass::kKept;
  }

  MonotonicTime waiting_since() const { return waiting_since_; }

  void set_receive_buffer(std::size_t bytes) {
    SetReceiveBuffer(socket_.native_handle(), bytes);
  }

  ByteCharge TakeBodyCharge(RequestNumber number) {
    Pending* pending = Find(number);
    if (!account_ || pending == nullptr) return {};
    const std::size_t bytes = std::exchange(pending->body_bytes, 0);
    request_bytes_ -= bytes;
    charged_bytes_ -= bytes;
    return budget_->Detach(*account_, bytes);
  }

  const boost::asio::ip::address& client() const { return client_; }

  void Send(RequestNumber number, HttpAnswer answer) {
    Pending* pending = Find(number);
    if (pending == nullptr || pending->answer) return;
    pending->on_client_left = nullptr;
    held_bytes_ += answer.body.size();
    request_bytes_ -= std::exchange(pending->body_bytes, 0) +
                      std::exchange(pending->head_bytes, 0);
    pending->answer = std::move(answer);
    ForceCharge();
    WriteNext();
  }

  void set_on_client_left(RequestNumber number,
                          std::function<void()> on_client_left) {
    Pending* pending = Find(number);
    if (pending == nullptr) {
      // The client left while the handler was running.
      if (on_client_left) on_client_left();
      return;
    }
    if (!pending->answer) pending->on_client_left = std::move(on_client_left);
  }

  // Closes the connection if the client has exceeded its time.
  void CheckTime(MonotonicTime now) {
    if (is_writing_) {
      if (now >= write_deadline_) Close();
      return;
    }
    if (now < waiting_since_ + WaitLimit()) return;
    if (is_lingering_) {
      if (!has_unacknowledged_bytes() || now >= write_deadline_) Close();
      return;
    }
    if (!pending_.empty()) return;
    if (has_partial_request_) {
      Fail({408});
    } else {
      Close();
    }
  }

  // Refuses a body that arrives too slowly for the memory that it holds.
  void CheckRate(MonotonicTime now) {
    if (is_closed_ || server_ == nullptr) return;
    const HttpServerBounds& bounds = server_->bounds_;
    if (bounds.least_body_bytes == 0 || !has_partial_request_ ||
        !pending_.empty() || partial_bytes_ <= kProgressBytes) {
      window_since_ = now;
      window_bytes_ = 0;
      return;
    }
    if (now - window_since_ < bounds.least_body_window) return;
    const std::size_t arrived = std::exchange(window_bytes_, 0);
    window_since_ = now;
    if (arrived >= bounds.least_body_bytes) return;
    logging::Log(logging::Level::kInfo, "edge", "slow body refused",
                 {{"client", client_.to_string()},
                  {"held", charged_bytes_},
                  {"arrived", arrived},
                  {"least", bounds.least_body_bytes}});
    Fail({408});
  }

  // Whether no request has been read in part and no answer is on its way.
  bool is_idle() {
    if (is_lingering_) return !has_unacknowledged_bytes();
    return !has_partial_request_ &&
           std::ranges::none_of(pending_, [](const Pending& pending) {
             return pending.answer.has_value();
           });
  }

  void Close() {
    if (is_closed_) return;
    is_closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    // The callbacks may hold the last other references to this object.
    const auto self = shared_from_this();
    if (server_ != nullptr) server_->connections_.erase(self);
    DropPending();
    CloseAccount();
  }

  // Handles what has arrived, and ends the connection if nothing is in
  // progress. A new connection is left open for its first request, which is
  // likely to be on its way.
  void Shutdown() {
    for (int reads = 0; reads < kMaxReadsAtShutdown; ++reads) {
      if (is_lingering_ || unparsed_.size() >= kMaxUnparsedBytes ||
          !ReadBytes()) {
        break;
      }
    }
    if (is_closed_ || is_lingering_ || is_writing_ || !pending_.empty() ||
        has_partial_request_ || first_number_ == 0) {
      return;
    }
    End();
  }

  void Detach() {
    server_ = nullptr;
    for (Pending& pending : pending_) pending.on_client_left = nullptr;
    Close();
  }

 private:
  // A request that was handed to the handler, until its answer has been sent.
  struct Pending {
    bool keeps_alive = true;
    bool is_head_request = false;
    // Memory that the request holds until its answer.
    std::size_t body_bytes = 0;
    std::size_t head_bytes = 0;
    std::function<void()> on_client_left{};
    std::optional<HttpAnswer> answer{};
  };

  // A complete request that is handled when all answers before it are sent.
  struct HeldRequest {
    std::shared_ptr<HttpRequest> request;
    MonotonicTime received_at;
    std::size_t body_bytes = 0;
    std::size_t head_bytes = 0;
  };

  std::size_t CountHeldBytes() const {
    const std::size_t unparsed =
        unparsed_.size() == 0 ? 0 : unparsed_.capacity();
    return unparsed + partial_bytes_ + request_bytes_ + held_bytes_ +
           body_.size();
  }

  // Returns whether there is memory for what the connection holds.
  bool Charge() {
    if (!account_) return true;
    const std::size_t bytes = CountHeldBytes();
    if (bytes == charged_bytes_) return true;
    if (!budget_->Set(*account_, bytes, MonotonicClock::now())) {
      logging::Log(logging::Level::kWarning, "edge",
                   "refused for want of memory",
                   {{"client", client_.to_string()},
                    {"asked", bytes},
                    {"held", charged_bytes_},
                    {"in_use", budget_->used()},
                    {"bound", budget_->capacity()},
                    {"connections", budget_->held(ByteHolder::kConnections)},
                    {"requests", budget_->held(ByteHolder::kRequests)},
                    {"calls", budget_->held(ByteHolder::kCalls)},
                    {"links", budget_->held(ByteHolder::kLinks)},
                    {"answers", budget_->held(ByteHolder::kAnswers)},
                    {"resident", ResidentBytes()}});
      return false;
    }
    charged_bytes_ = bytes;
    return true;
  }

  void ForceCharge() {
    if (!account_) return;
    charged_bytes_ = CountHeldBytes();
    budget_->Force(*account_, charged_bytes_);
  }

  // Tells the budget whether the client is waited for.
  void UpdateWaiting() {
    if (!account_) return;
    const bool is_for_body =
        !is_writing_ && has_partial_request_ && may_parse();
    const bool is_waiting = is_writing_ || is_for_body;
    if (is_waiting == is_waiting_ && is_for_body == is_waiting_for_body_) {
      return;
    }
    is_waiting_ = is_waiting;
    is_waiting_for_body_ = is_for_body;
    progress_bytes_ = 0;
    budget_->SetWaiting(*account_, is_waiting, MonotonicClock::now(),
                        is_for_body);
  }

  void RecordProgress(std::size_t bytes) {
    window_bytes_ += bytes;
    progress_bytes_ += bytes;
    if (!account_ || !is_waiting_ || progress_bytes_ < kProgressBytes) return;
    progress_bytes_ = 0;
    budget_->RecordProgress(*account_, MonotonicClock::now());
  }

  void CloseAccount() {
    if (const auto account = std::exchange(account_, std::nullopt)) {
      budget_->Close(*account);
    }
  }

  // Memory is short, and the client makes no progress or holds up a link.
  void OnEvicted() {
    const std::size_t held = std::exchange(charged_bytes_, 0);
    if (is_closed_) return;
    // What is in use includes what was held.
    logging::Log(logging::Level::kWarning, "edge", "evicted for want of memory",
                 {{"client", client_.to_string()},
                  {"held", held},
                  {"in_use", budget_->used() + held},
                  {"bound", budget_->capacity()},
                  {"answer_unread", is_writing_}});
    if (is_writing_ || server_ == nullptr) {
      Close();
      return;
    }
    Fail({408});
  }

  // Returns whether there is memory for a body of `bytes`.
  bool GrowBody(std::size_t bytes) {
    const std::size_t before = std::exchange(partial_bytes_, bytes);
    if (Charge()) return true;
    partial_bytes_ = before;
    return false;
  }

  // Returns nothing if the connection has no use for the answer any more.
  Pending* Find(RequestNumber number) {
    if (number < first_number_ || number - first_number_ >= pending_.size()) {
      return nullptr;
    }
    return &pending_[number - first_number_];
  }

  // Forgets all requests and tells their handlers.
  void DropPending() {
    const auto pending = std::exchange(pending_, {});
    first_number_ += pending.size();
    held_.reset();
    request_bytes_ = 0;
    held_bytes_ = 0;
    ForceCharge();
    for (const Pending& dropped : pending) {
      if (dropped.on_client_left) dropped.on_client_left();
    }
  }

  // How long the client may take for what is waited for, by the limits in
  // force.
  Duration WaitLimit() const {
    if (is_lingering_) return kLingerTime;
    const HttpLimits& limits = server_->limits_;
    return has_partial_request_ && !parser_->is_head_complete()
               ? limits.header_timeout
               : limits.idle_timeout;
  }

  // The first bytes of a request have arrived.
  void BeginRequest() {
    const HttpLimits& limits = server_->limits_;
    MayGrow may_grow;
    if (account_) {
      may_grow = [this](std::size_t bytes) { return GrowBody(bytes); };
    }
    parser_.emplace(HttpMessageLimits{.head_bytes = limits.maximum_header_bytes,
                                      .body_bytes = limits.maximum_body_bytes},
                    std::move(may_grow));
    has_partial_request_ = true;
    arrived_bytes_ = 0;
    waiting_since_ = MonotonicClock::now();
    window_since_ = waiting_since_;
    window_bytes_ = 0;
    UpdateWaiting();
  }

  void EndRequest() {
    has_partial_request_ = false;
    waiting_since_ = MonotonicClock::now();
  }

  void AwaitBytes() {
    if (is_awaiting_ || is_closed_) return;
    if (unparsed_.size() >= kMaxUnparsedBytes) return;
    is_awaiting_ = true;
    socket_.async_wait(
        Tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& error) {
          self->is_awaiting_ = false;
          if (!error) self->ReadBytes();
        });
  }

  // Returns whether bytes were read.
  bool ReadBytes() {
    if (is_closed_ || server_ == nullptr) return false;
    auto& area = server_->read_area_;
    boost::system::error_code error;
    const std::size_t size =
        socket_.read_some(boost::asio::buffer(area), error);
    if (error == boost::asio::error::would_block) {
      AwaitBytes();
      return false;
    }
    if (error) {
      // A client that shuts down its side has no use for an answer.
      Close();
      return false;
    }
    if (is_lingering_) {
      AwaitBytes();
      return true;
    }
    RecordProgress(size);
    if (unparsed_.size() == 0) {
      const std::size_t used = Parse(boost::asio::buffer(area.data(), size));
      Keep(area.data() + used, size - used);
    } else {
      Keep(area.data(), size);
      ParseKept();
    }
    // Only the line of a chunk, or fields behind the body, can be so long.
    if (has_partial_request_ && parser_->is_head_complete() && may_parse() &&
        unparsed_.size() >
            server_->limits_.maximum_header_bytes + HttpServer::kReadBytes) {
      Fail({431});
    }
    AwaitBytes();
    return true;
  }

  void Keep(const char* bytes, std::size_t size) {
    // What stands behind the last request is not handled.
    if (size == 0 || is_closed_ || is_last_parsed_) return;
    boost::asio::buffer_copy(unparsed_.prepare(size),
                             boost::asio::buffer(bytes, size));
    unparsed_.commit(size);
    if (!Charge()) Fail({503});
  }

  void ParseKept() {
    if (unparsed_.size() == 0) return;
    unparsed_.consume(Parse(unparsed_.data()));
    if (unparsed_.size() == 0) unparsed_.shrink_to_fit();
    ForceCharge();
    UpdateWaiting();
  }

  // Whether the next request of the connection may be parsed.
  bool may_parse() const {
    if (is_closed_ || is_last_parsed_ || held_ || server_ == nullptr) {
      return false;
    }
    if (server_->is_closing_ && !pending_.empty()) return false;
    return pending_.size() < kMaxConcurrentRequests &&
           held_bytes_ < kMaxHeldAnswerBytes;
  }

  // Parses requests and handles them; returns the number of bytes that were
  // used.
  std::size_t Parse(boost::asio::const_buffer bytes) {
    std::size_t total = 0;
    while (bytes.size() > 0 && may_parse()) {
      if (!has_partial_request_) {
        // Some clients send an empty line behind a body.
        const std::size_t skipped = CountLineEnds(bytes);
        bytes += skipped;
        total += skipped;
        if (bytes.size() == 0) return total;
        BeginRequest();
      }
      boost::system::error_code error;
      const std::size_t used = parser_->Put(bytes, error);
      bytes += used;
      total += used;
      arrived_bytes_ += used;
      if (error) {
        Fail(ToFailure(error));
        return total;
      }
      if (!parser_->is_complete()) {
        if (parser_->is_head_complete()) waiting_since_ = MonotonicClock::now();
        return total;
      }
      left_to_parse_ = bytes.size() - CountLineEnds(bytes);
      OnRequest();
      left_to_parse_.reset();
    }
    return total;
  }

  // Whether the client's system has not taken all answers. Closing would lose
  // them if further bytes of the client have arrived or arrive later.
  bool has_unacknowledged_bytes() {
    // The end of the connection counts as a byte.
    const int least = is_lingering_ ? 2 : 1;
    int count = 0;
    return ioctl(socket_.native_handle(), SIOCOUTQ, &count) == 0 &&
           count >= least;
  }

  // Whether part of a request has been read behind those that were handled: it
  // is answered as well, unless the server shuts down. Clients may send without
  // end, and repeat what stands behind an answer that closes the connection.
  bool is_further_request_awaited() const {
    if (server_ == nullptr || !server_->acceptor_.is_open()) return false;
    if (has_partial_request_) return true;
    const std::size_t line_ends = CountLineEnds(unparsed_.data());
    return left_to_parse_.value_or(unparsed_.size() - line_ends) > 0;
  }

  void OnRequest() {
    auto request = std::make_shared<HttpRequest>(parser_->Release());
    const std::size_t body_size = request->body().size();
    const MonotonicTime now = MonotonicClock::now();
    if (!request->keep_alive()) is_last_parsed_ = true;
    HeldRequest arrived{
        .request = std::move(request),
        .received_at = now,
        .body_bytes = std::exchange(partial_bytes_, 0),
        .head_bytes =
            kHeadCopies *
            std::min(arrived_bytes_ - body_size,
                     std::uint64_t{server_->limits_.maximum_header_bytes})};
    request_bytes_ += arrived.body_bytes + arrived.head_bytes;
    EndRequest();
    const bool is_concurrent =
        !pending_.empty() && server_->is_repeatable_ &&
        server_->is_repeatable_(*arrived.request) &&
        (!account_ || budget_->HasRoom(*account_, CountHeldBytes()));
    ForceCharge();
    if (!pending_.empty() && !is_concurrent) {
      held_ = std::move(arrived);
      UpdateWaiting();
      return;
    }
    Handle(std::move(arrived));
  }

  void Handle(HeldRequest arrived) {
    const HttpRequest& request = *arrived.request;
    pending_.push_back({.keeps_alive = request.keep_alive(),
                        .is_head_request = request.method() == http::verb::head,
                        .body_bytes = arrived.body_bytes,
                        .head_bytes = arrived.head_bytes});
    UpdateWaiting();
    const RequestNumber number = first_number_ + pending_.size() - 1;
    server_->handler_(
        std::move(arrived.request),
        HttpReply(shared_from_this(), number, arrived.received_at));
  }

  // Answers a request that cannot be parsed, after those before it.
  void Fail(ServerFailure failure) {
    is_last_parsed_ = true;
    has_partial_request_ = false;
    // What the request holds is released before its answer is read.
    parser_.reset();
    partial_bytes_ = 0;
    unparsed_.clear();
    unparsed_.shrink_to_fit();
    UpdateWaiting();
    pending_.push_back({});
    Send(
        first_number_ + pending_.size() - 1,
        {.status = failure.status,
         .headers = std::string(failure.status == 503 ? kMemoryRetryAfter : ""),
         .closes_connection = true});
  }

  void WriteNext() {
    if (is_writing_ || is_closed_ || is_lingering_) return;
    if (pending_.empty() || !pending_.front().answer) return;
    const Pending& pending = pending_.front();
    HttpAnswer& answer = *pending_.front().answer;
    const bool is_last_read =
        pending_.size() == 1 && !held_ && !is_further_request_awaited();
    const bool closes =
        answer.closes_connection || !pending.keeps_alive ||
        (is_last_read && (server_ == nullptr || server_->is_closing_));
    closes_after_write_ = closes;
    const auto reason =
        http::obsolete_reason(static_cast<http::status>(answer.status));
    head_ = fmt::format("HTTP/1.1 {} {}\r\n{}", answer.status,
                        std::string_view(reason.data(), reason.size()),
                        answer.headers);
    const bool is_without_body = answer.status == 204 || answer.status == 304;
    if (!is_without_body) {
      head_ += fmt::format("Content-Length: {}\r\n", answer.body.size());
    }
    if (closes) head_ += "Connection: close\r\n";
    head_ += "\r\n";
    held_bytes_ -= answer.body.size();
    body_ = pending.is_head_request || is_without_body ? std::string()
                                                       : std::move(answer.body);
    is_writing_ = true;
    UpdateWaiting();
    write_deadline_ = MonotonicClock::now() + kWriteTimeout;
    const std::array<boost::asio::const_buffer, 2> buffers = {
        boost::asio::buffer(head_), boost::asio::buffer(body_)};
    boost::asio::async_write(
        socket_, buffers,
        [self = shared_from_this(), last = std::size_t{0}](
            const boost::system::error_code& error,
            std::size_t written) mutable -> std::size_t {
          if (written > last) self->RecordProgress(written - last);
          last = written;
          return error ? 0 : kMaxWriteBytes;
        },
        [self = shared_from_this()](const boost::system::error_code& error,
                                    std::size_t /*size*/) {
          self->OnWritten(error);
        });
  }

  void OnWritten(const boost::system::error_code& error) {
    is_writing_ = false;
    if (is_closed_) return;
    if (error || server_ == nullptr) {
      Close();
      return;
    }
    pending_.pop_front();
    ++first_number_;
    head_.clear();
    body_ = std::string();
    ForceCharge();
    UpdateWaiting();
    if (closes_after_write_) {
      End();
      return;
    }
    waiting_since_ = MonotonicClock::now();
    if (held_ && pending_.empty()) {
      Handle(*std::exchange(held_, std::nullopt));
    }
    WriteNext();
    ParseKept();
    AwaitBytes();
  }

  // Tells the client that no answer follows, and drops what it still sends.
  void End() {
    boost::system::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    is_lingering_ = true;
    waiting_since_ = MonotonicClock::now();
    unparsed_.clear();
    unparsed_.shrink_to_fit();
    parser_.reset();
    partial_bytes_ = 0;
    has_partial_request_ = false;
    DropPending();
    UpdateWaiting();
    AwaitBytes();
  }

  HttpServer* server_;
  Tcp::socket socket_;
  ByteBudget* const budget_;
  boost::asio::ip::address client_;
  std::optional<ByteBudget::AccountId> account_;
  // What the account holds.
  std::size_t charged_bytes_ = 0;
  // Bytes of the request that is being read.
  std::uint64_t arrived_bytes_ = 0;
  // For the body that is being read, and for requests without answer.
  std::size_t partial_bytes_ = 0;
  std::size_t request_bytes_ = 0;
  // Since the last step of progress, and in the window of the least rate.
  std::size_t progress_bytes_ = 0;
  std::size_t window_bytes_ = 0;
  MonotonicTime window_since_;
  bool is_waiting_ = false;
  bool is_waiting_for_body_ = false;
  // Bytes behind the requests in progress, and of a request that is not whole.
  boost::beast::flat_buffer unparsed_;
  // Number of bytes behind the request that is being handled right after it was
  // parsed, without line ends. unparsed_ does not show it then.
  std::optional<std::size_t> left_to_parse_;
  std::optional<HttpRequestParser> parser_;
  // In the order of the requests.
  std::deque<Pending> pending_;
  RequestNumber first_number_ = 0;
  std::optional<HeldRequest> held_;
  // Bytes of answers in pending_.
  std::size_t held_bytes_ = 0;
  // The answer that is being written, that of the first request.
  std::string head_;
  std::string body_;
  // Of the last answer, also for the client to take it in when the connection
  // has ended.
  MonotonicTime write_deadline_;
  // Since when the client's next bytes are waited for.
  MonotonicTime waiting_since_ = MonotonicClock::now();
  bool is_awaiting_ = false;
  bool has_partial_request_ = false;
  // No further request is parsed.
  bool is_last_parsed_ = false;
  bool is_writing_ = false;
  bool is_lingering_ = false;
  bool is_closed_ = false;
  bool closes_after_write_ = false;
};

}  // namespace detail

void HttpReply::Send(HttpAnswer answer) {
  connection_->Send(number_, std::move(answer));
}

ByteCharge HttpReply::TakeBodyCharge() {
  return connection_->TakeBodyCharge(number_);
}

void HttpReply::set_on_client_left(std::function<void()> on_client_left) {
  connection_->set_on_client_left(number_, std::move(on_client_left));
}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    EventLoop& loop, const Address& address, Handler handler,
    IsRepeatable is_repeatable) {
  OLEANDERTIDE_TRY(acceptor, Listen(loop, address));
  std::unique_ptr<HttpServer> server(new HttpServer(
      loop, std::move(acceptor), std::move(handler), std::move(is_repeatable)));
  server->Accept();
  server->Sweep();
  return server;
}

HttpServer::HttpServer(EventLoop& loop, Tcp::acceptor acceptor, Handler handler,
                       IsRepeatable is_repeatable)
    : acceptor_(std::move(acceptor)),
      accept_timer_(loop),
      sweep_timer_(loop),
      handler_(std::move(handler)),
      is_repeatable_(std::move(is_repeatable)) {}

bool HttpServer::is_idle() const {
  return std::ranges::all_of(connections_, [](const auto& connection) {
    return connection->is_idle();
  });
}

HttpServer::~HttpServer() {
  const auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections) connection->Detach();
}

void HttpServer::Accept() {
  if (bounds_.max_connections != 0 &&
      connections_.size() > bounds_.max_connections) {
    logging::Log(logging::Level::kWarning, "edge", "accepting paused",
                 {{"listening", ListeningAddress()},
                  {"connections", connections_.size()},
                  {"bound", bounds_.max_connections}});
    accept_timer_.Start(detail::kAcceptPause, [this] {
      MakeRoom();
      Accept();
    });
    return;
  }
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (error) {
          if (!acceptor_.is_open()) return;
          accept_timer_.Start(detail::kAcceptPause, [this] { Accept(); });
          return;
        }
        MakeRoom();
        Add(std::move(socket));
        if (acceptor_.is_open()) Accept();
      });
}

std::string HttpServer::ListeningAddress() const {
  boost::system::error_code error;
  const auto endpoint = acceptor_.local_endpoint(error);
  if (error) return {};
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

void HttpServer::Add(Tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto connection =
      std::make_shared<detail::ServerConnection>(this, std::move(socket));
  connections_.insert(connection);
  BoundUnread();
  connection->Start();
}

void HttpServer::BoundUnread() {
  if (bounds_.max_unread_bytes == 0) return;
  const std::size_t count = connections_.size();
  if (unread_shares_ != 0 && count <= unread_shares_ &&
      count >= unread_shares_ / 4) {
    return;
  }
  unread_shares_ = std::bit_ceil(count);
  const std::size_t bytes =
      std::clamp(bounds_.max_unread_bytes / unread_shares_,
                 detail::kMinReceiveBytes, detail::kMaxReceiveBytes);
  if (bytes == receive_buffer_bytes_) return;
  const bool is_less =
      receive_buffer_bytes_ == 0 || bytes < receive_buffer_bytes_;
  receive_buffer_bytes_ = bytes;
  SetReceiveBuffer(acceptor_.native_handle(), bytes);
  if (!is_less) return;
  for (const auto& connection : connections_) {
    connection->set_receive_buffer(bytes);
  }
}

void HttpServer::MakeRoom() {
  if (bounds_.max_connections == 0 ||
      connections_.size() < bounds_.max_connections) {
    return;
  }
  struct Candidate {
    detail::ServerConnection::IdleClass idle_class;
    MonotonicTime since;
    std::shared_ptr<detail::ServerConnection> connection;
  };
  const MonotonicTime now = MonotonicClock::now();
  std::vector<Candidate> candidates;
  for (const auto& connection : connections_) {
    if (const auto idle_class = connection->FindIdleClass(now)) {
      candidates.push_back(
          {*idle_class, connection->waiting_since(), connection});
    }
  }
  const std::size_t count = std::min(
      candidates.size(), 1 + bounds_.max_connections / detail::kClosedPart);
  std::ranges::partial_sort(
      candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {},
      [](const Candidate& candidate) {
        return std::pair(candidate.idle_class, candidate.since);
      });
  const std::string listening = ListeningAddress();
  for (std::size_t i = 0; i < count; ++i) {
    const auto& connection = candidates[i].connection;
    logging::Log(logging::Level::kInfo, "edge", "closed for a new connection",
                 {{"client", connection->client().to_string()},
                  {"listening", listening},
                  {"idle_ms", ToMilliseconds(now - candidates[i].since)},
                  {"connections", connections_.size()},
                  {"bound", bounds_.max_connections}});
    connection->Close();
  }
  closed_for_new_ += count;
}

void HttpServer::Shutdown() {
  is_closing_ = true;
  accept_timer_.Cancel();
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  for (int i = 0; !error && i < detail::kMaxAcceptsAtShutdown; ++i) {
    Tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  acceptor_.close(error);
  const std::vector<std::shared_ptr<detail::ServerConnection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections) connection->Shutdown();
}

void HttpServer::Sweep() {
  sweep_timer_.Start(detail::kSweepInterval, [this] {
    const MonotonicTime now = MonotonicClock::now();
    const std::vector<std::shared_ptr<detail::ServerConnection>> connections(
        connections_.begin(), connections_.end());
    for (const auto& connection : connections) {
      connection->CheckTime(now);
      connection->CheckRate(now);
    }
    Sweep();
  });
}

}  // namespace oleandertide::sidecar
