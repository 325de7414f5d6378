// Choice of the node that is to run a request.

#ifndef OLEANDERTIDE_MESH_PLACEMENT_H_
#define OLEANDERTIDE_MESH_PLACEMENT_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "core/random.h"
#include "core/time.h"
#include "mesh/outcome.h"

namespace oleandertide::mesh {

// Chooses by the expected time until the answer: the wait for a slot, the run
// at the backend server's speed, the way there, and a charge for what would be
// refused or failed. All ingresses choose by reports that are some milliseconds
// old, so the choice is blurred a little: otherwise all would send to the one
// backend server that has just become free.
//
// Nodes report three times a second. One that has missed a report may be cut
// off or stand still; it gets requests only if no other one takes them.
//
// Load pattern: bursts, slow, cold and failing backend servers.
//
// Not thread-safe.
class Placement {
 public:
  struct Request {
    std::string_view service;
    // Rank of the route; 0 is the most urgent.
    int priority = 0;
    Duration expected_run{};
    // Bytes of the answer, usually.
    double expected_bytes = 0;
    // Time for which the request may wait for a slot.
    Duration wait_allowance{};
    // An answer within this time is worth most.
    Duration target_latency{};
    MonotonicTime now;
  };

  struct Choice {
    std::string node;
    Duration expected_wait{};
  };
  // All backend servers are busy beyond the allowance.
  struct NoRoom {
    // Expected time until a request would be accepted.
    Duration until_room{};
  };
  // No backend server takes requests.
  struct NoBackendServer {};
  using Decision = std::variant<Choice, NoRoom, NoBackendServer>;

  // Where a backend server is, as seen from this node.
  struct Location {
    bool is_in_own_data_centre = false;
    // Bandwidth of the way there in Mbit/s; 0 for the own instance.
    double link_mbps = 0;
  };

  // Takes in a report on the backend server beside `node`.
  void Update(std::string_view node, std::string_view service,
              const Location& location, const BackendLoad& load,
              MonotonicTime now);

  // Takes in the load that came with an answer of `node`.
  void UpdateLoad(std::string_view node, const BackendLoad& load,
                  MonotonicTime now);

  // The node cannot be reached.
  void Remove(std::string_view node);

  // Returns where to send the request; nodes in `excluded` are not considered.
  Decision Choose(const Request& request, std::span<const std::string> excluded,
                  RandomSource& random);

  // Whether some backend server of `service` takes requests.
  bool has_backend_server(std::string_view service) const;

 private:
  struct Candidate {
    std::string service;
    Location location;
    BackendLoad load;
    MonotonicTime reported_at;
    // Requests sent since the report, by rank.
    PriorityClassCounts unreported{};
    // Bytes of the answers to these that take the candidate's link.
    double unreported_bytes = 0;

    // Takes in a report; it counts what was sent before.
    void SetReport(const BackendLoad& reported, MonotonicTime now);
  };

  // Chooses among all, or only among those that were heard of lately.
  Decision ChooseAmong(const Request& request,
                       std::span<const std::string> excluded,
                       RandomSource& random, bool includes_stale);
  static bool IsReportStale(const Candidate& candidate, MonotonicTime now);
  static Duration EstimateWait(const Candidate& candidate, int priority);
  static double Score(const Candidate& candidate, const Request& request,
                      Duration wait);

  std::map<std::string, Candidate, std::less<>> candidates_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_PLACEMENT_H_
