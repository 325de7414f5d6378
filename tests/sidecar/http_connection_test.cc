// Answers of a backend server that are being read.

#include "sidecar/http_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sidecar/raw_server.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sends a request on a new connection with the account; the end appears in it.
struct AccountedExchange {
  AccountedExchange(EventLoop& loop, const RawServer& server,
                    ByteBudget& budget, const std::string& target)
      : connection(std::make_shared<HttpConnection>(loop, server.endpoint(),
                                                    seconds(2))) {
    connection->set_budget(&budget);
    HttpExchange exchange;
    exchange.head = fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", target);
    exchange.limit = seconds(10);
    exchange.on_answer = [this, &budget](const HttpResponse& response) {
      received = response.body().size();
      used_at_end = budget.used();
    };
    exchange.on_failure = [this, &budget](HttpFailure reason) {
      failure = reason;
      used_at_end = budget.used();
    };
    connection->Start(std::move(exchange));
  }
  ~AccountedExchange() { connection->Close(); }
  AccountedExchange(const AccountedExchange&) = delete;
  AccountedExchange& operator=(const AccountedExchange&) = delete;

  std::shared_ptr<HttpConnection> connection;
  std::optional<std::size_t> received;
  std::optional<HttpFailure> failure;
  std::optional<std::size_t> used_at_end;
};

// Runs the loop until the exchange has ended; returns the most that was in the
// account.
std::size_t Await(EventLoop& loop, const AccountedExchange& exchange,
                  const ByteBudget& budget) {
  std::size_t most = 0;
  while (!exchange.used_at_end) {
    loop.restart();
    loop.run_one_for(milliseconds(100));
    most = std::max(most, budget.used());
  }
  return most;
}

constexpr std::size_t kAnswerBytes = 2'000'000;

// Guards against answers that are in no account while they are read, and
// against accounts that keep them.
TEST_CASE("a large answer is in the account while it is read") {
  const bool has_length = GENERATE(true, false);
  EventLoop loop(1);
  ByteBudget budget({.capacity = 10'000'000});
  RawServer server(loop, [&](const RawRequest& /*request*/) {
    const std::string body(kAnswerBytes, 'x');
    if (has_length) return RawReply{.bytes = StampedAnswer(body)};
    return RawReply{.bytes = "HTTP/1.1 200 OK\r\n\r\n" + body, .closes = true};
  });
  const AccountedExchange exchange(loop, server, budget, "/");
  const std::size_t most = Await(loop, exchange, budget);
  REQUIRE(exchange.received == kAnswerBytes);
  // The length says how much memory is needed at most.
  REQUIRE(most >= kAnswerBytes);
  REQUIRE(most < (has_length ? kAnswerBytes + 1 : 2 * kAnswerBytes));
  REQUIRE(exchange.used_at_end == 0);
  REQUIRE(budget.used() == 0);
}

// Guards against a process that ends by an answer for which it has no memory.
TEST_CASE("an answer for which there is no memory is given up") {
  const std::size_t capacity = GENERATE(1'000'000, 100'000);
  const std::string framing =
      GENERATE("Content-Length: 2000000\r\n\r\n", "\r\n");
  EventLoop loop(1);
  ByteBudget budget({.capacity = capacity});
  RawServer server(loop, [&](const RawRequest& /*request*/) {
    return RawReply{.bytes = "HTTP/1.1 200 OK\r\n" + framing,
                    .endless_bytes = std::string(1000, 'x')};
  });
  const AccountedExchange exchange(loop, server, budget, "/");
  const std::size_t most = Await(loop, exchange, budget);
  REQUIRE(exchange.failure == HttpFailure::kNoMemory);
  REQUIRE(most <= capacity);
  REQUIRE(budget.used() == 0);
}

// Guards against the loss of a sound answer beside one without end.
TEST_CASE("an answer without end gives way to a smaller one") {
  constexpr std::size_t kCapacity = 2'500'000;
  constexpr std::size_t kSoundBytes = 600'000;
  EventLoop loop(1);
  ByteBudget budget({.capacity = kCapacity});
  RawServer server(loop, [](const RawRequest& request) {
    if (request.target() == "/sound") {
      return RawReply{.bytes = StampedAnswer(std::string(kSoundBytes, 'x'))};
    }
    return RawReply{.bytes = "HTTP/1.1 200 OK\r\n\r\n" +
                             std::string(kAnswerBytes, 'x')};
  });
  const AccountedExchange endless(loop, server, budget, "/endless");
  while (budget.used() < kAnswerBytes) {
    loop.restart();
    loop.run_one_for(milliseconds(100));
  }
  const AccountedExchange sound(loop, server, budget, "/sound");
  REQUIRE(Await(loop, sound, budget) <= kCapacity);
  REQUIRE(sound.received == kSoundBytes);
  REQUIRE(endless.failure == HttpFailure::kNoMemory);
  REQUIRE(budget.used() == 0);
}

// What came of an exchange with a server that answers by a script.
struct ExchangeEnd {
  std::optional<HttpFailure> failure;
  int status = 0;
  std::string body;
};

// Sends an upload on a new connection and waits for its end.
ExchangeEnd Upload(EventLoop& loop, const RawServer& server,
                   std::size_t bytes) {
  const auto connection =
      std::make_shared<HttpConnection>(loop, server.endpoint(), seconds(2));
  ExchangeEnd end;
  bool is_ended = false;
  HttpExchange exchange;
  exchange.head = fmt::format(
      "POST /upload HTTP/1.1\r\nHost: h\r\nOleandertide-Request-Id: u\r\n"
      "Content-Length: {}\r\n\r\n",
      bytes);
  exchange.body = SharedBody(std::string(bytes, 'u'));
  exchange.limit = seconds(10);
  exchange.on_answer = [&](const HttpResponse& response) {
    end.status = static_cast<int>(response.result_int());
    end.body = response.body();
    is_ended = true;
  };
  exchange.on_failure = [&](HttpFailure failure) {
    end.failure = failure;
    is_ended = true;
  };
  connection->Start(std::move(exchange));
  while (!is_ended) {
    loop.restart();
    loop.run_one_for(milliseconds(100));
  }
  connection->Close();
  loop.restart();
  loop.poll();
  return end;
}

// More than the system takes from a client whose server does not read.
constexpr std::size_t kUploadBytes = std::size_t{8} << 20U;

// Guards against a part of an answer that is taken for the whole: the server
// answers before the upload has been sent, and then breaks off.
TEST_CASE("a reset does not end an answer without length") {
  const std::string head = GENERATE(
      "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
      "HTTP/1.0 200 OK\r\n\r\n");
  const std::size_t part_bytes = GENERATE(0, 1, 5000, 300'000);
  // The second kind ends its side first, but leaves the upload unread.
  const bool is_reset = GENERATE(true, false);
  EventLoop loop(1);
  RawServer server(loop, [&](const RawRequest& /*request*/) {
    return RawReply{.bytes = head + std::string(part_bytes, 'p'),
                    .closes = !is_reset,
                    .resets_after = is_reset,
                    .is_early = true};
  });
  for (int i = 0; i < 5; ++i) {
    const ExchangeEnd end = Upload(loop, server, kUploadBytes);
    REQUIRE(end.failure == HttpFailure::kConnectionLost);
  }
}

// Guards against an early answer that is lost although nothing broke off.
TEST_CASE("an early answer without length ends with its connection") {
  EventLoop loop(1);
  RawServer server(loop, [&](const RawRequest& /*request*/) {
    return RawReply{.bytes = "HTTP/1.1 200 OK\r\n\r\nwhole",
                    .is_early = true,
                    .half_closes = true};
  });
  const ExchangeEnd end = Upload(loop, server, kUploadBytes);
  REQUIRE_FALSE(end.failure);
  REQUIRE(end.status == 200);
  REQUIRE(end.body == "whole");
}

// Guards against the loss of a whole answer to an upload that was broken off,
// and against a part of it that is taken for the whole.
TEST_CASE("a reset does not matter behind an answer that tells its end") {
  const auto [framing, is_whole] = GENERATE(table<std::string, bool>(
      {{"Content-Length: 5\r\n\r\nwhole", true},
       {"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
       {"Content-Length: 5\r\n\r\nwhol", false},
       {"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", false}}));
  const bool is_reset = GENERATE(true, false);
  EventLoop loop(1);
  RawServer server(loop, [&, bytes = "HTTP/1.1 200 OK\r\n" +
                                     framing](const RawRequest& /*request*/) {
    return RawReply{.bytes = bytes,
                    .closes = !is_reset,
                    .resets_after = is_reset,
                    .is_early = true};
  });
  for (int i = 0; i < 5; ++i) {
    const ExchangeEnd end = Upload(loop, server, kUploadBytes);
    if (is_whole) {
      REQUIRE(end.body == "whole");
    } else {
      REQUIRE(end.failure == HttpFailure::kConnectionLost);
    }
  }
}

// Guards against bytes that are taken for an answer, by any caller: requests,
// health checks and calls to the store.
TEST_CASE("an answer with a status outside the protocol is malformed") {
  const std::string status = GENERATE("000", "099", "600", "999", "abc", "-20");
  EventLoop loop(1);
  RawServer server(loop, [&](const RawRequest& /*request*/) {
    return RawReply{.bytes = "HTTP/1.1 " + status +
                             " Odd\r\nContent-Length: 4\r\n\r\nbody"};
  });
  REQUIRE(Upload(loop, server, 10).failure == HttpFailure::kMalformedAnswer);
}

}  // namespace
}  // namespace oleandertide::sidecar
