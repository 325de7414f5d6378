#include "sidecar/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <vector>

#include "config/field.h"
#include "config/settings_reader.h"
#include "config/value.h"
#include "mesh/stop_policy.h"
#include "platform/deployment_codec.h"
#include "sidecar/deployment_settings.h"

namespace oleandertide::sidecar {
namespace {

using config::AddressRule;
using config::Assign;
using config::BooleanRule;
using config::ChoiceRule;
using config::DurationRule;
using config::Field;
using config::IntegerRule;
using config::NumberRule;
using config::PercentRule;
using config::TextRule;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Settings = SidecarSettings;

// In force where neither the settings nor a bound of the deployment tells a
// value.
constexpr Duration kDefaultGrace = seconds(30);
constexpr Duration kDefaultDrainLimit = milliseconds(2000);
constexpr double kDefaultRetryRatio = 0.2;

// Of the time in which a leaving backend server may be reached; the rest is for
// requests on their way.
constexpr double kFencePart = 0.75;

// Of the retry ratio: the allowances of nodes are refilled by the requests that
// they count, which clients may count otherwise.
constexpr double kRetryPart = 0.7;
constexpr double kRunRetryPart = 0.2;

constexpr double kPercent = 100;

// Memory of a process without a limit of its own: it runs beside others.
constexpr std::int64_t kDefaultMemoryMb = 128;

// One row for each setting: section, key, range, meaning, default.
std::span<const Field<Settings>> Fields() {
  static const std::vector<Field<Settings>> fields = {
      {{"node", "name", TextRule{}, "name of the instance", std::nullopt,
        "the address of peers that other nodes are told"},
       Assign<&Settings::node, &Settings::Node::name>::To},
      {{"node", "data-centre", TextRule{}, "data centre of the instance",
        "default"},
       Assign<&Settings::node, &Settings::Node::data_centre>::To},
      {{"node", "service", TextRule{}, "service of the backend server"},
       Assign<&Settings::node, &Settings::Node::service>::To},
      {{"node", "link-mbps", NumberRule{1, 1'000'000},
        "bandwidth of the instance's link in Mbit/s", "1000"},
       Assign<&Settings::node, &Settings::Node::link_mbps>::To},
      {{"node", "first-start", BooleanRule{},
        "whether the whole system starts for the first time", "false"},
       Assign<&Settings::node, &Settings::Node::is_first_start>::To},
      {{"node", "memory-mb", IntegerRule{0, 1'048'576},
        "memory that the instance gives the process in MB; 0 is the least of "
        "the limits of its data and address space and of a control group that "
        "it is alone in, or else 128, and never more than the system has",
        "0", std::string_view(), "OLEANDERTIDE_MEMORY_MB"},
       Assign<&Settings::node, &Settings::Node::memory_mb>::To},
      {{"node", "descriptors", IntegerRule{0, 10'000'000},
        "descriptors that the process may open; 0 is the system's limit", "0",
        std::string_view(), "OLEANDERTIDE_DESCRIPTORS"},
       Assign<&Settings::node, &Settings::Node::descriptors>::To},
      {{"node", "unlimited", BooleanRule{},
        "whether memory-mb and descriptors are no bound where they are 0",
        "false"},
       Assign<&Settings::node, &Settings::Node::is_unlimited>::To},

      {{"listen", "clients", AddressRule{}, "address for clients"},
       Assign<&Settings::listen, &Settings::Listen::clients>::To},
      {{"listen", "peers", AddressRule{}, "address for other nodes"},
       Assign<&Settings::listen, &Settings::Listen::peers>::To},
      {{"listen", "advertised-peers", AddressRule{},
        "address at which other nodes reach this one", std::nullopt,
        "the address of peers"},
       Assign<&Settings::listen, &Settings::Listen::advertised_peers>::To},
      {{"listen", "readiness", AddressRule{}, "address for readiness checks"},
       Assign<&Settings::listen, &Settings::Listen::readiness>::To},
      {{"listen", "announcements", AddressRule{},
        "address for heartbeats of the backend server"},
       Assign<&Settings::listen, &Settings::Listen::announcements>::To},
      {{"listen", "metrics", AddressRule{}, "address for metrics", std::nullopt,
        "no metrics"},
       Assign<&Settings::listen, &Settings::Listen::metrics>::To},

      {{"backend", "address", AddressRule{},
        "address of the backend server beside the node"},
       Assign<&Settings::backend, &Settings::Backend::address>::To},
      {{"backend", "max-answer", IntegerRule{1, 1'048'576},
        "largest body of an answer in KiB; a larger one is cut off and its "
        "outcome is unknown. All slots may hold one at a time",
        "16384"},
       Assign<&Settings::backend, &Settings::Backend::max_answer_kb>::To},

      {{"store", "address", AddressRule{}, "address of the metadata store"},
       Assign<&Settings::store, &Settings::Store::address>::To},

      {{"drain", "fence", DurationRule{milliseconds(0), seconds(60)},
        "time after the notice of a leaving backend server until which waiting "
        "requests are handed over",
        std::nullopt,
        "three quarters of the drain bound of [bounds], or 1500ms"},
       Assign<&Settings::overrides, &Settings::Overrides::fence>::To},
      {{"drain", "announce-time", DurationRule{milliseconds(0), seconds(60)},
        "time after SIGTERM for which the node takes requests that may outlast "
        "it; later ones are taken if they end before the deadline",
        std::nullopt,
        "five twelfths of the stop grace of [bounds], 2500ms at most"},
       Assign<&Settings::overrides, &Settings::Overrides::announce_time>::To},
      {{"drain", "deadline", DurationRule{seconds(1), seconds(3600)},
        "time after SIGTERM at which the node ends with requests in flight",
        std::nullopt,
        "the stop grace of [bounds] without a twelfth, which is 500ms at "
        "most, or 29500ms"},
       Assign<&Settings::overrides, &Settings::Overrides::deadline>::To},

      {{"retries", "ratio", PercentRule{0, 100},
        "repeats for each 100 requests of a service", std::nullopt,
        "seven tenths of the retry ratio of [bounds], or 14"},
       Assign<&Settings::overrides, &Settings::Overrides::ratio_percent>::To},
      {{"retries", "run-ratio", PercentRule{0, 100},
        "repeats of requests that ran, for each 100 requests of a service",
        std::nullopt, "a fifth of the retry ratio of [bounds], or 4"},
       Assign<&Settings::overrides,
              &Settings::Overrides::run_ratio_percent>::To},
      {{"retries", "saved", IntegerRule{0, 1000},
        "most repeats that are saved up for a burst", "3"},
       Assign<&Settings::retries, &Settings::Retries::saved>::To},

      {{"placement", "crossing-cost", PercentRule{0, 100},
        "cost of 1 kB between data centres for each 100 that an answer in time "
        "is worth; 0 places requests by time alone",
        "1.6"},
       Assign<&Settings::placement,
              &Settings::Placement::crossing_cost_percent>::To},
      {{"placement", "sample", IntegerRule{0, 1000},
        "random backend servers with room that are compared in the own data "
        "centre, and as many in the others; 0 compares all",
        "0"},
       Assign<&Settings::placement, &Settings::Placement::sample>::To},
      {{"placement", "sample-from", IntegerRule{0, 100'000},
        "reporting nodes from which only a sample is compared", "60"},
       Assign<&Settings::placement, &Settings::Placement::sample_from>::To},
      {{"placement", "bound-links", BooleanRule{},
        "whether requests with large answers are refused where the link would "
        "be busy with earlier ones for a quarter of the time between their run "
        "and their target latency",
        "true"},
       Assign<&Settings::placement, &Settings::Placement::bounds_links>::To},

      {{"pace", "learn-room", BooleanRule{},
        "whether refusals and resets of a full backend server lower the number "
        "of requests that it is sent at once; a backend server that sheds a "
        "share of its requests at random counts as full",
        "false"},
       Assign<&Settings::pace, &Settings::Pace::learns_room>::To},
      {{"pace", "measure-speed", BooleanRule{},
        "whether the slowness of the backend server is measured from running "
        "and recent requests; otherwise from completions, and as 2 while it is "
        "cold",
        "false"},
       Assign<&Settings::pace, &Settings::Pace::measures_speed>::To},

      {{"edge", "buffer-mb", IntegerRule{0, 1'048'576},
        "memory for requests, answers and unparsed bytes of all clients, and "
        "for bodies of other nodes' calls, in MB; 0 is node.memory-mb without "
        "an eighth, 12 MB at least, and without a sixteenth, or no bound if "
        "that is unknown",
        "0"},
       Assign<&Settings::edge, &Settings::Edge::buffer_mb>::To},
      {{"edge", "unread-mb", IntegerRule{0, 1'048'576},
        "memory for bytes that the system keeps unread for all clients in MB, "
        "4 KiB at least and 128 KiB at most for each connection; 0 is a "
        "sixteenth of node.memory-mb, or what the system chooses if that is "
        "unknown",
        "0"},
       Assign<&Settings::edge, &Settings::Edge::unread_mb>::To},
      {{"edge", "max-connections", IntegerRule{0, 10'000'000},
        "connections of clients at a time; 0 is what node.descriptors leaves "
        "for them, or no bound if that is unknown",
        "0"},
       Assign<&Settings::edge, &Settings::Edge::max_connections>::To},
      {{"edge", "client-share", PercentRule{1, 100},
        "part of the memory for requests that one client address may hold "
        "while others hold any",
        "50"},
       Assign<&Settings::edge, &Settings::Edge::client_share_percent>::To},
      {{"edge", "stall-limit", DurationRule{milliseconds(100), seconds(60)},
        "time without 16 KiB of progress after which a client's connection "
        "gives way when memory is short",
        "1s"},
       Assign<&Settings::edge, &Settings::Edge::stall_limit>::To},
      {{"edge", "least-body", IntegerRule{0, 1'048'576},
        "KiB of a body above 16 KiB that arrive in least-body-window at least; "
        "0, the default, is no least rate: the configuration limits only "
        "pauses",
        "0"},
       Assign<&Settings::edge, &Settings::Edge::least_body_kb>::To},
      {{"edge", "least-body-window", DurationRule{seconds(1), seconds(3600)},
        "time over which least-body counts; twice the longest pause that the "
        "configuration allows by default",
        "30s"},
       Assign<&Settings::edge, &Settings::Edge::least_body_window>::To},

      {{"log", "level", ChoiceRule{{"debug", "info", "warning", "error"}},
        "least severe events that are logged", "info"},
       Assign<&Settings::log, &Settings::Log::level>::To},
  };
  return fields;
}

}  // namespace

config::Checked<SidecarSettings> SidecarSettings::Parse(
    std::string_view text, std::string_view file_name,
    const config::Environment& environment) {
  // Names and bounds of the platform's rules in force; it adds some from time
  // to time, and unknown ones are ignored.
  std::array<config::detail::OpenSection, 2> open = {{
      {.kind = "rules", .entries = {}},
      {.kind = "bounds", .entries = {}},
  }};
  config::DiagnosticList ignored(file_name);
  auto read = config::detail::ReadSettings(
      Fields(), text, file_name,
      {.skips_empty = true, .environment = &environment, .ignored = &ignored},
      std::span(open));
  if (!read) return read;
  SidecarSettings& settings = read.value();
  settings.deployment =
      ReadDeployment(open[0].entries, open[1].entries, environment, ignored);
  settings.Derive();
  if (!ignored.is_empty()) settings.ignored = ignored.Take();
  return read;
}

void SidecarSettings::Derive() {
  if (node.name.empty()) node.name = listen.advertised().ToString();
  const auto stop = mesh::StopPolicy::Options::ForGrace(
      deployment.stop_grace.value_or(kDefaultGrace));
  const Duration drain_limit =
      deployment.drain_limit.value_or(kDefaultDrainLimit);
  const Duration fence(static_cast<std::int64_t>(
      kFencePart * static_cast<double>(drain_limit.count())));
  drain = {
      .fence = overrides.fence.value_or(fence),
      .announce_time = overrides.announce_time.value_or(stop.announce_time),
      .deadline = overrides.deadline.value_or(stop.deadline)};
  const double retry_percent =
      kPercent * deployment.retry_ratio.value_or(kDefaultRetryRatio);
  retries.ratio_percent =
      overrides.ratio_percent.value_or(kRetryPart * retry_percent);
  retries.run_ratio_percent =
      overrides.run_ratio_percent.value_or(kRunRetryPart * retry_percent);
}

std::vector<std::string> SidecarSettings::FindWarnings() const {
  std::vector<std::string> warnings;
  const auto& grace = deployment.stop_grace;
  if (grace && *grace < mesh::StopPolicy::kMinGrace) {
    warnings.push_back(fmt::format(
        "bound {} is {} ms, a graceful stop needs {} ms: requests in progress "
        "are cut",
        platform::kStopGraceBound, ToMilliseconds(*grace),
        ToMilliseconds(mesh::StopPolicy::kMinGrace)));
  }
  if (grace && drain.deadline >= *grace) {
    warnings.push_back(fmt::format(
        "[drain] deadline of {} ms is not within bound {} of {} ms: the "
        "process is killed before it ends",
        ToMilliseconds(drain.deadline), platform::kStopGraceBound,
        ToMilliseconds(*grace)));
  }
  if (drain.announce_time >= drain.deadline) {
    warnings.push_back(fmt::format(
        "[drain] announce-time of {} ms is not within the deadline of {} ms: "
        "requests are taken until the end",
        ToMilliseconds(drain.announce_time), ToMilliseconds(drain.deadline)));
  }
  const auto& drain_limit = deployment.drain_limit;
  if (drain_limit && drain.fence >= *drain_limit) {
    warnings.push_back(fmt::format(
        "[drain] fence of {} ms is not within bound {} of {} ms: a backend "
        "server may be reached after it has left",
        ToMilliseconds(drain.fence), platform::kDrainBound,
        ToMilliseconds(*drain_limit)));
  }
  return warnings;
}

void SidecarSettings::UseLimits(const ProcessLimits& limits) {
  if (node.is_unlimited) return;
  constexpr std::uint64_t kMegabyte = 1'000'000;
  if (node.memory_mb == 0) {
    std::uint64_t bytes =
        limits.own_memory_bytes.value_or(kDefaultMemoryMb * kMegabyte);
    if (limits.memory_bytes) bytes = std::min(bytes, *limits.memory_bytes);
    node.memory_mb =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(bytes / kMegabyte));
  }
  if (node.descriptors == 0 && limits.descriptors) {
    node.descriptors = static_cast<std::int64_t>(*limits.descriptors);
  }
}

std::string SidecarSettings::Describe() {
  return config::DescribeFields(Fields()) + DescribeDeployment();
}

}  // namespace oleandertide::sidecar
