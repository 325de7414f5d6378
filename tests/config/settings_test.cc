#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "config/command_settings.h"
#include "config/node_settings.h"
#include "sample_settings.h"

namespace oleandertide::config {
namespace {

using Catch::Matchers::Contains;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

std::string ErrorsWith(std::string_view more) {
  const auto settings = NodeSettings::Parse(
      std::string(kSampleSettings) + std::string(more), "node.ini");
  return settings ? "" : ToString(settings.error());
}

// Guards against a default that differs from the design or from its range.
TEST_CASE("missing settings have their defaults") {
  const NodeSettings settings =
      NodeSettings::Parse(kSampleSettings, "node.ini").value();
  REQUIRE(settings.node.data_centre == "quito-1");
  REQUIRE(settings.listen.callers == Address{"0.0.0.0", 8080});
  REQUIRE(settings.listen.operators == Address{"127.0.0.1", 0});
  REQUIRE(settings.platform.address == Address{"::1", 7000});
  REQUIRE(settings.platform.read_interval == Duration(seconds(1)));
  REQUIRE(settings.platform.request_timeout == Duration(seconds(1)));
  REQUIRE(settings.platform.readers_per_data_centre == 2);
  REQUIRE(settings.peers.contacts.empty());
  REQUIRE(settings.peers.gossip_interval == Duration(milliseconds(500)));
  REQUIRE(settings.peers.fanout == 3);
  REQUIRE(settings.peers.monitored_successors == 3);
  REQUIRE(settings.peers.suspicion_timeout == Duration(seconds(3)));
  REQUIRE(settings.freshness.confirmation_limit == Duration(seconds(5)));
  REQUIRE(settings.freshness.pause_limit == Duration(seconds(2)));
  REQUIRE(settings.calls.queue_length == 64);
  REQUIRE(settings.calls.maximum_connections_from_callers == 256);
  REQUIRE(settings.calls.retry_budget_percent == 5);
  REQUIRE(settings.calls.unknown_retry_budget_percent == Approx(0.3));
  REQUIRE(settings.calls.default_timeout == Duration(seconds(2)));
  REQUIRE(settings.calls.slow_start == Duration(seconds(10)));
  REQUIRE(settings.calls.quarantine_threshold == 2);
  REQUIRE(settings.calls.quarantine_time == Duration(minutes(10)));
  REQUIRE(settings.calls.maximum_body == 1 << 20);
  REQUIRE(settings.once.commit_interval == Duration(milliseconds(5)));
  REQUIRE(settings.peers.other_data_centres.empty());
  REQUIRE(settings.once.writers_per_data_centre == 1);
  REQUIRE(settings.jobs.start_window == Duration(seconds(30)));
  REQUIRE(settings.drain.announce_time == Duration(seconds(2)));
  REQUIRE(settings.drain.deadline == Duration(seconds(30)));
  REQUIRE(settings.log.level == "info");
}

// Guards against settings that are read without their unit or range.
TEST_CASE("wrong settings are refused with what is allowed") {
  REQUIRE_THAT(ErrorsWith("[peers]\ngossip-interval = 20ms\n"),
               Contains("gossip-interval: '20ms' is not allowed") &&
                   Contains("from 50ms to 10s"));
  REQUIRE_THAT(ErrorsWith("[peers]\nfanout = 17\n"), Contains("from 1 to 16"));
  REQUIRE_THAT(ErrorsWith("[peers]\ncontacts = 10.0.0.1:1, localhost:2\n"),
               Contains("comma list"));
  REQUIRE_THAT(ErrorsWith("[calls]\nmaximum-body = 5\n"), Contains("KiB"));
  REQUIRE_THAT(ErrorsWith("[calls]\nretry-budget-percent = nan\n"),
               Contains("from 0 to 100"));
  REQUIRE_THAT(ErrorsWith("[log]\nlevel = loud\n"),
               Contains("debug | info | warning | error"));
  REQUIRE_THAT(ErrorsWith("[logs]\n"),
               Contains("unknown section") && Contains("[drain], [log]"));
  REQUIRE_THAT(ErrorsWith("[peers extra]\n"), Contains("unknown section"));
  REQUIRE(ErrorsWith("[node]\nregion = Andes\n") ==
          "node.ini:14: node: duplicate section, first given in line 1, "
          "allowed once\n"
          "node.ini:15: region: 'Andes' is not allowed, allowed is a name of "
          "1 to 64 characters of a-z, 0-9 and '-'\n");
}

// Guards against a node that others cannot reach at its own address.
TEST_CASE("the address for peers must be complete") {
  std::string text(kSampleSettings);
  const std::string peers = "10.0.0.1:9000";
  const std::string wrong = GENERATE("0.0.0.0:9000", "10.0.0.1:0", "[::]:1",
                                     "10.0.0.1:70000", "10.0.0.1", ":1");
  text.replace(text.find(peers), peers.size(), wrong);
  const auto settings = NodeSettings::Parse(text, "node.ini");
  REQUIRE_FALSE(settings);
  REQUIRE(settings.error()[0].key == "peers");
}

// Guards against a setting that operators cannot find out about.
TEST_CASE("the description names unit, range and default") {
  REQUIRE_THAT(NodeSettings::Describe(),
               Contains("[peers]\n") &&
                   Contains("  gossip-interval: time between exchanges with a "
                            "partner; a duration (ms, s, m, h) from 50ms to "
                            "10s; default 500ms\n") &&
                   Contains("default 1MiB") && Contains("contacts"));
  REQUIRE_THAT(CommandSettings::Describe(), Contains("resolve-timeout"));
}

TEST_CASE("settings of the command are read") {
  const auto settings = CommandSettings::Parse(
      "[platform]\naddress = 127.0.0.1:7000\n[command]\noperator = Ana B.\n",
      "command.ini");
  REQUIRE(settings);
  REQUIRE(settings.value().command.operator_name == "Ana B.");
  REQUIRE(settings.value().command.resolve_timeout == Duration(seconds(10)));
  REQUIRE(CommandSettings::Parse("", "command.ini").error().size() == 2);
}

}  // namespace
}  // namespace oleandertide::config
