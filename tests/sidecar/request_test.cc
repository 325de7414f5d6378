// The path of a request, from a client over two nodes to a backend server.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RawReply Ok(const RawRequest& request) {
  return {.bytes = StampedAnswer("body of " + request.target())};
}

// Two nodes: clients call the first, beside a backend server of `rooms`; the
// second is beside one of `booking` that answers by `script`.
struct TwoNodes : MeshFixture {
  explicit TwoNodes(RawServer::Script script)
      : first(AddInstance("rooms", Ok)),
        second(AddInstance("booking", std::move(script))) {
    REQUIRE(Announce(first) == 200);
    REQUIRE(Announce(second) == 200);
  }

  Instance& first;
  Instance& second;
};

TEST_CASE("a request runs at the backend server of its route") {
  TwoNodes mesh(Ok);
  mesh.AwaitService(mesh.first, "/idem/0");
  const ClientAnswer answer =
      mesh.Send(mesh.first, "POST", "/once/7?x=1", "the body");
  REQUIRE(answer.status == 200);
  REQUIRE(answer.body == "body of /once/7?x=1");
  REQUIRE(answer.stamp == "stamp");
  const RawRequest& request = mesh.second.backend->requests().back();
  REQUIRE(request.body == "the body");
  REQUIRE(request.header("Oleandertide-Caller-Service") == "rooms");
  REQUIRE(request.header("Oleandertide-Expect-Instance") ==
          mesh.second.backend_id);
  const int remaining = std::stoi(request.header("Oleandertide-Deadline-Ms"));
  REQUIRE(remaining <= 1000);
  REQUIRE(remaining > 700);
}

// Guards against an answer that goes to another request: a backend server may
// answer an earlier request late, and then the present one.
TEST_CASE("an answer with another id is skipped") {
  TwoNodes mesh([](const RawRequest& request) {
    RawReply reply = Ok(request);
    if (request.target() != "/once/crossed") return reply;
    reply.bytes =
        "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: other\r\n"
        "Oleandertide-Server-Stamp: stamp\r\nContent-Length: 5\r\n\r\nother" +
        reply.bytes;
    return reply;
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  const ClientAnswer answer = mesh.Send(mesh.first, "POST", "/once/crossed");
  REQUIRE(answer.status == 200);
  REQUIRE(answer.body == "body of /once/crossed");
}

// Guards against bytes after an answer that are taken for the next answer.
TEST_CASE("a connection with bytes left over is not used again") {
  TwoNodes mesh([](const RawRequest& request) {
    RawReply reply = Ok(request);
    if (request.target() == "/idem/extra") reply.bytes += reply.bytes;
    return reply;
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  REQUIRE(mesh.Send(mesh.first, "GET", "/idem/extra").status == 200);
  const ClientAnswer next = mesh.Send(mesh.first, "GET", "/idem/next");
  REQUIRE(next.body == "body of /idem/next");
}

// Guards against a booking that runs twice, and against "not run" for one that
// may have run.
TEST_CASE("a lost answer is unknown for a request that must run once") {
  TwoNodes mesh([](const RawRequest& request) {
    RawReply reply = Ok(request);
    reply.resets = request.target() == "/once/lost";
    return reply;
  });
  Instance& third = mesh.AddInstance("booking", Ok);
  REQUIRE(mesh.Announce(third) == 200);
  mesh.AwaitService(mesh.first, "/idem/0");
  mesh.RunFor(milliseconds(300));
  for (int i = 0; i < 6; ++i) {
    const int status = mesh.Send(mesh.first, "POST", "/once/lost").status;
    REQUIRE((status == 502 || status == 200));
  }
  const auto count = [](const Instance& instance) {
    int runs = 0;
    for (const RawRequest& request : instance.backend->requests()) {
      if (request.target() == "/once/lost") ++runs;
    }
    return runs;
  };
  REQUIRE(count(mesh.second) + count(third) == 6);
}

// Guards against a lookup that fails although another backend server could run
// it.
TEST_CASE("a lost answer is asked for again elsewhere if it may be") {
  TwoNodes mesh([](const RawRequest& request) {
    RawReply reply = Ok(request);
    reply.resets = request.target() == "/idem/lost";
    return reply;
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  Instance& third = mesh.AddInstance("booking", Ok);
  REQUIRE(mesh.Announce(third) == 200);
  mesh.RunFor(milliseconds(700));
  REQUIRE(mesh.Send(mesh.first, "GET", "/idem/lost").status == 200);
}

// Guards against answers that look complete and are not.
TEST_CASE("a cut, unsigned or encoded answer is not passed on as a success") {
  const std::string bytes = GENERATE(
      std::string(
          "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
          "Oleandertide-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nab"),
      std::string("HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
                  "Content-Length: 2\r\n\r\nab"),
      std::string("HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
                  "Oleandertide-Server-Stamp: s\r\nContent-Encoding: gzip\r\n"
                  "Content-Length: 2\r\n\r\nab"),
      std::string("\x16\x03\x01 no answer at all\r\n\r\n"));
  TwoNodes mesh([bytes](const RawRequest& request) {
    if (request.target() != "/once/spoilt") return Ok(request);
    return RawReply{.bytes = bytes, .closes = true};
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  const ClientAnswer answer = mesh.Send(mesh.first, "POST", "/once/spoilt");
  REQUIRE(answer.status == 502);
  REQUIRE(answer.stamp.empty());
}

// Guards against an answer without length that is lost at the orderly end of
// its connection.
TEST_CASE("an answer without length is complete at the connection's end") {
  TwoNodes mesh([](const RawRequest& request) {
    if (request.target() != "/idem/unframed") return Ok(request);
    return RawReply{.bytes =
                        "HTTP/1.1 200 OK\r\nOleandertide-Request-Id: {id}\r\n"
                        "Oleandertide-Server-Stamp: s\r\n\r\nwhole",
                    .closes = true};
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  const ClientAnswer answer = mesh.Send(mesh.first, "GET", "/idem/unframed");
  REQUIRE(answer.status == 200);
  REQUIRE(answer.body == "whole");
}

// Guards against a refusal of a backend server that reaches the client as its
// answer, although another one has room.
TEST_CASE("what a backend server did not run is not run or runs elsewhere") {
  TwoNodes mesh([](const RawRequest& request) {
    if (request.target() != "/once/shed") return Ok(request);
    return RawReply{
        .bytes =
            "HTTP/1.1 503 Full\r\nOleandertide-Request-Id: {id}\r\n"
            "Oleandertide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  ClientAnswer answer = mesh.Send(mesh.first, "POST", "/once/shed");
  REQUIRE(answer.status == 503);
  REQUIRE(std::stod(answer.retry_after) > 0);
  Instance& third = mesh.AddInstance("booking", Ok);
  REQUIRE(mesh.Announce(third) == 200);
  mesh.RunFor(milliseconds(700));
  REQUIRE(mesh.Send(mesh.first, "POST", "/once/shed").status == 200);
}

// Guards against the bytes of a body that arrive where the next request is
// expected: a backend server may answer before it has read the body.
TEST_CASE("an early answer does not let the body run into the next request") {
  TwoNodes mesh([](const RawRequest& request) {
    if (request.target() != "/idem/early") return Ok(request);
    RawReply reply = Ok(request);
    reply.is_early = true;
    return reply;
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  mesh.Send(mesh.first, "GET", "/idem/early", std::string(90'000, 'x'));
  REQUIRE(mesh.Send(mesh.first, "GET", "/idem/next").body ==
          "body of /idem/next");
  for (const RawRequest& request : mesh.second.backend->requests()) {
    const bool is_health_check = request.target() == "/health";
    REQUIRE((is_health_check || request.head.starts_with("GET /idem/")));
  }
}

// Guards against slots that work for a client that has left.
TEST_CASE("a client that leaves ends the run of an idempotent request") {
  TwoNodes mesh([](const RawRequest& request) {
    RawReply reply = Ok(request);
    if (request.target() == "/idem/slow") reply.delay = seconds(2);
    return reply;
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  mesh.SendRaw(mesh.first.settings.listen.clients,
               "GET /idem/slow HTTP/1.1\r\nHost: a.example\r\n"
               "Oleandertide-Request-Id: left\r\n"
               "Oleandertide-Deadline-Ms: 3000\r\n\r\n",
               milliseconds(100));
  mesh.RunUntil([&] { return mesh.second.backend->abandoned() == 1; },
                milliseconds(500));
}

// Guards against requests that outlast their route's timeout.
TEST_CASE("a route's timeout ends the wait") {
  TwoNodes mesh([](const RawRequest& request) {
    RawReply reply = Ok(request);
    if (request.target() == "/short/slow") reply.delay = seconds(3);
    return reply;
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  const MonotonicTime start = MonotonicClock::now();
  const ClientAnswer answer =
      mesh.Send(mesh.first, "GET", "/short/slow", {}, 2000);
  REQUIRE(answer.status == 504);
  REQUIRE(MonotonicClock::now() - start < milliseconds(600));
}

// Guards against slots that stay taken by requests that are never answered, and
// against "not run" for one that a backend server may have run: some backend
// servers that are full answer neither a request nor any later one of its
// connection.
TEST_CASE("a backend server that hangs gives up its slots at the time limit") {
  TwoNodes mesh([](const RawRequest& request) {
    RawReply reply = Ok(request);
    if (request.target().find("hang") != std::string::npos) {
      reply.delay = seconds(60);
    }
    return reply;
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  const int connections = mesh.second.backend->connections();
  // Both slots are taken.
  const auto once = mesh.Begin(mesh.first, "POST", "/once/hang", {}, 400);
  const auto repeatable = mesh.Begin(mesh.first, "GET", "/short/hang", {}, 400);
  mesh.RunUntil([&] { return once->has_value() && repeatable->has_value(); },
                milliseconds(700));
  REQUIRE((*once)->status == 504);
  REQUIRE((*repeatable)->status == 504);
  // Their connections carry nothing more.
  mesh.RunUntil([&] { return mesh.second.backend->abandoned() == 2; },
                milliseconds(200));
  const auto first = mesh.Begin(mesh.first, "GET", "/idem/1", {}, 400);
  const auto second = mesh.Begin(mesh.first, "GET", "/idem/2", {}, 400);
  mesh.RunUntil([&] { return first->has_value() && second->has_value(); },
                milliseconds(200));
  REQUIRE((*first)->status == 200);
  REQUIRE((*second)->status == 200);
  REQUIRE(mesh.second.backend->connections() > connections);
}

// Guards against large bodies that arrive in part or out of order.
TEST_CASE("a large answer arrives whole, between small ones") {
  std::string large;
  for (int i = 0; i < 60'000; ++i) large += std::to_string(i);
  TwoNodes mesh([large](const RawRequest& request) {
    if (request.target() != "/idem/large") return Ok(request);
    return RawReply{.bytes = StampedAnswer(large)};
  });
  mesh.AwaitService(mesh.first, "/idem/0");
  const auto first = mesh.Begin(mesh.first, "GET", "/idem/large");
  const auto second = mesh.Begin(mesh.first, "GET", "/idem/small");
  mesh.RunUntil([&] { return first->has_value() && second->has_value(); });
  REQUIRE((*first)->body == large);
  REQUIRE((*second)->body == "body of /idem/small");
}

// Guards against requests beyond the limits that reach a backend server, and
// against a connection that goes on after a malformed request.
TEST_CASE("requests beyond the limits are refused") {
  TwoNodes mesh(Ok);
  mesh.AwaitService(mesh.first, "/idem/0");
  const auto seen = mesh.second.backend->requests().size();
  const auto send = [&](const std::string& bytes) {
    return mesh.SendRaw(mesh.first.settings.listen.clients, bytes)
        .substr(0, 12);
  };
  REQUIRE(send("NONSENSE\r\n\r\n") == "HTTP/1.1 400");
  REQUIRE(send("GET /idem/1 HTTP/1.1\r\nHost: a.example\r\nX: " +
               std::string(5000, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
  REQUIRE(send("POST /idem/1 HTTP/1.1\r\nHost: a.example\r\n"
               "Content-Length: 200000\r\n\r\n") == "HTTP/1.1 413");
  REQUIRE(send("GET /idem/1 HTTP/1.1\r\nHost: a.ex") == "HTTP/1.1 408");
  REQUIRE(mesh.second.backend->requests().size() == seen);
}

}  // namespace
}  // namespace oleandertide::sidecar
