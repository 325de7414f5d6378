#include "http/server.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <variant>

#include "http/client_pool.h"

namespace oleandertide::http {
namespace {

const Address kAnyPort{"127.0.0.1", 0};
constexpr std::size_t kMaximumAnswerBytes = kMebibyte;

Response EmptyError(int status) { return {status, {}, "error", "text/plain"}; }

std::unique_ptr<Server> StartServer(Handler handler,
                                    ServerOptions options = {}) {
  auto server =
      Server::Start(kAnyPort, options, std::move(handler), EmptyError);
  REQUIRE(server);
  return std::move(server).value();
}

ClientPool PoolFor(const Server& server) {
  return {Address{"127.0.0.1", server.port()}, kMaximumAnswerBytes};
}

Request Post(std::string target, std::string body) {
  Request request;
  request.method = "POST";
  request.target = std::move(target);
  request.body = std::move(body);
  return request;
}

MonotonicTime In(Duration duration) { return MonotonicClock::now() + duration; }

template <typename Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 500; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

// Guards against a library that interprets bodies: a proxy must pass forms,
// encodings and ranges on as they are.
TEST_CASE("bodies and headers reach the handler unchanged") {
  const auto server =
      StartServer([](const Request& request, const std::stop_token&) {
        Response response;
        response.body =
            request.body + "|" + request.target + "|" +
            std::string(FindHeader(request.headers, "content-type"));
        return response;
      });
  ClientPool pool = PoolFor(*server);
  for (const std::string type : {"multipart/form-data; boundary=x",
                                 "application/x-www-form-urlencoded"}) {
    Request request = Post("/a%20b?c=d", std::string(20'000, 'b'));
    request.headers = {{"Content-Type", type}, {"Range", "bytes=0-3"}};
    const auto outcome = pool.Send(request, In(std::chrono::seconds(5)), {});
    REQUIRE(std::holds_alternative<Response>(outcome));
    REQUIRE(std::get<Response>(outcome).status == 200);
    REQUIRE(std::get<Response>(outcome).body ==
            request.body + "|/a%20b?c=d|" + type);
  }
}

// Guards against work that goes on after its caller has hung up.
TEST_CASE("a caller that gives up cancels its request") {
  std::atomic<bool> is_cancelled = false;
  const auto server =
      StartServer([&](const Request&, const std::stop_token& cancelled) {
        while (!cancelled.stop_requested()) std::this_thread::yield();
        is_cancelled = true;
        return Response{};
      });
  ClientPool pool = PoolFor(*server);
  std::stop_source giving_up;
  std::thread stopper([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    giving_up.request_stop();
  });
  const auto outcome = pool.Send(Post("/", ""), In(std::chrono::seconds(30)),
                                 giving_up.get_token());
  stopper.join();
  REQUIRE(std::get<Failure>(outcome) == Failure::kCancelled);
  REQUIRE(Eventually([&] { return is_cancelled.load(); }));
}

// Guards against an answer that arrives after its time-out and is taken for
// the answer to the next request on the same connection.
TEST_CASE("a late answer reaches nobody") {
  const auto server =
      StartServer([](const Request& request, const std::stop_token&) {
        if (request.target == "/slow") {
          std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
        Response response;
        response.body = request.target;
        return response;
      });
  ClientPool pool = PoolFor(*server);
  const auto late =
      pool.Send(Post("/slow", ""), In(std::chrono::milliseconds(100)), {});
  REQUIRE(std::get<Failure>(late) == Failure::kTimeout);
  for (int i = 0; i < 5; ++i) {
    const std::string target = "/next-" + std::to_string(i);
    const auto outcome =
        pool.Send(Post(target, ""), In(std::chrono::seconds(5)), {});
    REQUIRE(std::get<Response>(outcome).body == target);
    std::this_thread::sleep_for(std::chrono::milliseconds(80));
  }
}

// Guards against "not run" for a request that was sent.
TEST_CASE("only a connection that was never made counts as connect failure") {
  ClientPool nobody(Address{"127.0.0.1", 1}, kMaximumAnswerBytes);
  const auto refused =
      nobody.Send(Post("/", ""), In(std::chrono::seconds(1)), {});
  REQUIRE(std::get<Failure>(refused) == Failure::kConnectFailed);
  REQUIRE_FALSE(nobody.IsAccepting(std::chrono::milliseconds(200)));

  const auto passed = nobody.Send(Post("/", ""), MonotonicClock::now(), {});
  REQUIRE(std::get<Failure>(passed) == Failure::kConnectFailed);
}

// Guards against a caller that fills memory.
// Guards against a process that ends by bodies which are each of legal size.
TEST_CASE("connections are as many as the memory holds bodies for") {
  ServerOptions options{.maximum_connections = 256,
                        .maximum_body_bytes = kMebibyte};
  REQUIRE_FALSE(options.FitToMemory(2048 * kMebibyte));
  REQUIRE(options.maximum_connections == 256);
  REQUIRE(options.FitToMemory(160 * kMebibyte));
  REQUIRE(options.maximum_connections == 20);
  REQUIRE(options.FitToMemory(kMebibyte));
  REQUIRE(options.maximum_connections == 1);
}

TEST_CASE("bodies above the limit are refused") {
  ServerOptions options;
  options.maximum_body_bytes = 100;
  const auto server = StartServer(
      [](const Request&, const std::stop_token&) { return Response{}; },
      options);
  ClientPool pool = PoolFor(*server);
  const auto outcome = pool.Send(Post("/", std::string(10'000, 'x')),
                                 In(std::chrono::seconds(5)), {});
  if (const auto* response = std::get_if<Response>(&outcome)) {
    REQUIRE(response->status == 413);
  } else {
    REQUIRE(std::get<Failure>(outcome) == Failure::kConnectionLost);
  }
}

// Guards against two processes that silently share a port.
TEST_CASE("a port in use cannot be bound") {
  const auto handler = [](const Request&, const std::stop_token&) {
    return Response{};
  };
  const auto server = StartServer(handler);
  const Address taken{"127.0.0.1", server->port()};
  REQUIRE(Server::Start(taken, {}, handler, EmptyError).error() ==
          Error::kUnavailable);
}

// Answers one request on each connection with the given bytes and closes it.
class CuttingServer {
 public:
  CuttingServer()
      : acceptor_(context_, boost::asio::ip::tcp::endpoint(
                                boost::asio::ip::address_v4::loopback(), 0)) {}

  Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  void Answer(std::string_view bytes, bool is_reset) {
    boost::asio::ip::tcp::socket socket = acceptor_.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(bytes.data(), bytes.size()));
    if (is_reset) socket.set_option(boost::asio::socket_base::linger(true, 0));
  }

  // The same, but leaves it to the client to close the connection.
  void AnswerAndWait(std::string_view bytes) {
    boost::asio::ip::tcp::socket socket = acceptor_.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n");
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes.data(), bytes.size()),
                       ignored);
    char byte = 0;
    socket.read_some(boost::asio::buffer(&byte, 1), ignored);
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

// Guards against an answer that is cut in its head or body and taken for a
// whole one.
TEST_CASE("an answer that is cut at any byte is a lost connection") {
  const std::string whole = GENERATE(
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\n\r\n");
  const bool is_reset = GENERATE(false, true);
  CuttingServer server;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    std::thread answering(
        [&] { server.Answer(whole.substr(0, size), is_reset); });
    ClientPool pool(server.address(), kMaximumAnswerBytes);
    Request request;
    request.method = "GET";
    request.target = "/";
    const SendOutcome outcome =
        pool.Send(request, In(std::chrono::seconds(5)), {});
    answering.join();
    INFO("cut after " << size << " of " << whole.size());
    const auto* failure = std::get_if<Failure>(&outcome);
    REQUIRE(failure != nullptr);
    REQUIRE(*failure == Failure::kConnectionLost);
  }
}

// Sends a request to a server that answers it with the given bytes.
SendOutcome SendTo(std::string_view answer, bool is_reset,
                   const Request& request) {
  CuttingServer server;
  std::thread answering([&] { server.Answer(answer, is_reset); });
  ClientPool pool(server.address(), kMaximumAnswerBytes);
  SendOutcome outcome = pool.Send(request, In(std::chrono::seconds(5)), {});
  answering.join();
  return outcome;
}

// Guards against bytes that are passed on as an answer.
TEST_CASE("an answer outside the protocol is a lost connection") {
  const std::string start = GENERATE(
      "HTTP/1.1 000 Odd\r\n", "HTTP/1.1 099 Odd\r\n", "HTTP/1.1 600 Odd\r\n",
      "HTTP/1.1 999 Odd\r\n", "HTTP/1.1 abc Odd\r\n", "HTTP/1.1 20 Odd\r\n",
      "HTTP/1.1 200 OK\r\nOdd Name: 1\r\n",
      "HTTP/1.1 200 OK\r\nOdd\x01Name: 1\r\n", "HTTP/1.1 200 OK\r\nOdd : 1\r\n",
      "HTTP/1.1 200 OK\r\n: 1\r\n", "HTTP/1.1 200 OK\r\nOdd\r\n",
      "HTTP/1.1 103 Hints\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
      "HTTP/1.1 200 OK\r\nX: 1\n\r\n");
  INFO(start);
  Request request;
  request.method = "GET";
  request.target = "/";
  const SendOutcome outcome =
      SendTo(start + "Content-Length: 4\r\n\r\nbody", false, request);
  REQUIRE(std::holds_alternative<Failure>(outcome));
}

// Guards against memory that is lost to a server which sends without end.
TEST_CASE("an answer without end is cut off") {
  const auto [start, endless] = GENERATE(table<std::string, std::string>(
      {{"HTTP/1.1 200 OK\r\n\r\n", "body"},
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nbody\r\n"},
       {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
       {"", "HTTP/1.1 100 Continue\r\n\r\n"}}));
  // Several times the limit of a body; then the server waits for the client.
  std::string bytes = start;
  while (bytes.size() < 8 * kMaximumAnswerBytes) bytes += endless;
  CuttingServer server;
  std::thread answering([&] { server.AnswerAndWait(bytes); });
  ClientPool pool(server.address(), kMaximumAnswerBytes);
  Request request;
  request.method = "GET";
  request.target = "/";
  const MonotonicTime begin = MonotonicClock::now();
  const SendOutcome outcome =
      pool.Send(request, In(std::chrono::seconds(5)), {});
  answering.join();
  REQUIRE(std::get<Failure>(outcome) == Failure::kConnectionLost);
  REQUIRE(MonotonicClock::now() - begin < std::chrono::seconds(4));
}

// Guards against a part of an answer that is taken for the whole: the server
// answers an upload before it has been sent, and resets the connection.
TEST_CASE("a reset does not end an answer without length") {
  const SendOutcome outcome =
      SendTo("HTTP/1.1 200 OK\r\n\r\npart", true,
             Post("/", std::string(std::size_t{8} << 20U, 'u')));
  REQUIRE(std::holds_alternative<Failure>(outcome));
}

}  // namespace
}  // namespace oleandertide::http
