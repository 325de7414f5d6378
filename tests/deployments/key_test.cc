// Keys of organisations at nodes with a store and backend servers.

#include <absl/strings/str_replace.h>
#include <fmt/format.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kAlpha =
    R"({"name":"alpha","api_keys":["alpha-key-1","alpha-key-2"],"priority":1})";
constexpr std::string_view kAlphaWithoutSecond =
    R"({"name":"alpha","api_keys":["alpha-key-1"],"priority":1})";
constexpr std::string_view kBeta =
    R"({"name":"beta","api_keys":["beta-key"],"rate_per_s":50})";

// A configuration in which requests of /room/ and /once/ need no key, and the
// others need one of `organisations`.
std::string KeyConfiguration(int version, std::string_view organisations) {
  const std::string tenants = fmt::format(R"("tenants":[{}],)", organisations);
  return absl::StrReplaceAll(
      ConfigurationText(version),
      {{R"("virtual_hosts":)", tenants + R"("virtual_hosts":)"},
       {R"("name":"room",)", R"("name":"room","public":true,)"},
       {R"("name":"once",)", R"("name":"once","public":true,)"}});
}

RawReply Ok(const RawRequest& request) {
  return {.bytes = StampedAnswer("body of " + request.target())};
}

struct RawAnswer {
  int status = 0;
  std::string text;
};

// Clients call the first node, beside a backend server of `rooms`; the second
// is beside one of `booking`.
struct KeyMesh : MeshFixture {
  // `revocation_limit` closes keys of stale configurations if it is set.
  explicit KeyMesh(std::optional<Duration> revocation_limit = std::nullopt)
      : first(AddInstance("rooms", Ok)), second(AddInstance("booking", Ok)) {
    store().Put("op", "config",
                KeyConfiguration(2, fmt::format("{},{}", kAlpha, kBeta)));
    for (Instance* instance : {&first, &second}) {
      // Keys are checked with and without limits.
      instance->settings.deployment.limits = mesh::FeatureMode::kOff;
      instance->settings.deployment.closes_stale_keys =
          revocation_limit.has_value();
      if (revocation_limit) {
        instance->settings.deployment.revocation_limit = *revocation_limit;
      }
      KillNode(*instance);
      StartNode(*instance);
      REQUIRE(Announce(*instance) == 200);
    }
    // The nodes may start with the configuration without organisations.
    RunUntil([&] { return Ask("/idem/0").status == 401; });
    RunUntil([&] { return Ask("/idem/0", Key("alpha-key-1")).status == 200; });
  }

  // Cuts the nodes off from the store until no confirmation of theirs is
  // recent: calls that already wait for changes are answered for another
  // second.
  void LoseStore() {
    store().set_failure(503);
    RunFor(milliseconds(3200));
  }

  static std::string Key(std::string_view key) {
    return fmt::format("Authorization: Token {}\r\n", key);
  }

  // Sends a request with further header lines to the first node.
  RawAnswer Ask(std::string_view target, std::string_view lines = {},
                std::string_view method = "GET") {
    RawAnswer answer;
    answer.text = SendRaw(first.settings.listen.clients,
                          fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\n"
                                      "Oleandertide-Request-Id: k{}\r\n"
                                      "Oleandertide-Deadline-Ms: 1000\r\n{}"
                                      "Connection: close\r\n\r\n",
                                      method, target, ++asked, lines));
    std::sscanf(answer.text.c_str(), "HTTP/1.1 %d", &answer.status);
    return answer;
  }

  // Requests that reached a backend server with this target.
  std::vector<RawRequest> Runs(std::string_view target) {
    std::vector<RawRequest> runs;
    for (const Instance* instance : {&first, &second}) {
      for (const RawRequest& request : instance->backend->requests()) {
        if (request.target() == target) runs.push_back(request);
      }
    }
    return runs;
  }

  Instance& first;
  Instance& second;
  int asked = 0;
};

// Guards against backend servers that see keys, and against clients that name
// the organisation themselves.
TEST_CASE("a backend server gets the organisation's name and not the key") {
  KeyMesh mesh;
  REQUIRE(mesh.Ask("/idem/1", KeyMesh::Key("alpha-key-2") +
                                  "oleandertide-tenant: beta\r\n"
                                  "Oleandertide-Tenant: beta\r\n")
              .status == 200);
  const auto runs = mesh.Runs("/idem/1");
  REQUIRE(runs.size() == 1);
  REQUIRE(runs[0].header("Oleandertide-Tenant") == "alpha");
  REQUIRE(runs[0].head.find("beta") == std::string::npos);
  REQUIRE(runs[0].head.find("alpha-key") == std::string::npos);
  REQUIRE(runs[0].head.find("uthorization") == std::string::npos);
}

// Guards against requests that run with a key that no configuration has.
TEST_CASE("an unknown or missing key is refused and the request never runs") {
  KeyMesh mesh;
  for (const std::string& lines :
       {std::string(), KeyMesh::Key("gamma-key"), KeyMesh::Key("alpha-key"),
        KeyMesh::Key("alpha"), KeyMesh::Key(""),
        std::string("Authorization: Bearer alpha-key-1\r\n"),
        std::string("Oleandertide-Tenant: alpha\r\n")}) {
    CAPTURE(lines);
    REQUIRE(mesh.Ask("/idem/refused", lines).status == 401);
  }
  REQUIRE(mesh.Runs("/idem/refused").empty());
}

// Guards against calls of backend servers that are refused for lack of a key.
TEST_CASE("a public route needs no key") {
  KeyMesh mesh;
  REQUIRE(mesh.Ask("/room/1", "Oleandertide-Tenant: beta\r\n").status == 200);
  REQUIRE(mesh.Ask("/room/2", KeyMesh::Key("gamma-key")).status == 200);
  REQUIRE(mesh.Ask("/room/3", KeyMesh::Key("beta-key")).status == 200);
  REQUIRE(mesh.Ask("/once/4", {}, "POST").status == 200);
  REQUIRE(mesh.Runs("/room/1").at(0).header("Oleandertide-Tenant").empty());
  REQUIRE(mesh.Runs("/room/2").at(0).header("Oleandertide-Tenant").empty());
  REQUIRE(mesh.Runs("/room/3").at(0).header("Oleandertide-Tenant") == "beta");
}

// Guards against keys that stay in force after the operator withdrew them, and
// against updates between nodes that lose a change of keys.
TEST_CASE("a new configuration withdraws and adds keys at all nodes") {
  KeyMesh mesh;
  REQUIRE(mesh.Ask("/idem/2", KeyMesh::Key("alpha-key-2")).status == 200);
  mesh.store().Put(
      "op", "config",
      KeyConfiguration(
          3, fmt::format(R"({},{{"name":"gamma","api_keys":["gamma-key"]}})",
                         kAlphaWithoutSecond)));
  mesh.RunFor(milliseconds(2500));
  REQUIRE(mesh.Ask("/idem/3", KeyMesh::Key("alpha-key-1")).status == 200);
  REQUIRE(mesh.Ask("/idem/4", KeyMesh::Key("gamma-key")).status == 200);
  REQUIRE(mesh.Ask("/idem/5", KeyMesh::Key("alpha-key-2")).status == 401);
  REQUIRE(mesh.Ask("/idem/5", KeyMesh::Key("beta-key")).status == 401);
  REQUIRE(mesh.Runs("/idem/5").empty());
  const auto at_second = [&mesh](const std::string& key) {
    return mesh
        .SendRaw(mesh.second.settings.listen.clients,
                 "GET /idem/6 HTTP/1.1\r\nHost: a.example\r\n"
                 "Oleandertide-Request-Id: s\r\n" +
                     KeyMesh::Key(key) + "Connection: close\r\n\r\n")
        .substr(0, 12);
  };
  REQUIRE(at_second("gamma-key") == "HTTP/1.1 200");
  REQUIRE(at_second("beta-key") == "HTTP/1.1 401");
}

// Guards against a node that is cut off and honours a key that may have been
// withdrawn meanwhile.
TEST_CASE("keys are refused before the limit while the store is away") {
  KeyMesh mesh(milliseconds(1500));
  mesh.LoseStore();
  const RawAnswer refused = mesh.Ask("/idem/away", KeyMesh::Key("alpha-key-1"));
  REQUIRE(refused.status == 503);
  REQUIRE(refused.text.find("Retry-After: ") != std::string::npos);
  REQUIRE(mesh.Ask("/idem/away", KeyMesh::Key("gamma-key")).status == 503);
  REQUIRE(mesh.Ask("/idem/away").status == 503);
  REQUIRE(mesh.Runs("/idem/away").empty());
  REQUIRE(mesh.Ask("/room/5").status == 200);
  // A key is withdrawn while the nodes are cut off.
  mesh.store().Put("op", "config", KeyConfiguration(3, kAlphaWithoutSecond));
  REQUIRE(mesh.Ask("/idem/away", KeyMesh::Key("alpha-key-2")).status == 503);
  mesh.store().set_failure(0);
  mesh.RunUntil([&] {
    const int status =
        mesh.Ask("/idem/away", KeyMesh::Key("alpha-key-2")).status;
    REQUIRE(status != 200);
    return status == 401;
  });
  REQUIRE(mesh.Ask("/idem/7", KeyMesh::Key("alpha-key-1")).status == 200);
  REQUIRE(mesh.Runs("/idem/away").empty());
}

// Guards against a node that neither the store nor other nodes can tell of a
// withdrawn key.
TEST_CASE("a node that is cut off from all refuses a withdrawn key in time") {
  constexpr Duration kLimit = milliseconds(1500);
  KeyMesh mesh(kLimit);
  // The node knows of no others, since it finds them in its store.
  auto own_store = std::make_unique<FakeStore>(mesh.loop());
  own_store->Put("op", "config", KeyConfiguration(2, kAlpha));
  Instance& third =
      mesh.AddInstance("booking", Ok, "dc-1", own_store->address());
  third.settings.deployment.closes_stale_keys = true;
  third.settings.deployment.revocation_limit = kLimit;
  mesh.KillNode(third);
  mesh.StartNode(third);
  REQUIRE(mesh.Announce(third) == 200);
  const auto ask = [&] {
    return mesh
        .SendRaw(third.settings.listen.clients,
                 "GET /idem/cut HTTP/1.1\r\nHost: a.example\r\n"
                 "Oleandertide-Request-Id: c\r\n" +
                     KeyMesh::Key("alpha-key-2") + "Connection: close\r\n\r\n")
        .substr(0, 12);
  };
  mesh.RunUntil([&] { return ask() == "HTTP/1.1 200"; });
  own_store.reset();
  mesh.store().Put("op", "config", KeyConfiguration(3, kAlphaWithoutSecond));
  mesh.RunFor(kLimit);
  const std::size_t runs = third.backend->requests().size();
  for (int i = 0; i < 5; ++i) {
    REQUIRE(ask() == "HTTP/1.1 503");
    mesh.RunFor(milliseconds(100));
  }
  REQUIRE(third.backend->requests().size() == runs);
}

// Guards against a restarted node that honours keys of a configuration that
// another node passes on without a recent confirmation.
TEST_CASE("a restarted node honours no key before a confirmation") {
  KeyMesh mesh(milliseconds(1500));
  mesh.LoseStore();
  mesh.KillNode(mesh.first);
  auto node = Sidecar::Create(mesh.loop(), mesh.first.settings);
  REQUIRE(node.has_value());
  mesh.first.node = std::move(node).value();
  for (int i = 0; i < 6; ++i) {
    mesh.RunFor(milliseconds(200));
    REQUIRE(mesh.Ask("/idem/restart", KeyMesh::Key("alpha-key-1")).status ==
            503);
  }
  REQUIRE(mesh.Runs("/idem/restart").empty());
  mesh.store().set_failure(0);
  REQUIRE(mesh.Announce(mesh.first) == 200);
  mesh.RunUntil([&] {
    return mesh.Ask("/idem/8", KeyMesh::Key("alpha-key-1")).status == 200;
  });
}

// Guards against a feature that is in force where only one of the settings and
// the configuration asks for it.
TEST_CASE("keys need the configuration and their closing the settings") {
  SECTION("organisations, but stale keys are not closed") {
    KeyMesh mesh;
    mesh.LoseStore();
    REQUIRE(mesh.Ask("/idem/9", KeyMesh::Key("alpha-key-1")).status == 200);
    // 401 needs a recent confirmation.
    REQUIRE(mesh.Ask("/idem/9", KeyMesh::Key("gamma-key")).status == 503);
  }
  SECTION("stale keys are closed, but there are no organisations") {
    KeyMesh mesh(milliseconds(1500));
    mesh.store().Put("op", "config", ConfigurationText(3));
    mesh.RunUntil([&] { return mesh.Ask("/idem/10").status == 200; });
    mesh.LoseStore();
    REQUIRE(mesh.Ask("/idem/11", KeyMesh::Key("own-key")).status == 200);
    // The credentials have no meaning to the system and are passed on.
    REQUIRE(mesh.Runs("/idem/11").at(0).header("Authorization") ==
            "Token own-key");
  }
}

// Collects what is written to the standard error stream during its life.
class ErrorStreamCapture {
 public:
  ErrorStreamCapture() : file_(std::tmpfile()), saved_(dup(STDERR_FILENO)) {
    std::fflush(stderr);
    dup2(fileno(file_), STDERR_FILENO);
  }
  ErrorStreamCapture(const ErrorStreamCapture&) = delete;
  ErrorStreamCapture& operator=(const ErrorStreamCapture&) = delete;
  ~ErrorStreamCapture() {
    Restore();
    std::fclose(file_);
  }

  // Ends the capture and returns the text.
  std::string Finish() {
    Restore();
    std::string text;
    std::rewind(file_);
    for (int c = std::fgetc(file_); c != EOF; c = std::fgetc(file_)) {
      text.push_back(static_cast<char>(c));
    }
    return text;
  }

 private:
  void Restore() {
    if (saved_ < 0) return;
    std::fflush(stderr);
    dup2(saved_, STDERR_FILENO);
    close(saved_);
    saved_ = -1;
  }

  std::FILE* file_;
  int saved_;
};

// Guards against keys in log lines, answers and metrics.
TEST_CASE("keys appear in no log line or answer or metric") {
  ErrorStreamCapture capture;
  std::string shown;
  {
    KeyMesh mesh(milliseconds(1500));
    for (const std::string_view key : {"alpha-key-1", "unknown-key"}) {
      for (const std::string_view target : {"/idem/1", "/none/1", "/room/1"}) {
        shown += mesh.Ask(target, KeyMesh::Key(key)).text;
      }
    }
    mesh.store().Put("op", "config",
                     KeyConfiguration(3, fmt::format("{},{}", kAlpha, kAlpha)));
    mesh.store().Put(
        "op", "config",
        KeyConfiguration(
            4, fmt::format(R"({},{{"name":"x","api_keys":["alpha-key-1"]}})",
                           kAlpha)));
    mesh.RunFor(milliseconds(500));
    mesh.LoseStore();
    shown += mesh.Ask("/idem/1", KeyMesh::Key("alpha-key-1")).text;
    shown += mesh.ReadMetrics(mesh.first);
  }
  const std::string log = capture.Finish();
  REQUIRE(log.find("unknown key") != std::string::npos);
  REQUIRE(log.find("keys are not trusted") != std::string::npos);
  for (const std::string_view key : {"alpha-key", "beta-key", "unknown-key"}) {
    REQUIRE(log.find(key) == std::string::npos);
    REQUIRE(shown.find(key) == std::string::npos);
  }
}

// Guards against ranks that do not reach the calls.
TEST_CASE("the rank follows the organisation and the lack of a key") {
  ErrorStreamCapture capture;
  {
    KeyMesh mesh;
    REQUIRE(mesh.Depart(mesh.second, 1000) == 200);
    mesh.RunUntil(
        [&] { return mesh.Ask("/once/0", {}, "POST").status == 503; });
    mesh.Ask("/once/1", {}, "POST");
    mesh.Ask("/once/2", KeyMesh::Key("alpha-key-1"), "POST");
    mesh.Ask("/idem/3", KeyMesh::Key("beta-key"));
    mesh.RunFor(milliseconds(50));
  }
  const std::string log = capture.Finish();
  const auto has_refusal = [&log](std::string_view rank_and_organisation) {
    return log.find(rank_and_organisation) != std::string::npos;
  };
  // Routes have the priorities 1 and 2, and all organisations the same one.
  REQUIRE(has_refusal("priority=1 rank=0 organisation="));
  REQUIRE(has_refusal("priority=1 rank=1 organisation=alpha"));
  REQUIRE(has_refusal("priority=2 rank=2 organisation=beta"));
}

}  // namespace
}  // namespace oleandertide::sidecar
