#include "store/http_store.h"

#include <arpa/inet.h>
#include <httplib.h>

#include <charconv>
#include <csignal>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "core/json.h"

namespace oleandertide::store {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotModified = 304;
constexpr int kNotFoundStatus = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

struct Address {
  std::string host;
  int port = 0;
};

bool IsIpNumber(const std::string& host) {
  in6_addr buffer;
  return ::inet_pton(AF_INET, host.c_str(), &buffer) == 1 ||
         ::inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

Result<Address> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return Error::kInvalidArgument;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port == 0 || !IsIpNumber(std::string(host))) {
    return Error::kInvalidArgument;
  }
  return Address{std::string(host), port};
}

bool IsUnreserved(unsigned char character) {
  return std::isalnum(character) != 0 || character == '-' || character == '.' ||
         character == '_' || character == '~';
}

// Encodes a path segment (RFC 3986, section 2.1).
std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size() + text.size() / 4);
  for (const char raw : text) {
    const auto character = static_cast<unsigned char>(raw);
    if (IsUnreserved(character)) {
      encoded += raw;
    } else {
      encoded += '%';
      encoded += kDigits[character >> 4];
      encoded += kDigits[character & 15];
    }
  }
  return encoded;
}

std::size_t HeaderBytes(const httplib::Headers& headers) {
  constexpr std::size_t kSeparators = 4;  // ": " and the end of the line.
  std::size_t bytes = 2;
  for (const auto& [name, value] : headers) {
    bytes += name.size() + value.size() + kSeparators;
  }
  return bytes;
}

std::size_t RequestBytes(const httplib::Request& request) {
  constexpr std::string_view kRest = "  HTTP/1.1\r\n";
  return request.method.size() + request.path.size() + kRest.size() +
         HeaderBytes(request.headers) + request.body.size();
}

std::size_t ResponseBytes(const httplib::Response& response,
                          std::size_t body_bytes) {
  constexpr std::string_view kRest = "HTTP/1.1 200 \r\n";
  return kRest.size() + response.reason.size() + HeaderBytes(response.headers) +
         body_bytes;
}

// Reads the version out of an entity tag such as "17" (quotes included).
std::optional<RowVersion> ParseEntityTag(std::string_view tag) {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  const std::string_view digits = tag.substr(1, tag.size() - 2);
  RowVersion version = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), version);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return version;
}

std::string FormatEntityTag(RowVersion version) {
  return '"' + std::to_string(version) + '"';
}

// The error that a status stands for when no method gives it a meaning.
Error StatusError(int status) {
  if (status == kServiceUnavailable) return Error::kUnavailable;
  if (status == kTooManyRequests) return Error::kRateLimited;
  if (status >= 500) return Error::kInternal;
  if (status >= 400) return Error::kInvalidArgument;
  return Error::kDataDamaged;
}

// The error of a transaction whose status is neither 200 nor 412. An error of
// the server or a gateway (other than 503) does not tell whether it wrote.
Error TransactionStatusError(int status) {
  const Error error = StatusError(status);
  if (error == Error::kInternal || error == Error::kDataDamaged) {
    return Error::kOutcomeUnknown;
  }
  return error;
}

std::string FormatTransaction(std::span<const Condition> conditions,
                              std::span<const Write> writes) {
  Json body = {{"conditions", Json::array()}, {"writes", Json::array()}};
  for (const Condition& condition : conditions) {
    body["conditions"].push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  for (const Write& write : writes) {
    body["writes"].push_back({{"key", write.key}, {"value", write.value}});
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<TransactionOutcome> ParseCommitted(std::string_view text) {
  const auto body = ParseJson(text);
  if (!body || !body->is_object()) return Error::kOutcomeUnknown;
  const auto versions = body->find("versions");
  if (versions == body->end() || !versions->is_object()) {
    return Error::kOutcomeUnknown;
  }
  Committed committed;
  for (const auto& [key, version] : versions->items()) {
    if (!version.is_number_unsigned()) return Error::kOutcomeUnknown;
    committed.versions.emplace(key, version.get<RowVersion>());
  }
  return TransactionOutcome(std::move(committed));
}

// The status alone says that nothing was written; the keys only explain it.
TransactionOutcome ParseRefused(std::string_view text) {
  Refused refused;
  const auto body = ParseJson(text);
  if (!body || !body->is_object()) return refused;
  const auto failed = body->find("failed");
  if (failed == body->end() || !failed->is_array()) return refused;
  for (const Json& key : *failed) {
    if (key.is_string()) refused.failed_keys.push_back(key.get<std::string>());
  }
  return refused;
}

bool IsTooLong(std::span<const Condition> conditions,
               std::span<const Write> writes) {
  std::set<std::string_view> keys;
  for (const Condition& condition : conditions) keys.insert(condition.key);
  for (const Write& write : writes) keys.insert(write.key);
  return keys.size() > kMaximumTransactionRows;
}

// Text that JSON cannot carry would be altered on the way.
bool IsJsonText(std::string_view text) {
  try {
    static_cast<void>(Json(text).dump());
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

bool AreJsonText(std::span<const Write> writes) {
  for (const Write& write : writes) {
    if (!IsJsonText(write.key) || !IsJsonText(write.value)) return false;
  }
  return true;
}

}  // namespace

struct HttpStore::Connection {
  Connection(const std::string& host, int port, const HttpStoreOptions& options)
      : client(host, port) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_url_encode(false);
    client.set_connection_timeout(options.connect_timeout);
    client.set_read_timeout(options.request_timeout);
    client.set_write_timeout(options.request_timeout);
  }

  httplib::Client client;
  MonotonicTime last_use;
};

struct HttpStore::Request {
  std::string method;
  std::string path;
  httplib::Headers headers;
  std::string body;
};

struct HttpStore::Answer {
  int status = 0;
  std::string entity_tag;
  std::string body;
};

// Result of one attempt.
struct HttpStore::Exchange {
  Result<Answer> answer = Error::kInternal;
  // No connection was made, so the platform has not seen the request.
  bool never_sent = false;
  bool connection_was_kept = false;
};

Result<std::unique_ptr<HttpStore>> HttpStore::Make(
    std::string_view address, const HttpStoreOptions& options) {
  OLEANDERTIDE_TRY(parsed, ParseAddress(address));
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
  return std::unique_ptr<HttpStore>(
      new HttpStore(std::move(parsed.host), parsed.port, options));
}

HttpStore::HttpStore(std::string host, int port,
                     const HttpStoreOptions& options)
    : host_(std::move(host)), port_(port), options_(options) {}

HttpStore::~HttpStore() = default;

Result<ReadOutcome> HttpStore::ReadRow(
    std::string_view key, std::optional<RowVersion> known_version) {
  Request request{"GET", "/rows/" + PercentEncode(key), {}, {}};
  if (known_version.has_value()) {
    request.headers.emplace("If-None-Match", FormatEntityTag(*known_version));
  }
  OLEANDERTIDE_TRY(answer, SendRepeatable(request));
  if (answer.status == kNotModified) return ReadOutcome(Unchanged{});
  if (answer.status == kNotFoundStatus) return ReadOutcome(Absent{});
  if (answer.status != kOk) return StatusError(answer.status);
  const auto version = ParseEntityTag(answer.entity_tag);
  const auto body = ParseJson(answer.body);
  if (!version.has_value() || !body || !body->is_object()) {
    return Error::kDataDamaged;
  }
  const auto value = body->find("value");
  if (value == body->end() || !value->is_string()) return Error::kDataDamaged;
  return ReadOutcome(Row{value->get<std::string>(), *version});
}

Result<TransactionOutcome> HttpStore::Transact(
    std::span<const Condition> conditions, std::span<const Write> writes) {
  if (IsTooLong(conditions, writes) || !AreJsonText(writes)) {
    return Error::kInvalidArgument;
  }
  const Request request{"POST",
                        "/transactions",
                        {{"Content-Type", "application/json"}},
                        FormatTransaction(conditions, writes)};
  const Exchange exchange = SendOnce(request, /*fresh=*/false);
  if (exchange.never_sent) return Error::kUnavailable;
  if (!exchange.answer.has_value()) return Error::kOutcomeUnknown;
  const Answer& answer = exchange.answer.value();
  if (answer.status == kOk) return ParseCommitted(answer.body);
  if (answer.status == kPreconditionFailed) return ParseRefused(answer.body);
  return TransactionStatusError(answer.status);
}

Result<void> HttpStore::PutObject(std::string_view digest,
                                  std::string_view bytes) {
  const Request request{
      "PUT",
      "/objects/" + PercentEncode(digest),
      {{"If-None-Match", "*"}, {"Content-Type", "application/octet-stream"}},
      std::string(bytes)};
  OLEANDERTIDE_TRY(answer, SendRepeatable(request));
  if (answer.status == kCreated || answer.status == kPreconditionFailed) {
    return Success();
  }
  return StatusError(answer.status);
}

Result<std::string> HttpStore::FetchObject(std::string_view digest) {
  const Request request{"GET", "/objects/" + PercentEncode(digest), {}, {}};
  OLEANDERTIDE_TRY(answer, SendRepeatable(request));
  if (answer.status == kOk) return std::move(answer.body);
  if (answer.status == kNotFoundStatus) return Error::kNotFound;
  return StatusError(answer.status);
}

HttpStoreStatistics HttpStore::statistics() const {
  return {requests_.load(), failures_.load(), bytes_sent_.load(),
          bytes_received_.load()};
}

std::unique_ptr<HttpStore::Connection> HttpStore::TakeConnection(bool fresh) {
  const MonotonicTime oldest_use = MonotonicClock::now() - options_.idle_limit;
  std::vector<std::unique_ptr<Connection>> expired;
  const std::scoped_lock lock(mutex_);
  while (!fresh && !idle_.empty()) {
    std::unique_ptr<Connection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->last_use >= oldest_use) return connection;
    expired.push_back(std::move(connection));
  }
  return nullptr;
}

void HttpStore::KeepConnection(std::unique_ptr<Connection> connection) {
  connection->last_use = MonotonicClock::now();
  const std::scoped_lock lock(mutex_);
  if (idle_.size() < options_.maximum_idle_connections) {
    idle_.push_back(std::move(connection));
  }
}

HttpStore::Exchange HttpStore::SendOnce(const Request& request, bool fresh) {
  Exchange exchange;
  std::unique_ptr<Connection> connection = TakeConnection(fresh);
  exchange.connection_was_kept = connection != nullptr;
  if (connection == nullptr) {
    connection = std::make_unique<Connection>(host_, port_, options_);
  }

  const MonotonicTime start = MonotonicClock::now();
  const MonotonicTime deadline = start + options_.request_timeout;
  Answer answer;
  bool is_too_large = false;
  bool has_no_content = false;
  httplib::Request sent;
  sent.method = request.method;
  sent.path = request.path;
  sent.headers = request.headers;
  sent.body = request.body;
  sent.response_handler = [&](const httplib::Response& response) {
    // The library would wait for the end of the connection after a 304 that
    // has no Content-Length, although a 304 never has content.
    has_no_content = response.status == kNotModified &&
                     !response.has_header("Content-Length");
    return !has_no_content;
  };
  sent.content_receiver = [&](const char* data, std::size_t size,
                              std::uint64_t /*offset*/,
                              std::uint64_t /*total*/) {
    is_too_large = answer.body.size() + size > options_.maximum_answer_bytes;
    if (is_too_large || MonotonicClock::now() > deadline) return false;
    answer.body.append(data, size);
    return true;
  };

  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  requests_.fetch_add(1, std::memory_order_relaxed);
  const bool succeeded = connection->client.send(sent, response, error);
  if (error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout) {
    failures_.fetch_add(1, std::memory_order_relaxed);
    exchange.never_sent = true;
    exchange.answer = Error::kUnavailable;
    return exchange;
  }
  bytes_sent_.fetch_add(RequestBytes(sent), std::memory_order_relaxed);
  bytes_received_.fetch_add(ResponseBytes(response, answer.body.size()),
                            std::memory_order_relaxed);
  if (!succeeded && !has_no_content) {
    failures_.fetch_add(1, std::memory_order_relaxed);
    const bool timed_out = MonotonicClock::now() >= deadline;
    exchange.answer = is_too_large ? Error::kTooLarge
                      : timed_out  ? Error::kTimeout
                                   : Error::kUnavailable;
    return exchange;
  }
  answer.status = response.status;
  answer.entity_tag = response.get_header_value("ETag");
  exchange.answer = std::move(answer);
  if (succeeded) KeepConnection(std::move(connection));
  return exchange;
}

Result<HttpStore::Answer> HttpStore::SendRepeatable(const Request& request) {
  Exchange exchange = SendOnce(request, /*fresh=*/false);
  const bool connection_failed =
      !exchange.answer.has_value() &&
      exchange.answer.error() == make_error_code(Error::kUnavailable);
  if (connection_failed && exchange.connection_was_kept &&
      !exchange.never_sent) {
    exchange = SendOnce(request, /*fresh=*/true);
  }
  return std::move(exchange.answer);
}

}  // namespace oleandertide::store
#include <arpa/inet.h>
#include <httplib.h>

#include <charconv>
#include <csignal>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
