#include "sidecar/store_client.h"

#include <fmt/format.h>

#include <utility>

#include "logging/log.h"

namespace oleandertide::sidecar {
namespace {

// The store answers within milliseconds; a call without a byte for longer has
// met an outage.
constexpr Duration kCallLimit = std::chrono::seconds(1);
constexpr Duration kConnectLimit = std::chrono::milliseconds(700);

std::error_code ToError(int status) {
  switch (status) {
    case 404:
    case 410:
      return make_error_code(Error::kNotFound);
    case 412:
      return make_error_code(Error::kConflict);
    case 429:
      return make_error_code(Error::kRateLimited);
    case 503:
      return make_error_code(Error::kUnavailable);
    default:
      return make_error_code(Error::kInternal);
  }
}

std::error_code ToError(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kConnectRefused:
    case HttpFailure::kConnectTimeout:
      return make_error_code(Error::kUnavailable);
    case HttpFailure::kMalformedAnswer:
      return make_error_code(Error::kDataDamaged);
    case HttpFailure::kConnectionLost:
    case HttpFailure::kTimeout:
    case HttpFailure::kNoMemory:
      break;
  }
  return make_error_code(Error::kOutcomeUnknown);
}

Result<platform::RowList> ToRows(Result<std::string> body) {
  if (!body) return body.error();
  auto rows = platform::DecodeRows(body.value());
  if (!rows) return make_error_code(Error::kDataDamaged);
  return std::move(rows).value();
}

}  // namespace

StoreClient::StoreClient(EventLoop& loop, Tcp::endpoint endpoint,
                         std::string host, NodeMetrics& metrics,
                         coordination::StoreClock& clock)
    : loop_(loop),
      endpoint_(std::move(endpoint)),
      host_(std::move(host)),
      metrics_(metrics),
      clock_(clock) {}

StoreClient::~StoreClient() {
  if (calls_connection_) calls_connection_->Close();
  if (changes_connection_) changes_connection_->Close();
}

std::shared_ptr<HttpConnection> StoreClient::Open() const {
  auto connection =
      std::make_shared<HttpConnection>(loop_, endpoint_, kConnectLimit);
  connection->set_budget(budget_);
  return connection;
}

HttpExchange StoreClient::MakeExchange(
    std::string_view head, std::string body, Duration limit,
    const std::function<void(Result<std::string>)>& on_body) {
  metrics_.store_calls.Add();
  HttpExchange exchange;
  exchange.head = fmt::format("{} HTTP/1.1\r\nHost: {}\r\n", head, host_);
  if (!body.empty()) {
    exchange.head +=
        fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n",
                    body.size());
  }
  exchange.head += "\r\n";
  exchange.body = SharedBody(std::move(body));
  exchange.limit = limit;
  exchange.is_limit_renewed = true;
  exchange.on_answer = [this, on_body](HttpResponse response) {
    ObserveEra(response);
    const int status = static_cast<int>(response.result_int());
    if (status >= 200 && status < 300) {
      on_body(std::move(response.body()));
      return;
    }
    metrics_.store_failures.Add();
    on_body(ToError(status));
  };
  exchange.on_failure = [this, on_body](HttpFailure failure) {
    metrics_.store_failures.Add();
    on_body(ToError(failure));
  };
  return exchange;
}

void StoreClient::Observe(std::uint64_t store_time_ms, BootTime sent_at) {
  clock_.ObserveAnswer(store_time_ms, sent_at, BootClock::now());
}

void StoreClient::ObserveEra(const HttpResponse& response) {
  const std::uint64_t era = platform::FindStoreEra(response).value_or(era_);
  if (era != era_ && era_ != 0) {
    logging::Log(logging::Level::kWarning, "store", "era of versions changed",
                 {{"era", era}, {"before", era_}});
  }
  era_ = era;
}

void StoreClient::ReadRows(std::string_view table, std::string_view first_key,
                           OnRows on_rows) {
  Enqueue(MakeExchange(
      fmt::format("GET {}", platform::RowsTarget(table, first_key)), {},
      kCallLimit,
      [this, sent_at = BootClock::now(),
       on_rows = std::move(on_rows)](Result<std::string> body) {
        auto rows = ToRows(std::move(body));
        if (rows) {
          Observe(rows.value().store_time_ms, sent_at);
          rows.value().era = era_;
        }
        on_rows(std::move(rows));
      }));
}

void StoreClient::AwaitChanges(std::string_view table, std::uint64_t after,
                               Duration wait, OnRows on_rows) {
  HttpExchange exchange = MakeExchange(
      fmt::format("GET {}", platform::ChangesTarget(table, after, wait)), {},
      wait + kCallLimit,
      [this, sent_at = BootClock::now(),
       on_rows = std::move(on_rows)](Result<std::string> body) {
        auto rows = ToRows(std::move(body));
        if (rows) {
          Observe(rows.value().store_time_ms, sent_at);
          rows.value().era = era_;
        }
        on_rows(std::move(rows));
      });
  if (!changes_connection_ || !changes_connection_->is_usable()) {
    changes_connection_ = Open();
  }
  changes_connection_->Start(std::move(exchange));
}

void StoreClient::Write(const platform::ConditionalWrite& write,
                        OnWritten on_written) {
  Enqueue(MakeExchange(
      fmt::format("POST {}", platform::TransactionTarget()),
      platform::EncodeTransaction(write), kCallLimit,
      [this, sent_at = BootClock::now(),
       on_written = std::move(on_written)](const Result<std::string>& body) {
        if (!body) {
          // A malformed answer does not tell whether the row was written.
          on_written(body.error() == make_error_code(Error::kDataDamaged)
                         ? make_error_code(Error::kOutcomeUnknown)
                         : body.error());
          return;
        }
        auto receipt = platform::DecodeReceipt(body.value());
        if (receipt) {
          receipt.value().era = era_;
          Observe(receipt.value().store_time_ms, sent_at);
          on_written(receipt.value());
        } else {
          on_written(make_error_code(Error::kDataDamaged));
        }
      }));
}

void StoreClient::Enqueue(HttpExchange exchange) {
  const auto finish = [this] {
    is_busy_ = false;
    StartNext();
  };
  exchange.on_answer =
      [finish, next = std::move(exchange.on_answer)](HttpResponse response) {
        next(std::move(response));
        finish();
      };
  exchange.on_failure =
      [finish, next = std::move(exchange.on_failure)](HttpFailure failure) {
        next(failure);
        finish();
      };
  queue_.push_back(std::move(exchange));
  if (!is_busy_) StartNext();
}

void StoreClient::StartNext() {
  if (is_busy_ || queue_.empty()) return;
  is_busy_ = true;
  if (!calls_connection_ || !calls_connection_->is_usable()) {
    calls_connection_ = Open();
  }
  HttpExchange exchange = std::move(queue_.front());
  queue_.pop_front();
  calls_connection_->Start(std::move(exchange));
}

}  // namespace oleandertide::sidecar
