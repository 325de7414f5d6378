#include "store/http_store.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "stand_ins/platform/platform_server.h"

namespace oleandertide::store {
namespace {

// The platform stand-in, served inside the test.
class ServedPlatform {
 public:
  explicit ServedPlatform(std::uint64_t writes_per_second = 0)
      : platform_(writes_per_second, 0) {
    platform_.Register(server_);
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_timeout(1);
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    server_ready();
  }
  ~ServedPlatform() {
    server_.stop();
    thread_.join();
  }
  ServedPlatform(const ServedPlatform&) = delete;
  ServedPlatform& operator=(const ServedPlatform&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  void Control(const std::string& json) const {
    httplib::Client client("127.0.0.1", port_);
    const auto answer = client.Post("/control", json, "application/json");
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
  }

 private:
  void server_ready() const {
    while (!server_.is_running()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  stand_ins::PlatformServer platform_;
  httplib::Server server_;
  int port_ = -1;
  std::thread thread_;
};

// A listener that answers each connection's first bytes with a fixed text and
// then closes it, or leaves it open until the peer closes it.
class ScriptedListener {
 public:
  explicit ScriptedListener(std::string answer, bool leaves_open = false)
      : answer_(std::move(answer)), leaves_open_(leaves_open) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener_, reinterpret_cast<sockaddr*>(&address),
                   sizeof(address)) == 0);
    socklen_t size = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    REQUIRE(::listen(listener_, 16) == 0);
    thread_ = std::thread([this] { Serve(); });
  }
  ~ScriptedListener() {
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
  }
  ScriptedListener(const ScriptedListener&) = delete;
  ScriptedListener& operator=(const ScriptedListener&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Serve() const {
    for (;;) {
      const int connection = ::accept(listener_, nullptr, nullptr);
      if (connection < 0) return;
      char buffer[4096];
      static_cast<void>(::recv(connection, buffer, sizeof(buffer), 0));
      static_cast<void>(
          ::send(connection, answer_.data(), answer_.size(), MSG_NOSIGNAL));
      if (!leaves_open_) ::shutdown(connection, SHUT_WR);
      while (::recv(connection, buffer, sizeof(buffer), 0) > 0) {
      }
      ::close(connection);
    }
  }

  const std::string answer_;
  const bool leaves_open_;
  int listener_ = -1;
  int port_ = 0;
  std::thread thread_;
};

std::unique_ptr<HttpStore> MakeStore(const std::string& address) {
  HttpStoreOptions options;
  options.request_timeout = std::chrono::milliseconds(300);
  return std::move(HttpStore::Make(address, options)).value();
}

template <typename T>
std::error_code ErrorOf(const Result<T>& result) {
  return result.has_value() ? std::error_code() : result.error();
}

std::error_code TransactError(const std::string& address) {
  const Write write{"row", "value"};
  return ErrorOf(MakeStore(address)->Transact({}, {&write, 1}));
}

TEST_CASE("rows and objects survive the way to the platform and back") {
  const ServedPlatform platform;
  const auto store = MakeStore(platform.address());
  // Guards the percent encoding of keys: these characters have meanings in a
  // URI, and the slash must not split the segment.
  const std::string key = "claim/trial/a b%2F?#+é";
  CHECK(std::holds_alternative<Absent>(store->ReadRow(key, {}).value()));

  const Condition absent{key, kAbsent};
  const Write write{key, "line\n\"quoted\" é"};
  const auto outcome = store->Transact({&absent, 1}, {&write, 1}).value();
  const RowVersion version = std::get<Committed>(outcome).versions.at(key);

  const auto row = std::get<Row>(store->ReadRow(key, {}).value());
  CHECK(row.value == write.value);
  CHECK(row.version == version);
  CHECK(
      std::holds_alternative<Unchanged>(store->ReadRow(key, version).value()));

  const auto refused = store->Transact({&absent, 1}, {&write, 1}).value();
  CHECK(std::get<Refused>(refused).failed_keys == std::vector{key});

  const std::string bytes("\0\xff binary\r\n", 11);
  REQUIRE(store->PutObject("d1", bytes).has_value());
  REQUIRE(store->PutObject("d1", "other").has_value());
  CHECK(store->FetchObject("d1").value() == bytes);
  CHECK(ErrorOf(store->FetchObject("d2")) == Error::kNotFound);

  const HttpStoreStatistics statistics = store->statistics();
  CHECK(statistics.requests == 9);
  CHECK(statistics.failures == 0);
  constexpr std::uint64_t kLeastBytes = 450;  // 50 for each exchange.
  CHECK(statistics.bytes_sent > kLeastBytes);
  CHECK(statistics.bytes_received > kLeastBytes);
}

// A promotion reported as "nothing written" is drafted again. If it was
// written after all, the operator would promote the same change twice.
TEST_CASE("only a certain refusal counts as not written") {
  SECTION("nobody listens") {
    CHECK(TransactError("127.0.0.1:1") == Error::kUnavailable);
  }
  SECTION("the platform says that it is down") {
    const ServedPlatform platform;
    platform.Control(R"({"down":true})");
    CHECK(TransactError(platform.address()) == Error::kUnavailable);
  }
  SECTION("the platform limits the rate") {
    const ServedPlatform platform(1);
    CHECK(TransactError(platform.address()) == std::error_code());
    CHECK(TransactError(platform.address()) == Error::kRateLimited);
  }
  SECTION("the connection closes after the write") {
    const ServedPlatform platform;
    platform.Control(R"({"lose_next_answers":1})");
    CHECK(TransactError(platform.address()) == Error::kOutcomeUnknown);
    const auto row = MakeStore(platform.address())->ReadRow("row", {}).value();
    CHECK(std::get<Row>(row).value == "value");
  }
  SECTION("the answer comes after the timeout") {
    const ServedPlatform platform;
    platform.Control(R"({"delay_ms":600})");
    CHECK(TransactError(platform.address()) == Error::kOutcomeUnknown);
    CHECK(ErrorOf(MakeStore(platform.address())->ReadRow("row", {})) ==
          Error::kTimeout);
  }
  SECTION("the connection closes without an answer") {
    const ScriptedListener listener("");
    CHECK(TransactError(listener.address()) == Error::kOutcomeUnknown);
  }
  SECTION("the answer is cut short") {
    const ScriptedListener listener(
        "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"vers");
    CHECK(TransactError(listener.address()) == Error::kOutcomeUnknown);
  }
  SECTION("the answer is not the protocol's") {
    const ScriptedListener listener(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
    CHECK(TransactError(listener.address()) == Error::kOutcomeUnknown);
  }
  SECTION("a gateway fails") {
    const ScriptedListener listener(
        "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n");
    CHECK(TransactError(listener.address()) == Error::kOutcomeUnknown);
  }
}

// A kept connection may have been closed by the platform. Sending a
// transaction again could apply it twice under a condition that holds again.
TEST_CASE("a kept connection that fails is replaced, except for transactions") {
  const ServedPlatform platform;
  const auto store = MakeStore(platform.address());
  REQUIRE(store->ReadRow("row", {}).has_value());
  platform.Control(R"({"lose_next_answers":1})");
  CHECK(store->PutObject("digest", "bytes").has_value());
  CHECK(store->statistics().failures == 1);

  platform.Control(R"({"lose_next_answers":1})");
  const Write write{"row", "value"};
  CHECK(ErrorOf(store->Transact({}, {&write, 1})) == Error::kOutcomeUnknown);
  CHECK(store->statistics().requests == 4);
  const auto row = std::get<Row>(store->ReadRow("row", {}).value());
  CHECK(row.version == 1);
}

TEST_CASE("a transaction of more rows than allowed is not sent") {
  const ServedPlatform platform;
  const auto store = MakeStore(platform.address());
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  for (std::size_t i = 0; i < kMaximumTransactionRows; ++i) {
    const std::string key = std::to_string(i);
    conditions.push_back({key, kAbsent});
    writes.push_back({key, "value"});
  }
  CHECK(store->Transact(conditions, writes).has_value());
  conditions.push_back({"one more", kAbsent});
  CHECK(ErrorOf(store->Transact(conditions, writes)) ==
        Error::kInvalidArgument);
}

TEST_CASE("an unchanged row without Content-Length does not wait") {
  const ScriptedListener listener("HTTP/1.1 304 Not Modified\r\n\r\n", true);
  const auto store = MakeStore(listener.address());
  const auto outcome = store->ReadRow("row", 3);
  REQUIRE(outcome.has_value());
  CHECK(std::holds_alternative<Unchanged>(outcome.value()));
}

TEST_CASE("a row without a version is damaged, not absent") {
  const ScriptedListener listener(
      "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"value\":\"x\"}");
  CHECK(ErrorOf(MakeStore(listener.address())->ReadRow("row", {})) ==
        Error::kDataDamaged);
}

TEST_CASE("an answer beyond the limit is refused") {
  const ServedPlatform platform;
  HttpStoreOptions options;
  options.maximum_answer_bytes = 100;
  const auto store =
      std::move(HttpStore::Make(platform.address(), options)).value();
  REQUIRE(store->PutObject("large", std::string(101, 'x')).has_value());
  CHECK(ErrorOf(store->FetchObject("large")) == Error::kTooLarge);
}

// A transaction that was altered on the way would store other bytes than the
// caller hashed.
TEST_CASE("text that JSON cannot carry is refused before it is sent") {
  const ServedPlatform platform;
  const auto store = MakeStore(platform.address());
  const Write write{"row", "\xff"};
  CHECK(ErrorOf(store->Transact({}, {&write, 1})) == Error::kInvalidArgument);
  CHECK(store->statistics().requests == 0);
}

TEST_CASE("concurrent increments of one row lose no update") {
  constexpr int kThreads = 4;
  constexpr int kIncrements = 10;
  const ServedPlatform platform;
  const auto store = MakeStore(platform.address());
  const auto increment = [&store] {
    for (int done = 0; done < kIncrements;) {
      const auto read = store->ReadRow("counter", {}).value();
      const Row row = std::holds_alternative<Row>(read) ? std::get<Row>(read)
                                                        : Row{"0", kAbsent};
      const Condition condition{"counter", row.version};
      const Write write{"counter", std::to_string(std::stoi(row.value) + 1)};
      const auto outcome = store->Transact({&condition, 1}, {&write, 1});
      if (std::holds_alternative<Committed>(outcome.value())) ++done;
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) threads.emplace_back(increment);
  for (std::thread& thread : threads) thread.join();
  const auto row = std::get<Row>(store->ReadRow("counter", {}).value());
  CHECK(row.value == std::to_string(kThreads * kIncrements));
}

TEST_CASE("a malformed address is refused") {
  for (const char* address :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "host.example:80", "127.0.0.1:80x", ":80"}) {
    CAPTURE(address);
    CHECK(ErrorOf(HttpStore::Make(address)) == Error::kInvalidArgument);
  }
  CHECK(HttpStore::Make("[::1]:80").has_value());
}

}  // namespace
}  // namespace oleandertide::store
