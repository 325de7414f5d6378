// Timers that expire in the same turn of the loop as what they watch.

#include "sidecar/timer.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "sidecar/http_connection.h"
#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;

// A server that answers each request at once, also while the loop stands still.
class ThreadedServer {
 public:
  ThreadedServer()
      : acceptor_(context_,
                  Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        thread_([this] { Serve(); }) {}

  ~ThreadedServer() { thread_.join(); }

  Tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

  int requests() const { return requests_; }

 private:
  // Until the other side closes its first connection.
  void Serve() {
    Tcp::socket socket = acceptor_.accept();
    std::string input;
    boost::system::error_code error;
    while (true) {
      const std::size_t size = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(input), "\r\n\r\n", error);
      if (error) return;
      input.erase(0, size);
      ++requests_;
      boost::asio::write(socket,
                         boost::asio::buffer(std::string_view(
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                         error);
    }
  }

  boost::asio::io_context context_;
  Tcp::acceptor acceptor_;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

HttpExchange MakeExchange(Duration limit,
                          const std::function<void(int)>& on_end) {
  HttpExchange exchange;
  exchange.head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  exchange.limit = limit;
  exchange.on_answer = [on_end](const HttpResponse& response) {
    on_end(static_cast<int>(response.result_int()));
  };
  // Failures are told as negative numbers.
  exchange.on_failure = [on_end](HttpFailure failure) {
    on_end(-1 - static_cast<int>(failure));
  };
  return exchange;
}

// Guards against calls of a function whose timer was started anew, cancelled or
// destroyed after the loop had queued the call.
TEST_CASE("an expiry that is queued is dropped with its timer's purpose") {
  EventLoop loop(1);
  Timer first(loop);
  std::optional<Timer> second(std::in_place, loop);
  int stale = 0;
  int fresh = 0;
  first.Start(milliseconds(1), [&] {
    SECTION("started anew") {
      second->Start(milliseconds(1), [&] { ++fresh; });
    }
    SECTION("cancelled") { second->Cancel(); }
    SECTION("destroyed") { second.reset(); }
  });
  second->Start(milliseconds(2), [&] { ++stale; });
  // Both expire before the loop runs, so that it queues both calls at once.
  std::this_thread::sleep_for(milliseconds(10));
  loop.run();
  REQUIRE(stale == 0);
  REQUIRE(fresh <= 1);
}

// Guards against "not sent" for a request that was sent: the connection is open
// and its time limit has passed when the loop runs again.
TEST_CASE("a connect that ends while the process stands still is not late") {
  ThreadedServer server;
  EventLoop loop(1);
  const auto connection = std::make_shared<HttpConnection>(
      loop, server.endpoint(), milliseconds(20));
  std::optional<int> end;
  connection->Start(
      MakeExchange(std::chrono::seconds(2), [&](int status) { end = status; }));
  std::this_thread::sleep_for(milliseconds(50));
  while (!end) loop.run_one();
  connection->Close();
  CHECK(*end == 200);
  REQUIRE(server.requests() == 1);
}

// Guards against a time limit of an answered exchange that ends the next one.
TEST_CASE("the limit of an exchange does not end the next one") {
  ThreadedServer server;
  EventLoop loop(1);
  const auto connection = std::make_shared<HttpConnection>(
      loop, server.endpoint(), std::chrono::seconds(2));
  std::optional<int> first;
  std::optional<int> second;
  connection->Start(MakeExchange(milliseconds(30), [&](int status) {
    first = status;
    if (status != 200) return;
    connection->Start(MakeExchange(std::chrono::seconds(2),
                                   [&](int next) { second = next; }));
  }));
  while (!connection->is_connected()) loop.run_one();
  // The answer comes and the limit passes before the loop runs.
  std::this_thread::sleep_for(milliseconds(60));
  while (!first || (*first == 200 && !second)) loop.run_one();
  connection->Close();
  REQUIRE(*first == 200);
  REQUIRE(*second == 200);
}

// Guards against a request that must run once and runs twice, or that is
// refused as not run and has run, because its node stood still at some step.
TEST_CASE("a request runs once whenever its node stands still") {
  MeshFixture mesh;
  std::map<std::string, int> runs;
  const auto script = [&](const RawRequest& request) {
    ++runs[request.target()];
    // So that the next request needs a new connection.
    return RawReply{.bytes = StampedAnswer("body"), .closes = true};
  };
  Instance& first = mesh.AddInstance("booking", script);
  Instance& second = mesh.AddInstance("booking", script);
  for (Instance* instance : {&first, &second}) {
    REQUIRE(mesh.Announce(*instance) == 200);
    mesh.AwaitService(*instance, "/idem/0");
  }
  constexpr int kMaxSteps = 24;
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    const std::string target = "/once/" + std::to_string(steps);
    const auto answer = mesh.Begin(first, "POST", target);
    mesh.loop().restart();
    for (int step = 0; step < steps; ++step) mesh.loop().run_one();
    // Longer than a connection to the backend server may take.
    std::this_thread::sleep_for(milliseconds(550));
    mesh.RunUntil([&] { return answer->has_value(); });
    INFO("stood still after step " << steps << ", status "
                                   << (*answer)->status);
    REQUIRE(runs[target] <= 1);
    if ((*answer)->status == 503) REQUIRE(runs[target] == 0);
    REQUIRE(mesh.Announce(first) == 200);
  }
}

}  // namespace
}  // namespace oleandertide::sidecar
