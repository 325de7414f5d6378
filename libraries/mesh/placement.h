// Chooses the node that runs a request.

#ifndef OLEANDERTIDE_MESH_PLACEMENT_H_
#define OLEANDERTIDE_MESH_PLACEMENT_H_

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "mesh/outcome.h"

namespace oleandertide::mesh {

// Chooses the node with the lowest expected cost. The cost is the value that an
// answer is expected to lose there, by arriving late or not at all, and that of
// the bytes that cross to another data centre; the unit is the value of an
// answer in time. The expected time until the answer is the wait for a slot,
// the run time at the backend server's speed and the transfer over the network.
// Requests thus stay in their own data centre while their answers are likely to
// be in time. All ingresses use reports that are some milliseconds old, so each
// time gets random jitter: otherwise all ingresses would send to the one
// backend server that has just become free. With many ingresses the jitter is
// not enough: they compare a few random candidates (power of two choices), own
// data centre and others separately, so that few requests cross.
//
// Nodes report three times a second. A node that has missed a report may be
// disconnected or paused; it gets requests only if no other node accepts them.
//
// Expected load: data centres with unequal traffic; bursts; slow, cold and
// failing backend servers.
//
// Not thread-safe.
class Placement {
 public:
  struct Request {
    std::string_view service;
    // Rank of the route; 0 is the most urgent.
    int priority = 0;
    Duration expected_run{};
    // Size of the request's body in bytes.
    double request_bytes = 0;
    // Mean size of the route's answers in bytes.
    double expected_bytes = 0;
    // Time for which the request may wait for a slot.
    Duration wait_allowance{};
    // Longest time that a link may need for what is promised before the answer;
    // see ChooseLinkAllowance. Nothing if that does not matter.
    std::optional<Duration> link_allowance{};
    // The client gets the full value of an answer within this time.
    Duration target_latency{};
    // Whether the request goes before the waiting ones of its rank: the queue
    // is full of requests of an organisation beyond its share.
    bool is_displaced = false;
    // Time since the arrival of the request.
    Duration elapsed{};
    MonotonicTime now;
    // If not empty, only backend servers of this version are considered, or
    // only those of other versions; see rollout/exposure.h.
    std::string_view version{};
    bool is_version_excluded = false;
    // If not empty, a version that is not considered in any case.
    std::string_view withheld_version{};
    // If not 0, only this many backend servers that take requests are
    // considered, the first by their nodes' names: those of a version on trial
    // get enough requests to run under load.
    int max_nodes = 0;
  };

  struct Choice {
    std::string node;
    Duration expected_wait{};
  };
  // The wait at each backend server, or for its link, exceeds the allowance.
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
    // Bandwidth of the link to it in Mbit/s; 0 for this node's own instance.
    double link_mbps = 0;
  };

  struct Options {
    // Cost of a byte sent between data centres, as a share of the value of an
    // answer in time.
    double crossing_cost_per_byte = 0;
    // Number of random candidates with room that are compared in the own data
    // centre, and as many in the others; 0 compares all.
    int sample = 0;
    // Number of reporting nodes from which the sample is used. With few
    // ingresses, comparing all is as good or better.
    int sample_from = 0;
  };

  explicit Placement(const Options& options) : options_(options) {}

  // Compares all candidates.
  explicit Placement(double crossing_cost_per_byte)
      : Placement(Options{.crossing_cost_per_byte = crossing_cost_per_byte}) {}

  // Applies a report on the backend server on the instance of `node`.
  void Update(std::string_view node, std::string_view service,
              const Location& location, const BackendLoad& load,
              MonotonicTime now, std::string_view version = {});

  // Applies the load that `node` sent with an answer.
  void UpdateLoad(std::string_view node, const BackendLoad& load,
                  MonotonicTime now);

  // Removes a node that cannot be reached.
  void Remove(std::string_view node);

  // Returns where to send the request; nodes in `excluded` are not considered.
  Decision Choose(const Request& request, std::span<const std::string> excluded,
                  RandomSource& random);

  // Whether a backend server of `service` is known that is of neither version,
  // whether it takes requests or not.
  bool has_other_version(std::string_view service, std::string_view version,
                         std::string_view withheld_version) const;

  // Backend servers of this version that take requests.
  std::size_t CountAccepting(std::string_view service,
                             std::string_view version) const;

  // Version of the backend server beside `node`; empty if it is not known.
  std::string_view version(std::string_view node) const;

  // Whether some backend server of `service` takes requests.
  bool has_backend_server(std::string_view service) const;

 private:
  struct Candidate {
    std::string service;
    std::string version;
    Location location;
    BackendLoad load;
    MonotonicTime reported_at;
    // Number of requests sent since the report, by priority class.
    PriorityClassCounts unreported{};
    // Expected bytes on the candidate's link for the answers to these requests.
    double unreported_bytes = 0;

    // Applies a report, which includes the requests sent before it.
    void SetReport(const BackendLoad& reported, MonotonicTime now);
  };

  using CandidateMap = std::map<std::string, Candidate, std::less<>>;

  // Keeps only the random sample of the options.
  void Sample(std::vector<CandidateMap::iterator>& candidates,
              RandomSource& random) const;
  // Chooses among all candidates, or only among those with a recent report.
  Decision ChooseAmong(const Request& request,
                       std::span<const std::string> excluded,
                       RandomSource& random, bool includes_stale);
  static bool IsReportStale(const Candidate& candidate, MonotonicTime now);
  static Duration EstimateWait(const Candidate& candidate,
                               const Request& request);
  // Time that the candidate's link needs for what was promised before.
  static Duration EstimateLinkWait(const Candidate& candidate);
  // Time by which the waits exceed their allowances; not above zero if there is
  // room.
  static Duration Excess(const Candidate& candidate, const Request& request);
  // Returns the expected cost; `wait` includes the jitter.
  double Cost(const Candidate& candidate, const Request& request,
              Duration wait) const;

  const Options options_;
  CandidateMap candidates_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_PLACEMENT_H_
