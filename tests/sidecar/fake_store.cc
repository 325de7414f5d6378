#include "sidecar/fake_store.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using nlohmann::json;

// Replaces `%` and two hexadecimal digits by the character.
std::string DecodePercent(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

// Values of a query by name.
std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> values;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    const std::size_t equals = pair.find('=');
    values[pair.substr(0, equals)] = DecodePercent(pair.substr(equals + 1));
    at = next;
  }
  return values;
}

std::int64_t NowMs() {
  return ToMilliseconds(MonotonicClock::now().time_since_epoch());
}

HttpAnswer JsonAnswer(int status, const json& value) {
  return {.status = status,
          .headers = "Content-Type: application/json\r\n",
          .body = value.dump()};
}

}  // namespace

FakeStore::FakeStore(EventLoop& loop) : loop_(loop), address_(UnusedAddress()) {
  auto server = HttpServer::Create(
      loop, address_,
      [this](const std::shared_ptr<HttpRequest>& request, HttpReply reply) {
        Handle(*request, std::move(reply));
      });
  REQUIRE(server.has_value());
  server_ = std::move(server).value();
}

FakeStore::~FakeStore() {
  // Each timer holds its waiter until it has expired.
  for (const auto& waiter : waiters_) waiter->timer->Cancel();
}

void FakeStore::Put(const std::string& table, const std::string& key,
                    const std::string& value) {
  tables_[table][key] = {value, ++version_};
  WakeWaiters();
}

std::string FakeStore::Find(const std::string& table,
                            const std::string& key) const {
  const auto rows = tables_.find(table);
  if (rows == tables_.end()) return {};
  const auto row = rows->second.find(key);
  return row == rows->second.end() ? std::string() : row->second.value;
}

void FakeStore::Remove(const std::string& table, const std::string& key) {
  tables_[table][key] = {
      .value = {}, .version = ++version_, .is_deleted = true};
  WakeWaiters();
}

std::shared_ptr<const FakeStore::Copy> FakeStore::MakeCopy() const {
  return std::make_shared<Copy>(Copy{tables_, version_});
}

void FakeStore::ReturnFrom(const Copy& copy) {
  tables_ = copy.tables;
  version_ = copy.version;
  forgotten_ = version_;
  ++era_;
  constexpr int kUnavailable = 503;
  for (const auto& waiter : std::exchange(waiters_, {})) {
    waiter->timer->Cancel();
    Send(waiter->reply, {.status = kUnavailable});
  }
}

void FakeStore::Send(HttpReply& reply, HttpAnswer answer) const {
  answer.headers += "Store-Era: " + std::to_string(era_) + "\r\n";
  reply.Send(std::move(answer));
}

void FakeStore::Handle(const HttpRequest& request, HttpReply reply) {
  ++calls_;
  if (failure_ != 0) {
    Send(reply, {.status = failure_});
    return;
  }
  const std::string target(request.target());
  auto query = ParseQuery(target);
  if (target.starts_with("/oleandertide/rows-get?")) {
    HandleGet(query["table"], query["from"], std::move(reply));
  } else if (target.starts_with("/oleandertide/rows-feed?")) {
    HandleFeed(query["table"], std::stoull(query["after"]),
               std::stoll(query["wait_ms"]), std::move(reply));
  } else if (target == "/oleandertide/rows-tx") {
    HandleTransaction(request.body(), std::move(reply));
  } else {
    Send(reply, {.status = 404});
  }
}

void FakeStore::HandleGet(const std::string& table, const std::string& from,
                          HttpReply reply) {
  ++reads_[table];
  json rows = json::array();
  bool has_more = false;
  for (const auto& [key, row] : tables_[table]) {
    if (key < from || row.is_deleted) continue;
    if (rows.size() == rows_per_answer_) {
      has_more = true;
      break;
    }
    rows.push_back({{"table", table},
                    {"part", ""},
                    {"key", key},
                    {"value", absl::Base64Escape(row.value)},
                    {"ver", row.version}});
  }
  Send(reply, JsonAnswer(200, {{"rows", rows},
                               {"has_more", has_more},
                               {"ver", version_},
                               {"now_ms", NowMs()}}));
}

bool FakeStore::HasChanges(const std::string& table,
                           std::uint64_t after) const {
  const auto rows = tables_.find(table);
  if (hides_changes_) return false;
  return rows != tables_.end() &&
         std::ranges::any_of(rows->second, [&](const auto& entry) {
           return entry.second.version > after;
         });
}

std::string FakeStore::Changes(const std::string& table,
                               std::uint64_t after) const {
  json rows = json::array();
  const auto found = tables_.find(table);
  if (found != tables_.end() && !hides_changes_) {
    for (const auto& [key, row] : found->second) {
      if (row.version <= after) continue;
      if (row.is_deleted) {
        rows.push_back({{"table", table},
                        {"part", ""},
                        {"key", key},
                        {"deleted", true},
                        {"ver", row.version}});
        continue;
      }
      rows.push_back({{"table", table},
                      {"part", ""},
                      {"key", key},
                      {"value", absl::Base64Escape(row.value)},
                      {"ver", row.version}});
    }
  }
  return json{{"rows", rows}, {"ver", version_}, {"now_ms", NowMs()}}.dump();
}

void FakeStore::HandleFeed(const std::string& table, std::uint64_t after,
                           std::int64_t wait_ms, HttpReply reply) {
  if (after < forgotten_ || after > version_) {
    Send(reply, {.status = 410});
    return;
  }
  auto waiter = std::make_shared<Waiter>(
      Waiter{table, after, std::move(reply), std::make_shared<Timer>(loop_)});
  waiters_.push_back(waiter);
  waiter->timer->Start(std::chrono::milliseconds(wait_ms), [this, waiter] {
    std::erase(waiters_, waiter);
    Send(waiter->reply, {.body = Changes(waiter->table, waiter->after)});
  });
  WakeWaiters();
}

void FakeStore::WakeWaiters() {
  const auto waiters = waiters_;
  for (const auto& waiter : waiters) {
    if (!HasChanges(waiter->table, waiter->after)) continue;
    std::erase(waiters_, waiter);
    waiter->timer->Cancel();
    if (failure_ != 0) {
      Send(waiter->reply, {.status = failure_});
    } else {
      Send(waiter->reply, {.body = Changes(waiter->table, waiter->after)});
    }
  }
}

void FakeStore::HandleTransaction(const std::string& body, HttpReply reply) {
  ++writes_;
  const json call = json::parse(body);
  for (const json& row : call.at("expected")) {
    const auto& table = tables_[row.at("table")];
    const auto found = table.find(row.at("key"));
    const std::uint64_t version =
        found == table.end() || found->second.is_deleted
            ? 0
            : found->second.version;
    if (version != row.at("ver")) {
      Send(reply,
           JsonAnswer(412, {{"rows", json::array()}, {"ver", version_}}));
      return;
    }
  }
  ++version_;
  for (const json& row : call.at("writes")) {
    std::string value;
    absl::Base64Unescape(row.at("value").get<std::string>(), &value);
    tables_[row.at("table")][row.at("key")] = {value, version_};
  }
  WakeWaiters();
  if (loses_answers_) return;
  Send(reply, JsonAnswer(200, {{"ver", version_}, {"now_ms", NowMs()}}));
}

}  // namespace oleandertide::sidecar
