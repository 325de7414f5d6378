// What links carry of organisations.

#include "sidecar/link_codec.h"

#include <capnp/message.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "mesh/configuration_update.h"

namespace oleandertide::sidecar {
namespace {

mesh::Configuration MakeConfiguration(
    std::uint64_t version,
    const std::vector<mesh::Organisation>& organisations) {
  mesh::Configuration configuration;
  configuration.version = version;
  configuration.services.push_back({.name = "s", .health_path = "/health"});
  const mesh::Route route{.name = "a",
                          .path_prefix = "/a/",
                          .services = {{.service = "s"}},
                          .is_public = true};
  configuration.hosts["h"]["/a/"] = std::make_shared<const mesh::Route>(route);
  for (const mesh::Organisation& organisation : organisations) {
    configuration.organisations[organisation.name] =
        std::make_shared<const mesh::Organisation>(organisation);
  }
  configuration.keys = mesh::KeyIndex(configuration.organisations);
  return configuration;
}

// Sends an update as a link does.
mesh::ConfigurationUpdate Transmit(const mesh::ConfigurationUpdate& update) {
  capnp::MallocMessageBuilder message;
  const auto builder = message.initRoot<wire::ConfigurationUpdate>();
  Encode(update, builder);
  return Decode(builder.asReader());
}

// Guards against a call that loses its organisation or its rank on a link.
TEST_CASE("a call on a link keeps organisation, rank and mark") {
  capnp::MallocMessageBuilder message;
  const auto builder = message.initRoot<wire::Call>();
  Encode(7,
         Call{.request_id = "r",
              .organisation = "alpha",
              .priority = 3,
              .is_backend_server_call = true},
         builder);
  const Call call = Decode(builder.asReader(), SharedBody("body"));
  REQUIRE(call.organisation == "alpha");
  REQUIRE(call.priority == 3);
  REQUIRE(call.is_backend_server_call);
}

// Guards against bytes that an earlier version of a node took for an answer.
TEST_CASE("an answer on a link has a status of the protocol") {
  const auto transmit = [](int status) {
    capnp::MallocMessageBuilder message;
    const auto builder = message.initRoot<wire::Answer>();
    Encode(7, mesh::Completed{.status = status, .body = "body"}, {}, builder);
    return Decode(builder.asReader(), "body");
  };
  for (const int status : {200, 304, 404, 599}) {
    REQUIRE(std::get<mesh::Completed>(transmit(status)).status == status);
  }
  for (const int status : {0, 99, 600, 999}) {
    INFO(status);
    const auto outcome = transmit(status);
    REQUIRE(std::get<mesh::Unknown>(outcome).reason ==
            mesh::Reason::kAnswerUnusable);
  }
}

// Guards against an update that leaves a withdrawn key in force.
TEST_CASE("updates on links add, change and withdraw keys") {
  const auto before = MakeConfiguration(
      1, {{.name = "alpha", .keys = {"a1", "a2"}, .priority = 1, .rate = 5},
          {.name = "beta", .keys = {"b1"}}});
  const auto after = MakeConfiguration(
      2,
      {{.name = "alpha", .keys = {"a1"}, .priority = 1, .rate = 5, .burst = 9},
       {.name = "gamma", .keys = {"a2", "g1"}}});
  const bool is_delta = GENERATE(true, false);
  const auto update =
      Transmit(mesh::MakeUpdate(is_delta ? &before : nullptr, after));
  const auto applied = mesh::ApplyUpdate(is_delta ? &before : nullptr, update);
  REQUIRE(applied.has_value());
  const mesh::Configuration& configuration = applied.value();
  REQUIRE(configuration.organisations.size() == 2);
  REQUIRE(configuration.keys.Find("a1")->name == "alpha");
  REQUIRE(configuration.keys.Find("a1")->burst == 9);
  REQUIRE(configuration.keys.Find("a2")->name == "gamma");
  REQUIRE(configuration.keys.Find("g1")->name == "gamma");
  REQUIRE(configuration.keys.Find("b1") == nullptr);
  REQUIRE(configuration.FindRoute("h", "/a/1")->is_public);
  // Back to a configuration without organisations.
  const auto none = MakeConfiguration(3, {});
  const auto emptied = mesh::ApplyUpdate(
      &configuration, Transmit(mesh::MakeUpdate(&configuration, none)));
  REQUIRE(emptied.has_value());
  REQUIRE(emptied.value().organisations.empty());
  REQUIRE(emptied.value().keys.Find("a1") == nullptr);
}

}  // namespace
}  // namespace oleandertide::sidecar
