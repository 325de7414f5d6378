#include "backend_servers/local_backend_server.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <variant>

namespace oleandertide::backend_servers {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};

// Nothing listens on this port of the loopback interface.
const Address kNobody{"127.0.0.1", 1};

Announcement MakeAnnouncement() {
  return {"booking", kNobody, 2, 10, false, "first"};
}

bool IsAdmitting(Session& session) {
  const auto entry =
      session.gate().Enter(routing::RequestClass::kBooking,
                           MonotonicClock::now() + std::chrono::seconds(5));
  return std::holds_alternative<routing::AdmissionTicket>(entry);
}

// Guards against a backend server that takes back its leave and is refused
// work as draining from then on.
TEST_CASE("a backend server that stays after all is admitted again") {
  LocalBackendServer server({});
  Announcement announcement = MakeAnnouncement();
  REQUIRE(server.Announce(announcement, kStart));
  announcement.is_leaving = true;
  REQUIRE(server.Announce(announcement, kStart));
  REQUIRE(server.is_leaving());
  server.session()->gate().Drain();
  REQUIRE_FALSE(IsAdmitting(*server.session()));

  announcement.is_leaving = false;
  REQUIRE(server.Announce(announcement, kStart));
  REQUIRE_FALSE(server.is_leaving());
  REQUIRE(IsAdmitting(*server.session()));
}

// Guards against state of a dead process that survives its restart.
TEST_CASE("a restarted backend server gets a new session") {
  LocalBackendServer server({});
  Announcement announcement = MakeAnnouncement();
  REQUIRE(server.Announce(announcement, kStart));
  const auto first = server.session();
  REQUIRE(server.Announce(announcement, kStart));
  REQUIRE(server.session() == first);
  announcement.life = "second";
  REQUIRE(server.Announce(announcement, kStart));
  REQUIRE(server.session() != first);
}

// Guards against a late announcement that alone removes a backend server, and
// against a dead one that is kept.
TEST_CASE("a session is dropped only when its process accepts no connection") {
  LocalBackendServer server({});
  REQUIRE(server.Announce(MakeAnnouncement(), kStart));
  server.DropIfGone(kStart + std::chrono::seconds(1));
  REQUIRE(server.session() != nullptr);
  server.DropIfGone(kStart + std::chrono::seconds(4));
  REQUIRE(server.session() == nullptr);
}

// Guards against "not run" for a request that reached a backend server, and
// the reverse.
TEST_CASE("a request to a dead backend server did not run") {
  auto session = Session::Create(MakeAnnouncement(), {});
  REQUIRE(session);
  calls::ForwardedRequest request;
  request.fingerprint = 5;
  request.request.method = "GET";
  request.request.target = "/";
  request.request.deadline = MonotonicClock::now() + std::chrono::seconds(2);
  const auto result = session.value()->Send(request, {});
  const auto& refusal = std::get<calls::Refusal>(result);
  REQUIRE(refusal.reason == routing::Reason::kConnectFailed);
  REQUIRE(refusal.outcome == routing::Outcome::kNotRun);
  REQUIRE(session.value()->is_dead());
  REQUIRE(session.value()->TakeSuspects() == std::vector<std::uint64_t>{5});
  REQUIRE(session.value()->TakeSuspects().empty());
}

TEST_CASE("announcements name the field that is wrong") {
  std::string explanation;
  REQUIRE_FALSE(Announcement::Parse("[]", &explanation));
  REQUIRE(explanation == "the body must be a JSON object");
  REQUIRE_FALSE(Announcement::Parse(
      R"({"service":"a","address":"127.0.0.1:80","slots":0,"connections":3})",
      &explanation));
  REQUIRE(explanation == "slots must be an integer from 1 to 10000");
  REQUIRE_FALSE(Announcement::Parse(
      R"({"service":"a","address":"host:80","slots":1,"connections":3})",
      &explanation));
  REQUIRE(explanation == "address must be IP:port");
}

// Guards against input that stops the process.
TEST_CASE("random announcements are refused or valid") {
  REQUIRE(rc::check("announcement", [](const std::string& text) {
    std::string explanation;
    const auto parsed = Announcement::Parse(text, &explanation);
    RC_ASSERT(parsed.has_value() || !explanation.empty());
  }));
}

}  // namespace
}  // namespace oleandertide::backend_servers
