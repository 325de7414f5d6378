// Limits of organisations over several nodes.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sidecar/limits_codec.h"
#include "sidecar/mesh_fixture.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RawReply Ok(const RawRequest& request) {
  return {.bytes = StampedAnswer("body of " + request.target())};
}

// `large` has a limit of 20 requests a second and a burst of 20, `small` one of
// 10 and 10, `free` none.
constexpr std::string_view kOrganisations =
    R"({"name":"large","api_keys":["key-large"],"rate_per_s":20,"burst":20},)"
    R"({"name":"small","api_keys":["key-small"],"rate_per_s":10,"burst":10},)"
    R"({"name":"free","api_keys":["key-free"]})";

struct ThreeNodes : MeshFixture {
  explicit ThreeNodes(RawServer::Script script = Ok,
                      mesh::FeatureMode mode = mesh::FeatureMode::kOn) {
    set_deployment({.limits = mode, .rollouts = mesh::FeatureMode::kOff});
    // All requests of a burst run at once. With fewer slots, the backend server
    // refuses some that are within the limit.
    set_slots(64);
    store().Put("op", "config",
                ConfigurationWithOrganisations(2, kOrganisations));
    first = &AddInstance("rooms", Ok);
    second = &AddInstance("booking", std::move(script));
    third = &AddInstance("rooms", Ok);
    REQUIRE(Announce(*first) == 200);
    REQUIRE(Announce(*second) == 200);
    REQUIRE(Announce(*third) == 200);
    set_key("key-free");
    AwaitService(*first, "/idem/0");
    AwaitService(*third, "/idem/0");
    AwaitAdmission();
  }

  // Waits until there is a coordinator that grants tokens.
  void AwaitAdmission() {
    set_key("key-large");
    for (Instance* instance : {first, third}) {
      if (!instance->node) continue;
      RunUntil(
          [&] {
            const int status = Send(*instance, "GET", "/idem/0").status;
            RunFor(milliseconds(20));
            return status == 200;
          },
          seconds(12));
    }
  }

  Instance* FindCoordinator() {
    // The row names the node.
    for (Instance* instance : {first, second, third}) {
      if (store()
              .Get("oleandertide-coordination", "coordinator")
              .find('"' + instance->settings.node.name + '"') !=
          std::string::npos) {
        return instance;
      }
    }
    return nullptr;
  }

  // Sends `count` requests at once, alternately to two nodes, and returns the
  // answers.
  std::vector<ClientAnswer> SendMany(int count) {
    std::vector<std::shared_ptr<std::optional<ClientAnswer>>> pending;
    for (int i = 0; i < count; ++i) {
      Instance* at = i % 2 == 0 ? first : third;
      pending.push_back(Begin(at->node ? *at : *second, "GET",
                              "/idem/" + std::to_string(i), {}, 1000));
    }
    std::vector<ClientAnswer> answers;
    for (const auto& answer : pending) {
      RunUntil([&] { return answer->has_value(); });
      answers.push_back(**answer);
    }
    return answers;
  }

  Instance* first = nullptr;
  Instance* second = nullptr;
  Instance* third = nullptr;
};

std::string DescribeStatuses(const std::vector<ClientAnswer>& answers) {
  std::map<int, int> counts;
  for (const ClientAnswer& answer : answers) ++counts[answer.status];
  std::string text;
  for (const auto& [status, count] : counts) {
    text += fmt::format("{} of status {}; ", count, status);
  }
  return text;
}

int CountStatus(const std::vector<ClientAnswer>& answers, int status) {
  int count = 0;
  for (const ClientAnswer& answer : answers) {
    if (answer.status == status) ++count;
  }
  return count;
}

// Guards against a limit that holds only at each node, one that concerns other
// organisations, and a Retry-After that is missing or useless.
TEST_CASE("an organisation beyond its limit is refused, others are served") {
  // On demand, the limits of the configuration alone call for a coordinator.
  ThreeNodes mesh(
      Ok, GENERATE(mesh::FeatureMode::kOn, mesh::FeatureMode::kOnDemand));
  mesh.RunFor(milliseconds(1500));
  mesh.set_key("key-large");
  const auto answers = mesh.SendMany(60);
  INFO(DescribeStatuses(answers));
  const int served = CountStatus(answers, 200);
  const int refused = CountStatus(answers, 429);
  CHECK(served >= 18);
  // The burst, and what the bucket gained meanwhile.
  CHECK(served <= 40);
  CHECK(refused >= 15);
  for (const ClientAnswer& answer : answers) {
    if (answer.status != 429) continue;
    REQUIRE_FALSE(answer.retry_after.empty());
    const double after = std::strtod(answer.retry_after.c_str(), nullptr);
    CHECK(after > 0);
    CHECK(after <= 1.0);
  }
  mesh.set_key("key-small");
  CHECK(CountStatus(mesh.SendMany(8), 200) == 8);
  mesh.set_key("key-free");
  CHECK(CountStatus(mesh.SendMany(8), 200) == 8);
  const std::string metrics = mesh.ReadMetrics(*mesh.first);
  CHECK(metrics.find("limit_refused_total{organisation=\"large\"}") !=
        std::string::npos);
  CHECK(metrics.find("key-large") == std::string::npos);
}

// Guards against a lowered limit that holds only for new buckets.
TEST_CASE("a lowered limit takes effect while nodes run") {
  ThreeNodes mesh;
  mesh.RunFor(milliseconds(1500));
  mesh.store().Put(
      "op", "config",
      ConfigurationWithOrganisations(
          3,
          R"({"name":"large","api_keys":["key-large"],"rate_per_s":2,"burst":3})"));
  mesh.RunFor(milliseconds(2500));
  mesh.set_key("key-large");
  const auto answers = mesh.SendMany(30);
  INFO(DescribeStatuses(answers));
  CHECK(CountStatus(answers, 200) >= 1);
  CHECK(CountStatus(answers, 200) <= 6);
  CHECK(CountStatus(answers, 429) >= 24);
}

// Guards against a fleet that refuses an organisation for good, or serves it
// without limit, after the coordinator has ended.
TEST_CASE("another coordinator takes over") {
  ThreeNodes mesh;
  Instance* coordinator = mesh.FindCoordinator();
  REQUIRE(coordinator != nullptr);
  if (coordinator == mesh.second) {
    // It is beside the backend server: the process starts again.
    mesh.KillNode(*coordinator);
    mesh.RunFor(milliseconds(300));
    mesh.StartNode(*coordinator);
    REQUIRE(mesh.Announce(*coordinator) == 200);
    // It takes over its own lease at once. Until the end of the earlier one, it
    // leaves three quarters of the rate to standing rates that may be in use.
    mesh.RunFor(seconds(3));
  } else {
    mesh.KillNode(*coordinator);
  }
  mesh.AwaitAdmission();
  mesh.RunFor(milliseconds(1500));
  const auto answers = mesh.SendMany(60);
  INFO(DescribeStatuses(answers));
  CHECK(CountStatus(answers, 200) >= 18);
  CHECK(CountStatus(answers, 200) <= 40);
  CHECK(CountStatus(answers, 429) >= 15);
}

// Guards against an outage of all organisations with a limit whenever the
// coordinator is killed.
TEST_CASE("steady requests are served while there is no coordinator") {
  ThreeNodes mesh;
  Instance& other_backend = mesh.AddInstance("booking", Ok);
  REQUIRE(mesh.Announce(other_backend) == 200);
  Instance* coordinator = mesh.FindCoordinator();
  REQUIRE(coordinator != nullptr);
  Instance& sender = coordinator == mesh.first ? *mesh.third : *mesh.first;
  mesh.set_key("key-large");
  const auto send = [&](int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      if (mesh.Send(sender, "GET", "/idem/1").status == 200) ++served;
      mesh.RunFor(milliseconds(100));
    }
    return served;
  };
  send(60);
  mesh.KillNode(*coordinator);
  CHECK(send(8) >= 6);
  // Without a steady demand, only the coordinator could tell.
  mesh.set_key("key-small");
  CHECK(mesh.Send(sender, "GET", "/idem/1").status == 503);
}

// Guards against 429 for requests that may be within the limit, and against
// requests without limit, while the store elects no coordinator.
TEST_CASE("without a coordinator requests get 503 after a short wait") {
  ThreeNodes mesh;
  mesh.store().set_failure(503);
  mesh.RunFor(milliseconds(3500));
  const MonotonicTime begin = MonotonicClock::now();
  const auto answers = mesh.SendMany(10);
  CHECK(CountStatus(answers, 503) == 10);
  CHECK(MonotonicClock::now() - begin < milliseconds(600));
  CHECK_FALSE(answers.front().retry_after.empty());
  // A client that leaves while it waits, and a deadline within the wait.
  const auto short_answer = mesh.Send(*mesh.first, "GET", "/idem/1", {}, 30);
  CHECK((short_answer.status == 503 || short_answer.status == 0));
  mesh.set_key("key-free");
  CHECK(mesh.Send(*mesh.first, "GET", "/idem/2").status == 200);
  mesh.store().set_failure(0);
  mesh.AwaitAdmission();
}

// Guards against answers in another order than the requests, and against a node
// that uses a request whose client has left.
TEST_CASE("pipelined requests and clients that leave while they wait") {
  ThreeNodes mesh;
  mesh.RunFor(seconds(1));
  const std::string request =
      "GET /idem/{} HTTP/1.1\r\nHost: a.example\r\nOleandertide-Request-Id: "
      "p{}\r\nAuthorization: Token key-large\r\nContent-Length: 0\r\n\r\n";
  std::string bytes;
  for (const char* number : {"1", "2", "3"}) {
    std::string one = request;
    while (one.find("{}") != std::string::npos) {
      one.replace(one.find("{}"), 2, number);
    }
    bytes += one;
  }
  const Address clients = mesh.first->settings.listen.clients;
  const std::string received = mesh.SendRaw(clients, bytes, milliseconds(500));
  const auto first = received.find("body of /idem/1");
  const auto second = received.find("body of /idem/2");
  const auto third = received.find("body of /idem/3");
  REQUIRE(first != std::string::npos);
  REQUIRE(second != std::string::npos);
  REQUIRE(third != std::string::npos);
  CHECK(first < second);
  CHECK(second < third);
  // All leave at once; the node serves others afterwards.
  mesh.store().set_failure(503);
  mesh.RunFor(milliseconds(3300));
  mesh.SendRaw(clients, bytes, milliseconds(20));
  mesh.RunFor(milliseconds(200));
  mesh.store().set_failure(0);
  mesh.AwaitAdmission();
}

TEST_CASE("messages on limits survive the wire") {
  const organisations::TokenRequest request{
      .sequence = 77,
      .asks = {{.organisation = "a", .needed = 3, .spare = 1},
               {.organisation = "b", .needed = 0, .spare = 9}}};
  CHECK(DecodeTokenRequest(EncodeTokenRequest(request)) == request);
  const organisations::TokenGrant grant{
      .sequence = 77,
      .items = {{.tokens = 2,
                 .until_token = milliseconds(5),
                 .retry_after = milliseconds(700)},
                {.is_unlimited = true}}};
  CHECK(DecodeTokenGrant(EncodeTokenGrant(grant)) == grant);
  // Guards against a process that ends because of a damaged message.
  const std::string encoded = EncodeTokenRequest(request);
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    DecodeTokenRequest(encoded.substr(0, size));
    std::string damaged = encoded;
    damaged[size] = static_cast<char>(damaged[size] ^ 0x55);
    DecodeTokenRequest(damaged);
    DecodeTokenGrant(damaged);
  }
}

}  // namespace
}  // namespace oleandertide::sidecar
