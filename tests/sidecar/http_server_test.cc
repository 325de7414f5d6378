// Random pipelines against a plain model of the protocol.

#include "sidecar/http_server.h"

#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "sidecar/mesh_fixture.h"
#include "sidecar/raw_client.h"
#include "sidecar/timer.h"
#include "support/property.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A pipeline as a client sends it, and what has to come back.
struct Pipeline {
  std::string sent;
  std::string expected;
  bool is_ended_by_server = false;
  int handled = 0;
};

class PipelineMaker {
 public:
  explicit PipelineMaker(std::uint64_t seed) : random_(seed) {}

  // Returns a number from 0 to `limit` - 1.
  int Below(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(random_);
  }

  Pipeline Make() {
    Pipeline pipeline;
    const int count = 1 + Below(40);
    for (int i = 0; i < count && !pipeline.is_ended_by_server; ++i) {
      if (Below(25) == 0) {
        AddMalformed(pipeline);
      } else {
        AddRequest(pipeline, i);
      }
    }
    if (pipeline.is_ended_by_server && Below(2) == 0) {
      pipeline.sent += "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    return pipeline;
  }

 private:
  void AddRequest(Pipeline& pipeline, int number) {
    const bool is_get = Below(3) != 0;
    const std::string target = fmt::format("/{}", number);
    const std::string body =
        is_get ? std::string()
               : std::string(
                     static_cast<std::size_t>(Below(4) == 0 ? 0 : Below(3000)),
                     'b');
    const bool closes = Below(30) == 0;
    std::string head =
        fmt::format("{} {} HTTP/1.1\r\nHost: h\r\n{}", is_get ? "GET" : "POST",
                    target, closes ? "Connection: close\r\n" : "");
    if (is_get) {
      pipeline.sent += head + "\r\n";
    } else if (body.empty()) {
      pipeline.sent += head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    } else if (Below(2) == 0) {
      pipeline.sent +=
          head + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
    } else {
      pipeline.sent +=
          head + "Transfer-Encoding: chunked\r\n\r\n" +
          fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
    }
    const std::string answer = fmt::format("{} {}", target, body.size());
    pipeline.expected += fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{}\r\n{}", answer.size(),
        closes ? "Connection: close\r\n" : "", answer);
    pipeline.is_ended_by_server = closes;
    ++pipeline.handled;
  }

  void AddMalformed(Pipeline& pipeline) {
    pipeline.sent += "\x01 \x02\r\n\r\n";
    pipeline.expected +=
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
        "Connection: close\r\n\r\n";
    pipeline.is_ended_by_server = true;
  }

  std::mt19937_64 random_;
};

// Guards against answers out of order, twice, or of requests that nobody sent,
// for any mix of requests, any split of their bytes and any order of outcomes.
TEST_CASE("random pipelines are answered as the protocol says") {
  REQUIRE(testing::HoldsForSeeds("pipelines", 150, [](std::uint64_t seed) {
    EventLoop loop(1);
    PipelineMaker maker(seed);
    int handled = 0;
    const Address address = UnusedAddress();
    auto server = HttpServer::Create(
        loop, address,
        [&](const std::shared_ptr<HttpRequest>& request, HttpReply reply) {
          ++handled;
          const std::string answer = fmt::format(
              "{} {}", std::string(request->target()), request->body().size());
          if (maker.Below(3) == 0) {
            reply.Send({.body = answer});
            return;
          }
          const auto timer = std::make_shared<Timer>(loop);
          timer->Start(microseconds(maker.Below(3000)),
                       [timer, reply, answer]() mutable {
                         reply.Send({.body = answer});
                       });
        },
        [](const HttpRequest& request) {
          return request.method() == boost::beast::http::verb::get;
        });
    if (!server) return false;
    for (int connection = 0; connection < 3; ++connection) {
      const Pipeline pipeline = maker.Make();
      handled = 0;
      RawClient client(loop, address);
      const bool is_split_small = maker.Below(4) == 0;
      for (std::size_t sent = 0; sent < pipeline.sent.size();) {
        const auto size = static_cast<std::size_t>(
            1 + maker.Below(is_split_small ? 7 : 4000));
        client.Send(std::string_view(pipeline.sent).substr(sent, size));
        sent += size;
        loop.restart();
        if (is_split_small) {
          loop.poll();
        } else {
          loop.run_for(microseconds(maker.Below(500)));
        }
      }
      const MonotonicTime end = MonotonicClock::now() + seconds(5);
      const auto is_done = [&] {
        return client.received().size() >= pipeline.expected.size() &&
               client.is_ended() == pipeline.is_ended_by_server;
      };
      while (!is_done() && MonotonicClock::now() < end) {
        loop.restart();
        loop.run_one_for(milliseconds(5));
      }
      loop.restart();
      loop.run_for(milliseconds(4));
      if (client.received() != pipeline.expected || !is_done() ||
          client.is_reset() || handled != pipeline.handled) {
        UNSCOPED_INFO("seed " << seed << " sent:\n"
                              << pipeline.sent << "\nreceived:\n"
                              << client.received() << "\nexpected:\n"
                              << pipeline.expected);
        return false;
      }
      client.Close();
      loop.restart();
      loop.run_for(milliseconds(1));
    }
    return true;
  }));
}

// Guards against an answer that is cut although the client reads it: the time
// limit of a partial request behind it replaced that of the answer.
TEST_CASE("a partial request does not shorten the time of a slow answer") {
  EventLoop loop(1);
  const Address address = UnusedAddress();
  const std::string body(std::size_t{24} << 20U, 'b');
  auto server =
      HttpServer::Create(loop, address,
                         [&](const std::shared_ptr<HttpRequest>& /*request*/,
                             HttpReply reply) { reply.Send({.body = body}); });
  REQUIRE(server.has_value());
  server.value()->set_limits(
      {.header_timeout = milliseconds(100), .idle_timeout = milliseconds(200)});
  Tcp::socket client(loop);
  client.connect(ToEndpoint(address).value());
  const std::string request =
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHo";
  boost::asio::write(client, boost::asio::buffer(request));
  // The client pauses for longer than the limits of a request.
  loop.run_for(milliseconds(800));
  std::size_t received = 0;
  std::vector<char> chunk(std::size_t{1} << 20U);
  std::string last;
  client.non_blocking(true);
  const MonotonicTime end = MonotonicClock::now() + seconds(10);
  while (MonotonicClock::now() < end) {
    boost::system::error_code error;
    const std::size_t size =
        client.read_some(boost::asio::buffer(chunk), error);
    received += size;
    if (size > 0) last.assign(chunk.data(), size);
    if (error && error != boost::asio::error::would_block) break;
    loop.restart();
    loop.run_for(milliseconds(1));
  }
  REQUIRE(received > body.size());
  // The partial request is refused in its own time.
  REQUIRE(last.find("HTTP/1.1 408") != std::string::npos);
}

// Guards against memory that is held for a body which arrives a byte at a time.
TEST_CASE("a large body that arrives too slowly is refused") {
  EventLoop loop(1);
  const Address address = UnusedAddress();
  ByteBudget budget(ByteBudget::ForMemory(160));
  int handled = 0;
  auto server = HttpServer::Create(
      loop, address,
      [&](const std::shared_ptr<HttpRequest>& /*request*/, HttpReply reply) {
        ++handled;
        reply.Send({});
      });
  REQUIRE(server.has_value());
  server.value()->set_bounds({.budget = &budget,
                              .least_body_bytes = 1000,
                              .least_body_window = milliseconds(400)});
  Tcp::socket client(loop);
  client.connect(ToEndpoint(address).value());
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n";
  boost::asio::write(client, boost::asio::buffer(head));
  client.non_blocking(true);
  std::string received;
  const MonotonicTime end = MonotonicClock::now() + seconds(10);
  while (MonotonicClock::now() < end && received.empty()) {
    boost::system::error_code error;
    client.write_some(boost::asio::buffer("b", 1), error);
    std::array<char, 1000> area;
    const std::size_t size = client.read_some(boost::asio::buffer(area), error);
    received.append(area.data(), size);
    loop.restart();
    loop.run_for(milliseconds(20));
  }
  REQUIRE(received.find("HTTP/1.1 408") != std::string::npos);
  REQUIRE(handled == 0);
  // Nothing is held for it any more.
  REQUIRE(budget.used() == 0);
}

// Runs the loop until `expected` is logged, 10 s at most, and returns what was
// logged.
std::string LogUntil(EventLoop& loop, std::string_view expected) {
  std::FILE* const file = std::tmpfile();
  const int saved = dup(STDERR_FILENO);
  dup2(fileno(file), STDERR_FILENO);
  std::string text;
  const MonotonicTime end = MonotonicClock::now() + seconds(10);
  while (text.find(expected) == std::string::npos &&
         MonotonicClock::now() < end) {
    loop.restart();
    loop.run_for(milliseconds(10));
    text.resize(std::size_t{1} << 16U);
    const ssize_t size = pread(fileno(file), text.data(), text.size(), 0);
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  }
  dup2(saved, STDERR_FILENO);
  close(saved);
  std::fclose(file);
  return text;
}

// Guards against clients that take a node's memory and cannot be found, and
// against lines that show what a request contains.
TEST_CASE("who is refused or evicted for want of memory is logged") {
  EventLoop loop(1);
  const Address address = UnusedAddress();
  ByteBudget budget({.capacity = 300'000, .stall_limit = seconds(1)});
  auto server =
      HttpServer::Create(loop, address,
                         [](const std::shared_ptr<HttpRequest>& /*request*/,
                            HttpReply reply) { reply.Send({}); });
  REQUIRE(server.has_value());
  server.value()->set_bounds({.budget = &budget, .max_connections = 2});
  const std::string unfinished =
      "POST /private HTTP/1.1\r\nHost: h\r\nx-key: private\r\n"
      "Content-Length: 200000\r\n\r\nprivate";
  RawClient first(loop, address);
  RawClient second(loop, address);
  first.Send(unfinished);
  const MonotonicTime end = MonotonicClock::now() + seconds(10);
  while (budget.used() == 0 && MonotonicClock::now() < end) {
    loop.restart();
    loop.run_for(milliseconds(1));
  }
  second.Send(unfinished);
  const std::string refusal =
      "edge \"refused for want of memory\" client=127.0.0.1 asked=200000 "
      "held=0 "
      "in_use=200000 bound=300000";
  const std::string refused = LogUntil(loop, refusal);
  REQUIRE(refused.find(refusal) != std::string::npos);
  // The first one is stalled after this; the refused connection is closed for
  // the third.
  std::this_thread::sleep_for(milliseconds(1050));
  RawClient third(loop, address);
  third.Send(unfinished);
  const std::string eviction =
      "edge \"evicted for want of memory\" client=127.0.0.1 held=200000 "
      "in_use=200000 bound=300000";
  const std::string evicted = LogUntil(loop, eviction);
  REQUIRE(evicted.find(eviction) != std::string::npos);
  REQUIRE(evicted.find("edge \"closed for a new connection\" client=127.0.0.1 "
                       "listening=" +
                       address.ToString()) != std::string::npos);
  REQUIRE((refused + evicted).find("private") == std::string::npos);
  for (RawClient* client : {&first, &second, &third}) client->Close();
}

// Guards against a process that ends, or a connection that hangs, by a field
// that is longer than the library which keeps fields bears.
TEST_CASE("a field that is too long is refused wherever it stands") {
  EventLoop loop(1);
  const Address address = UnusedAddress();
  auto server =
      HttpServer::Create(loop, address,
                         [](const std::shared_ptr<HttpRequest>& /*request*/,
                            HttpReply reply) { reply.Send({.body = "ok"}); });
  REQUIRE(server.has_value());
  // An operator may allow heads that are longer than any field may be.
  server.value()->set_limits({.maximum_header_bytes = 200'000});
  const std::size_t length = GENERATE(65'533, 65'534, 70'000, 150'000, 210'000);
  const std::string line = "x:" + std::string(length, 'y') + "\r\n";
  const bool is_in_head = GENERATE(true, false);
  RawClient client(loop, address);
  client.Send(is_in_head ? "GET /1 HTTP/1.1\r\nHost: h\r\n" + line + "\r\n"
                         : "POST /1 HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "4\r\ndone\r\n0\r\n" +
                               line + "\r\n");
  const MonotonicTime end = MonotonicClock::now() + seconds(2);
  while (client.Count("\r\n\r\n") == 0 && MonotonicClock::now() < end) {
    loop.restart();
    loop.run_for(milliseconds(1));
  }
  const bool is_accepted = length <= (is_in_head ? 65'533 : 200'000 - 1);
  INFO(length << (is_in_head ? " in the head" : " behind the body"));
  REQUIRE(client.received().starts_with(is_accepted ? "HTTP/1.1 200"
                                                    : "HTTP/1.1 431"));
  client.Close();
}

}  // namespace
}  // namespace oleandertide::sidecar
