#include "mesh/configuration.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "mesh/configuration_holder.h"
#include "mesh/configuration_update.h"
#include "mesh/service_choice.h"

namespace oleandertide::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::shared_ptr<const Route> MakeRoute(const std::string& prefix,
                                       std::string service = "rooms") {
  return std::make_shared<const Route>(
      Route{.name = "r" + prefix,
            .path_prefix = prefix,
            .kind = RequestKind::kIdempotent,
            .timeout = seconds(1),
            .target_latency = milliseconds(300),
            .services = {{std::move(service), 1}}});
}

Configuration MakeConfiguration(std::uint64_t version,
                                std::initializer_list<std::string> prefixes) {
  Configuration configuration;
  configuration.version = version;
  configuration.services = {{.name = "rooms", .health_path = "/health"}};
  for (const std::string& prefix : prefixes) {
    configuration.hosts["a.example"][prefix] = MakeRoute(prefix);
  }
  return configuration;
}

// Guards against a request that is sent to the service of a shorter prefix
// although a longer prefix of the same host also matches.
TEST_CASE("a request takes the host's route with the longest matching prefix") {
  const Configuration configuration =
      MakeConfiguration(1, {"/", "/rooms/", "/rooms/free/"});
  const auto find = [&](std::string_view host, std::string_view target) {
    const Route* route = configuration.FindRoute(host, target);
    return route == nullptr ? std::string() : route->path_prefix;
  };
  REQUIRE(find("a.example", "/rooms/free/7") == "/rooms/free/");
  REQUIRE(find("a.example", "/rooms/free") == "/rooms/");
  REQUIRE(find("a.example", "/roomsfree") == "/");
  REQUIRE(find("a.example", "/rooms?path=/rooms/free/") == "/");
  REQUIRE(find("A.Example:8080", "/rooms/x") == "/rooms/");
  REQUIRE(find("b.example", "/rooms/x").empty());
}

// Guards against a node that reverts to an older configuration.
TEST_CASE("an offered configuration takes effect only if it is newer") {
  rc::prop("the version in force is the greatest one offered so far", [] {
    ConfigurationHolder holder;
    std::uint64_t greatest = 0;
    const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 50));
    for (const std::uint64_t version : versions) {
      const bool is_newer = version > greatest;
      RC_ASSERT(holder.InstallIfNewer(MakeConfiguration(version, {"/"})) ==
                is_newer);
      greatest = std::max(greatest, version);
      RC_ASSERT(holder.version() == greatest);
    }
  });
}

// Guards against a node that treats its configuration as fresh because another
// version was confirmed.
TEST_CASE("a confirmation counts only for the version in force") {
  ConfigurationHolder holder;
  const MonotonicTime now{seconds(100)};
  REQUIRE(holder.confirmation_age(now) == Duration::max());
  holder.InstallIfNewer(MakeConfiguration(2, {"/"}));
  holder.Confirm(1, 50, now, Duration::zero());
  REQUIRE(holder.confirmation_age(now) == Duration::max());
  holder.Confirm(2, 50, now, milliseconds(300));
  REQUIRE(holder.confirmation_age(now) == milliseconds(300));
  // An older confirmation does not replace a newer one.
  holder.Confirm(2, 49, now, milliseconds(900));
  REQUIRE(holder.confirmation_age(now) == milliseconds(300));
}

// Guards against nodes that keep each other's confirmation fresh while none of
// them reaches the store: the age in a status excludes its transit time, which
// is 100 ms on a busy link.
TEST_CASE("nodes that exchange one confirmation do not renew it") {
  ConfigurationHolder first;
  ConfigurationHolder second;
  first.InstallIfNewer(MakeConfiguration(2, {"/"}));
  second.InstallIfNewer(MakeConfiguration(2, {"/"}));
  MonotonicTime now{seconds(100)};
  first.Confirm(2, 50, now, Duration::zero());
  const auto send_confirmation = [&](const ConfigurationHolder& from,
                                     ConfigurationHolder& to) {
    const Duration age = from.confirmation_age(now);
    now += milliseconds(100);
    to.Confirm(2, from.confirmed_store_time(), now, age);
  };
  for (int i = 0; i < 20; ++i) {
    send_confirmation(first, second);
    send_confirmation(second, first);
  }
  REQUIRE(first.confirmation_age(now) >= milliseconds(3800));
  REQUIRE(second.confirmation_age(now) >= milliseconds(3800));
}

Configuration MakeRandomConfiguration(std::uint64_t version) {
  Configuration configuration;
  configuration.version = version;
  configuration.services = {{.name = "rooms"}, {.name = "booking"}};
  const int routes = *rc::gen::inRange(0, 12);
  for (int i = 0; i < routes; ++i) {
    const std::string host = *rc::gen::element<std::string>("a", "b", "c");
    const std::string prefix =
        "/" + std::to_string(*rc::gen::inRange(0, 8)) + "/";
    configuration.hosts[host][prefix] =
        MakeRoute(prefix, *rc::gen::element<std::string>("rooms", "booking"));
  }
  return configuration;
}

// Guards against a partially applied update, and against one that is applied to
// another configuration than the one it was computed from.
TEST_CASE("an update results in the sender's configuration or an error") {
  rc::prop("an update applied to its base results in the target", [] {
    const Configuration base = MakeRandomConfiguration(3);
    const Configuration target = MakeRandomConfiguration(5);
    const auto updated = ApplyUpdate(&base, MakeUpdate(&base, target));
    RC_ASSERT(updated.has_value());
    RC_ASSERT(Digest(updated.value()) == Digest(target));
    RC_ASSERT(updated.value().version == 5U);
    const auto whole = ApplyUpdate(nullptr, MakeUpdate(nullptr, target));
    RC_ASSERT(whole.has_value());
    RC_ASSERT(Digest(whole.value()) == Digest(target));
  });
  const Configuration base = MakeConfiguration(3, {"/", "/a/"});
  const Configuration target = MakeConfiguration(5, {"/", "/b/"});
  const ConfigurationUpdate update = MakeUpdate(&base, target);
  REQUIRE(update.put.size() == 1);
  REQUIRE(update.removed.size() == 1);
  Configuration other = MakeConfiguration(4, {"/"});
  REQUIRE(ApplyUpdate(&other, update).error() ==
          make_error_code(Error::kConflict));
  // The base version matches, but the content differs.
  other.version = 3;
  other.hosts["z"]["/"] = MakeRoute("/");
  REQUIRE(ApplyUpdate(&other, update).error() ==
          make_error_code(Error::kDataDamaged));
}

// Guards against services of a route that get a larger or smaller share of its
// requests than their weights give.
TEST_CASE("services get requests by weight within 100 requests") {
  Route route = *MakeRoute("/");
  route.services = {{"rooms", 90}, {"booking", 10}};
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    RandomSource random(seed);
    ServiceChoice choice;
    std::map<std::string, int> shares;
    for (int i = 0; i < 100; ++i) ++shares[choice.Choose(route, random)];
    REQUIRE(std::abs(shares["booking"] - 10) <= 2);
  }
}

}  // namespace
}  // namespace oleandertide::mesh
