// Timings and sizes of dissemination.

#ifndef OLEANDERTIDE_DISTRIBUTION_OPTIONS_H_
#define OLEANDERTIDE_DISTRIBUTION_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/time.h"
#include "membership/member_table.h"

namespace oleandertide::distribution {

struct Options {
  membership::TableOptions table;

  // Addresses of nodes to join through, from the settings. If there are none,
  // or none answers, the row `contacts/{data centre}` is read.
  std::vector<std::string> contacts;
  // Other data centres whose contacts row the first reader reads in turn, so
  // that data centres without common contacts find each other.
  std::vector<std::string> other_data_centres;

  // Interval between exchanges with partners that are not monitored.
  Duration gossip_interval = std::chrono::milliseconds(500);
  // Partners in the own data centre besides the monitored successors. Each is
  // the first member after a pseudo-random point of the hash ring, which keeps
  // the distance between any two nodes small.
  std::size_t fanout = 3;
  // Partners in each other data centre.
  std::size_t remote_partners = 1;

  std::size_t monitored_successors = 3;
  Duration monitor_interval = std::chrono::seconds(1);
  // An exchange without a reply has failed after this time.
  Duration exchange_timeout = std::chrono::milliseconds(400);
  // A monitored exchange has failed when this many attempts have; a single
  // lost message is no sign of a dead member.
  int attempts_per_monitored_exchange = 2;
  int failed_exchanges_before_suspicion = 2;

  std::size_t readers_per_data_centre = 2;
  Duration read_interval = std::chrono::seconds(1);
  // A platform read without an answer does not hold back the next for longer.
  Duration read_timeout = std::chrono::seconds(5);
  Duration contacts_interval = std::chrono::seconds(10);
  std::size_t contacts_written = 4;

  Duration confirmation_limit = std::chrono::seconds(5);
  Duration heard_limit = std::chrono::seconds(5);
  Duration pause_limit = std::chrono::seconds(2);

  // Delays of join attempts and of fetches from the platform that failed.
  Duration first_retry_delay = std::chrono::milliseconds(200);
  Duration longest_retry_delay = std::chrono::seconds(5);
  // A node that no contact answered reads the platform after this time, with
  // up to the same time again as jitter.
  Duration alone_delay = std::chrono::seconds(3);
  // A started node counts neither holders nor answers before this time, nor
  // while its N has grown within it: N is too small until the node has
  // received the member table.
  Duration settling_time = std::chrono::seconds(1);

  Duration report_interval = std::chrono::milliseconds(500);
  // The second step of the commit count starts anew after this time.
  Duration verification_limit = std::chrono::milliseconds(300);
  // Time without a confirmation after which a starting node collects answers
  // of ready members (restart condition b).
  Duration quorum_delay = std::chrono::seconds(3);
  std::size_t quorum_queries_per_round = 16;

  Duration synchronisation_interval = std::chrono::seconds(5);
  // Interval while the tables differ much, as after a restart of all nodes.
  Duration fast_synchronisation_interval = std::chrono::milliseconds(500);
  Duration dead_probe_interval = std::chrono::seconds(10);
  std::size_t deltas_per_message = 8;
  std::size_t records_per_part = 64;
  std::size_t known_hashes_per_request = 128;

  // Mechanisms that tests and benchmarks switch off.
  bool every_node_polls = false;  // the baseline: no readers, no partners
  bool commit_rule_enabled = true;
  bool restart_rule_enabled = true;
  bool push_on_news = true;
  bool repair_enabled = true;  // full synchronisation and repeated reports
  bool pause_detection_enabled = true;
};

}  // namespace oleandertide::distribution

#endif  // OLEANDERTIDE_DISTRIBUTION_OPTIONS_H_
