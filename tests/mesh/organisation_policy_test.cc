#include "mesh/organisation_policy.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mesh/outcome.h"

namespace oleandertide::mesh {
namespace {

Route MakeRoute(int priority, bool is_public = false) {
  return {
      .name = "r",
      .path_prefix = "/r" + std::to_string(priority) + (is_public ? "p/" : "/"),
      .priority = priority,
      .services = {{.service = "s"}},
      .is_public = is_public};
}

Configuration MakeConfiguration(
    const std::vector<std::optional<int>>& organisation_priorities,
    const std::vector<int>& route_priorities) {
  Configuration configuration;
  int number = 0;
  for (const auto& priority : organisation_priorities) {
    const std::string name = "o" + std::to_string(number++);
    configuration.organisations[name] =
        std::make_shared<Organisation>(Organisation{.name = name,
                                                    .keys = {"k" + name},
                                                    .priority = priority,
                                                    .rate = 10.0 * number});
  }
  for (const int priority : route_priorities) {
    const Route route = MakeRoute(priority);
    configuration.hosts["h"][route.path_prefix] =
        std::make_shared<Route>(route);
  }
  return configuration;
}

// Guards against a change for earlier deployments: their routes of priority 1
// carry the calls of backend servers.
TEST_CASE("without organisations the route alone determines the rank") {
  const OrganisationPolicy policy(MakeConfiguration({}, {0, 1, 2}));
  for (const bool has_key : {false, true}) {
    for (int priority = -1; priority <= 5; ++priority) {
      const Rank rank =
          policy.ChooseRank(MakeRoute(priority), nullptr, has_key);
      REQUIRE(rank == Rank{priority, priority == 1});
    }
  }
}

// Guards against an organisation's priority that only breaks ties.
TEST_CASE("the organisation's priority precedes that of the route") {
  const Configuration configuration = MakeConfiguration({3, 7, 7}, {0, 1, 9});
  const OrganisationPolicy policy(configuration);
  const auto rank = [&](const std::string& name, int priority) {
    return policy
        .ChooseRank(MakeRoute(priority),
                    configuration.organisations.at(name).get(), true)
        .priority;
  };
  REQUIRE(rank("o0", 0) < rank("o0", 1));
  REQUIRE(rank("o0", 1) < rank("o0", 9));
  REQUIRE(rank("o0", 9) < rank("o1", 0));
  REQUIRE(rank("o1", 9) == rank("o2", 9));
}

// Guards against ranks that load reports cannot tell apart at the deployment
// that has the feature.
TEST_CASE("the observed ranks have a priority class each") {
  const Configuration configuration = MakeConfiguration({1, 1, 1}, {0, 1, 2});
  const OrganisationPolicy policy(configuration);
  const Organisation* organisation = configuration.organisations.at("o0").get();
  std::vector<std::size_t> classes{ToPriorityClass(
      policy.ChooseRank(MakeRoute(1, true), nullptr, false).priority)};
  for (const int priority : {0, 1, 2}) {
    classes.push_back(ToPriorityClass(
        policy.ChooseRank(MakeRoute(priority), organisation, true).priority));
  }
  REQUIRE(classes == std::vector<std::size_t>{0, 1, 2, 3});
}

// Guards against clients that are served first as if they were backend servers.
TEST_CASE("only a call without key on a public route is internal") {
  const Configuration configuration = MakeConfiguration({1, 5}, {0, 1, 2});
  const OrganisationPolicy policy(configuration);
  const Organisation* organisation = configuration.organisations.at("o0").get();
  REQUIRE(policy.ChooseRank(MakeRoute(1, true), nullptr, false) ==
          Rank{0, true});
  const auto is_internal = [&](const Route& route, const Organisation* holder,
                               bool has_key) {
    const Rank rank = policy.ChooseRank(route, holder, has_key);
    return rank.is_backend_server_call || rank.priority == 0;
  };
  REQUIRE_FALSE(is_internal(MakeRoute(1, true), organisation, true));
  REQUIRE_FALSE(is_internal(MakeRoute(1, true), nullptr, true));
  REQUIRE_FALSE(is_internal(MakeRoute(0, true), nullptr, false));
  REQUIRE_FALSE(is_internal(MakeRoute(1), organisation, true));
  // Without a key, a request ranks like the least urgent organisation.
  REQUIRE(policy.ChooseRank(MakeRoute(0, true), nullptr, false) ==
          policy.ChooseRank(MakeRoute(0),
                            configuration.organisations.at("o1").get(), true));
}

// Guards against a division by zero and shares without meaning.
TEST_CASE("an organisation without limit has the mean weight") {
  Configuration configuration = MakeConfiguration({1, 1}, {0});
  configuration.organisations["free"] =
      std::make_shared<Organisation>(Organisation{.name = "free"});
  const OrganisationPolicy policy(configuration);
  REQUIRE(policy.ChooseWeight(configuration.organisations.at("o1").get()) ==
          20);
  REQUIRE(policy.ChooseWeight(configuration.organisations.at("free").get()) ==
          15);
  REQUIRE(policy.ChooseWeight(nullptr) == 15);
  REQUIRE(OrganisationPolicy().ChooseWeight(nullptr) == 1);
}

}  // namespace
}  // namespace oleandertide::mesh
