// Requests that a client sends before the first one has been answered.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "sidecar/mesh_fixture.h"
#include "sidecar/raw_client.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSlowRun = milliseconds(300);

std::string Request(const std::string& method, const std::string& target,
                    const std::string& further_lines = {},
                    const std::string& body = {}) {
  static int number = 0;
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: a.example\r\nOleandertide-Request-Id: p{}\r\n"
      "Oleandertide-Deadline-Ms: 3000\r\nContent-Length: {}\r\n{}\r\n{}",
      method, target, number++, body.size(), further_lines, body);
}

std::string Get(const std::string& target) { return Request("GET", target); }

// A node beside a backend server with two slots, on which targets with `slow`
// take kSlowRun and those with `slower` three times as long.
struct PipelineFixture : MeshFixture {
  PipelineFixture()
      : instance(AddInstance("booking", [](const RawRequest& request) {
          RawReply reply{.bytes = StampedAnswer("body of " + request.target())};
          if (request.target().find("slow") != std::string::npos) {
            reply.delay = kSlowRun;
          }
          if (request.target().find("slower") != std::string::npos) {
            reply.delay = 3 * kSlowRun;
          }
          return reply;
        })) {
    REQUIRE(Announce(instance) == 200);
    AwaitService(instance, "/idem/0");
    seen = instance.backend->requests().size();
  }

  // Targets that reached the backend server since the start of the test.
  std::vector<std::string> Targets() const {
    std::vector<std::string> targets;
    const auto& requests = instance.backend->requests();
    for (std::size_t i = seen; i < requests.size(); ++i) {
      targets.push_back(requests[i].target());
    }
    return targets;
  }

  Instance& instance;
  std::size_t seen = 0;
};

// Returns whether the texts stand in `all`, in this order.
bool StandInOrder(const std::string& all,
                  const std::vector<std::string>& texts) {
  std::size_t at = 0;
  for (const std::string& text : texts) {
    at = all.find(text, at);
    if (at == std::string::npos) return false;
    at += text.size();
  }
  return true;
}

// Guards against bytes that are taken for a second request: a read was pending
// into the buffer from which a request behind it was parsed and removed.
TEST_CASE("requests in one packet and one that follows are answered once") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  client.Send(Get("/idem/1") + Get("/idem/slow2"));
  mesh.RunUntil([&] {
    return mesh.Targets().size() == 2 && client.Count("body of /idem/1") == 1;
  });
  const std::string third = Get("/idem/third");
  SECTION("in one packet") { client.Send(third); }
  SECTION("byte by byte") {
    for (const char byte : third) {
      client.Send({&byte, 1});
      mesh.RunFor(milliseconds(5));
    }
  }
  mesh.RunFor(seconds(1));
  REQUIRE(client.Count("HTTP/1.1 ") == 3);
  REQUIRE(StandInOrder(
      client.received(),
      {"body of /idem/1", "body of /idem/slow2", "body of /idem/third"}));
  REQUIRE(mesh.Targets().size() == 3);
  client.Close();
  mesh.RunFor(milliseconds(10));
}

// Guards against requests that are late because they wait for an earlier one
// while their backend server has a free slot.
TEST_CASE("repeatable requests of a connection run concurrently") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  client.Send(Get("/idem/slow1") + Get("/idem/slow2"));
  mesh.RunUntil([&] { return mesh.Targets().size() == 2; }, kSlowRun / 2);
  // One after the other would take twice the time of a run.
  mesh.RunUntil([&] { return client.Count("HTTP/1.1 200") == 2; },
                kSlowRun * 3 / 2);
  REQUIRE(StandInOrder(client.received(),
                       {"body of /idem/slow1", "body of /idem/slow2"}));
  client.Close();
  mesh.RunFor(milliseconds(10));
}

// Guards against a booking that runs twice: a client sends again what stood
// behind an answer that closes the connection.
TEST_CASE("a request that must run once waits for the answers before it") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  client.Send(Get("/idem/slow1") + Request("POST", "/once/2"));
  mesh.RunFor(kSlowRun / 2);
  REQUIRE(mesh.Targets() == std::vector<std::string>{"/idem/slow1"});
  mesh.RunUntil([&] { return client.Count("HTTP/1.1 200") == 2; });
  REQUIRE(StandInOrder(client.received(),
                       {"body of /idem/slow1", "body of /once/2"}));
  client.Close();
  mesh.RunFor(milliseconds(10));
}

// Guards against a run that the client takes for one that never began.
TEST_CASE("nothing behind a request that ends the connection is run") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  client.Send(Request("GET", "/idem/slow1", "Connection: close\r\n") +
              Get("/idem/2") + Request("POST", "/once/3"));
  mesh.RunUntil([&] { return client.is_ended(); });
  mesh.RunFor(milliseconds(100));
  REQUIRE(mesh.Targets() == std::vector<std::string>{"/idem/slow1"});
  REQUIRE(client.Count("HTTP/1.1 ") == 1);
}

// Guards against answers that are lost because a request behind them cannot be
// parsed, and against a reset that takes the answers along: bytes behind the
// malformed request are unread when the connection ends.
TEST_CASE("a malformed request is refused after the answers before it") {
  PipelineFixture mesh;
  const auto [bytes, status] =
      GENERATE(std::pair<std::string, std::string>("NONSENSE\r\n\r\n", "400"),
               std::pair<std::string, std::string>(
                   "GET /idem/3 HTTP/1.1\r\nHost: a.example\r\nX: " +
                       std::string(5000, 'x') + "\r\n\r\n",
                   "431"),
               std::pair<std::string, std::string>(
                   "POST /idem/3 HTTP/1.1\r\nHost: a.example\r\n"
                   "Content-Length: 200000\r\n\r\n",
                   "413"));
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  client.Send(Get("/idem/slow1") + Get("/idem/2") + bytes + Get("/idem/4") +
              std::string(40'000, 'y'));
  mesh.RunFor(kSlowRun * 2);
  client.Send("more");
  mesh.RunUntil([&] { return client.is_ended(); });
  REQUIRE_FALSE(client.is_reset());
  REQUIRE(StandInOrder(client.received(),
                       {"HTTP/1.1 200", "body of /idem/slow1", "HTTP/1.1 200",
                        "body of /idem/2", "HTTP/1.1 " + status}));
  REQUIRE(client.Count("HTTP/1.1 ") == 3);
  REQUIRE(mesh.Targets().size() == 2);
}

// Guards against slots that work for a client that has left.
TEST_CASE("a client that leaves ends all runs of its pipeline") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  client.Send(Get("/idem/slow1") + Get("/idem/slow2") + Get("/idem/slow3"));
  mesh.RunUntil([&] { return mesh.Targets().size() == 2; }, kSlowRun / 2);
  client.Close();
  mesh.RunUntil([&] { return mesh.instance.backend->abandoned() == 2; },
                kSlowRun / 2);
  mesh.RunFor(kSlowRun);
  REQUIRE(mesh.Targets().size() == 2);
}

// Guards against a wait that starts over when a request moves up: the route's
// timeout is 300 ms.
TEST_CASE("the timeout of each request counts from its own reading") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  const MonotonicTime start = MonotonicClock::now();
  client.Send(Get("/idem/slow1") + Get("/short/slower"));
  mesh.RunUntil([&] { return client.Count("HTTP/1.1 504") == 1; });
  REQUIRE(MonotonicClock::now() - start < milliseconds(500));
  REQUIRE(client.Count("HTTP/1.1 200") == 1);
  client.Close();
  mesh.RunFor(milliseconds(10));
}

// Guards against requests that are cut by a planned stop although they were
// read: all of them are answered, and the last answer ends the connection.
TEST_CASE("a node that stops answers the pipeline that it has read") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  client.Send(Get("/idem/slow1") + Get("/idem/slow2") +
              Request("POST", "/once/3"));
  mesh.RunUntil([&] { return mesh.Targets().size() == 2; }, kSlowRun / 2);
  mesh.instance.node->Stop();
  mesh.RunFor(milliseconds(20));
  client.Send(Get("/idem/4"));
  mesh.RunUntil([&] { return client.is_ended(); });
  REQUIRE_FALSE(client.is_reset());
  REQUIRE(StandInOrder(
      client.received(),
      {"HTTP/1.1 200", "body of /idem/slow1", "HTTP/1.1 200",
       "body of /idem/slow2", "HTTP/1.1 ", "HTTP/1.1 ", "Connection: close"}));
  REQUIRE(client.Count("HTTP/1.1 ") == 4);
  REQUIRE(client.Count("Connection: close") == 1);
}

// Guards against a stop that drops a request of which a part has been read: the
// answer before it closed the connection.
TEST_CASE("a node that stops answers a request that it has read in part") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  const std::string second = Request("POST", "/once/2", {}, "a body");
  client.Send(Get("/idem/slow1") + second.substr(0, second.size() - 3));
  mesh.RunUntil([&] { return mesh.Targets().size() == 1; }, kSlowRun / 2);
  mesh.instance.node->Stop();
  mesh.RunUntil([&] { return client.Count("HTTP/1.1 ") == 1; });
  client.Send(second.substr(second.size() - 3));
  mesh.RunUntil([&] { return client.is_ended(); });
  REQUIRE(client.Count("HTTP/1.1 ") == 2);
  REQUIRE(client.Count("Connection: close") == 1);
}

// Guards against a client that does not learn of a stop because it sends an
// empty line behind its body.
TEST_CASE("an empty line behind a request does not hide the end") {
  PipelineFixture mesh;
  RawClient client(mesh.loop(), mesh.instance.settings.listen.clients);
  mesh.instance.node->Stop();
  client.Send(Request("POST", "/once/1", {}, "a body") + "\r\n");
  mesh.RunUntil([&] { return client.Count("HTTP/1.1 ") == 1; });
  REQUIRE(client.Count("Connection: close") == 1);
}

}  // namespace
}  // namespace oleandertide::sidecar
