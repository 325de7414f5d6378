// Configuration, departures, crashes and stops of nodes.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RawReply Ok(const RawRequest& request) {
  return {.bytes = StampedAnswer("body of " + request.target())};
}

RawReply Slow(const RawRequest& request) {
  RawReply reply = Ok(request);
  if (request.target().ends_with("slow")) reply.delay = milliseconds(600);
  return reply;
}

struct Pair : MeshFixture {
  explicit Pair(RawServer::Script script = Ok,
                const std::string& other_data_centre = "dc-1")
      : first(AddInstance("rooms", Ok)),
        second(AddInstance("booking", std::move(script), other_data_centre)) {
    REQUIRE(Announce(first) == 200);
    REQUIRE(Announce(second) == 200);
    AwaitService(first, "/idem/0");
  }

  Instance& first;
  Instance& second;
};

// Guards against nodes that act on an old configuration: only one node of a
// data centre reads the store.
TEST_CASE("a new configuration is in force at all nodes within a second") {
  Pair mesh;
  REQUIRE(mesh.Send(mesh.first, "GET", "/added/1").status == 404);
  mesh.store().Put("op", "config", ConfigurationText(2, "added"));
  const MonotonicTime start = MonotonicClock::now();
  mesh.AwaitService(mesh.first, "/added/1");
  mesh.AwaitService(mesh.second, "/added/1");
  REQUIRE(MonotonicClock::now() - start < seconds(1));
  // An older one does not come back.
  mesh.store().Put("op", "config", ConfigurationText(1));
  mesh.RunFor(milliseconds(500));
  REQUIRE(mesh.Send(mesh.first, "GET", "/added/1").status == 200);
}

// Guards against nodes that miss changes since the store forgot them.
TEST_CASE("a forgotten history does not stop the configuration") {
  Pair mesh;
  mesh.store().Put("op", "config", ConfigurationText(3));
  mesh.store().ForgetHistory();
  mesh.store().Put("op", "config", ConfigurationText(4, "added"));
  mesh.AwaitService(mesh.first, "/added/1");
}

// Guards against a node that skips a change because the store said nothing of
// it: the version in an empty answer is not that of what was seen.
TEST_CASE("a change that the store did not tell of is found later") {
  Pair mesh;
  mesh.store().set_hides_changes(true);
  mesh.store().Put("op", "config", ConfigurationText(3, "added"));
  mesh.RunFor(milliseconds(1800));
  mesh.store().set_hides_changes(false);
  mesh.store().ForgetHistory();
  const MonotonicTime start = MonotonicClock::now();
  mesh.AwaitService(mesh.first, "/added/1");
  REQUIRE(MonotonicClock::now() - start < seconds(2));
}

// Guards against 404 for routes that exist: a node without configuration does
// not know.
TEST_CASE("a node without configuration refuses as not run") {
  MeshFixture mesh;
  Instance& instance = mesh.AddInstance("booking", Ok);
  mesh.KillNode(instance);
  mesh.store().set_failure(503);
  auto node = Sidecar::Create(mesh.loop(), instance.settings);
  REQUIRE(node.has_value());
  instance.node = std::move(node).value();
  const ClientAnswer answer = mesh.Send(instance, "GET", "/idem/1");
  REQUIRE(answer.status == 503);
  REQUIRE(std::stod(answer.retry_after) > 0);
  REQUIRE(mesh.CheckReadiness(instance) == 503);
  mesh.store().set_failure(0);
  mesh.RunUntil([&] { return mesh.CheckReadiness(instance) == 200; },
                seconds(2));
}

// Guards against a restarted node that is of no use while the store is away.
TEST_CASE("a restarted node gets the configuration from other nodes") {
  Pair mesh;
  mesh.store().set_failure(503);
  mesh.KillNode(mesh.first);
  mesh.RunFor(milliseconds(100));
  mesh.StartNode(mesh.first);
  mesh.AwaitService(mesh.first, "/idem/1");
}

// Guards against a restarted node whose link is busy with copies of the
// configuration from the store and from other nodes.
TEST_CASE("a restarted node does not read what other nodes bring") {
  Pair mesh;
  // A narrow link, so that the other node is the reader.
  mesh.first.settings.node.link_mbps = 5;
  mesh.KillNode(mesh.first);
  // The other node takes over the reading.
  mesh.RunFor(milliseconds(1500));
  const int reads = mesh.store().reads("op");
  mesh.StartNode(mesh.first);
  mesh.RunFor(milliseconds(300));
  REQUIRE(mesh.store().reads("op") == reads);
}

// Guards against a store outage that callers notice.
TEST_CASE("an outage of the store does not stop requests") {
  Pair mesh;
  mesh.store().set_failure(429);
  mesh.RunFor(milliseconds(1500));
  REQUIRE(mesh.Send(mesh.first, "GET", "/idem/1").status == 200);
  REQUIRE(mesh.Send(mesh.first, "POST", "/once/1").status == 200);
}

// Guards against nodes that find nobody, or try in vain for ever to reach nodes
// that do not exist, because of rows that another writer left among theirs.
TEST_CASE("odd rows among those of the nodes do not hide the others") {
  const std::string row =
      R"({"address":"127.0.0.1:9","data-centre":"dc-1","service":"booking",)"
      R"("link-mbps":1000})";
  const auto replace = [&](const std::string& from, const std::string& to) {
    return std::string(row).replace(row.find(from), from.size(), to);
  };
  const std::vector<std::string> odd = {
      "",
      "[]",
      row.substr(0, 40),
      replace("127.0.0.1:9", "127.0.0.1:70000"),
      replace("127.0.0.1:9", "127.0.0.1:0"),
      replace("127.0.0.1:9", "somewhere"),
      replace("\"127.0.0.1:9\"", "9"),
      replace("1000", "0"),
      replace("1000", "-1"),
      replace("1000", "1.5"),
      replace("1000", "1e300"),
      replace("1000", "1e999"),
      replace("1000", "4294967296"),
      replace("1000", "18446744073709551616"),
      replace("1000", std::string(30'000, '[') + std::string(30'000, ']')),
      replace("\"dc-1\"", "null"),
      replace("\"booking\"", "{}")};
  MeshFixture mesh;
  mesh.store().set_rows_per_answer(GENERATE(20, 500));
  for (int copy = 0; copy < 4; ++copy) {
    for (std::size_t i = 0; i < odd.size(); ++i) {
      // Before and behind the nodes' own rows, with any characters.
      mesh.store().Put("oleandertide-nodes",
                       (copy % 2 == 0 ? "a &%+" : "z &%+") +
                           std::to_string(copy) + "-" + std::to_string(i),
                       odd[i]);
    }
  }
  Instance& first = mesh.AddInstance("rooms", Ok);
  Instance& second = mesh.AddInstance("booking", Ok);
  REQUIRE(mesh.Announce(second) == 200);
  mesh.AwaitService(first, "/idem/1");
  mesh.RunFor(milliseconds(1200));
  REQUIRE(mesh.Send(first, "GET", "/idem/2").status == 200);
  // Rows that name no node are not taken for nodes.
  REQUIRE(mesh.ReadMetrics(first).find("known_nodes 1\n") != std::string::npos);
}

// Guards against a member row that is written again and again because the
// answers to the writes are lost.
TEST_CASE("a write whose answer is lost is not repeated blindly") {
  MeshFixture mesh;
  mesh.store().set_loses_answers(true);
  Instance& first = mesh.AddInstance("rooms", Ok);
  Instance& second = mesh.AddInstance("booking", Ok);
  REQUIRE(mesh.Announce(first) == 200);
  REQUIRE(mesh.Announce(second) == 200);
  mesh.RunFor(milliseconds(2500));
  mesh.AwaitService(first, "/idem/0");
  REQUIRE(mesh.store().writes() == 2);
}

// Guards against a backend server that gets work after its departure was
// acknowledged, and against cut requests.
TEST_CASE("a leaving backend server finishes its work and gets no more") {
  Pair mesh(Slow);
  const auto running = mesh.Begin(mesh.first, "GET", "/idem/slow");
  mesh.RunUntil([&] { return mesh.second.backend->requests().size() >= 2; });
  REQUIRE(mesh.Announce(mesh.second, "draining") == 200);
  mesh.RunFor(milliseconds(100));
  const auto seen = mesh.second.backend->requests().size();
  REQUIRE(mesh.Send(mesh.first, "GET", "/idem/2").status == 503);
  REQUIRE(mesh.Send(mesh.second, "GET", "/idem/3").status == 503);
  mesh.RunUntil([&] { return running->has_value(); });
  REQUIRE((*running)->status == 200);
  REQUIRE(mesh.second.backend->requests().size() == seen);
}

// Guards against a request that runs at another service: its backend server
// ends while it waits, and the address goes to a backend server of that
// service.
TEST_CASE("a waiting request does not move to another service") {
  MeshFixture mesh;
  std::vector<std::string> wrong;
  Instance& instance = mesh.AddInstance("booking", [&](const auto& request) {
    if (request.header("Oleandertide-Expect-Instance") == "i-other") {
      wrong.push_back(request.target());
    }
    RawReply reply = Ok(request);
    reply.delay = milliseconds(100);
    return reply;
  });
  REQUIRE(mesh.Announce(instance) == 200);
  mesh.AwaitService(instance, "/idem/0");
  // Two run and two wait.
  std::vector<std::shared_ptr<std::optional<ClientAnswer>>> answers;
  constexpr std::size_t kRequests = 4;
  answers.reserve(kRequests);
  while (answers.size() < kRequests) {
    answers.push_back(mesh.Begin(instance, "GET", "/idem/1"));
  }
  mesh.RunFor(milliseconds(50));
  instance.backend_id = "i-other";
  const std::string announcement =
      R"({"service":"rooms","address":")" +
      instance.settings.backend.address.ToString() +
      R"(","zone":"z","version":"v1","slots":2,"state":"ready",)"
      R"("cold_remaining_ms":0,"seq":1,"born":2000})";
  REQUIRE(mesh.AnnounceText(instance, announcement) == 200);
  // They have not run and cannot be served, which is told at once.
  mesh.RunFor(milliseconds(20));
  int refused = 0;
  for (const auto& answer : answers) {
    if (*answer && (*answer)->status == 503) ++refused;
  }
  CHECK(refused == 2);
  mesh.RunUntil([&] {
    return std::ranges::all_of(
        answers, [](const auto& answer) { return answer->has_value(); });
  });
  REQUIRE(wrong.empty());
}

// Guards against a restarted node that uses a backend server which has left.
TEST_CASE("a restarted node does not use a backend server that drains") {
  Pair mesh;
  REQUIRE(mesh.Announce(mesh.second, "draining") == 200);
  mesh.KillNode(mesh.second);
  mesh.StartNode(mesh.second);
  REQUIRE(mesh.Announce(mesh.second, "draining") == 200);
  mesh.RunFor(milliseconds(500));
  const auto seen = mesh.second.backend->requests().size();
  REQUIRE(mesh.Send(mesh.second, "GET", "/idem/1").status == 503);
  REQUIRE(mesh.second.backend->requests().size() == seen);
}

// Guards against malformed messages that change what a node believes.
TEST_CASE("a malformed or foreign heartbeat changes nothing") {
  Pair mesh;
  REQUIRE(mesh.AnnounceText(mesh.second, "\x01\x02") == 400);
  REQUIRE(mesh.AnnounceText(mesh.second, R"({"state":"draining"})") == 400);
  REQUIRE(mesh.AnnounceText(
              mesh.second,
              R"({"service":"unheard-of","address":")" +
                  mesh.second.settings.backend.address.ToString() +
                  R"(","slots":2,"state":"draining","seq":99,"born":1000})") ==
          400);
  REQUIRE(mesh.Send(mesh.first, "GET", "/idem/1").status == 200);
}

// Guards against requests that hang at a crashed backend server, and against
// one that is not used again.
TEST_CASE("a crashed backend server is left and used again when it is back") {
  Pair mesh;
  mesh.second.backend->Crash();
  mesh.RunFor(milliseconds(50));
  const ClientAnswer answer = mesh.Send(mesh.first, "POST", "/once/1");
  REQUIRE(answer.status == 503);
}

// Guards against a restarted node that ends when the first that it hears of a
// backend server is its departure, and the second a late heartbeat.
TEST_CASE("a departure may come before any heartbeat") {
  MeshFixture mesh;
  Instance& first = mesh.AddInstance("rooms", Ok);
  REQUIRE(mesh.Depart(first, 1000) == 200);
  REQUIRE(mesh.Announce(first) == 200);
  REQUIRE(mesh.Send(first, "GET", "/room/1").status == 503);
}

// Guards against gauges that keep the value of a link's last loss.
TEST_CASE("metrics tell of open links and of the backend server") {
  Pair mesh;
  mesh.RunUntil([&] {
    return mesh.ReadMetrics(mesh.first).find("links 1\n") != std::string::npos;
  });
  const std::string before = mesh.ReadMetrics(mesh.second);
  REQUIRE(before.find("backend_serving 1\n") != std::string::npos);
  mesh.Depart(mesh.second);
  const std::string after = mesh.ReadMetrics(mesh.second);
  REQUIRE(after.find("backend_serving 0\n") != std::string::npos);
}

// Guards against other nodes that use the address at which a node listens while
// it is reached at another one.
TEST_CASE("a node is reached at the address that it advertises") {
  MeshFixture mesh;
  Instance& first = mesh.AddInstance("rooms", Ok);
  Instance& second = mesh.AddInstance("booking", Ok);
  mesh.KillNode(second);
  second.settings.listen.advertised_peers = second.settings.listen.peers;
  second.settings.listen.peers = UnusedAddress();
  mesh.StartNode(second);
  mesh.Announce(second);
  mesh.RunFor(seconds(1));
  REQUIRE(mesh.Send(first, "GET", "/idem/0").status == 503);
  mesh.KillNode(second);
  second.settings.listen.peers = second.settings.listen.advertised_peers;
  mesh.StartNode(second);
  mesh.Announce(second);
  mesh.AwaitService(first, "/idem/0");
}

// Guards against requests that are cut by a planned stop.
TEST_CASE("a stopping node finishes what it has read") {
  Pair mesh(Slow);
  const auto running = mesh.Begin(mesh.second, "GET", "/idem/slow");
  const auto remote = mesh.Begin(mesh.first, "GET", "/idem/slow");
  mesh.RunUntil([&] { return mesh.second.backend->requests().size() >= 3; });
  mesh.second.node->Stop();
  REQUIRE(mesh.CheckReadiness(mesh.second) == 503);
  // Clients may send until they have noticed.
  REQUIRE(mesh.Send(mesh.second, "GET", "/room/1").status == 200);
  mesh.RunUntil([&] { return running->has_value() && remote->has_value(); });
  REQUIRE((*running)->status == 200);
  REQUIRE((*remote)->status == 200);
}

// Guards against requests that hang when a node loses power: its links go
// silent or are reset.
TEST_CASE("a dead node is left within its links' time limit") {
  Pair mesh(Slow);
  Instance& third = mesh.AddInstance("booking", Ok);
  REQUIRE(mesh.Announce(third) == 200);
  mesh.RunFor(milliseconds(700));
  mesh.KillNode(mesh.second);
  mesh.RunFor(milliseconds(100));
  for (int i = 0; i < 5; ++i) {
    REQUIRE(mesh.Send(mesh.first, "POST", "/once/1").status == 200);
  }
}

// Guards against a node that stood still and takes its own silence for that of
// all other nodes: what arrived meanwhile has not been read.
TEST_CASE("a node that stood still keeps its links") {
  Pair mesh;
  std::this_thread::sleep_for(milliseconds(1600));
  mesh.RunFor(milliseconds(20));
  REQUIRE(mesh.Send(mesh.first, "POST", "/once/1").status == 200);
}

// Guards against a request that crashes one backend server after another.
TEST_CASE("a request that crashes backend servers is refused") {
  const auto poison = [](const RawRequest& request) {
    RawReply reply = Ok(request);
    if (request.body == "deadly") reply.delay = seconds(2);
    return reply;
  };
  Pair mesh(poison);
  std::vector<Instance*> others;
  others.push_back(&mesh.second);
  for (int i = 0; i < 3; ++i) {
    others.push_back(&mesh.AddInstance("booking", poison));
    REQUIRE(mesh.Announce(*others.back()) == 200);
  }
  mesh.RunFor(milliseconds(700));
  int crashes = 0;
  int refused = 0;
  for (int i = 0; i < 12; ++i) {
    const auto answer =
        mesh.Begin(mesh.first, "POST", "/once/poison", "deadly");
    mesh.RunUntil([&] {
      for (Instance* instance : others) {
        if (instance->backend->requests().empty()) continue;
        const RawRequest& last = instance->backend->requests().back();
        if (last.body == "deadly") {
          instance->backend->Crash();
          ++crashes;
          std::erase(others, instance);
          break;
        }
      }
      return answer->has_value();
    });
    if ((*answer)->status == 503) ++refused;
    mesh.RunFor(milliseconds(400));
  }
  REQUIRE(crashes <= 3);
  REQUIRE(refused >= 9);
}

}  // namespace
}  // namespace oleandertide::sidecar
