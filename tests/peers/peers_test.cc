// g++ 12 reports a false positive inside kj::Maybe.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <random>
#include <string>
#include <thread>

#include "peers/peer_client.h"
#include "peers/peer_server.h"

namespace oleandertide::peers {
namespace {

using routing::Outcome;
using routing::Reason;

// Answers calls with their own target; "/wait" waits for its cancellation.
class EchoHandlers final : public Handlers {
 public:
  calls::CallResult HandleCall(const calls::ForwardedRequest& request,
                               std::stop_token cancelled) override {
    if (request.request.target == "/wait") {
      while (!cancelled.stop_requested()) std::this_thread::yield();
      ++cancelled_calls;
    }
    if (request.request.target == "/refuse") {
      return calls::Refusal{Reason::kQueueFull, Outcome::kNotRun};
    }
    return calls::Answer{201,
                         {{"x-key", request.request.idempotency_key}},
                         request.request.target + request.request.body};
  }
  GossipReply HandleGossip(const GossipRequest& request) override {
    return {{request.exchange.id, request.exchange.digest},
            request.crash_reports};
  }
  distribution::SyncReply HandleSyncRequest(
      const distribution::SyncRequest& request) override {
    return {{request.sender}, request.first_bucket + 1};
  }
  std::optional<std::string> HandleFetch(
      const distribution::Version& version) override {
    if (version.sequence == 0) return std::nullopt;
    return std::string(100'000, 'd') + version.digest;
  }
  idempotency::ClaimResult HandleClaim(const idempotency::ClaimRequest& request,
                                       Duration /*remaining*/) override {
    if (request.key == "known") {
      return idempotency::Answered{
          200, {{"content-type", "text/plain"}}, "first"};
    }
    if (request.key == "running") return idempotency::AlreadyRunning{};
    return idempotency::Granted{};
  }
  void HandleCompletion(
      const idempotency::Completion& /*completion*/) override {}
  void HandleRelease(const idempotency::Release& release) override {
    released_claimant = release.claimant;
  }
  std::uint64_t active_sequence() const override { return 7; }

  std::atomic<int> cancelled_calls = 0;
  std::atomic<std::uint64_t> released_claimant = 0;
};

struct Pair {
  Pair()
      : server(std::move(
            PeerServer::Start(loop, handlers, {"127.0.0.1", 0}, {}).value())),
        client(loop, {}, 1),
        name("127.0.0.1:" + std::to_string(server->port())) {}

  EventLoop loop;
  EchoHandlers handlers;
  std::unique_ptr<PeerServer> server;
  PeerClient client;
  std::string name;
};

calls::ForwardedRequest MakeCall(std::string target, Duration timeout) {
  calls::ForwardedRequest request;
  request.id = 99;
  request.policy = {"route", "service", routing::RequestClass::kPayment, false};
  request.request.method = "POST";
  request.request.target = std::move(target);
  request.request.body = std::string("\0\xff binary", 9);
  request.request.idempotency_key = "key";
  request.request.deadline = MonotonicClock::now() + timeout;
  return request;
}

template <typename Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 500; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

// Guards against answers that lose a part on the way.
TEST_CASE("calls come back whole") {
  Pair pair;
  const auto call = MakeCall("/echo", std::chrono::seconds(5));
  const auto result = pair.client.Call(pair.name, call, {});
  const auto& answer = std::get<calls::Answer>(result);
  REQUIRE(answer.status == 201);
  REQUIRE(answer.body == "/echo" + call.request.body);
  REQUIRE(answer.headers.at(0).value == "key");

  const auto refused = pair.client.Call(
      pair.name, MakeCall("/refuse", std::chrono::seconds(5)), {});
  REQUIRE(std::get<calls::Refusal>(refused).reason == Reason::kQueueFull);
  REQUIRE(std::get<calls::Refusal>(refused).outcome == Outcome::kNotRun);
}

// Guards against "not run" for a call that was sent, and against calls that
// run on after their ingress gave up.
TEST_CASE("a call past its deadline is unknown and cancelled") {
  Pair pair;
  const auto result = pair.client.Call(
      pair.name, MakeCall("/wait", std::chrono::milliseconds(100)), {});
  const auto& refusal = std::get<calls::Refusal>(result);
  REQUIRE(refusal.reason == Reason::kDeadlineInFlight);
  REQUIRE(refusal.outcome == Outcome::kUnknown);
  REQUIRE(Eventually([&] { return pair.handlers.cancelled_calls == 1; }));
}

TEST_CASE("a cancelled call is unknown and cancelled at the receiver") {
  Pair pair;
  std::stop_source caller;
  std::thread hang_up([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    caller.request_stop();
  });
  const auto result =
      pair.client.Call(pair.name, MakeCall("/wait", std::chrono::seconds(30)),
                       caller.get_token());
  hang_up.join();
  REQUIRE(std::get<calls::Refusal>(result).reason == Reason::kCallerGone);
  REQUIRE(std::get<calls::Refusal>(result).outcome == Outcome::kUnknown);
  REQUIRE(Eventually([&] { return pair.handlers.cancelled_calls == 1; }));
}

// Guards against a dead peer that counts as reached, and against a client that
// does not connect again after a restart of its peer.
TEST_CASE("a peer that is away is not run, and reached again after a restart") {
  Pair pair;
  const std::uint16_t port = pair.server->port();
  const auto echo = [&] {
    return pair.client.Call(pair.name,
                            MakeCall("/echo", std::chrono::seconds(5)), {});
  };
  REQUIRE(std::holds_alternative<calls::Answer>(echo()));
  pair.server = nullptr;
  REQUIRE(Eventually([&] {
    const auto result = echo();
    const auto* refusal = std::get_if<calls::Refusal>(&result);
    return refusal != nullptr && refusal->reason == Reason::kConnectFailed &&
           refusal->outcome == Outcome::kNotRun;
  }));
  auto again =
      PeerServer::Start(pair.loop, pair.handlers, {"127.0.0.1", port}, {});
  REQUIRE(again);
  pair.server = std::move(again).value();
  REQUIRE(Eventually(
      [&] { return std::holds_alternative<calls::Answer>(echo()); }));
}

// Guards against control messages that lose a field in the codec.
TEST_CASE("gossip, synchronisation, documents and claims round trip") {
  Pair pair;
  membership::Member member;
  member.address = "127.0.0.1:9";
  member.life = 5;
  member.data_centre = "dc1";
  member.backend_address = "127.0.0.1:10";
  member.slots = 12;
  member.state = membership::MemberState::kDraining;
  member.incarnation = 3;
  const auto pointer = std::make_shared<const membership::Member>(member);
  GossipRequest request;
  request.exchange.id = 4;
  request.exchange.digest.sender = pointer;
  request.exchange.digest.held = {8, std::string(32, 'a')};
  request.exchange.digest.committed = 7;
  request.exchange.digest.confirmation = distribution::Confirmation{8, 7, 123};
  request.exchange.digest.heard = {{"dc2", 55}};
  request.exchange.digest.table_hash = 77;
  request.exchange.digest.deltas = {pointer, pointer};
  request.crash_reports = {{.fingerprint = 1,
                            .backend_address = "127.0.0.1:10",
                            .age = std::chrono::milliseconds(9)}};

  std::promise<GossipReply> promise;
  pair.client.Exchange(pair.name, request, [&](Result<GossipReply> reply) {
    promise.set_value(reply.value());
  });
  const GossipReply reply = promise.get_future().get();
  REQUIRE(reply.exchange.id == 4);
  const distribution::Digest& digest = reply.exchange.digest;
  REQUIRE(*digest.sender == member);
  REQUIRE(digest.held == request.exchange.digest.held);
  REQUIRE(digest.committed == 7);
  REQUIRE(digest.confirmation->age_milliseconds == 123);
  REQUIRE(digest.heard.at(0).age_milliseconds == 55);
  REQUIRE(digest.table_hash == 77);
  REQUIRE(*digest.deltas.at(1) == member);
  REQUIRE(reply.crash_reports.at(0).backend_address == "127.0.0.1:10");

  const auto document =
      pair.client.FetchDocument(pair.name, {1, std::string(32, 'b')});
  REQUIRE(document.value().size() == 100'032);
  REQUIRE(pair.client.FetchDocument(pair.name, {}).error() == Error::kNotFound);

  const Duration second = std::chrono::seconds(1);
  const auto known = pair.client.Claim(pair.name, {"known", 1, 2, 3}, second);
  REQUIRE(std::get<idempotency::Answered>(known.value()).body == "first");
  const auto running =
      pair.client.Claim(pair.name, {"running", 1, 2, 3}, second);
  REQUIRE(std::holds_alternative<idempotency::AlreadyRunning>(running.value()));
  pair.client.Release(pair.name, {"key", 2, 31});
  REQUIRE(Eventually([&] { return pair.handlers.released_claimant == 31; }));
}

void SendRandomBytes(std::uint16_t port, std::mt19937_64& random,
                     std::size_t size) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0);
  std::string bytes(size, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random());
  send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  close(descriptor);
}

// Guards against an outsider's message that costs more than its connection.
TEST_CASE("random bytes cost their connection only") {
  Pair pair;
  std::mt19937_64 random(20261204);
  for (int i = 0; i < 200; ++i) {
    SendRandomBytes(pair.server->port(), random, 1 + random() % 4096);
  }
  const auto result = pair.client.Call(
      pair.name, MakeCall("/echo", std::chrono::seconds(5)), {});
  REQUIRE(std::holds_alternative<calls::Answer>(result));
}

}  // namespace
}  // namespace oleandertide::peers
