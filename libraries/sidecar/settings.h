// Settings of a node beside a backend server on the users' platform.

#ifndef OLEANDERTIDE_SIDECAR_SETTINGS_H_
#define OLEANDERTIDE_SIDECAR_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/diagnostic.h"
#include "config/environment.h"
#include "core/address.h"
#include "core/process_limits.h"
#include "core/time.h"
#include "mesh/deployment.h"

namespace oleandertide::sidecar {

// All values are checked; see Describe for units, defaults and ranges.
struct SidecarSettings {
  struct Node {
    std::string name;
    std::string data_centre;
    std::string service;
    double link_mbps = 0;
    // Whether this is the first start of the whole system.
    bool is_first_start = false;
    // Memory that the instance gives the process in MB; 0 if unknown.
    std::int64_t memory_mb = 0;
    // Descriptors that the process may open; 0 if unknown.
    std::int64_t descriptors = 0;
    // Whether what is unknown is no bound.
    bool is_unlimited = false;
  };
  struct Listen {
    Address clients;
    Address peers;
    // Given to other nodes; without IP, `peers` is.
    Address advertised_peers;
    Address readiness;
    Address announcements;
    // Without IP, there are no metrics.
    Address metrics;

    // Where other nodes reach this one. Thread-safe.
    const Address& advertised() const {
      return advertised_peers.ip.empty() ? peers : advertised_peers;
    }
  };
  struct Backend {
    Address address;
    std::int64_t max_answer_kb = 0;
  };
  struct Store {
    Address address;
  };
  // In force: a value of the file, else one derived from a bound of the
  // deployment, else the default.
  struct Drain {
    Duration fence{};
    Duration announce_time{};
    Duration deadline{};
  };
  struct Retries {
    double ratio_percent = 0;
    double run_ratio_percent = 0;
    std::int64_t saved = 0;
  };
  // Values of the file that bounds of the deployment stand in for.
  struct Overrides {
    std::optional<Duration> fence;
    std::optional<Duration> announce_time;
    std::optional<Duration> deadline;
    std::optional<double> ratio_percent;
    std::optional<double> run_ratio_percent;
  };
  struct Placement {
    // Cost of 1 kB between data centres, in percent of the value of an answer
    // in time.
    double crossing_cost_percent = 0;
    // See mesh::Placement::Options.
    std::int64_t sample = 0;
    std::int64_t sample_from = 0;
    bool bounds_links = false;
  };
  struct Pace {
    bool learns_room = false;
    bool measures_speed = false;
  };
  // What clients may hold; 0 is derived from `node`, or no bound.
  struct Edge {
    std::int64_t buffer_mb = 0;
    std::int64_t unread_mb = 0;
    std::int64_t max_connections = 0;
    double client_share_percent = 0;
    Duration stall_limit{};
    std::int64_t least_body_kb = 0;
    Duration least_body_window{};
  };
  struct Log {
    std::string level;
  };

  Node node;
  Listen listen;
  Backend backend;
  Store store;
  // From [rules] and [bounds].
  mesh::Deployment deployment;
  Overrides overrides;
  Drain drain;
  Retries retries;
  Placement placement;
  Pace pace;
  Edge edge;
  Log log;
  // Values that are not allowed; their defaults hold.
  config::Diagnostics ignored;

  // Reads settings in INI; all errors are reported together. Variables of the
  // environment go before the text. An empty value is no value, and one that is
  // not allowed is ignored if the node can do without. Thread-safe.
  static config::Checked<SidecarSettings> Parse(
      std::string_view text, std::string_view file_name,
      const config::Environment& environment = {});

  // Returns what cannot work as a graceful stop, one sentence each.
  // Thread-safe.
  std::vector<std::string> FindWarnings() const;

  // Takes over `limits` where the settings do not tell the memory or the
  // descriptors, unless these are unlimited. Without a limit of its own, the
  // process takes a default for its memory, and no more than it shares with
  // others. Not thread-safe.
  void UseLimits(const ProcessLimits& limits);

  // Describes all settings, for the command line. Thread-safe.
  static std::string Describe();

 private:
  // Fills what has no value of its own: `drain` and `retries` from `overrides`
  // and `deployment`, the name from `listen`.
  void Derive();
};

}  // namespace oleandertide::sidecar

#endif  // OLEANDERTIDE_SIDECAR_SETTINGS_H_
