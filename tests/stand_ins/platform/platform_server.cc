#include "stand_ins/platform/platform_server.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace oleandertide::stand_ins {
namespace {

using Json = nlohmann::json;

constexpr const char* kJsonType = "application/json";
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

void Answer(httplib::Response& response, int status, const Json& body) {
  response.status = status;
  response.set_content(body.dump(), kJsonType);
}

void AnswerProblem(httplib::Response& response, int status,
                   const std::string& reason) {
  Answer(response, status, {{"error", reason}});
}

std::optional<store::RowVersion> ParseEntityTag(const std::string& tag) {
  if (tag.size() < 3) return std::nullopt;
  store::RowVersion version = 0;
  const char* end = tag.data() + tag.size() - 1;
  const auto [stop, error] = std::from_chars(tag.data() + 1, end, version);
  if (error != std::errc() || stop != end) return std::nullopt;
  return version;
}

struct Transaction {
  std::vector<store::Condition> conditions;
  std::vector<store::Write> writes;
};

std::size_t CountRows(const Transaction& transaction) {
  std::set<std::string_view> keys;
  for (const auto& condition : transaction.conditions) {
    keys.insert(condition.key);
  }
  for (const auto& write : transaction.writes) keys.insert(write.key);
  return keys.size();
}

std::optional<Transaction> ParseTransaction(const std::string& text) {
  Transaction transaction;
  try {
    const Json body = Json::parse(text);
    for (const Json& condition : body.at("conditions")) {
      transaction.conditions.push_back(
          {condition.at("key").get<std::string>(),
           condition.at("version").get<store::RowVersion>()});
    }
    for (const Json& write : body.at("writes")) {
      transaction.writes.push_back({write.at("key").get<std::string>(),
                                    write.at("value").get<std::string>()});
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  if (CountRows(transaction) > store::kMaximumTransactionRows) {
    return std::nullopt;
  }
  return transaction;
}

std::uint16_t PeerPort(int descriptor) {
  sockaddr_storage peer = {};
  socklen_t size = sizeof(peer);
  if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) !=
      0) {
    return 0;
  }
  if (peer.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in*>(&peer)->sin_port);
  }
  if (peer.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&peer)->sin6_port);
  }
  return 0;
}

// The HTTP library does not show a handler its socket, so the connection is
// found by the caller's port, which is unique on loopback.
void CloseConnectionOf(const httplib::Request& request) {
  rlimit limit = {};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  constexpr rlim_t kMostDescriptors = 65536;
  const int end = static_cast<int>(std::min(limit.rlim_cur, kMostDescriptors));
  for (int descriptor = 0; descriptor < end; ++descriptor) {
    if (PeerPort(descriptor) == request.remote_port) {
      ::shutdown(descriptor, SHUT_RDWR);
      return;
    }
  }
}

}  // namespace

PlatformServer::PlatformServer(std::uint64_t writes_per_second,
                               std::uint64_t reads_per_second)
    : write_limit_(writes_per_second), read_limit_(reads_per_second) {}

void PlatformServer::Register(httplib::Server& server) {
  using httplib::Request;
  using httplib::Response;
  server.Get("/rows/(.+)", [this](const Request& request, Response& response) {
    HandleReadRow(request, response);
  });
  server.Post("/transactions",
              [this](const Request& request, Response& response) {
                HandleTransaction(request, response);
              });
  server.Put("/objects/(.+)",
             [this](const Request& request, Response& response) {
               HandlePutObject(request, response);
             });
  server.Get("/objects/(.+)",
             [this](const Request& request, Response& response) {
               HandleFetchObject(request, response);
             });
  server.Post("/control", [this](const Request& request, Response& response) {
    HandleControl(request, response);
  });
  server.Get("/control/statistics",
             [this](const Request& /*request*/, Response& response) {
               HandleStatistics(response);
             });
}

bool PlatformServer::Admit(RateLimit& limit, httplib::Response& response) {
  const std::int64_t delay = delay_milliseconds_.load();
  if (delay > 0) std::this_thread::sleep_for(std::chrono::milliseconds(delay));
  if (is_down_.load()) {
    ++refused_down_;
    AnswerProblem(response, kServiceUnavailable, "the platform is down");
    return false;
  }
  if (!limit.Take(MonotonicClock::now())) {
    ++refused_rate_;
    AnswerProblem(response, kTooManyRequests, "the rate limit is reached");
    return false;
  }
  return true;
}

void PlatformServer::HandleReadRow(const httplib::Request& request,
                                   httplib::Response& response) {
  if (!Admit(read_limit_, response)) return;
  ++row_reads_;
  const auto known = ParseEntityTag(request.get_header_value("If-None-Match"));
  const auto outcome = store_.ReadRow(request.matches[1].str(), known).value();
  if (std::holds_alternative<store::Absent>(outcome)) {
    AnswerProblem(response, kNotFound, "no such row");
    return;
  }
  if (std::holds_alternative<store::Unchanged>(outcome)) {
    ++unchanged_row_reads_;
    response.status = kNotModified;
    response.set_header("ETag", request.get_header_value("If-None-Match"));
    return;
  }
  const auto& row = std::get<store::Row>(outcome);
  response.set_header("ETag", '"' + std::to_string(row.version) + '"');
  Answer(response, kOk, {{"value", row.value}});
}

void PlatformServer::HandleTransaction(const httplib::Request& request,
                                       httplib::Response& response) {
  if (!Admit(write_limit_, response)) return;
  const auto transaction = ParseTransaction(request.body);
  if (!transaction.has_value()) {
    AnswerProblem(response, kBadRequest, "malformed transaction");
    return;
  }
  ++transactions_;
  const auto outcome =
      store_.Transact(transaction->conditions, transaction->writes).value();
  if (const auto* refused = std::get_if<store::Refused>(&outcome)) {
    ++refused_conditions_;
    Answer(response, kPreconditionFailed, {{"failed", refused->failed_keys}});
  } else {
    written_rows_ += transaction->writes.size();
    Answer(response, kOk,
           {{"versions", std::get<store::Committed>(outcome).versions}});
  }
  MaybeLoseAnswer(request);
}

void PlatformServer::HandlePutObject(const httplib::Request& request,
                                     httplib::Response& response) {
  if (!Admit(write_limit_, response)) return;
  ++object_writes_;
  const std::string digest = request.matches[1].str();
  if (store_.HasObject(digest)) {
    AnswerProblem(response, kPreconditionFailed, "the object is present");
  } else {
    store_.PutObject(digest, request.body).value();
    response.status = kCreated;
  }
  MaybeLoseAnswer(request);
}

void PlatformServer::HandleFetchObject(const httplib::Request& request,
                                       httplib::Response& response) {
  if (!Admit(read_limit_, response)) return;
  ++object_reads_;
  auto object = store_.FetchObject(request.matches[1].str());
  if (hides_objects_.load() || !object.has_value()) {
    AnswerProblem(response, kNotFound, "no such object");
    return;
  }
  std::string bytes = std::move(object).value();
  if (damages_objects_.load() && !bytes.empty()) bytes[bytes.size() / 2] ^= 1;
  response.set_content(bytes, "application/octet-stream");
}

void PlatformServer::HandleControl(const httplib::Request& request,
                                   httplib::Response& response) {
  try {
    const Json body = Json::parse(request.body);
    is_down_ = body.value("down", is_down_.load());
    delay_milliseconds_ = body.value("delay_ms", delay_milliseconds_.load());
    answers_to_lose_ = body.value("lose_next_answers", answers_to_lose_.load());
    damages_objects_ = body.value("damage_objects", damages_objects_.load());
    hides_objects_ = body.value("hide_objects", hides_objects_.load());
  } catch (const Json::exception& error) {
    AnswerProblem(response, kBadRequest, error.what());
    return;
  }
  Answer(response, kOk, Json::object());
}

void PlatformServer::HandleStatistics(httplib::Response& response) const {
  Answer(response, kOk,
         {{"reads",
           {{"rows", row_reads_.load()},
            {"unchanged_rows", unchanged_row_reads_.load()},
            {"objects", object_reads_.load()}}},
          {"writes",
           {{"transactions", transactions_.load()},
            {"rows", written_rows_.load()},
            {"objects", object_writes_.load()}}},
          {"refused",
           {{"conditions", refused_conditions_.load()},
            {"rate", refused_rate_.load()},
            {"down", refused_down_.load()}}},
          {"lost_answers", lost_answers_.load()},
          {"rows", store_.row_count()},
          {"objects", store_.object_count()}});
}

void PlatformServer::MaybeLoseAnswer(const httplib::Request& request) {
  std::int64_t left = answers_to_lose_.load();
  while (left > 0) {
    if (answers_to_lose_.compare_exchange_weak(left, left - 1)) {
      ++lost_answers_;
      CloseConnectionOf(request);
      return;
    }
  }
}

}  // namespace oleandertide::stand_ins
