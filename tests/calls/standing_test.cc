#include <catch2/catch.hpp>

#include "callers/problem.h"
#include "calls/endpoint_directory.h"
#include "calls/published_standing.h"
#include "calls/standing_policy.h"

namespace oleandertide::calls {
namespace {

using distribution::Standing;
using routing::Reason;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

RoutePolicy Lookup() {
  return {"find", "rooms", routing::RequestClass::kLookup, true};
}
RoutePolicy Booking() {
  return {"book", "booking", routing::RequestClass::kBooking, false};
}

// Guards against a node that serves bookings on a configuration that may have
// been replaced on the other side of a partition.
TEST_CASE("each standing serves what the design allows") {
  REQUIRE(ReasonToRefuse(Standing::kStarting, Lookup()) == Reason::kNotReady);
  REQUIRE_FALSE(ReasonToRefuse(Standing::kConfirmed, Booking()));
  REQUIRE_FALSE(ReasonToRefuse(Standing::kPlatformDown, Lookup()));
  REQUIRE_FALSE(ReasonToRefuse(Standing::kRegionCut, Lookup()));
  REQUIRE(ReasonToRefuse(Standing::kRegionCut, Booking()) ==
          Reason::kConfigurationUnconfirmed);
  REQUIRE(ReasonToRefuse(Standing::kIsolated, Lookup()) ==
          Reason::kNodeIsolated);
}

// Guards against a process that wakes from a pause and serves on the standing
// from before it.
TEST_CASE("a standing that was published long ago counts as isolated") {
  PublishedStanding standing;
  REQUIRE(standing.At(kStart) == Standing::kStarting);
  standing.Publish(Standing::kConfirmed, kStart);
  REQUIRE(standing.At(kStart + std::chrono::milliseconds(900)) ==
          Standing::kConfirmed);
  REQUIRE(standing.At(kStart + std::chrono::milliseconds(1100)) ==
          Standing::kIsolated);
}

membership::MemberPointer MakeMember(std::string address, std::string centre,
                                     membership::MemberState state) {
  membership::Member member;
  member.address = std::move(address);
  member.life = 1;
  member.data_centre = std::move(centre);
  member.region = "north";
  member.service = "booking";
  member.backend_address = "127.0.0.1:1";
  member.slots = 12;
  member.state = state;
  return std::make_shared<const membership::Member>(member);
}

// Guards against calls to members that leave or cannot be reached.
TEST_CASE("only ready members of reachable data centres are endpoints") {
  using membership::MemberState;
  const auto own = MakeMember("127.0.0.1:1", "dc1", MemberState::kReady);
  const membership::MemberView members(
      own, {own, MakeMember("127.0.0.1:2", "dc1", MemberState::kDraining),
            MakeMember("127.0.0.1:3", "dc2", MemberState::kReady),
            MakeMember("127.0.0.1:4", "dc3", MemberState::kReady)});
  EndpointDirectory directory{std::chrono::seconds(10)};
  REQUIRE(directory.Find("booking") == nullptr);
  directory.Update(members, {"dc3"}, kStart);
  const auto table = directory.Find("booking");
  REQUIRE(table != nullptr);
  REQUIRE(table->all().size() == 2);
  REQUIRE(table->local().size() == 1);
  REQUIRE(directory.Find("rooms") == nullptr);
}

// Guards against refusals that do not say whether the request ran.
TEST_CASE("a problem document names outcome and reason") {
  const auto response =
      callers::MakeProblem({Reason::kQueueFull, routing::Outcome::kNotRun});
  REQUIRE(response.status == 503);
  REQUIRE(response.content_type == "application/problem+json");
  REQUIRE(response.body.find("\"outcome\":\"not-run\"") != std::string::npos);
  REQUIRE(response.body.find("\"reason\":\"queue-full\"") != std::string::npos);
  REQUIRE(http::FindHeader(response.headers, "proxy-status")
              .starts_with("oleandertide; error="));
}

}  // namespace
}  // namespace oleandertide::calls
