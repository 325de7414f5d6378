// Limits and bounds that the settings do not tell.

#include "sidecar/settings.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "mesh/stop_policy.h"

namespace oleandertide::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the text of a node's settings, with further keys of [node] and
// further sections.
std::string MakeText(std::string_view sections,
                     std::string_view node_keys = {}) {
  return fmt::format(
      "[node]\nname = a\ndata-centre = dc\nservice = booking\n{}"
      "[listen]\nclients = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
      "readiness = 127.0.0.1:3\nannouncements = 127.0.0.1:4\n"
      "metrics = 127.0.0.1:5\n"
      "[backend]\naddress = 127.0.0.1:6\n[store]\naddress = 127.0.0.1:7\n{}",
      node_keys, sections);
}

config::Checked<SidecarSettings> Read(
    std::string_view text, const config::Environment& environment = {}) {
  return SidecarSettings::Parse(text, "node.ini", environment);
}

// Returns the settings of a node with further sections.
SidecarSettings ParseWith(std::string_view sections) {
  auto settings = Read(MakeText(sections));
  REQUIRE(settings.has_value());
  return std::move(settings).value();
}

}  // namespace

// Guards against a process without any bound because nobody told it one.
TEST_CASE("limits of the system hold where the settings tell none") {
  const ProcessLimits limits{.memory_bytes = 200'000'000,
                             .own_memory_bytes = 160'000'000,
                             .descriptors = 1024};
  SidecarSettings settings;
  settings.UseLimits(limits);
  REQUIRE(settings.node.memory_mb == 160);
  REQUIRE(settings.node.descriptors == 1024);

  settings.UseLimits(
      {.memory_bytes = 1, .own_memory_bytes = 1, .descriptors = 1});
  REQUIRE(settings.node.memory_mb == 160);
  REQUIRE(settings.node.descriptors == 1024);
}

// Guards against a process that takes the memory of the whole machine, which it
// shares with the backend server, because nobody told it a limit (case review/5
// without the limit in the settings).
TEST_CASE("a process without a limit of its own takes a small one") {
  constexpr std::int64_t kDefaultMb = 128;
  const auto memory_mb = [](const ProcessLimits& limits) {
    SidecarSettings settings;
    settings.UseLimits(limits);
    return settings.node.memory_mb;
  };
  REQUIRE(memory_mb({.memory_bytes = 25'000'000'000}) == kDefaultMb);
  REQUIRE(memory_mb({}) == kDefaultMb);
  // It has no more than it shares with others, of its own or not.
  REQUIRE(memory_mb({.memory_bytes = 90'000'000}) == 90);
  REQUIRE(memory_mb({.memory_bytes = 90'000'000,
                     .own_memory_bytes = 100'000'000}) == 90);
  // A limit of its own may be larger.
  REQUIRE(memory_mb({.memory_bytes = 25'000'000'000,
                     .own_memory_bytes = 512'000'000}) == 512);
}

// Guards against a stopped node that gives up requests which its grace has time
// for, or that is killed with requests in progress.
TEST_CASE("the time for a stop follows the grace of the deployment") {
  // Of the grace: a request that runs until then is answered.
  constexpr double kKeptPart = 5.0 / 6;
  for (const double grace_s : {0.5, 1.0, 2.0, 4.5, 6.0, 10.0, 30.0, 120.0}) {
    CAPTURE(grace_s);
    const auto settings =
        ParseWith(fmt::format("[bounds]\ngrace_s = {}\n", grace_s));
    const Duration grace(static_cast<std::int64_t>(grace_s * 1e6));
    const MonotonicTime begin{seconds(1000)};
    const mesh::StopPolicy policy(
        begin, {.announce_time = settings.drain.announce_time,
                .deadline = settings.drain.deadline});
    REQUIRE(policy.last_deadline() >=
            begin + Duration(static_cast<std::int64_t>(
                        kKeptPart * static_cast<double>(grace.count()))));
    REQUIRE(policy.MayRun(policy.last_deadline()));
    REQUIRE(settings.drain.deadline < grace);
    REQUIRE(settings.drain.announce_time < settings.drain.deadline / 2);
  }
}

TEST_CASE("the end of a stop fits into the grace") {
  for (int grace_ms = 500; grace_ms < 60'000; grace_ms += 100) {
    const auto options =
        mesh::StopPolicy::Options::ForGrace(milliseconds(grace_ms));
    const mesh::StopPolicy policy({}, options);
    const MonotonicTime end = MonotonicTime{} + options.deadline;
    REQUIRE(policy.last_deadline() < policy.last_answer());
    REQUIRE(policy.last_answer() < end);
    REQUIRE(end + policy.close_limit() <
            MonotonicTime{} + milliseconds(grace_ms));
  }
}

TEST_CASE("what the file says goes before what the deployment bounds") {
  const auto settings = ParseWith(
      "[drain]\ndeadline = 4s\nannounce-time = 1s\nfence = 700ms\n"
      "[retries]\nratio = 9\nrun-ratio = 2\n"
      "[bounds]\ngrace_s = 10\ndrain_ms = 3000\nretry_budget_ratio = 0.1\n");
  REQUIRE(settings.drain.deadline == seconds(4));
  REQUIRE(settings.drain.announce_time == seconds(1));
  REQUIRE(settings.drain.fence == milliseconds(700));
  REQUIRE(settings.retries.ratio_percent == 9);
  REQUIRE(settings.retries.run_ratio_percent == 2);
}

// Guards against a stop that gives up after 6 s what the 10 s of the
// deployment, of which the node is not told, leave time for (case review/6).
TEST_CASE("without a bound, a stop has the time that platforms usually give") {
  const auto settings = ParseWith("");
  REQUIRE(settings.drain.deadline == milliseconds(29'500));
  REQUIRE(settings.drain.announce_time == milliseconds(2500));
  REQUIRE(settings.drain.fence == milliseconds(1500));
  REQUIRE(settings.retries.ratio_percent == Approx(14));
  REQUIRE(settings.retries.run_ratio_percent == Approx(4));
  REQUIRE(settings.FindWarnings().empty());
}

// Guards against requests at a backend server that has left, and against more
// repeats than the fleet may make, where the bounds are tight.
TEST_CASE("fence and repeats follow the bounds of the deployment") {
  const auto settings =
      ParseWith("[bounds]\ndrain_ms = 1000\nretry_budget_ratio = 0.1\n");
  REQUIRE(settings.drain.fence == milliseconds(750));
  REQUIRE(settings.retries.ratio_percent == Approx(7));
  REQUIRE(settings.retries.run_ratio_percent == Approx(2));
}

// Guards against a stop that silently cuts all requests.
TEST_CASE("a grace that cannot work is named") {
  const auto names = [](std::string_view sections, std::string_view word) {
    for (const std::string& warning : ParseWith(sections).FindWarnings()) {
      if (warning.find(word) != std::string::npos) return true;
    }
    return false;
  };
  REQUIRE(names("[bounds]\ngrace_s = 0\n", "grace_s"));
  REQUIRE(names("[bounds]\ngrace_s = 0.2\n", "grace_s"));
  REQUIRE_FALSE(names("[bounds]\ngrace_s = 0.5\n", "grace_s"));
  REQUIRE(names("[drain]\ndeadline = 7s\n[bounds]\ngrace_s = 6\n", "deadline"));
  REQUIRE(names("[drain]\nannounce-time = 30s\n", "announce-time"));
  REQUIRE(names("[drain]\nfence = 3s\n[bounds]\ndrain_ms = 2000\n", "fence"));
}

// Guards against a process that ends, with all requests of its instance,
// because the platform has no value for a key (an empty one, or `null`).
TEST_CASE("an empty value is no value") {
  const std::string value = GENERATE("", "null");
  CAPTURE(value);
  const auto settings = Read(fmt::format(
      "[node]\nname = {0}\ndata-centre = {0}\nservice = booking\n"
      "link-mbps = {0}\nfirst-start = {0}\nmemory-mb = {0}\n"
      "descriptors = {0}\nunlimited = {0}\n"
      "[listen]\nclients = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
      "readiness = 127.0.0.1:3\nannouncements = 127.0.0.1:4\nmetrics = {0}\n"
      "[backend]\naddress = 127.0.0.1:6\nmax-answer = {0}\n"
      "[store]\naddress = 127.0.0.1:7\n[drain]\ndeadline = {0}\n"
      "[rules]\nquota = {0}\n[bounds]\ngrace_s = {0}\nfail_closed = {0}\n",
      value));
  REQUIRE(settings);
  const SidecarSettings& read = settings.value();
  REQUIRE(read.ignored.empty());
  REQUIRE(read.node.name == "127.0.0.1:2");
  REQUIRE(read.node.data_centre == "default");
  REQUIRE(read.node.link_mbps == 1000);
  REQUIRE_FALSE(read.node.is_first_start);
  REQUIRE(read.node.memory_mb == 0);
  REQUIRE(read.listen.metrics.ip.empty());
  REQUIRE(read.backend.max_answer_kb == 16'384);
  REQUIRE(read.drain.deadline == milliseconds(29'500));
  REQUIRE(read.deployment == mesh::Deployment{});
}

// Guards against a process that ends where it could serve by a default.
TEST_CASE(
    "a value that is not allowed is ignored where the node can do "
    "without") {
  const auto settings = ParseWith(
      "[edge]\nbuffer-mb = much\n[drain]\ndeadline = 5\n"
      "[bounds]\ngrace_s = soon\ndrain_ms = -1\nconfig_ms = 0\n"
      "exposure_share = 2\nrevoke_ms = nan\nfail_closed = maybe\n"
      "retry_budget_ratio = 0.1\n");
  REQUIRE(settings.edge.buffer_mb == 0);
  REQUIRE(settings.drain.deadline == milliseconds(29'500));
  REQUIRE(settings.deployment == mesh::Deployment{.retry_ratio = 0.1});
  const std::string ignored = config::ToString(settings.ignored);
  for (const char* name :
       {"buffer-mb", "deadline", "grace_s", "drain_ms", "config_ms",
        "exposure_share", "revoke_ms", "fail_closed"}) {
    CAPTURE(name, ignored);
    REQUIRE_THAT(ignored, Catch::Matchers::Contains(name));
  }
  REQUIRE(settings.ignored.size() == 8);
}

TEST_CASE("what the node cannot do without is an error that names it") {
  const auto errors_without = [](std::string_view key) {
    const std::string text = MakeText("");
    const std::size_t begin = text.find('\n' + std::string(key) + " =") + 1;
    std::string changed = text;
    changed.replace(begin, text.find('\n', begin) - begin,
                    std::string(key) + " = ");
    const auto settings = Read(changed);
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().size() == 1);
    return settings.error().front().key;
  };
  for (const char* key :
       {"service", "clients", "peers", "readiness", "announcements"}) {
    REQUIRE(errors_without(key) == key);
  }
  // Of the first of two sections: that of the backend server.
  REQUIRE(errors_without("address") == "address");
}

// Guards against limits and bounds that reach the process only by a file whose
// form not every platform can fill in.
TEST_CASE("the environment goes before the file") {
  const config::Environment environment(
      {{"OLEANDERTIDE_MEMORY_MB", "512"},
       {"OLEANDERTIDE_DESCRIPTORS", ""},
       {"OLEANDERTIDE_RULES", "base,quota,platform"},
       {"OLEANDERTIDE_BOUNDS",
        "grace_s=10,drain_ms=,fail_closed=true,unknown=1,noise,config_ms=x"}});
  const auto settings = Read(
      MakeText("[edge]\nbuffer-mb = 20\n[rules]\nrollout = true\n"
               "[bounds]\ngrace_s = 4\ndrain_ms = 1000\nconfig_ms = 2000\n",
               "memory-mb = 100\ndescriptors = 640\n"),
      environment);
  REQUIRE(settings);
  const SidecarSettings& read = settings.value();
  REQUIRE(read.node.memory_mb == 512);
  REQUIRE(read.node.descriptors == 640);
  REQUIRE(read.deployment.limits == mesh::FeatureMode::kOn);
  REQUIRE(read.deployment.rollouts == mesh::FeatureMode::kOff);
  REQUIRE(read.deployment.stop_grace == seconds(10));
  REQUIRE(read.deployment.drain_limit == milliseconds(1000));
  REQUIRE(read.deployment.closes_stale_keys);
  REQUIRE(read.deployment.configuration_limit == seconds(2));
  const std::string ignored = config::ToString(read.ignored);
  REQUIRE_THAT(ignored, Catch::Matchers::Contains("noise") &&
                            Catch::Matchers::Contains("config_ms"));
  REQUIRE(read.ignored.size() == 2);
}

TEST_CASE("without a list of rules, features are in force on demand") {
  REQUIRE(ParseWith("").deployment.limits == mesh::FeatureMode::kOnDemand);
  REQUIRE(ParseWith("").deployment.rollouts == mesh::FeatureMode::kOnDemand);
  const auto listed = ParseWith("[rules]\nrollout = true\n").deployment;
  REQUIRE(listed.limits == mesh::FeatureMode::kOff);
  REQUIRE(listed.rollouts == mesh::FeatureMode::kOn);
  const auto refused = ParseWith("[rules]\nquota = false\n").deployment;
  REQUIRE(refused.limits == mesh::FeatureMode::kOff);
}

TEST_CASE("unlimited is said explicitly") {
  SidecarSettings settings;
  settings.node.is_unlimited = true;
  settings.UseLimits({.memory_bytes = 160'000'000, .descriptors = 1024});
  REQUIRE(settings.node.memory_mb == 0);
  REQUIRE(settings.node.descriptors == 0);
}

}  // namespace oleandertide::sidecar
