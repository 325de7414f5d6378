#include "config/node_settings.h"

#include <span>

#include "config/field.h"
#include "config/settings_reader.h"
#include "config/value.h"

namespace oleandertide::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Settings = NodeSettings;

constexpr std::int64_t kKibibyte = 1 << 10;
constexpr std::int64_t kMebibyte = 1 << 20;

// A listening socket may bind to all addresses and let the system choose the
// port. Other processes reach the node by its address for peers, so that one
// must be complete.
constexpr AddressRule kLocalAddress{.allows_port_zero = true,
                                    .allows_wildcard = true};
constexpr AddressRule kRemoteAddress{};

// One row for each setting: section, key, range, meaning, default.
std::span<const Field<Settings>> Fields() {
  static const std::vector<Field<Settings>> fields = {
      {{"node", "environment", NameRule{}, "environment whose document to use"},
       Assign<&Settings::node, &Settings::Node::environment>::To},
      {{"node", "data-centre", NameRule{}, "data centre of the instance"},
       Assign<&Settings::node, &Settings::Node::data_centre>::To},
      {{"node", "region", NameRule{}, "region of the data centre"},
       Assign<&Settings::node, &Settings::Node::region>::To},
      {{"node", "service", NameRule{}, "service of the backend server"},
       Assign<&Settings::node, &Settings::Node::service>::To},

      {{"listen", "callers", kLocalAddress, "address for callers"},
       Assign<&Settings::listen, &Settings::Listen::callers>::To},
      {{"listen", "backend", kLocalAddress,
        "address for announcements of the local backend server"},
       Assign<&Settings::listen, &Settings::Listen::backend>::To},
      {{"listen", "peers", kRemoteAddress,
        "address for other nodes, which identifies the node"},
       Assign<&Settings::listen, &Settings::Listen::peers>::To},
      {{"listen", "operators", kLocalAddress, "address for operators",
        "127.0.0.1:0"},
       Assign<&Settings::listen, &Settings::Listen::operators>::To},

      {{"platform", "address", kRemoteAddress, "address of the platform"},
       Assign<&Settings::platform, &Settings::Platform::address>::To},
      {{"platform", "read-interval",
        DurationRule{milliseconds(100), minutes(1)},
        "time between reads of the environment's row by a reader", "1s"},
       Assign<&Settings::platform, &Settings::Platform::read_interval>::To},
      {{"platform", "request-timeout",
        DurationRule{milliseconds(50), minutes(1)},
        "time limit of a request to the platform", "1s"},
       Assign<&Settings::platform, &Settings::Platform::request_timeout>::To},
      {{"platform", "readers-per-data-centre", IntegerRule{1, 16},
        "nodes of a data centre that read the platform", "2"},
       Assign<&Settings::platform,
              &Settings::Platform::readers_per_data_centre>::To},

      {{"peers", "contacts", AddressListRule{16},
        "nodes to join; without any, the contacts row is read", ""},
       Assign<&Settings::peers, &Settings::Peers::contacts>::To},
      {{"peers", "other-data-centres", NameListRule{16},
        "data centres whose contacts rows are read to find their nodes", ""},
       Assign<&Settings::peers, &Settings::Peers::other_data_centres>::To},
      {{"peers", "gossip-interval", DurationRule{milliseconds(50), seconds(10)},
        "time between exchanges with a partner", "500ms"},
       Assign<&Settings::peers, &Settings::Peers::gossip_interval>::To},
      {{"peers", "fanout", IntegerRule{1, 16},
        "partners to which a change is passed at once", "3"},
       Assign<&Settings::peers, &Settings::Peers::fanout>::To},
      {{"peers", "monitored-successors", IntegerRule{1, 16},
        "successors on the ring of the data centre to monitor", "3"},
       Assign<&Settings::peers, &Settings::Peers::monitored_successors>::To},
      {{"peers", "suspicion-timeout",
        DurationRule{milliseconds(100), minutes(5)},
        "time until a suspected node is declared dead", "3s"},
       Assign<&Settings::peers, &Settings::Peers::suspicion_timeout>::To},

      {{"freshness", "confirmation-limit",
        DurationRule{milliseconds(100), minutes(5)},
        "age of a confirmation up to which the node is confirmed", "5s"},
       Assign<&Settings::freshness,
              &Settings::Freshness::confirmation_limit>::To},
      {{"freshness", "pause-limit", DurationRule{milliseconds(100), minutes(5)},
        "gap between ticks above which the node counts as paused", "2s"},
       Assign<&Settings::freshness, &Settings::Freshness::pause_limit>::To},

      {{"calls", "queue-length", IntegerRule{0, 65'536},
        "requests that wait for a slot of the backend server", "64"},
       Assign<&Settings::calls, &Settings::Calls::queue_length>::To},
      {{"calls", "maximum-connections-from-callers", IntegerRule{1, 65'536},
        "open connections from callers", "256"},
       Assign<&Settings::calls,
              &Settings::Calls::maximum_connections_from_callers>::To},
      {{"calls", "retry-budget-percent", PercentRule{0, 100},
        "retries after not-run for each 100 first attempts", "5"},
       Assign<&Settings::calls, &Settings::Calls::retry_budget_percent>::To},
      {{"calls", "unknown-retry-budget-percent", PercentRule{0, 100},
        "retries after an unknown outcome for each 100 first attempts", "0.3"},
       Assign<&Settings::calls,
              &Settings::Calls::unknown_retry_budget_percent>::To},
      {{"calls", "default-timeout", DurationRule{milliseconds(1), hours(1)},
        "time limit of a call without deadline on a route without timeout",
        "2s"},
       Assign<&Settings::calls, &Settings::Calls::default_timeout>::To},
      {{"calls", "slow-start", DurationRule{seconds(0), minutes(10)},
        "time over which a new backend server gets its full share", "10s"},
       Assign<&Settings::calls, &Settings::Calls::slow_start>::To},
      {{"calls", "quarantine-threshold", IntegerRule{1, 16},
        "deaths of different backend servers that quarantine a request", "2"},
       Assign<&Settings::calls, &Settings::Calls::quarantine_threshold>::To},
      {{"calls", "quarantine-time", DurationRule{seconds(1), hours(24)},
        "time for which a quarantined request is refused", "10m"},
       Assign<&Settings::calls, &Settings::Calls::quarantine_time>::To},
      {{"calls", "maximum-body", SizeRule{kKibibyte, 64 * kMebibyte},
        "size of the body of a request or an answer", "1MiB"},
       Assign<&Settings::calls, &Settings::Calls::maximum_body>::To},

      {{"once", "commit-interval", DurationRule{milliseconds(1), seconds(1)},
        "time over which claims are collected into a transaction", "5ms"},
       Assign<&Settings::once, &Settings::Once::commit_interval>::To},
      {{"once", "writers-per-data-centre", IntegerRule{1, 16},
        "nodes of a data centre that write claims", "1"},
       Assign<&Settings::once, &Settings::Once::writers_per_data_centre>::To},

      {{"jobs", "start-window", DurationRule{seconds(1), hours(1)},
        "time after a due time within which its run may start", "30s"},
       Assign<&Settings::jobs, &Settings::Jobs::start_window>::To},

      {{"drain", "announce-time", DurationRule{milliseconds(0), minutes(1)},
        "time for which a draining node lets other nodes learn of it", "2s"},
       Assign<&Settings::drain, &Settings::Drain::announce_time>::To},
      {{"drain", "deadline", DurationRule{seconds(1), hours(1)},
        "time after which a draining node ends with requests in flight", "30s"},
       Assign<&Settings::drain, &Settings::Drain::deadline>::To},

      {{"log", "level", ChoiceRule{{"debug", "info", "warning", "error"}},
        "least severe events that are logged", "info"},
       Assign<&Settings::log, &Settings::Log::level>::To},
  };
  return fields;
}

}  // namespace

Checked<NodeSettings> NodeSettings::Parse(std::string_view text,
                                          std::string_view file_name) {
  return detail::ReadSettings(Fields(), text, file_name);
}

std::string NodeSettings::Describe() { return DescribeFields(Fields()); }

}  // namespace oleandertide::config
