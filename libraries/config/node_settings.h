// Settings of a node.

#ifndef OLEANDERTIDE_CONFIG_NODE_SETTINGS_H_
#define OLEANDERTIDE_CONFIG_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/diagnostic.h"
#include "core/address.h"
#include "core/time.h"

namespace oleandertide::config {

// Read-only by convention after Parse. Sizes are in bytes, percentages in
// percent. NodeSettings::Describe gives meaning, range and default of each
// member; the table in node_settings.cc is their only source.
struct NodeSettings {
  // [node]
  struct Node {
    std::string environment;
    std::string data_centre;
    std::string region;
    std::string service;
  };

  // [listen]
  struct Listen {
    Address callers;
    Address backend;
    Address peers;
    Address operators;
  };

  // [platform]
  struct Platform {
    Address address;
    Duration read_interval{};
    Duration request_timeout{};
    std::int64_t readers_per_data_centre = 0;
  };

  // [peers]
  struct Peers {
    std::vector<Address> contacts;
    std::vector<std::string> other_data_centres;
    Duration gossip_interval{};
    std::int64_t fanout = 0;
    std::int64_t monitored_successors = 0;
    Duration suspicion_timeout{};
  };

  // [freshness]
  struct Freshness {
    Duration confirmation_limit{};
    Duration pause_limit{};
  };

  // [calls]
  struct Calls {
    std::int64_t queue_length = 0;
    std::int64_t maximum_connections_from_callers = 0;
    double retry_budget_percent = 0;
    double unknown_retry_budget_percent = 0;
    Duration default_timeout{};
    Duration slow_start{};
    std::int64_t quarantine_threshold = 0;
    Duration quarantine_time{};
    std::int64_t maximum_body = 0;
  };

  // [once]
  struct Once {
    Duration commit_interval{};
    std::int64_t writers_per_data_centre = 0;
  };

  // [jobs]
  struct Jobs {
    Duration start_window{};
  };

  // [drain]
  struct Drain {
    Duration announce_time{};
    Duration deadline{};
  };

  // [log]
  struct Log {
    // A word that logging::ParseLevel accepts.
    std::string level;
  };

  Node node;
  Listen listen;
  Platform platform;
  Peers peers;
  Freshness freshness;
  Calls calls;
  Once once;
  Jobs jobs;
  Drain drain;
  Log log;

  // Reads INI text. Returns all errors at once, or the settings with a value
  // for every member. Thread-safe.
  static Checked<NodeSettings> Parse(std::string_view text,
                                     std::string_view file_name);

  // Describes every setting by section, one a line. Thread-safe.
  static std::string Describe();
};

}  // namespace oleandertide::config

#endif  // OLEANDERTIDE_CONFIG_NODE_SETTINGS_H_
